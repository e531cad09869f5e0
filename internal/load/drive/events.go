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

// propagationTimeout bounds the wait until the daemons have applied an edit.
const propagationTimeout = 10 * time.Second

// runEvents runs the plan's events ordered by time. A failed event is recorded and does
// not end the run.
func (d *Driver) runEvents(ctx context.Context) error {
	events := slices.Clone(d.opts.Plan.Events)
	slices.SortStableFunc(events, func(a, b load.Event) int { return cmp.Compare(a.At, b.At) })
	for _, e := range events {
		if !d.waitUntil(ctx, time.Duration(e.At)) {
			return nil
		}
		d.addEventResult(d.runEvent(ctx, e))
		d.sampleGroups()
	}
	return nil
}

func (d *Driver) addEventResult(r load.EventResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, r)
}

func (d *Driver) runEvent(ctx context.Context, e load.Event) load.EventResult {
	at := time.Since(d.start)
	var response string
	var err error
	if e.IsEdit() {
		response, err = d.applyEdit(ctx, e)
	} else {
		response, err = d.postEvent(e)
	}
	r := load.EventResult{Name: e.Name, AtS: at.Seconds(), Response: response}
	r.TookMs = float64((time.Since(d.start) - at).Microseconds()) / float64(time.Millisecond/time.Microsecond)
	if err != nil {
		r.Error = err.Error()
	}
	return r
}

// postEvent sends the HTTP request of a fault event.
func (d *Driver) postEvent(e load.Event) (string, error) {
	url, _ := d.serverURL(e.Server) // New checked that the server exists
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

// applyEdit applies an edit through the first daemon that accepts it. An edit whose
// outcome is unknown is not sent again.
func (d *Driver) applyEdit(ctx context.Context, e load.Event) (string, error) {
	err := eris.New("no operators' server configured")
	for _, url := range d.opts.OperatorURLs {
		var response string
		if response, err = d.applyEditThrough(ctx, url, e); err == nil {
			return response, nil
		}
		if fault.As(err).Outcome != fault.NotRun {
			return "", err
		}
	}
	return "", err
}

func (d *Driver) applyEditThrough(ctx context.Context, url string, e load.Event) (string, error) {
	c, err := admin.NewClient(url, d.opts.OperatorToken)
	if err != nil {
		return "", err
	}
	readCtx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	tables, err := c.Tables(readCtx)
	if err != nil {
		return "", fault.As(err).WithOutcome(fault.NotRun) // a failed read has changed nothing
	}
	editCtx, cancel := context.WithTimeout(ctx, 2*propagationTimeout)
	defer cancel()
	applied, err := c.Apply(editCtx, operate.ApplyRequest{
		RecordID: ids.New(), Note: e.Name, Changes: withdrawalChanges(tables, e), Wait: tomlfile.Duration(propagationTimeout),
	})
	if err != nil {
		return "", err
	}
	if !applied.Accepted {
		return "", fault.New(fault.Conflict, "leave the pool alone during the run", "refused: %s", applied.Reason).WithOutcome(fault.Ran)
	}
	response := "accepted at " + applied.Position
	if applied.Propagation != nil {
		response += fmt.Sprintf(", in force on %d of %d", applied.Propagation.Applied, applied.Propagation.Daemons)
	}
	return response, nil
}

// withdrawalChanges returns the changes that set the withdrawn failure domains of the
// event's pools.
func withdrawalChanges(t operate.Tables, e load.Event) []operate.Change {
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
