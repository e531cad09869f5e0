package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// tokenStream is the Stream of one response. When its replica fails, or another one goes on
// while it is silent, the stream resumes there after the last delivered token. It is for use
// by one goroutine.
type tokenStream struct {
	ctx       context.Context //nolint:containedctx // the request's context, used by later attempts
	d         *Dispatcher
	j         *job
	current   *attempt // nil between attempts and after the end
	delivered int
	peeked    *target.Event // first event, read by startStream and not yet returned by Next
	err       error
	// alternative runs while the current attempt is silent; nil if there is none.
	alternative *alternative
}

// startStream waits for the first event and returns the streamed response.
func (d *Dispatcher) startStream(ctx context.Context, j *job, at *attempt) (*Response, error) {
	s := &tokenStream{ctx: ctx, d: d, j: j}
	ev, err := at.readExpected(0)
	if err != nil {
		at.abort(err)
		return nil, err
	}
	s.follow(at)
	at.timeToFirst = time.Since(at.sentAt)
	s.peeked = &ev
	return &Response{
		RequestID: j.req.ID, Outcome: fault.Ran, Replica: at.grant.Replica,
		Status: statusOK, Stream: s,
	}, nil
}

// Next returns the next token, or the end event after the last one.
func (s *tokenStream) Next() (target.Event, error) {
	if s.err != nil {
		return target.Event{}, s.err
	}
	ev, err := s.nextEvent()
	if err != nil {
		s.err = err
		return target.Event{}, err
	}
	if ev.End != nil {
		s.err = io.EOF
		return ev, nil
	}
	s.delivered = ev.Index
	return ev, nil
}

// nextEvent returns the next event, from another replica if the current one fails.
func (s *tokenStream) nextEvent() (target.Event, error) {
	if ev := s.peeked; ev != nil {
		s.peeked = nil
		s.completeIfEnd(*ev)
		return *ev, nil
	}
	for {
		ev, err := s.settle(s.current.readExpected(s.delivered))
		if err == nil {
			s.completeIfEnd(ev)
			return ev, nil
		}
		if err := s.resume(err); err != nil {
			return target.Event{}, err
		}
	}
}

// completeIfEnd completes the current attempt if ev is the end event.
func (s *tokenStream) completeIfEnd(ev target.Event) {
	if ev.End == nil {
		return
	}
	s.current.complete()
	s.current = nil
}

// follow makes at the current attempt.
func (s *tokenStream) follow(at *attempt) {
	s.current = at
	at.resp.OnSilence(s.handleSilence)
}

// readExpected reads the next event of an attempt after the given number of tokens. It
// returns an error if the event is out of sequence: it may belong to another request's
// response.
func (at *attempt) readExpected(delivered int) (target.Event, error) {
	ev, err := at.resp.Next()
	if err != nil {
		return ev, err
	}
	if ev.End != nil && (ev.End.RequestID != at.j.req.ID || ev.End.Tokens != delivered) {
		return ev, fault.New(fault.Interrupted, "report the target", "end event names request %q and %d tokens, want request %q and %d tokens", ev.End.RequestID, ev.End.Tokens, at.j.req.ID, delivered)
	}
	if ev.End == nil && ev.Index != delivered+1 {
		return ev, fault.New(fault.Interrupted, "report the target", "token %d received after token %d", ev.Index, delivered)
	}
	return ev, nil
}

// resume continues the stream in a new attempt after cause ended the last one.
func (s *tokenStream) resume(cause error) error {
	for {
		s.j.retryState.DeliveredTokens = s.delivered
		if err := s.d.prepareRetry(s.ctx, s.j, cause); err != nil {
			return err
		}
		at, err := s.d.startAttempt(s.ctx, s.j, s.delivered)
		if err == nil {
			s.follow(at)
			return nil
		}
		cause = err
	}
}

// Close ends the stream and cancels the current attempt, if any.
func (s *tokenStream) Close() error {
	if s.current == nil {
		return nil
	}
	s.current.cancel(fault.New(fault.Interrupted, "", "caller closed the stream"))
	s.current = nil
	return nil
}
