package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/fault"
)

const (
	// firstPatience multiplies the predicted time to the first event, gapPatience
	// the predicted pause; firstAim and gapAim do so with the route's aims. The
	// longer of the two passes before a silent group is suspected.
	firstPatience = 3
	gapPatience   = 4
	firstAim      = 1.5
	gapAim        = 1.0
	// busyPatience is how long a stream may be silent while its engine sends
	// others; clients leave after two seconds at the earliest.
	busyPatience = 1300 * time.Millisecond
	// recheck is the pause before a silence is judged again.
	recheck = 150 * time.Millisecond
	// regroup is how long a stream that was cut waits for an engine to go on at.
	regroup = 800 * time.Millisecond
	// readBytes is the size of one read of a stream.
	readBytes = 4 << 10
)

// Reasons for the end of a run of a stream.
var (
	errEventMissing = errors.New("an event is missing")
	errTornEvent    = errors.New("the stream ended within an event")
	errClientGone   = errors.New("the client has left")
)

// stream serves a series of events, across several engines if need be.
func (j *job) stream() {
	ev := &events{}
	ev.resumeAt(j.req.LastEventID)
	begun := false
	for {
		choice, refusal := j.chooseFor(begun)
		if refusal != nil {
			j.endStream(begun, *refusal)
			return
		}
		err := j.run(choice, ev, &begun)
		if err == nil || errors.Is(err, errClientGone) || j.ctx.Err() != nil {
			return
		}
		ran := fault.As(err).Outcome != fault.NotRun
		if !j.mayRepeat(ran, err.Error()) {
			j.endStream(begun, j.failure(err, ran))
			return
		}
		ev.restart()
		if begun {
			j.note.Resumes++
		}
	}
}

// chooseFor picks an engine; a stream that the client has part of waits a
// while for one.
func (j *job) chooseFor(begun bool) (balance.Choice, *Refusal) {
	until := time.Now().Add(regroup)
	for {
		changed := j.o.Directory.Changed()
		choice, refusal := j.choose()
		if refusal == nil || !begun || refusal.Cause != NoEngine {
			return choice, refusal
		}
		left := time.Until(until)
		if left <= 0 {
			return choice, refusal
		}
		t := time.NewTimer(min(left, recheck))
		select {
		case <-changed:
		case <-t.C:
		case <-j.ctx.Done():
		}
		t.Stop()
		if j.ctx.Err() != nil {
			return choice, refusal
		}
	}
}

// endStream ends a stream that can't be finished.
func (j *job) endStream(begun bool, r Refusal) {
	if !begun {
		j.giveUp(r)
		return
	}
	j.note.Outcome = "cut"
	j.log("stream cut", "cause", r.Cause.String(), "reason", r.Reason)
	j.w.Abort()
}

// run is one run of the stream at one engine. It returns nil once the client
// has the whole answer.
func (j *job) run(c balance.Choice, ev *events, begun *bool) error {
	e := c.Candidate.Head
	ctx, cancel := context.WithDeadline(j.ctx, j.end)
	defer cancel()
	watch := j.watch(c, cancel)
	defer watch.stop()
	sent := time.Now()
	last := ev.lastID()
	answer, err := j.send(ctx, c, last)
	defer j.o.Tracker.End(e)
	if err != nil {
		j.o.Tracker.RecordOutcome(e, false, 0, nil, time.Now())
		return watch.explain(j.timed(ctx, err))
	}
	defer answer.Close()
	if answer.NotRun() {
		j.o.Tracker.RecordOutcome(e, false, 0, answer.Load(), time.Now())
		return fault.Refuse(fault.Overload, "use another engine", "engine %s refused with status %d", e.ID, answer.Status())
	}
	if answer.Status() != http.StatusOK {
		return j.failedStream(e, answer, *begun)
	}
	err = j.pass(ctx, e, answer, ev, begun, watch)
	j.o.Tracker.RecordOutcome(e, err == nil, time.Since(sent), answer.Load(), time.Now())
	if err != nil && !errors.Is(err, errClientGone) {
		return watch.explain(j.timed(ctx, fault.Wrap(fault.Interrupted, err, "check the engine", "the stream of %s broke off", e.ID)))
	}
	return err
}

// failedStream handles an engine's own failure: it is passed on unless another
// engine may try.
func (j *job) failedStream(e *catalog.Engine, answer Response, begun bool) error {
	j.o.Tracker.RecordOutcome(e, false, 0, answer.Load(), time.Now())
	body, err := readWhole(answer)
	failed := answer.Status() >= http.StatusInternalServerError
	if err != nil || begun || (failed && j.route.Repeatable() && j.runs+1 < j.route.MaxAttempts) {
		return fault.New(fault.Interrupted, "check the engine", "engine %s answered a stream with status %d", e.ID, answer.Status())
	}
	j.deliver(&whole{answer.Status(), answer.Header(), body})
	return nil
}

