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

// maxFirstAttemptAge is the age up to which a request whose key could not be
// looked up is taken for the first attempt with that key.
const maxFirstAttemptAge = 2 * time.Second

// IdempotencyKeys decides which attempt with an idempotency key may run.
type IdempotencyKeys interface {
	// Claim claims the key for a new attempt, or returns the recorded result of an
	// earlier one.
	Claim(ctx context.Context, in once.Intent) (once.Decision, error)
	// Finish records the result of an attempt that may have been executed.
	Finish(attemptID string, r once.Result)
	// Abandon gives up the claim of an attempt that was not executed.
	Abandon(attemptID string)
}

// serveOnce serves a request that must run at most once. It claims the key before
// it acquires a grant: only a claim proves that no earlier attempt has run, so
// only after it may an error have outcome NotRun.
func (d *Dispatcher) serveOnce(ctx context.Context, j *job) (*Response, error) {
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	claim, err := d.opts.IdempotencyKeys.Claim(ctx, j.intent())
	if err != nil {
		return nil, err // Claim sets NotRun only if no attempt with the key has run
	}
	if claim.Verdict == once.Finished {
		return replayResult(j, claim.Result)
	}
	return d.serveClaimed(ctx, j, claim.Attempt)
}

// checkKey checks that a request to a route that is not idempotent has a key and
// a time of issue.
func checkKey(r *Request) error {
	if r.Key == "" {
		return fault.Invalid(target.HeaderIdempotencyKey, "send a key that is unique to this order", "requests of this kind run at most once and need an idempotency key")
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

// withUnclaimedOutcome returns the error of a request that was refused before its
// key could be claimed. This attempt did not run, but an earlier attempt with
// the same key may have, so NotRun becomes Unknown unless the request is too
// recent to have had an earlier attempt.
func withUnclaimedOutcome(r *Request, err error) error {
	e := fault.As(err)
	if e.Outcome != fault.NotRun || e.Kind == fault.Conflict || time.Since(r.IssuedAt) < maxFirstAttemptAge {
		return e
	}
	return e.WithOutcome(fault.Unknown)
}

// serveClaimed executes the request under its claimed key. It retries only after
// attempts that are known not to have run.
func (d *Dispatcher) serveClaimed(ctx context.Context, j *job, attemptID string) (*Response, error) {
	for {
		resp, err := d.sendOnce(ctx, j, attemptID)
		if err == nil {
			return resp, nil
		}
		if fault.As(err).Outcome != fault.NotRun {
			d.opts.IdempotencyKeys.Finish(attemptID, once.Result{Outcome: fault.Unknown})
			return nil, err
		}
		if err := d.prepareRetry(ctx, j, err); err != nil {
			d.opts.IdempotencyKeys.Abandon(attemptID)
			return nil, err
		}
	}
}

// sendOnce makes one attempt and records its result under the key.
func (d *Dispatcher) sendOnce(ctx context.Context, j *job, attemptID string) (*Response, error) {
	at, err := d.acquire(ctx, j)
	if err != nil {
		return nil, err
	}
	if err := at.send(ctx, 0, true); err != nil {
		return nil, err
	}
	resp, err := d.readComplete(j, at)
	if err != nil {
		return nil, err
	}
	d.opts.IdempotencyKeys.Finish(attemptID, once.Result{
		Outcome: fault.Ran, Status: resp.Status, ContentType: resp.ContentType, Body: resp.Body, Replica: resp.Replica,
	})
	return resp, nil
}

// readComplete reads a response to its end. It converts a token stream into one
// JSON body, so that the result can be recorded.
func (d *Dispatcher) readComplete(j *job, at *attempt) (*Response, error) {
	if j.generate == nil || at.resp.Status != statusOK {
		return d.bufferResponse(j, at)
	}
	var text strings.Builder
	for delivered := 0; ; {
		ev, err := at.readExpected(delivered)
		if err != nil {
			at.abort(err)
			return nil, fault.As(err).WithOutcome(fault.Unknown)
		}
		if ev.End != nil {
			at.complete()
			return completion(j, at, text.String(), ev.End.Tokens)
		}
		delivered = ev.Index
		text.WriteString(ev.Token.Text)
	}
}

// Completion is the JSON body of a response to a generate request that is not streamed.
type Completion struct {
	RequestID string `json:"request_id"`
	Text      string `json:"text"`
	Tokens    int    `json:"tokens"`
}

func completion(j *job, at *attempt, text string, n int) (*Response, error) {
	body, err := json.Marshal(Completion{RequestID: j.req.ID, Text: text, Tokens: n})
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "report this with the daemon's log", "encode the completion of request %s", j.req.ID).WithOutcome(fault.Ran)
	}
	return &Response{
		RequestID: j.req.ID, Outcome: fault.Ran, Replica: at.grant.Replica,
		Status: statusOK, ContentType: "application/json", Body: body,
	}, nil
}

// replayResult returns the recorded result of an earlier attempt.
func replayResult(j *job, r *once.Result) (*Response, error) {
	switch {
	case r == nil || r.Outcome != fault.Ran:
		return nil, fault.New(fault.Interrupted, "look at the target's records before sending it with a new key", "an earlier attempt with this key was sent and its response was lost")
	case r.Omitted:
		return nil, fault.New(fault.Conflict, "look its result up at the target", "the request ran; its response was too large to be recorded").WithOutcome(fault.Ran)
	}
	return &Response{
		RequestID: j.req.ID, Outcome: fault.Ran, Replica: r.Replica, Replayed: true,
		Status: r.Status, ContentType: r.ContentType, Body: r.Body,
	}, nil
}
