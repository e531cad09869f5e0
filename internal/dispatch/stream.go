package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// tokens is the stream of one answer. When the replica behind it fails, it
// goes on from another one after the last delivered token. One goroutine uses it.
type tokens struct {
	ctx       context.Context //nolint:containedctx // the request's own, for the attempts to come
	d         *Dispatcher
	j         *job
	cur       *try
	delivered int
	ahead     *target.Event // read before the answer began
	err       error
}

// stream waits for the first event and returns the answer.
func (d *Dispatcher) stream(ctx context.Context, j *job, t *try) (*Response, error) {
	s := &tokens{ctx: ctx, d: d, j: j, cur: t}
	ev, err := s.read()
	if err != nil {
		t.fail(err)
		return nil, err
	}
	t.first = time.Since(t.sent)
	s.ahead = &ev
	return &Response{
		RequestID: j.req.ID, Outcome: fault.Ran, Replica: t.grant.Replica,
		Status: statusOK, Stream: s,
	}, nil
}

// Next returns the next token or the end.
func (s *tokens) Next() (target.Event, error) {
	if s.err != nil {
		return target.Event{}, s.err
	}
	ev, err := s.advance()
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

func (s *tokens) advance() (target.Event, error) {
	if ev := s.ahead; ev != nil {
		s.ahead = nil
		s.finishAt(*ev)
		return *ev, nil
	}
	for {
		ev, err := s.read()
		if err == nil {
			s.finishAt(ev)
			return ev, nil
		}
		if err := s.resume(err); err != nil {
			return target.Event{}, err
		}
	}
}

func (s *tokens) finishAt(ev target.Event) {
	if ev.End == nil {
		return
	}
	s.cur.succeed()
	s.cur = nil
}

// read returns the current replica's next event if it is the one expected: a
// token out of order would be another answer's.
func (s *tokens) read() (target.Event, error) {
	ev, err := s.cur.resp.Next()
	if err != nil {
		return ev, err
	}
	if ev.End != nil && (ev.End.RequestID != s.j.req.ID || ev.End.Tokens != s.delivered) {
		return ev, fault.New(fault.Interrupted, "report the target", "end of request %q after %d tokens, expected %q after %d", ev.End.RequestID, ev.End.Tokens, s.j.req.ID, s.delivered)
	}
	if ev.End == nil && ev.Index != s.delivered+1 {
		return ev, fault.New(fault.Interrupted, "report the target", "token %d follows token %d", ev.Index, s.delivered)
	}
	return ev, nil
}

// resume moves the stream to another replica after cause ended the current one.
func (s *tokens) resume(cause error) error {
	s.cur.fail(cause)
	s.cur = nil
	for {
		s.j.state.DeliveredTokens = s.delivered
		if err := s.d.next(s.ctx, s.j, cause); err != nil {
			return err
		}
		t, err := s.d.attempt(s.ctx, s.j, s.delivered)
		if err == nil {
			s.cur = t
			return nil
		}
		cause = err
	}
}

// Close ends the stream; an attempt still under way is cancelled.
func (s *tokens) Close() error {
	if s.cur == nil {
		return nil
	}
	s.cur.cancel(fault.New(fault.Interrupted, "", "caller went away"))
	s.cur = nil
	return nil
}
