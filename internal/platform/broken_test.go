package platform_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/standin/rawhttp"
)

// TestBrokenAnswersOfServicesAreErrors calls services that answer each call in a broken
// way. The body would be valid for all of them.
func TestBrokenAnswersOfServicesAreErrors(t *testing.T) {
	calls := map[string]struct {
		body string
		call func(platform.Options) error
	}{
		"append": {`{"epoch":1,"first":0}`, func(o platform.Options) error {
			l, err := platform.NewLog(o)
			must.NoError(t, err)
			_, err = l.Append(context.Background(), "s", [][]byte{make([]byte, 512<<10)})
			return err
		}},
		"read": {`{"epoch":1,"next":0,"records":[]}`, func(o platform.Options) error {
			l, err := platform.NewLog(o)
			must.NoError(t, err)
			_, err = l.Read(context.Background(), "s", 0, 1)
			return err
		}},
		"VM list": {`{"vms":[]}`, func(o platform.Options) error {
			l, err := platform.NewVMLister(o)
			must.NoError(t, err)
			_, err = l.List(context.Background())
			return err
		}},
		"loads": {`{"concurrent":1}`, func(o platform.Options) error {
			w, err := platform.NewWeightStore(o)
			must.NoError(t, err)
			_, err = w.Loads(context.Background())
			return err
		}},
	}
	start := func(a rawhttp.Answer) platform.Options {
		s, err := rawhttp.Start(func(*http.Request) rawhttp.Answer { return a })
		must.NoError(t, err)
		t.Cleanup(s.Close)
		return platform.Options{URL: "http://" + s.Addr()}
	}
	for call, c := range calls {
		for name, a := range rawhttp.Broken("", c.body) {
			err := c.call(start(a))
			must.Error(t, err, must.Sprint(call, ": ", name))
			must.Eq(t, fault.Unknown, fault.As(err).Outcome, must.Sprint(call, ": ", name))
		}
		for name, a := range rawhttp.Sound("", c.body) {
			must.NoError(t, c.call(start(a)), must.Sprint(call, ": ", name))
		}
	}
}
