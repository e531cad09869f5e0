package vmlist

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/platform"
)

// registerTimeout bounds the request of Register.
const registerTimeout = 5 * time.Second

// Register adds vms to the list of the stand-in at url.
func Register(url string, vms []platform.VM) error {
	body, err := json.Marshal(Edit{Set: vms})
	if err != nil {
		return eris.Wrap(err, "encode VM list edit")
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url + "/v1/vms")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyRaw(body)
	if err := fasthttp.DoTimeout(req, resp, registerTimeout); err != nil {
		return eris.Wrapf(err, "register VMs at %s", url)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return eris.Errorf("register VMs at %s: status %d", url, resp.StatusCode())
	}
	return nil
}
