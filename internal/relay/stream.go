package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/handover"
)

const (
	// These factors set the time without data after which a group is suspected.
	// Before the first event the limit is firstEventPredictedFactor times the
	// predicted time to it or firstEventTargetFactor times the route's target
	// latency, whichever is longer. After it the limit is gapPredictedFactor times
	// the predicted gap between events or gapTargetFactor times the route's
	// MaxEventGap, whichever is longer.
	firstEventPredictedFactor = 3
	gapPredictedFactor        = 4
	firstEventTargetFactor    = 1.5
	gapTargetFactor           = 1.0
	// busyStallTimeout is how long a stream may deliver no data while its engine
	// sends data on others. Clients disconnect after 2 s at the earliest.
	busyStallTimeout = 1300 * time.Millisecond
	// readBufferBytes is the maximum size of one read from a stream.
	readBufferBytes = 4 << 10
)

var (
	errBadStream    = errors.New("stream does not continue the part that the client has, or has a malformed or oversized event")
	errPartialEvent = errors.New("stream ended within an event")
	errShortStream  = errors.New("stream ended before the last event that the client has")
	errClientGone   = errors.New("client disconnected")
)

// streamLimits returns how long a stream at the chosen engine may be silent until its
// first event, and after it.
func (j *job) streamLimits(c balance.Choice) (first, gap time.Duration) {
	first = max(firstEventPredictedFactor*c.Predicted.FirstEvent, time.Duration(firstEventTargetFactor*float64(j.route.TargetLatency)))
	gap = max(gapPredictedFactor*c.Predicted.Gap, time.Duration(gapTargetFactor*float64(j.route.MaxEventGap)))
	return first, gap
}

// reportParts reports the parts of a stream as they come, until it ends.
func (a *attempt) reportParts(resp Response, reports chan<- report) error {
	buf := make([]byte, readBufferBytes)
	for {
		n, err := resp.Read(buf)
		if n > 0 {
			if err := a.reportPart(report{from: a, resp: resp, part: buf[:n]}, reports); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// reportPart reports a part and waits until it is consumed.
func (a *attempt) reportPart(r report, reports chan<- report) error {
	select {
	case reports <- r:
	case <-a.ctx.Done():
		return a.ctx.Err()
	}
	select {
	case err := <-a.consumed:
		return err
	case <-a.ctx.Done():
		return a.ctx.Err()
	}
}

// resumeAt sets the id of the last event that the client has from an earlier response. It
// ignores an id that is not a number.
func (x *exchange) resumeAt(id string) {
	if n, err := strconv.ParseInt(id, 10, 64); err == nil {
		x.seq.ResumeAfter(n)
	}
}

// lastEventID returns the id of the last event that the client has, or "" if it has none
// with an id.
func lastEventID(seq *handover.Sequence) string {
	id, ok := seq.LastID()
	if !ok {
		return ""
	}
	return strconv.FormatInt(id, 10)
}

// takePart writes what is new in a part of a stream to the client. An error ends the
// attempt.
func (x *exchange) takePart(r *report) error {
	a, now := r.from, time.Now()
	if err := x.checkMediaType(r.from, r.resp); err != nil {
		return err
	}
	out, ok := a.filter.feed(r.part)
	if a.filter.progressed {
		a.lastNew = now
		if a.limit != a.gapLimit {
			a.limit, x.decide = a.gapLimit, true
		}
		x.recordAnswer(a)
		x.opts.Tracker.Progress(a.engine, now)
	}
	part := handover.Part{Advances: a.filter.advanced, Reading: a == x.reading, Alone: len(x.underWay) == 1}
	switch part.Use() {
	case handover.Settle:
		x.settleOn(a)
	case handover.Forward:
		x.reading = a
	default:
		out = nil
	}
	if len(out) > 0 {
		a.releasePrompt()
		if err := x.writeEvents(out, r.resp, now); err != nil {
			x.summary.Outcome, x.finished = "client_gone", true
			return err
		}
	}
	if !ok {
		return errBadStream
	}
	return a.meterEvent()
}

// checkMediaType returns an error if the response is of another type than the part of the
// stream that the client has.
func (x *exchange) checkMediaType(a *attempt, resp Response) error {
	if !x.headerSent || a == x.reading {
		return nil
	}
	if got := mediaType(resp); got != x.mediaType {
		return fault.New(fault.Interrupted, "check the engine", "engine %s continued a stream of type %q with one of type %q", a.engine.ID, x.mediaType, got)
	}
	return nil
}

// mediaType returns the media type of a response, without parameters.
func mediaType(resp Response) string {
	value := http.Header(resp.Header()).Get("Content-Type")
	value, _, _ = strings.Cut(value, ";")
	return strings.ToLower(strings.TrimSpace(value))
}

// completeStream ends a response whose stream has ended at an attempt. If it had no events,
// it still writes the response header.
func (x *exchange) completeStream(r *report) error {
	if err := x.checkMediaType(r.from, r.resp); err != nil {
		return err
	}
	switch filter := r.from.filter; {
	case filter.hasPartial():
		return errPartialEvent
	case !x.seq.IsWhole(&filter.run):
		return errShortStream
	}
	x.settleOn(r.from)
	x.finished = true
	x.summary.Outcome = "answered"
	if !x.headerSent {
		if err := x.writeHeader(r.resp); err != nil {
			x.summary.Outcome = "client_gone"
		}
	}
	return nil
}

// writeHeader writes the header of a stream to the client.
func (x *exchange) writeHeader(resp Response) error {
	x.headerSent, x.mediaType = true, mediaType(resp)
	if err := x.w.WriteHeader(resp.Status(), resp.Header(), -1); err != nil {
		return errClientGone
	}
	return nil
}

// writeEvents writes complete events to the client, and the response header before
// the first of them.
func (x *exchange) writeEvents(events []byte, resp Response, now time.Time) error {
	if !x.headerSent {
		x.summary.TimeToFirst = now.Sub(x.req.Arrived)
		if err := x.writeHeader(resp); err != nil {
			return err
		}
	}
	if _, err := x.w.Write(events); err != nil {
		return errClientGone
	}
	return nil
}
