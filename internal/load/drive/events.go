package drive

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/admin"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/load"
	"github.com/ragwortquay/ragwortquay/internal/operate"
	"github.com/ragwortquay/ragwortquay/internal/tomlfile"
)

// spreadTimeout bounds the wait until a move is in force everywhere.
const spreadTimeout = 10 * time.Second

// runEvents carries out the plan's events in order of time. One that fails is
// noted and does not end the run.
func (d *Driver) runEvents(ctx context.Context) error {
	events := slices.Clone(d.opts.Plan.Events)
	slices.SortStableFunc(events, func(a, b load.Event) int { return cmp.Compare(a.At, b.At) })
	for _, e := range events {
		if !d.waitUntil(ctx, time.Duration(e.At)) {
			return nil
		}
		d.note(d.carryOut(ctx, e))
		d.look()
	}
	return nil
}

func (d *Driver) note(r load.EventResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, r)
}

func (d *Driver) carryOut(ctx context.Context, e load.Event) load.EventResult {
	at := time.Since(d.start)
	var answer string
	var err error
	if e.IsEdit() {
		answer, err = d.move(ctx, e)
	} else {
		answer, err = d.post(e)
	}
	r := load.EventResult{Name: e.Name, AtS: at.Seconds(), Response: answer}
	r.TookMs = float64((time.Since(d.start) - at).Microseconds()) / float64(time.Millisecond/time.Microsecond)
	if err != nil {
		r.Error = err.Error()
	}
	return r
}

// post carries out a fault.
func (d *Driver) post(e load.Event) (string, error) {
	url, _ := d.server(e.Server) // New has checked it
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url + e.Path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyString(e.Body)
	if err := controlClient.DoTimeout(req, resp, controlTimeout); err != nil {
		return "", eris.Wrap(err, e.Name)
	}
	if resp.StatusCode() >= fasthttp.StatusBadRequest {
		return "", eris.Errorf("status %d: %s", resp.StatusCode(), resp.Body())
	}
	return fmt.Sprintf("status %d", resp.StatusCode()), nil
}

// move carries out an operator's move through the first daemon that takes it.
// An edit whose outcome is unknown is not tried again.
func (d *Driver) move(ctx context.Context, e load.Event) (string, error) {
	err := eris.New("no operators' server")
	for _, url := range d.opts.OperatorURLs {
		var answer string
		if answer, err = d.moveThrough(ctx, url, e); err == nil {
			return answer, nil
		}
		if fault.As(err).Outcome != fault.NotRun {
			return "", err
		}
	}
	return "", err
}

func (d *Driver) moveThrough(ctx context.Context, url string, e load.Event) (string, error) {
	c, err := admin.NewClient(url, d.opts.OperatorToken)
	if err != nil {
		return "", err
	}
	readCtx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	tables, err := c.Tables(readCtx)
	if err != nil {
		return "", fault.As(err).WithOutcome(fault.NotRun) // reading changes nothing
	}
	editCtx, cancel := context.WithTimeout(ctx, 2*spreadTimeout)
	defer cancel()
	a, err := c.Apply(editCtx, operate.ApplyRequest{
		RecordID: ids.New(), Note: e.Name, Changes: changes(tables, e), Wait: tomlfile.Duration(spreadTimeout),
	})
	if err != nil {
		return "", err
	}
	if !a.Accepted {
		return "", fault.New(fault.Conflict, "leave the pool alone during the run", "refused: %s", a.Reason).WithOutcome(fault.Ran)
	}
	answer := "accepted at " + a.Position
	if a.Propagation != nil {
		answer += fmt.Sprintf(", in force on %d of %d", a.Propagation.Applied, a.Propagation.Daemons)
	}
	return answer, nil
}

// changes sets the withdrawn failure domains of the event's pools.
func changes(t operate.Tables, e load.Event) []operate.Change {
	var out []operate.Change
	for _, row := range t.Pools {
		if !slices.Contains(e.Pools, row.Pool.Name) {
			continue
		}
		p := row.Pool
		p.Withdrawn = e.Withdrawn
		out = append(out, operate.Change{Base: strconv.FormatUint(row.Stamp.Revision, 10), SetPool: &p})
	}
	return out
}
