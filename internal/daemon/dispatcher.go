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

// responseTimeBuckets are the buckets of response time histograms.
var responseTimeBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 1400 * time.Millisecond, 3 * time.Second,
	10 * time.Second, 30 * time.Second,
}

// meteredDispatcher is a front.Dispatcher that records the outcomes of another
// dispatcher as metrics.
type meteredDispatcher struct {
	next          front.Dispatcher
	ran           tally.Counter
	streamsCut    tally.Counter
	tokens        tally.Counter
	firstResponse tally.Histogram
	// failed contains a counter per error kind and outcome. They are created in
	// advance because a tag map per request would cost more than the rest of the
	// request's bookkeeping.
	failed map[fault.Kind]map[fault.Outcome]tally.Counter
}

func newMeteredDispatcher(next front.Dispatcher, scope tally.Scope) *meteredDispatcher {
	m := &meteredDispatcher{
		next:          next,
		ran:           scope.Counter("requests_ran_total"),
		streamsCut:    scope.Counter("streams_cut_total"),
		tokens:        scope.Counter("tokens_total"),
		firstResponse: scope.Histogram("first_answer_seconds", responseTimeBuckets),
		failed:        make(map[fault.Kind]map[fault.Outcome]tally.Counter),
	}
	for k := fault.Internal; k <= fault.ShuttingDown; k++ {
		m.failed[k] = make(map[fault.Outcome]tally.Counter)
		for _, o := range []fault.Outcome{fault.Unknown, fault.NotRun, fault.Ran} {
			tags := map[string]string{"kind": k.String(), "outcome": o.String()}
			m.failed[k][o] = scope.Tagged(tags).Counter("requests_failed_total")
		}
	}
	return m
}

// Serve serves the request and records its outcome.
func (m *meteredDispatcher) Serve(ctx context.Context, q *dispatch.Request) (*dispatch.Response, error) {
	resp, err := m.next.Serve(ctx, q)
	if err != nil {
		e := fault.As(err)
		m.failed[e.Kind][e.Outcome].Inc(1)
		return nil, err
	}
	m.ran.Inc(1)
	m.firstResponse.RecordDuration(time.Since(q.Received))
	if resp.Stream != nil {
		resp.Stream = &countedStream{Stream: resp.Stream, dispatcher: m}
	}
	return resp, nil
}

// countedStream counts the tokens of a stream, and the streams that are closed
// before they are complete.
type countedStream struct {
	dispatch.Stream
	dispatcher *meteredDispatcher
	tokens     int64
	complete   bool
}

// Next implements dispatch.Stream.
func (s *countedStream) Next() (target.Event, error) {
	ev, err := s.Stream.Next()
	switch {
	case err != nil:
		s.complete = s.complete || err == io.EOF
	case ev.End != nil:
		s.complete = true
	default:
		s.tokens++
	}
	return ev, err
}

// Close closes the stream and records its metrics.
func (s *countedStream) Close() error {
	s.dispatcher.tokens.Inc(s.tokens)
	if !s.complete {
		s.dispatcher.streamsCut.Inc(1)
	}
	return s.Stream.Close()
}
