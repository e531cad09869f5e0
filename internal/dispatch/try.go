package dispatch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

const (
	statusOK         = 200
	statusServerSide = 500
)

// try is one attempt under one grant.
type try struct {
	d     *Dispatcher
	j     *job
	id    string
	grant limit.Grant
	resp  *target.Response
	sent  time.Time
	first time.Duration // from sending to the first token; 0 before it
}

// attempt acquires a grant, checks it again and sends. from is the number of
// tokens that the caller already has.
func (d *Dispatcher) attempt(ctx context.Context, j *job, from int) (*try, error) {
	t, err := d.acquire(ctx, j)
	if err != nil {
		return nil, err
	}
	if err := t.send(ctx, from, false); err != nil {
		return nil, err
	}
	return t, nil
}

// acquire asks the route's pools in their order for a grant. Once every
// replica of a pool has failed the request, any of them may try again.
func (d *Dispatcher) acquire(ctx context.Context, j *job) (*try, error) {
	var refusal error
	for _, pool := range j.route.Pools {
		t, err := d.ask(ctx, j, pool, j.state.Exclude)
		if fault.Is(err, fault.Unavailable) && len(j.state.Exclude) > 0 {
			t, err = d.ask(ctx, j, pool, nil)
		}
		if err == nil {
			return t, nil
		}
		refusal = err
	}
	return nil, fault.As(refusal).WithOutcome(fault.NotRun)
}

func (d *Dispatcher) ask(ctx context.Context, j *job, pool string, exclude []string) (*try, error) {
	id := ids.New()
	g, err := d.opts.Grants.Acquire(ctx, limit.Request{
		ID: id, Pool: pool, Workspace: j.req.Workspace, Priority: j.route.Priority,
		Prefix: j.prefix, Deadline: j.deadline, Exclude: exclude, AvoidDomains: j.avoid, Exclusive: j.alone,
	})
	if err != nil {
		return nil, err
	}
	return &try{d: d, j: j, id: id, grant: g}, nil
}

// check looks at the grant once more, just before sending: time may have
// passed, and operators may have withdrawn the failure domain.
func (t *try) check() error {
	now := time.Now()
	if !now.Before(t.j.deadline) {
		return fault.Refuse(fault.Timeout, "allow a longer deadline", "deadline passed before the request was sent")
	}
	if !t.grant.Usable(now) {
		return fault.Refuse(fault.Unavailable, "try again", "grant on %s expired before use", t.grant.Replica)
	}
	row, ok := t.d.opts.Tables.Pool(t.grant.Pool)
	if !ok || row.Pool.IsWithdrawn(t.grant.FailureDomain) {
		return fault.Refuse(fault.Unavailable, "try again", "replica %s was withdrawn", t.grant.Replica)
	}
	return t.d.opts.ServingStatus.MayServe()
}

// send performs the exchange up to the answer's headers. On an error the grant
// has been given back.
func (t *try) send(ctx context.Context, from int, once bool) error {
	if err := t.check(); err != nil {
		t.release(limit.Cancelled)
		return err
	}
	t.sent = time.Now()
	t.d.opts.Quarantine.BeginAttempt(t.grant, t.j.prints)
	resp, err := t.d.opts.Targets.Do(ctx, t.request(from, once))
	if err != nil {
		t.blame(err)
		return err
	}
	t.resp = resp
	if resp.Status >= statusServerSide {
		err := fault.New(fault.Interrupted, "check the target", "target answered status %d", resp.Status)
		t.fail(err)
		return err
	}
	return nil
}

func (t *try) request(from int, once bool) *target.Request {
	r := t.j.req
	out := &target.Request{
		Addr: t.grant.Addr, Method: r.Method, Path: r.Path, ID: r.ID, AttemptID: t.id, IdempotencyKey: r.Key,
		Workspace: r.Workspace, Priority: t.j.route.Priority,
		ContentType: r.ContentType, Body: r.Body, Deadline: t.j.deadline, AtMostOnce: once,
	}
	if t.j.generate != nil {
		g := *t.j.generate
		g.ResumeFrom = from
		out.Body, _ = json.Marshal(g) // a struct of strings and numbers always encodes
		out.ContentType = "application/json"
	}
	return out
}

// succeed gives the grant back after a whole answer.
func (t *try) succeed() {
	_ = t.resp.Close()
	t.release(limit.OK)
}

// fail ends an attempt whose answer did not come whole.
func (t *try) fail(err error) {
	t.resp.Abort(err)
	t.blame(err)
}

// cancel ends an attempt that nobody waits for any more.
func (t *try) cancel(err error) {
	t.resp.Abort(err)
	t.release(limit.Cancelled)
}

// blame releases the grant with what the error says of the replica.
func (t *try) blame(err error) {
	t.release(t.charge(fault.As(err)))
}

// charge finds out what an attempt's error says of the replica. One that may
// have failed the request is left out of the next attempts; one that went
// silent on one connection and answers on a new one is not to blame, but its
// kept connections are given up.
func (t *try) charge(e *fault.Error) limit.Outcome {
	if e.Outcome == fault.NotRun {
		t.j.state.Replica = t.grant.Replica
		return refusalOf(e.Kind)
	}
	if time.Now().After(t.j.deadline) && e.Kind == fault.Timeout {
		return limit.Failed // out of time, which proves nothing
	}
	if t.gone() {
		t.d.opts.Quarantine.ReportCrash(t.grant)
		t.j.avoid = append(t.j.avoid, t.grant.FailureDomain)
		t.j.state.Replica = t.grant.Replica
		return limit.Crashed
	}
	t.d.opts.Targets.Forget(t.grant.Addr)
	if e.Kind != fault.Timeout {
		t.j.state.Replica = t.grant.Replica
	}
	return limit.Cancelled // the target may not know yet that nobody listens
}

// refusalOf maps the error of an attempt that did not run.
func refusalOf(k fault.Kind) limit.Outcome {
	switch k {
	case fault.Overload:
		return limit.Overloaded
	case fault.Unavailable:
		return limit.Crashed
	default:
		return limit.Failed
	}
}

func (t *try) release(o limit.Outcome) {
	r := limit.Result{Outcome: o, FirstToken: t.first}
	if !t.sent.IsZero() {
		r.Duration = time.Since(t.sent)
		t.d.opts.Quarantine.EndAttempt(t.grant, o == limit.OK)
	}
	t.d.opts.Grants.Release(t.grant, r)
}
