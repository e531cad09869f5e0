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

// LogAgeUnknown is the log's age when it was never read: longer than any other, and
// short enough for ages to be added to it without overflow.
const LogAgeUnknown = 100 * 365 * 24 * time.Hour

// Manager follows the control stream. Its methods are safe for concurrent use.
type Manager struct {
	opts   Options
	tail   *tail
	prompt chan struct{} // holds a token when the log must be read now
	hints  chan string   // holds the address of a peer that is ahead
	moved  chan struct{} // holds a token when peers must be told of a new tail
	// unopened holds an epoch of the log that lacks its Open record.
	unopened chan uint32
	status   status
	kept     kept
	stand    standing
	reads    *rate.Limiter // bounds the reads that peers prompt
	// leaving keeps a daemon that has left from joining again.
	leaving atomic.Bool
}

// status is what the follower last learnt.
type status struct {
	mu       sync.RWMutex
	lastRead time.Time // zero until the log's tail was first reached
	caught   bool
}

// kept is where the log's control stream begins.
type kept struct {
	mu    sync.Mutex
	first state.Position
}

func (k *kept) set(epoch uint32, oldest uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.first = state.Position{Epoch: epoch, Offset: oldest}
}

func (k *kept) get() state.Position {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.first
}

// New returns a Manager; Run starts it.
func New(opts Options) *Manager {
	opts = opts.withDefaults()
	const burst = 3
	return &Manager{
		opts:     opts,
		tail:     &tail{view: opts.View},
		prompt:   make(chan struct{}, 1),
		hints:    make(chan string, 1),
		moved:    make(chan struct{}, 1),
		unopened: make(chan uint32, 1),
		reads:    rate.NewLimiter(rate.Every(opts.ReadInterval), burst),
	}
}

// Run follows the stream until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.followLoop(ctx) })
	g.Go(func() error { return m.hintLoop(ctx) })
	g.Go(func() error { return m.announceLoop(ctx) })
	g.Go(func() error { return m.openLoop(ctx) })
	g.Go(func() error { return m.standLoop(ctx) })
	g.Go(func() error { return m.snapshotLoop(ctx) })
	g.Go(func() error { return m.joinLoop(ctx) })
	g.Go(func() error { return m.leaveLoop(ctx) })
	return g.Wait()
}

func (m *Manager) followLoop(ctx context.Context) error {
	var t trouble
	for ctx.Err() == nil {
		err := m.follow(ctx)
		if err != nil {
			m.catchUp(ctx)
		}
		m.report(err, &t)
		m.pause(ctx)
	}
	return nil
}

// trouble is the last error that was logged; empty while all is well.
type trouble struct {
	text string
	at   time.Time
}

// troubleInterval is the least time between two lines about a log that cannot
// be followed.
const troubleInterval = 10 * time.Second

// report logs when the log can no longer be followed, when the reason changes,
// and when it can be followed again, but not each attempt.
func (m *Manager) report(err error, t *trouble) {
	pos, now := m.opts.View.Position().String(), m.opts.Now()
	switch {
	case err == nil && t.text != "":
		klog.InfoS("control stream is followed again", "position", pos)
		*t = trouble{}
	case err != nil && err.Error() != t.text && now.Sub(t.at) >= troubleInterval:
		klog.ErrorS(err, "control stream cannot be followed", "position", pos)
		*t = trouble{text: err.Error(), at: now}
	}
}

// pause waits for the next read: a prompt, or the interval with some jitter
// that keeps daemons from reading in step.
func (m *Manager) pause(ctx context.Context) {
	interval := m.opts.readInterval()
	jitter := rand.Int64N(int64(interval)/4+1) - int64(interval)/8
	timer := time.NewTimer(interval + time.Duration(jitter))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-m.prompt:
	case <-ctx.Done():
	}
}

// hintLoop catches up from peers that are known to be ahead. It does not wait
// for the log, which may hang for this daemon alone.
func (m *Manager) hintLoop(ctx context.Context) error {
	for {
		select {
		case addr := <-m.hints:
			if err := m.pull(ctx, addr); err != nil {
				klog.V(1).InfoS("peer that is ahead did not give its records", "addr", addr, "reason", err.Error())
				m.readNow()
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// readNow prompts a read of the log.
func (m *Manager) readNow() {
	select {
	case m.prompt <- struct{}{}:
	default: // a read is due already, and it starts after this moment
	}
}

// NotifyPosition says that the stream has reached pos: the log is read at once if the
// view is behind and the allowance for prompted reads permits it.
func (m *Manager) NotifyPosition(pos state.Position) { m.nudgeFrom(pos, "") }

// nudgeFrom prompts a read of the log or, in a large fleet and beyond the
// allowance, takes the records from the peer that announced them: an edit must
// not become a read by each of hundreds of daemons at once.
func (m *Manager) nudgeFrom(pos state.Position, addr string) {
	if !m.behind(pos) {
		return
	}
	canAsk := addr != "" && m.opts.Peers != nil
	small := len(m.opts.LiveIDs()) <= m.opts.ReadsPerSecond
	if (small || !canAsk) && m.reads.Allow() {
		m.readNow()
		return
	}
	if !canAsk {
		return
	}
	select {
	case m.hints <- addr:
	default: // another peer is about to be asked
	}
}

func (m *Manager) behind(pos state.Position) bool {
	v := m.opts.View
	return !v.Started() || v.Position().Before(pos)
}

// LogAge returns the time since the log's tail was last reached.
func (m *Manager) LogAge(now time.Time) time.Duration {
	m.status.mu.RLock()
	defer m.status.mu.RUnlock()
	if m.status.lastRead.IsZero() {
		return LogAgeUnknown
	}
	return max(0, now.Sub(m.status.lastRead))
}

// CaughtUp reports whether the view has once been as far as could be known.
func (m *Manager) CaughtUp() bool {
	m.status.mu.RLock()
	defer m.status.mu.RUnlock()
	return m.status.caught
}

// reached notes that the log's tail was read by a call that began at start.
func (m *Manager) reached(start time.Time) {
	m.status.mu.Lock()
	defer m.status.mu.Unlock()
	m.status.lastRead, m.status.caught = start, true
}
