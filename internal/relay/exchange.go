package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/fault"
)

const (
	// hedgeAim is the part of the aim after which a silent engine is left for
	// another one, if the request may be repeated.
	hedgeAim = 0.8
	// hedgeMean is the same as a multiple of the engine's mean time to answer.
	hedgeMean = 4
	// maxAnswerBytes bounds an answer that is held until it is whole.
	maxAnswerBytes = 16 << 20
)

// errTooLarge says that an answer can't be held.
var errTooLarge = errors.New("the answer is larger than what is held in memory")

// whole is an engine's answer with its body.
type whole struct {
	status int
	header map[string][]string
	body   []byte
}

// exchange serves a request whose answer is one body. The body is read to its
// end before the client gets any of it, so that a broken one can be repeated.
func (j *job) exchange() {
	var failed *whole
	for {
		choice, refusal := j.choose()
		if refusal != nil {
			j.settle(failed, *refusal)
			return
		}
		out, err := j.attempt(choice)
		switch {
		case j.ctx.Err() != nil:
			return
		case err == nil && out.status < http.StatusInternalServerError:
			j.deliver(out)
			return
		case err == nil:
			// The engine's own failure: it ran.
			if j.mayRepeat(true, "the engine failed") {
				failed = out
				continue
			}
			j.deliver(out)
			return
		}
		ran := fault.As(err).Outcome != fault.NotRun
		if !j.mayRepeat(ran, err.Error()) {
			j.settle(failed, j.failure(err, ran))
			return
		}
	}
}

// failure turns the error of the last attempt into a refusal.
func (j *job) failure(err error, ran bool) Refusal {
	if !ran {
		return Refusal{Cause: NoEngine, RetryAfter: j.comeBack(time.Until(j.end)), Reason: err.Error()}
	}
	if fault.Is(err, fault.Timeout) {
		return Refusal{Cause: TimedOut, Reason: err.Error()}
	}
	return Refusal{Cause: Failed, Reason: err.Error()}
}

// settle delivers an engine's own failure if there was one, else refuses.
func (j *job) settle(failed *whole, r Refusal) {
	if failed != nil {
		j.deliver(failed)
		return
	}
	j.giveUp(r)
}

func (j *job) deliver(out *whole) {
	j.note.TimeToFirst = time.Since(j.req.Arrived)
	j.note.Outcome = "answered"
	if err := j.w.WriteHeader(out.status, out.header, len(out.body)); err != nil {
		j.note.Outcome = "client_gone"
		return
	}
	if _, err := j.w.Write(out.body); err != nil {
		j.note.Outcome = "client_gone"
	}
}

// attempt sends the request once and reads the whole answer.
func (j *job) attempt(c balance.Choice) (*whole, error) {
	e := c.Candidate.Head
	ctx, cancel := context.WithDeadline(j.ctx, j.attemptEnd(c))
	defer cancel()
	began := time.Now()
	answer, err := j.send(ctx, c, "")
	defer j.o.Tracker.End(e)
	if err != nil {
		err = j.timed(ctx, err)
		j.o.Tracker.RecordOutcome(e, false, time.Since(began), nil, time.Now())
		return nil, err
	}
	defer answer.Close()
	if answer.NotRun() {
		j.o.Tracker.RecordOutcome(e, false, time.Since(began), answer.Load(), time.Now())
		return nil, fault.Refuse(fault.Overload, "use another engine", "engine %s refused with status %d", e.ID, answer.Status())
	}
	body, err := readWhole(answer)
	ok := err == nil && answer.Status() < http.StatusInternalServerError
	j.o.Tracker.RecordOutcome(e, ok, time.Since(began), answer.Load(), time.Now())
	if err != nil {
		return nil, j.timed(ctx, fault.Wrap(fault.Interrupted, err, "check the engine", "the answer of %s broke off", e.ID))
	}
	return &whole{answer.Status(), answer.Header(), body}, nil
}

// attemptEnd returns until when the engine is waited for: to the end of the
// request's time, or for a part of it if another engine may still be asked.
func (j *job) attemptEnd(c balance.Choice) time.Time {
	if j.route.Kind != catalog.Idempotent || j.runs+1 >= j.route.MaxAttempts {
		return j.end
	}
	wait := max(time.Duration(hedgeAim*float64(j.route.TargetLatency)), hedgeMean*c.Predicted.FirstEvent)
	soon := time.Now().Add(wait)
	if soon.After(j.end) {
		return j.end
	}
	return soon
}

// timed marks an error as a timeout if the attempt's time is over.
func (j *job) timed(ctx context.Context, err error) error {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return err
	}
	return fault.Wrap(fault.Timeout, err, "check the engine", "no answer in time").WithOutcome(fault.As(err).Outcome)
}

func readWhole(a Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswerBytes {
		return nil, errTooLarge
	}
	return body, nil
}