// pass hands events on as they come.
func (j *job) pass(ctx context.Context, e *catalog.Engine, answer Response, ev *events, begun *bool, watch *watchdog) error {
	buf := make([]byte, readBytes)
	first := true
	for {
		n, err := answer.Read(buf)
		if n > 0 {
			now := time.Now()
			watch.seen(now)
			j.o.Tracker.Progress(e, now)
			out, ok := ev.add(buf[:n])
			if first && len(out) > 0 {
				first = false
				j.o.Tracker.FirstEvent(e, j.req.Work)
			}
			if werr := j.emit(out, answer, begun, now); werr != nil {
				return werr
			}
			if !ok {
				return errEventMissing
			}
		}
		switch {
		case err == nil:
		case !errors.Is(err, io.EOF):
			return err
		case ev.partial():
			return errTornEvent
		default:
			return j.complete(answer, begun)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// complete ends the answer; one without any event still has its head.
func (j *job) complete(answer Response, begun *bool) error {
	if !*begun {
		*begun = true
		if err := j.w.WriteHeader(answer.Status(), answer.Header(), 0); err != nil {
			return errClientGone
		}
	}
	j.note.Outcome = "answered"
	return nil
}

// emit writes whole events to the client, after the head before the first one.
func (j *job) emit(out []byte, answer Response, begun *bool, now time.Time) error {
	if len(out) == 0 {
		return nil
	}
	if !*begun {
		*begun = true
		j.note.TimeToFirst = now.Sub(j.req.Arrived)
		if err := j.w.WriteHeader(answer.Status(), answer.Header(), -1); err != nil {
			return errClientGone
		}
	}
	if _, err := j.w.Write(out); err != nil {
		return errClientGone
	}
	return nil
}

// watchdog ends a run whose engine stands still.
type watchdog struct {
	j       *job
	engine  *catalog.Engine
	cancel  context.CancelFunc
	gap     time.Duration
	last    atomic.Int64 // Unix nanoseconds of the monotonic base below
	started time.Time
	first   atomic.Bool
	stalled atomic.Bool
	// canRepeat is whether another engine may go on.
	canRepeat bool
	timer     *time.Timer
	patience  time.Duration
}

// watch starts the watchdog of a run.
func (j *job) watch(c balance.Choice, cancel context.CancelFunc) *watchdog {
	w := &watchdog{
		j: j, engine: c.Candidate.Head, cancel: cancel, started: time.Now(),
		canRepeat: j.route.Repeatable() && j.runs+1 < j.route.MaxAttempts,
		patience:  max(firstPatience*c.Predicted.FirstEvent, time.Duration(firstAim*float64(j.route.TargetLatency))),
		gap:       max(gapPatience*c.Predicted.Gap, time.Duration(gapAim*float64(j.route.MaxEventGap))),
	}
	w.timer = time.AfterFunc(w.patience, w.judge)
	return w
}

// seen notes that the engine sent something.
func (w *watchdog) seen(now time.Time) {
	w.last.Store(int64(now.Sub(w.started)))
	w.first.Store(true)
}

func (w *watchdog) stop() { w.timer.Stop() }

// judge runs when a silence may have lasted too long.
func (w *watchdog) judge() {
	now := time.Now()
	limit := w.patience
	if w.first.Load() {
		limit = w.gap
	}
	silent := now.Sub(w.started) - time.Duration(w.last.Load())
	if silent < limit {
		w.timer.Reset(limit - silent)
		return
	}
	others := now.Sub(w.j.o.Tracker.LastProgress(w.engine))
	if others < limit && silent < busyPatience {
		w.timer.Reset(recheck)
		return
	}
	if others >= limit && w.j.o.Tracker.Suspect(w.engine.ID, w.engine.Membership.Group, now) {
		w.j.log("engine suspected", "engine", w.engine.ID, "group", w.engine.Membership.Group.Name, "silent_ms", silent.Milliseconds(), "limit_ms", limit.Milliseconds())
		w.j.o.OnSuspect(w.engine.ID, w.engine.Membership.Group)
	}
	if !w.canRepeat {
		w.timer.Reset(recheck)
		return
	}
	w.stalled.Store(true)
	w.cancel()
}

// explain names the stall as the reason of an error that it caused.
func (w *watchdog) explain(err error) error {
	if !w.stalled.Load() {
		return err
	}
	return fault.Wrap(fault.Timeout, err, "check the group's members", "engine %s stands still", w.engine.ID)
}
