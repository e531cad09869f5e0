package keyed

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/once"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// stream is one once stream at a home. One goroutine talks to the log; all
// others queue records and look at the state under the lock.
type stream struct {
	home  *Home
	shard int
	name  string
	wake  chan struct{}

	// Kept by the goroutine: the times of the last append and read, and the
	// number of appends in a row whose answer was lost.
	appended time.Time
	polled   time.Time
	lost     int

	mu      sync.Mutex
	state   *once.State // nil before the stream was found
	ready   bool        // the state was read to the end once
	down    error       // why the log can't be used; nil if it can
	downAt  time.Time   // since when
	readAt  time.Time   // when the last complete read began
	queue   []*entry
	waiting int           // those that wait for another attempt's result
	changed chan struct{} // closed when the state or readiness moved on
	used    time.Time
	closed  bool
}

// lostLimit is the number of lost answers in a row that count as a log that is down.
const lostLimit = 3

func newStream(h *Home, shard int, name string) *stream {
	return &stream{
		home: h, shard: shard, name: name,
		wake: make(chan struct{}, 1), changed: make(chan struct{}), used: time.Now(),
	}
}

func (s *stream) opt() *Options { return &s.home.opt }

// fold returns the state for the stream's goroutine, the only one to change it.
func (s *stream) fold() *once.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

func (s *stream) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// notify wakes those that look at the state; the caller holds mu.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// run serves the stream until ctx ends or nobody needs it.
func (s *stream) run(ctx context.Context) {
	s.appended = time.Time{}
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			s.shut()
			return
		case <-s.wake:
		case <-t.C:
		}
		if s.idle() {
			s.shut()
			return
		}
		t.Reset(s.step(ctx, time.Now()))
	}
}

// step does what is due and returns the time until the next step.
func (s *stream) step(ctx context.Context, now time.Time) time.Duration {
	if !s.usable() {
		if err := s.recover(ctx); err != nil {
			s.fail(err)
			return s.opt().ProbeInterval
		}
		s.recovered()
	}
	batch, wait := s.next(now)
	if len(batch) > 0 {
		s.write(ctx, batch)
		return 0
	}
	return min(wait, s.poll(ctx, now))
}

func (s *stream) usable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready && s.down == nil
}

// recover reads the stream to its end. After a failure it writes a record
// first, since a log may answer reads and still refuse appends.
func (s *stream) recover(ctx context.Context) error {
	s.mu.Lock()
	probe := s.down != nil && s.state != nil
	s.mu.Unlock()
	if probe {
		if err := s.appendBegin(ctx); err != nil {
			return err
		}
	}
	if err := s.home.layout.ensure(ctx); err != nil {
		return err
	}
	return s.follow(ctx)
}

func (s *stream) recovered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down != nil {
		klog.InfoS("Log serves keys again", "stream", s.name)
	}
	s.ready, s.down = true, nil
	s.notify()
}

// fail refuses all that waits, so that callers hear at once that the log is
// down; what comes later is refused on arrival until recovered.
func (s *stream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down == nil {
		s.downAt = time.Now()
		klog.ErrorS(err, "Log does not serve keys", "stream", s.name)
	}
	s.down = err
	for _, e := range s.queue {
		e.finish(refusal(err))
	}
	s.queue = nil
	s.notify()
}

// write appends a batch, reads it back and answers for what was read. What an
// append with a lost answer did not leave in the log is queued again, under the
// same ids.
func (s *stream) write(ctx context.Context, batch []*entry) {
	if err := s.home.layout.ensure(ctx); err != nil {
		s.settle(batch, nil)
		s.fail(err)
		return
	}
	a, err := s.append(ctx, batch)
	lost := err != nil && fault.As(err).Outcome != fault.NotRun
	if err == nil || lost {
		s.markTried(batch)
		err = s.readBack(ctx, err)
	}
	s.settle(batch, a)
	if err != nil {
		s.fail(err)
	}
}

// readBack reads the stream after an append. One lost answer is no failure if
// the stream can be read; several in a row are.
func (s *stream) readBack(ctx context.Context, appendErr error) error {
	if err := s.follow(ctx); err != nil {
		return err
	}
	if appendErr == nil {
		s.lost = 0
		return nil
	}
	s.lost++
	if s.lost < lostLimit {
		return nil
	}
	s.lost = 0
	return appendErr
}

// append returns nil and an error unless the log said where the batch begins.
func (s *stream) append(ctx context.Context, batch []*entry) (*platform.AppendResponse, error) {
	records := make([][]byte, len(batch))
	for i, e := range batch {
		records[i] = e.data
	}
	ctx, cancel := context.WithTimeout(ctx, s.opt().LogTimeout)
	defer cancel()
	s.appended = time.Now()
	s.home.appends.Add(1)
	a, err := s.opt().Log.Append(ctx, s.name, records)
	if err != nil {
		return nil, err
	}
	return &a, nil
}

func (s *stream) appendBegin(ctx context.Context) error {
	data, err := wire.EncodeOnceRecord(&once.Record{Begin: &once.Begin{Shards: s.opt().Shards}})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.opt().LogTimeout)
	defer cancel()
	_, err = s.opt().Log.Append(ctx, s.name, [][]byte{data})
	return err
}

func (s *stream) markTried(batch []*entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range batch {
		e.tried = true
	}
}

// idle reports whether the stream is not needed here any more, and closes it.
func (s *stream) idle() bool {
	owner := s.home.owns(s.shard)
	s.mu.Lock()
	defer s.mu.Unlock()
	if owner || len(s.queue) > 0 || s.waiting > 0 {
		return false
	}
	s.closed = time.Since(s.used) >= s.opt().IdleTimeout
	return s.closed
}

// shut ends the stream at this home.
func (s *stream) shut() {
	s.mu.Lock()
	s.closed = true
	for _, e := range s.queue {
		e.finish(fault.New(fault.ShuttingDown, "ask another daemon", "home ends"))
	}
	s.queue = nil
	s.notify()
	s.mu.Unlock()
	s.home.release(s)
}

// poll reads what other homes may have written, on behalf of those that wait
// for a result and to notice early that the log is down.
func (s *stream) poll(ctx context.Context, now time.Time) time.Duration {
	interval := s.pollInterval()
	if left := interval - now.Sub(s.polled); left > 0 {
		return left
	}
	s.polled = now
	if err := s.follow(ctx); err != nil {
		s.fail(err)
		return s.opt().ProbeInterval
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify()
	return interval
}

func (s *stream) pollInterval() time.Duration {
	s.mu.Lock()
	waiting := s.waiting
	s.mu.Unlock()
	switch {
	case waiting > 0:
		return s.opt().ProbeInterval
	case s.home.owns(s.shard):
		return s.opt().FollowInterval
	default:
		return s.opt().IdleTimeout
	}
}
