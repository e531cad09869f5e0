package control

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/state"
)

// Unknown is the log's age when it was never read.
const Unknown = time.Duration(math.MaxInt64)

// Manager follows the control stream. Its methods are safe for concurrent use.
type Manager struct {
	opts   Options
	prompt chan struct{} // holds a token when the log must be read now
	status status
	reads  *rate.Limiter // bounds the reads that peers prompt
}

// status is what the follower last learnt.
type status struct {
	mu       sync.RWMutex
	lastRead time.Time // zero until the log's tail was first reached
	caught   bool
}

// New returns a Manager; Run starts it.
func New(opts Options) *Manager {
	m := &Manager{opts: opts.withDefaults(), prompt: make(chan struct{}, 1)}
	const burst = 3
	m.reads = rate.NewLimiter(rate.Every(m.opts.ReadInterval), burst)
	return m
}

// Run follows the stream until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	failing := false
	for ctx.Err() == nil {
		err := m.follow(ctx)
		m.report(err, &failing)
		m.pause(ctx)
	}
	return nil
}

// report logs the change between reading and not reading, not each attempt.
func (m *Manager) report(err error, failing *bool) {
	switch {
	case err != nil && !*failing:
		klog.ErrorS(err, "control stream cannot be followed", "position", m.opts.View.Position().String())
	case err == nil && *failing:
		klog.InfoS("control stream is followed again", "position", m.opts.View.Position().String())
	}
	*failing = err != nil
}

// pause waits for the next read: a prompt, or the interval with some jitter
// that keeps daemons from reading in step.
func (m *Manager) pause(ctx context.Context) {
	interval := m.opts.readInterval()
	jitter := time.Duration(rand.Int64N(int64(interval)/4 + 1))
	timer := time.NewTimer(interval - jitter)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-m.prompt:
	case <-ctx.Done():
	}
}

// readNow prompts a read of the log.
func (m *Manager) readNow() {
	select {
	case m.prompt <- struct{}{}:
	default: // a read is due already, and it starts after this moment
	}
}

// Nudge says that the stream has reached pos. The log is read at once if the
// view is behind and the allowance for prompted reads permits it.
func (m *Manager) Nudge(pos state.Position) {
	if !m.behind(pos) {
		return
	}
	if m.reads.Allow() {
		m.readNow()
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
		return Unknown
	}
	return max(0, now.Sub(m.status.lastRead))
}

// Caught reports whether the view has once been as far as could be known.
func (m *Manager) Caught() bool {
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
