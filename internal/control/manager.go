package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/state"
)

// LogAgeUnknown is the log age of a daemon that has never read the log. It
// exceeds any real age and leaves room to add ages to it without overflow.
const LogAgeUnknown = 100 * 365 * 24 * time.Hour

// Manager follows the control stream and appends records to it. Its methods are
// safe for concurrent use.
type Manager struct {
	opts         Options
	recent       *recentRecords
	readRequests chan struct{} // holds a token when the log must be read at once
	aheadPeers   chan string   // holds the address of a peer to pull records from
	updatesDue   chan struct{} // holds a token when a position update must be sent to peers
	// epochsToOpen holds an epoch of the log that has no Open record yet.
	epochsToOpen chan uint32
	logStatus    logStatus
	logStart     logStart
	serving      servingState
	readLimiter  *rate.Limiter // limits the reads triggered by position updates
	// leaving is set once Leave is called, so that joinLoop does not join again.
	leaving atomic.Bool
}

// logStatus is the result of the last reads of the log.
type logStatus struct {
	mu       sync.RWMutex
	lastRead time.Time // start of the last read that reached the log's end; zero before the first
	caughtUp bool
}

// logStart is the position of the oldest record of the control stream that the
// log retains.
type logStart struct {
	mu    sync.Mutex
	first state.Position
}

func (s *logStart) set(epoch uint32, oldest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = state.Position{Epoch: epoch, Offset: oldest}
}

func (s *logStart) get() state.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.first
}

// New returns a Manager that is started by Run.
func New(opts Options) *Manager {
	opts = opts.withDefaults()
	const burst = 3 // reads on position updates that may follow one another at once
	return &Manager{
		opts:         opts,
		recent:       &recentRecords{view: opts.View},
		readRequests: make(chan struct{}, 1),
		aheadPeers:   make(chan string, 1),
		updatesDue:   make(chan struct{}, 1),
		epochsToOpen: make(chan uint32, 1),
		readLimiter:  rate.NewLimiter(rate.Every(opts.ReadInterval), burst),
	}
}

// Run follows the control stream until ctx is done.
func (m *Manager) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.readLoop(ctx) })
	g.Go(func() error { return m.pullLoop(ctx) })
	g.Go(func() error { return m.announceLoop(ctx) })
	g.Go(func() error { return m.openLoop(ctx) })
	g.Go(func() error { return m.servingStatusLoop(ctx) })
	g.Go(func() error { return m.snapshotLoop(ctx) })
	g.Go(func() error { return m.joinLoop(ctx) })
	g.Go(func() error { return m.leaveLoop(ctx) })
	return g.Wait()
}

// readLoop reads the log at an interval and on request, and catches up from
// peers while the log cannot be read.
func (m *Manager) readLoop(ctx context.Context) error {
	var last loggedError
	for ctx.Err() == nil {
		err := m.readLog(ctx)
		if err != nil {
			m.catchUpFromPeers(ctx)
		}
		m.logReadError(err, &last)
		m.waitForRead(ctx)
	}
	return nil
}

// loggedError is the last error that was logged; zero while the log can be read.
type loggedError struct {
	text string
	at   time.Time
}

// errorLogInterval is the minimum time between two log lines about errors of
// reading the control stream.
const errorLogInterval = 10 * time.Second

// logReadError logs the first error of reading the control stream, changes of
// the error and the recovery, but not each failed read.
func (m *Manager) logReadError(err error, last *loggedError) {
	pos, now := m.opts.View.Position().String(), m.opts.Now()
	switch {
	case err == nil && last.text != "":
		klog.InfoS("control stream is readable again", "position", pos)
		*last = loggedError{}
	case err != nil && err.Error() != last.text && now.Sub(last.at) >= errorLogInterval:
		klog.ErrorS(err, "failed to read the control stream", "position", pos)
		*last = loggedError{text: err.Error(), at: now}
	}
}

// waitForRead waits until a read is requested or the read interval has passed.
// The interval has a jitter, so that daemons do not read at the same time.
func (m *Manager) waitForRead(ctx context.Context) {
	interval := m.opts.readInterval()
	jitter := rand.Int64N(int64(interval)/4+1) - int64(interval)/8
	timer := time.NewTimer(interval + time.Duration(jitter))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-m.readRequests:
	case <-ctx.Done():
	}
}

// pullLoop pulls records from peers that are known to be ahead. It is separate
// from readLoop, because a read of the log may hang on this daemon alone.
func (m *Manager) pullLoop(ctx context.Context) error {
	for {
		select {
		case addr := <-m.aheadPeers:
			if err := m.pullRecords(ctx, addr); err != nil {
				klog.V(1).InfoS("failed to pull records from a peer that is ahead", "addr", addr, "reason", err.Error())
				m.requestRead()
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// requestRead makes readLoop read the log at once.
func (m *Manager) requestRead() {
	select {
	case m.readRequests <- struct{}{}:
	default: // a read is requested already and has not started yet
	}
}

// NotifyPosition tells the manager that the stream has reached pos. If the view
// is behind pos, the log is read at once, within the rate limit for such reads.
func (m *Manager) NotifyPosition(pos state.Position) { m.handlePositionUpdate(pos, "") }

// handlePositionUpdate requests a read of the log if the view is behind pos. In a
// large fleet, or beyond the rate limit, it pulls the records from the peer at
// addr instead, so that an edit does not make hundreds of daemons read the log at
// once.
func (m *Manager) handlePositionUpdate(pos state.Position, addr string) {
	if !m.isBehind(pos) {
		return
	}
	canPull := addr != "" && m.opts.Peers != nil
	smallFleet := len(m.opts.LiveIDs()) <= m.opts.ReadsPerSecond
	if (smallFleet || !canPull) && m.readLimiter.Allow() {
		m.requestRead()
		return
	}
	if !canPull {
		return
	}
	select {
	case m.aheadPeers <- addr:
	default: // a pull from another peer is pending already
	}
}

// isBehind reports whether the view has not reached pos.
func (m *Manager) isBehind(pos state.Position) bool {
	v := m.opts.View
	return !v.Started() || v.Position().Before(pos)
}

// LogAge returns the time since the last read that reached the log's end, or
// LogAgeUnknown if there was none.
func (m *Manager) LogAge(now time.Time) time.Duration {
	m.logStatus.mu.RLock()
	defer m.logStatus.mu.RUnlock()
	if m.logStatus.lastRead.IsZero() {
		return LogAgeUnknown
	}
	return max(0, now.Sub(m.logStatus.lastRead))
}

// CaughtUp reports whether the view has reached the log's end, or the highest
// position of a majority of daemons, at least once.
func (m *Manager) CaughtUp() bool {
	m.logStatus.mu.RLock()
	defer m.logStatus.mu.RUnlock()
	return m.logStatus.caughtUp
}

// markLogRead records that a read which began at start has reached the log's end.
func (m *Manager) markLogRead(start time.Time) {
	m.logStatus.mu.Lock()
	defer m.logStatus.mu.Unlock()
	m.logStatus.lastRead, m.logStatus.caughtUp = start, true
}
