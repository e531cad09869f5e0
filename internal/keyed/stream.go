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

// stream is a stream served by a home. Its goroutine makes all calls to the log that
// append records or change the state; other goroutines queue records and read the
// state under the lock.
type stream struct {
	home  *Home
	shard int
	name  string
	wake  chan struct{}

	// Used only by the stream's goroutine: the times of the last append and poll, and
	// the number of consecutive appends whose response was lost.
	lastAppend    time.Time
	lastPoll      time.Time
	lostResponses int

	mu            sync.Mutex
	state         *once.State // nil before initState and after dropState
	ready         bool        // whether the state was read to the end once
	logErr        error       // why the log can't be used; nil if it can
	downSince     time.Time   // when logErr became non-nil
	readStartedAt time.Time   // when the last read to the end began
	queue         []*entry
	waiters       int           // number of claims waiting for another attempt's result
	readWanted    bool          // whether a claim waits for a read of the log
	changed       chan struct{} // closed when the state or usability changes
	lastUsed      time.Time
	closed        bool
}

// maxLostResponses is the number of consecutive appends with a lost response after
// which the log is considered down.
const maxLostResponses = 3

func newStream(h *Home, shard int, name string) *stream {
	return &stream{
		home: h, shard: shard, name: name,
		wake: make(chan struct{}, 1), changed: make(chan struct{}), lastUsed: time.Now(),
	}
}

func (s *stream) opt() *Options { return &s.home.opt }

// currentState returns the state for use by the stream's goroutine, the only one that
// changes it.
func (s *stream) currentState() *once.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// wakeUp makes the stream's goroutine run a step now.
func (s *stream) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// notifyChanged wakes the goroutines that wait for a change. The caller holds mu.
func (s *stream) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// run serves the stream until ctx is done or the stream is idle.
func (s *stream) run(ctx context.Context) {
	s.lastAppend = time.Time{}
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			s.shutDown()
			return
		case <-s.wake:
		case <-t.C:
		}
		if s.closeIfIdle() {
			s.shutDown()
			return
		}
		t.Reset(s.step(ctx, time.Now()))
	}
}

// step recovers from an outage, appends a batch or polls the log, whichever is due,
// and returns the time until the next step.
func (s *stream) step(ctx context.Context, now time.Time) time.Duration {
	if !s.isUsable() {
		if err := s.catchUp(ctx); err != nil {
			s.markDown(err)
			return s.opt().ProbeInterval
		}
		s.markUsable()
	}
	batch, wait := s.nextBatch(now)
	if len(batch) > 0 {
		s.writeBatch(ctx, batch)
		return 0
	}
	return min(wait, s.poll(ctx, now))
}

func (s *stream) isUsable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready && s.logErr == nil
}

// catchUp reads the stream to its end. After a failure it first appends a record,
// since a log may serve reads while it refuses appends.
func (s *stream) catchUp(ctx context.Context) error {
	s.mu.Lock()
	probe := s.logErr != nil && s.state != nil
	s.mu.Unlock()
	if probe {
		if err := s.appendBegin(ctx); err != nil {
			return err
		}
	}
	if err := s.home.layout.ensureCurrent(ctx); err != nil {
		return err
	}
	return s.follow(ctx)
}

func (s *stream) markUsable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.logErr != nil {
		klog.InfoS("log stream is usable again; serving keyed requests", "stream", s.name)
	}
	s.ready, s.logErr = true, nil
	s.notifyChanged()
}

// markDown refuses all queued records, so that callers learn immediately that the log
// is down. Further records are refused on arrival until markUsable is called.
func (s *stream) markDown(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.logErr == nil {
		s.downSince = time.Now()
		klog.ErrorS(err, "log stream is not usable; refusing keyed requests", "stream", s.name)
	}
	s.logErr = err
	for _, e := range s.queue {
		e.complete(logUnavailable(err))
	}
	s.queue = nil
	s.notifyChanged()
}

