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
	statusOK          = 200
	statusServerError = 500
)

// attempt is one send of a request to a replica, under one grant.
type attempt struct {
	d           *Dispatcher
	j           *job
	id          string
	grant       limit.Grant
	resp        *target.Response
	sentAt      time.Time
	timeToFirst time.Duration // from sentAt to the first token; 0 until it arrives
}

// startAttempt acquires a grant and sends the request under it. resumeFrom is the
// number of tokens that the caller already has.
func (d *Dispatcher) startAttempt(ctx context.Context, j *job, resumeFrom int) (*attempt, error) {
	at, err := d.acquire(ctx, j)
	if err != nil {
		return nil, err
	}
	if err := at.send(ctx, resumeFrom, false); err != nil {
		return nil, err
	}
	return at, nil
}

// acquire acquires a grant from the first of the route's pools that has one. If a
// pool has no replica besides those that already failed the request, they are
// allowed again.
func (d *Dispatcher) acquire(ctx context.Context, j *job) (*attempt, error) {
	var refusal error
	for _, pool := range j.route.Pools {
		at, err := d.acquireFromPool(ctx, j, pool, j.retryState.Exclude)
		if fault.Is(err, fault.Unavailable) && len(j.retryState.Exclude) > 0 {
			at, err = d.acquireFromPool(ctx, j, pool, nil)
		}
		if err == nil {
			return at, nil
		}
		refusal = err
	}
	return nil, fault.As(refusal).WithOutcome(fault.NotRun)
}

func (d *Dispatcher) acquireFromPool(ctx context.Context, j *job, pool string, exclude []string) (*attempt, error) {
	id := ids.New()
	g, err := d.opts.Grants.Acquire(ctx, limit.Request{
		ID: id, Pool: pool, Workspace: j.req.Workspace, Priority: j.route.Priority,
		Prefix: j.prefixHash, Deadline: j.deadline, Exclude: exclude, AvoidDomains: j.avoidDomains, Exclusive: j.exclusive,
	})
	if err != nil {
		return nil, err
	}
	return &attempt{d: d, j: j, id: id, grant: g}, nil
}

// checkBeforeSend checks that the request may still be sent under its grant. While
// the request waited for the grant its deadline may have passed, the grant may
// have expired, and an operator may have withdrawn the failure domain.
func (at *attempt) checkBeforeSend() error {
	now := time.Now()
	if !now.Before(at.j.deadline) {
		return fault.Refuse(fault.Timeout, "allow a longer deadline", "deadline passed before the request was sent")
	}
	if !at.grant.Usable(now) {
		return fault.Refuse(fault.Unavailable, "try again", "grant on %s expired before use", at.grant.Replica)
	}
	row, ok := at.d.opts.Tables.Pool(at.grant.Pool)
	if !ok || row.Pool.IsWithdrawn(at.grant.FailureDomain) {
		return fault.Refuse(fault.Unavailable, "try again", "replica %s was withdrawn", at.grant.Replica)
	}
	return at.d.opts.ServingStatus.MayServe()
}

// send sends the request and reads the head of the response. On an error it has
// released the grant.
func (at *attempt) send(ctx context.Context, resumeFrom int, atMostOnce bool) error {
	if err := at.checkBeforeSend(); err != nil {
		at.release(limit.Cancelled)
		return err
	}
	at.sentAt = time.Now()
	at.d.opts.Quarantine.BeginAttempt(at.grant, at.j.fingerprints)
	resp, err := at.d.opts.Targets.Do(ctx, at.buildRequest(resumeFrom, atMostOnce))
	if err != nil {
		at.releaseAfterError(err)
		return err
	}
	at.resp = resp
	if resp.Status >= statusServerError {
		err := fault.New(fault.Interrupted, "check the target", "replica %s answered with status %d", at.grant.Replica, resp.Status)
		at.abort(err)
		return err
	}
	return nil
}

func (at *attempt) buildRequest(resumeFrom int, atMostOnce bool) *target.Request {
	r := at.j.req
	out := &target.Request{
		Addr: at.grant.Addr, Method: r.Method, Path: r.Path, ID: r.ID, AttemptID: at.id, IdempotencyKey: r.Key,
		Workspace: r.Workspace, Priority: at.j.route.Priority,
		ContentType: r.ContentType, Body: r.Body, Deadline: at.j.deadline, AtMostOnce: atMostOnce,
		Resent: at.j.retryState.RetriesMade > 0,
	}
	if at.j.generate != nil {
		g := *at.j.generate
		g.ResumeFrom = resumeFrom
		out.Body, _ = json.Marshal(g) // a struct of strings and numbers always encodes
		out.ContentType = "application/json"
	}
	return out
}

// complete ends an attempt whose response was read to its end.
func (at *attempt) complete() {
	_ = at.resp.Close()
	at.release(limit.OK)
}

// abort ends an attempt whose response failed before its end.
func (at *attempt) abort(err error) {
	at.resp.Abort(err)
	at.releaseAfterError(err)
}

// cancel ends an attempt whose caller has closed the stream.
func (at *attempt) cancel(err error) {
	at.resp.Abort(err)
	at.release(limit.Cancelled)
}

// releaseAfterError releases the grant with the outcome that err implies for the replica.
func (at *attempt) releaseAfterError(err error) {
	at.release(at.classifyFailure(fault.As(err)))
}

// classifyFailure returns the outcome to report for the replica of a failed
// attempt. A replica that may have failed the request is excluded from the next
// attempts. A replica that timed out on one connection but answers on a new one
// is not excluded; only its idle connections are closed.
func (at *attempt) classifyFailure(e *fault.Error) limit.Outcome {
	if e.Outcome == fault.NotRun {
		at.j.retryState.Replica = at.grant.Replica
		return notRunOutcome(e.Kind)
	}
	if time.Now().After(at.j.deadline) && e.Kind == fault.Timeout {
		return limit.Failed // the deadline passed, which says nothing about the replica
	}
	if at.targetCrashed() {
		at.d.opts.Quarantine.ReportCrash(at.grant)
		at.j.avoidDomains = append(at.j.avoidDomains, at.grant.FailureDomain)
		at.j.retryState.Replica = at.grant.Replica
		return limit.Crashed
	}
	at.d.opts.Targets.CloseIdle(at.grant.Addr)
	if e.Kind != fault.Timeout {
		at.j.retryState.Replica = at.grant.Replica
	}
	return limit.Cancelled // the target may still be working on the request
}

// notRunOutcome maps the error kind of an attempt that did not run to an outcome.
func notRunOutcome(k fault.Kind) limit.Outcome {
	switch k {
	case fault.Overload:
		return limit.Overloaded
	case fault.Unavailable:
		return limit.Crashed
	default:
		return limit.Failed
	}
}

func (at *attempt) release(o limit.Outcome) {
	r := limit.Result{Outcome: o, FirstToken: at.timeToFirst}
	if !at.sentAt.IsZero() {
		r.Duration = time.Since(at.sentAt)
		at.d.opts.Quarantine.EndAttempt(at.grant, o == limit.OK)
	}
	at.d.opts.Grants.Release(at.grant, r)
}
