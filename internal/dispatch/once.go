package dispatch

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/once"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// freshFor is the age up to which a keyed request is taken for the first with
// its key, when its key could not even be asked for.
const freshFor = 2 * time.Second

// IdempotencyKeys decides which attempt of a keyed request may run.
type IdempotencyKeys interface {
	Claim(ctx context.Context, in once.Intent) (once.Decision, error)
	Finish(attempt string, r once.Result)
	Abandon(attempt string)
}

// once serves a request that must run at most once. The key is claimed before
// anything else: only then is it known that no other attempt has run, and a
// refusal may say so.
func (d *Dispatcher) once(ctx context.Context, j *job) (*Response, error) {
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	dec, err := d.opts.IdempotencyKeys.Claim(ctx, j.intent())
	if err != nil {
		return nil, err // keyed has found out whether not run is true of the key
	}
	if dec.Verdict == once.Finished {
		return replay(j, dec.Result)
	}
	return d.claimed(ctx, j, dec.Attempt)
}

// checkKey checks what a request must carry on a route that runs it once.
func checkKey(r *Request) error {
	if r.Key == "" {
		return fault.Invalid(target.HeaderIdempotencyKey, "send a key that is unique to this order", "requests of this kind run at most once and need a key")
	}
	if r.IssuedAt.IsZero() {
		return fault.Invalid("X-Issued-At", "send the time of the first attempt in Unix milliseconds", "requests of this kind need the time of issue")
	}
	return nil
}

func (j *job) intent() once.Intent {
	r := j.req
	return once.Intent{
		Key: r.Key, Workspace: r.Workspace, Route: j.route.Name, IssuedAt: r.IssuedAt,
		Fingerprint: once.FingerprintOf([]byte(r.Method), []byte(r.Path), r.Body),
	}
}

// unclaimed returns the error of a request that was refused before its key could
// be claimed. This attempt did not run; but unless the request is fresh, an
// earlier attempt with the same key may have, and "not run" might be false.
func unclaimed(r *Request, err error) error {
	e := fault.As(err)
	if e.Outcome != fault.NotRun || e.Kind == fault.Conflict || time.Since(r.IssuedAt) < freshFor {
		return e
	}
	return e.WithOutcome(fault.Unknown)
}

// claimed runs the request for the attempt that holds its key, again only
// after tries that provably did not run.
func (d *Dispatcher) claimed(ctx context.Context, j *job, attempt string) (*Response, error) {
	for {
		a, err := d.single(ctx, j, attempt)
		if err == nil {
			return a, nil
		}
		if fault.As(err).Outcome != fault.NotRun {
			d.opts.IdempotencyKeys.Finish(attempt, once.Result{Outcome: fault.Unknown})
			return nil, err
		}
		if err := d.next(ctx, j, err); err != nil {
			d.opts.IdempotencyKeys.Abandon(attempt)
			return nil, err
		}
	}
}

// single sends the request once and records its result.
func (d *Dispatcher) single(ctx context.Context, j *job, attempt string) (*Response, error) {
	t, err := d.acquire(ctx, j)
	if err != nil {
		return nil, err
	}
	if err := t.send(ctx, 0, true); err != nil {
		return nil, err
	}
	a, err := d.whole(j, t)
	if err != nil {
		return nil, err
	}
	d.opts.IdempotencyKeys.Finish(attempt, once.Result{
		Outcome: fault.Ran, Status: a.Status, ContentType: a.ContentType, Body: a.Body, Replica: a.Replica,
	})
	return a, nil
}

// whole reads an answer to its end; a token stream becomes one JSON body, so
// that it can be recorded.
func (d *Dispatcher) whole(j *job, t *try) (*Response, error) {
	if j.generate == nil || t.resp.Status != statusOK {
		return d.buffer(j, t)
	}
	s := &tokens{d: d, j: j, cur: t}
	var text strings.Builder
	for {
		ev, err := s.read()
		if err != nil {
			t.fail(err)
			return nil, fault.As(err).WithOutcome(fault.Unknown)
		}
		if ev.End != nil {
			t.succeed()
			return completion(j, t, text.String(), ev.End.Tokens)
		}
		s.delivered = ev.Index
		text.WriteString(ev.Token.Text)
	}
}

// Completion is the body of a token request's answer that is not streamed.
type Completion struct {
	RequestID string `json:"request_id"`
	Text      string `json:"text"`
	Tokens    int    `json:"tokens"`
}

func completion(j *job, t *try, text string, n int) (*Response, error) {
	body, err := json.Marshal(Completion{RequestID: j.req.ID, Text: text, Tokens: n})
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "report this with the daemon's log", "encode the answer").WithOutcome(fault.Ran)
	}
	return &Response{
		RequestID: j.req.ID, Outcome: fault.Ran, Replica: t.grant.Replica,
		Status: statusOK, ContentType: "application/json", Body: body,
	}, nil
}

// replay answers with the recorded result of an earlier attempt.
func replay(j *job, r *once.Result) (*Response, error) {
	switch {
	case r == nil || r.Outcome != fault.Ran:
		return nil, fault.New(fault.Interrupted, "look at the target's records before sending it with a new key", "an earlier attempt was sent and its answer was lost")
	case r.Omitted:
		return nil, fault.New(fault.Conflict, "look its result up at the target", "the request ran; its answer was too large to be kept").WithOutcome(fault.Ran)
	}
	return &Response{
		RequestID: j.req.ID, Outcome: fault.Ran, Replica: r.Replica, Replayed: true,
		Status: r.Status, ContentType: r.ContentType, Body: r.Body,
	}, nil
}