// writeBatch appends a batch, reads it back and completes the entries read. If the
// response to the append was lost, entries not found in the log are queued again with
// the same attempt ids.
func (s *stream) writeBatch(ctx context.Context, batch []*entry) {
	if err := s.home.layout.ensureCurrent(ctx); err != nil {
		s.completeBatch(batch, nil)
		s.markDown(err)
		return
	}
	// A claim may time out while the append is under way.
	marked := s.markMayBeLogged(batch)
	a, err := s.appendBatch(ctx, batch)
	if err == nil || fault.As(err).Outcome != fault.NotRun {
		err = s.readBack(ctx, err)
	} else {
		s.unmarkMayBeLogged(marked)
	}
	s.completeBatch(batch, a)
	if err != nil {
		s.markDown(err)
	}
}

// readBack reads the stream after an append that ended with appendErr. A lost
// response is no failure if the stream can be read, unless it is the
// maxLostAnswers-th in a row.
func (s *stream) readBack(ctx context.Context, appendErr error) error {
	if err := s.follow(ctx); err != nil {
		return err
	}
	if appendErr == nil {
		s.lostResponses = 0
		return nil
	}
	s.lostResponses++
	if s.lostResponses < maxLostResponses {
		return nil
	}
	s.lostResponses = 0
	return appendErr
}

// appendBatch appends the records of a batch to the stream. It returns nil and an
// error if the log did not return the batch's offset.
func (s *stream) appendBatch(ctx context.Context, batch []*entry) (*platform.AppendResponse, error) {
	records := make([][]byte, len(batch))
	for i, e := range batch {
		records[i] = e.data
	}
	ctx, cancel := context.WithTimeout(ctx, s.opt().LogTimeout)
	defer cancel()
	s.lastAppend = time.Now()
	s.home.appends.Add(1)
	a, err := s.opt().Log.Append(ctx, s.name, records)
	if err != nil {
		return nil, err
	}
	return &a, nil
}

// appendBegin appends a Begin record.
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

// markMayBeLogged marks the entries of a batch as possibly logged and returns those
// that were not marked before.
func (s *stream) markMayBeLogged(batch []*entry) (marked []*entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range batch {
		if !e.mayBeLogged {
			e.mayBeLogged = true
			marked = append(marked, e)
		}
	}
	return marked
}

// unmarkMayBeLogged reverts markMayBeLogged after an append that certainly failed.
func (s *stream) unmarkMayBeLogged(marked []*entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range marked {
		e.mayBeLogged = false
	}
}

// closeIfIdle closes the stream if it has not been used for IdleTimeout and this
// daemon is not its home. It reports whether the stream is closed.
func (s *stream) closeIfIdle() bool {
	owner := s.home.owns(s.shard)
	s.mu.Lock()
	defer s.mu.Unlock()
	if owner || len(s.queue) > 0 || s.waiters > 0 {
		return false
	}
	s.closed = time.Since(s.lastUsed) >= s.opt().IdleTimeout
	return s.closed
}

// shutDown closes the stream, refuses its queued records and removes it from the home.
func (s *stream) shutDown() {
	s.mu.Lock()
	s.closed = true
	for _, e := range s.queue {
		e.complete(fault.New(fault.ShuttingDown, "ask another daemon", "the home of the stream is shutting down"))
	}
	s.queue = nil
	s.notifyChanged()
	s.mu.Unlock()
	s.home.removeStream(s)
}

// poll reads records that other homes may have appended, for the claims that wait for
// a result and to detect early that the log is down.
func (s *stream) poll(ctx context.Context, now time.Time) time.Duration {
	interval := s.pollInterval()
	if left := interval - now.Sub(s.lastPoll); left > 0 {
		return left
	}
	s.lastPoll = now
	s.mu.Lock()
	s.readWanted = false
	s.mu.Unlock()
	if err := s.follow(ctx); err != nil {
		s.markDown(err)
		return s.opt().ProbeInterval
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyChanged()
	return interval
}

func (s *stream) pollInterval() time.Duration {
	s.mu.Lock()
	waiting, wanted := s.waiters, s.readWanted
	s.mu.Unlock()
	switch {
	case wanted:
		return s.opt().AppendInterval
	case waiting > 0:
		return s.opt().ProbeInterval
	case s.home.owns(s.shard):
		return s.opt().FollowInterval
	default:
		return s.opt().IdleTimeout
	}
}
