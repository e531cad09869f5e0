package drive

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/admin"
	"github.com/ragwortquay/ragwortquay/internal/load"
	"github.com/ragwortquay/ragwortquay/internal/operate"
	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/standin/engine"
	"github.com/ragwortquay/ragwortquay/internal/standin/machines"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// sampleLoop samples the groups every sampleInterval until ctx ends.
func (d *Driver) sampleLoop(ctx context.Context) error {
	return runEvery(ctx, sampleInterval, d.sampleGroups)
}

// sampleGroups samples the groups once. If the engines cannot be read, no sample is
// added, so that the previous one stays valid.
func (d *Driver) sampleGroups() {
	if len(d.opts.EngineURLs) > 0 {
		if vms, err := d.sampleEngines(); err == nil {
			d.engineGroups.Add(time.Since(d.start), vms)
		}
	}
	if len(d.opts.OperatorURLs) > 0 {
		d.daemonGroups.Add(time.Since(d.start), d.sampleDaemons())
	}
}

func (d *Driver) sampleEngines() ([]load.VMSample, error) {
	var out []load.VMSample
	for _, url := range d.opts.EngineURLs {
		status, body, err := controlClient.GetTimeout(nil, url+"/v1/faults", controlTimeout)
		if err != nil || status != fasthttp.StatusOK {
			return nil, eris.Errorf("read engine states from %s: status %d: %v", url, status, err)
		}
		var vms []machines.Status[engine.Faults]
		if err := json.Unmarshal(body, &vms); err != nil {
			return nil, eris.Wrap(err, url)
		}
		for _, v := range vms {
			alive := v.Reachable && !v.PoweredOff
			ready := alive && v.State == string(target.EngineReady)
			out = append(out, load.VMSample{VM: v.VM, FencingToken: v.FencingToken, Ready: ready, Alive: alive})
		}
	}
	return out, nil
}

// sampleDaemons reads the status of all daemons. Each pool is taken from its home,
// which alone knows the state of the pool's replicas. If the home does not respond, the
// sample has no complete group of the pool.
func (d *Driver) sampleDaemons() []load.VMSample {
	var out []load.VMSample
	for _, url := range d.opts.OperatorURLs {
		s, err := d.status(url)
		if err != nil {
			continue
		}
		for _, p := range s.Pools {
			if p.Home == s.Daemon {
				out = append(out, poolSamples(p)...)
			}
		}
	}
	return out
}

func (d *Driver) status(url string) (operate.Status, error) {
	c, err := admin.NewClient(url, d.opts.OperatorToken)
	if err != nil {
		return operate.Status{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	return c.Status(ctx)
}

func poolSamples(p operate.Pool) []load.VMSample {
	complete := make(map[string]struct{})
	for _, r := range p.Replicas {
		// A draining replica is complete: operators have withdrawn it, or its
		// group is about to end.
		if r.Status == replica.Serving.String() || r.Status == replica.Draining.String() {
			complete[r.ID] = struct{}{}
		}
	}
	var out []load.VMSample
	for _, g := range p.Groups {
		token, err := strconv.ParseUint(g.FencingToken, 10, 64)
		if err != nil {
			continue
		}
		_, ready := complete[replica.GroupID(token)]
		for _, vm := range g.Members {
			out = append(out, load.VMSample{VM: vm, FencingToken: token, Ready: ready, Alive: true})
		}
	}
	return out
}
