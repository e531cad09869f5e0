package daemon

import (
	"context"
	"io"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/ragwortquay/ragwortquay/internal/dispatch"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/front"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// answerBuckets bound the histograms of answer times.
var answerBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 1400 * time.Millisecond, 3 * time.Second,
	10 * time.Second, 30 * time.Second,
}

// requests counts what callers are told, around the dispatcher.
type requests struct {
	next   front.Dispatcher
	ran    tally.Counter
	cut    tally.Counter
	tokens tally.Counter
	first  tally.Histogram
	// refused has a counter per error kind and outcome, made in advance: a tag
	// map per request would cost more than the request's own bookkeeping.
	refused map[fault.Kind]map[fault.Outcome]tally.Counter
}

func newRequests(next front.Dispatcher, scope tally.Scope) *requests {
	r := &requests{
		next:    next,
		ran:     scope.Counter("requests_ran_total"),
		cut:     scope.Counter("streams_cut_total"),
		tokens:  scope.Counter("tokens_total"),
		first:   scope.Histogram("first_answer_seconds", answerBuckets),
		refused: make(map[fault.Kind]map[fault.Outcome]tally.Counter),
	}
	for k := fault.Internal; k <= fault.ShuttingDown; k++ {
		r.refused[k] = make(map[fault.Outcome]tally.Counter)
		for _, o := range []fault.Outcome{fault.Unknown, fault.NotRun, fault.Ran} {
			tags := map[string]string{"kind": k.String(), "outcome": o.String()}
			r.refused[k][o] = scope.Tagged(tags).Counter("requests_failed_total")
		}
	}
	return r
}

// Serve serves the request and counts its outcome.
func (r *requests) Serve(ctx context.Context, q *dispatch.Request) (*dispatch.Response, error) {
	a, err := r.next.Serve(ctx, q)
	if err != nil {
		e := fault.As(err)
		r.refused[e.Kind][e.Outcome].Inc(1)
		return nil, err
	}
	r.ran.Inc(1)
	r.first.RecordDuration(time.Since(q.Received))
	if a.Stream != nil {
		a.Stream = &countedStream{Stream: a.Stream, requests: r}
	}
	return a, nil
}

// countedStream counts tokens, and streams that end before their end.
type countedStream struct {
	dispatch.Stream
	requests *requests
	tokens   int64
	whole    bool
}

// Next returns the next event.
func (s *countedStream) Next() (target.Event, error) {
	ev, err := s.Stream.Next()
	switch {
	case err != nil:
		s.whole = s.whole || err == io.EOF
	case ev.End != nil:
		s.whole = true
	default:
		s.tokens++
	}
	return ev, err
}

// Close ends the stream and counts it.
func (s *countedStream) Close() error {
	s.requests.tokens.Inc(s.tokens)
	if !s.whole {
		s.requests.cut.Inc(1)
	}
	return s.Stream.Close()
}
