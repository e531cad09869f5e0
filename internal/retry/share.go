package retry

import (
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/shard"
)

const (
	// ratioUse is the part of the allowed ratio that is spent; a request counts
	// in another window than its repeat, at worst.
	ratioUse = 0.8
	// slackSaved and slackRefill divide the fixed slack of a window: what may be
	// saved up, and what comes back within a window. Their sum stays below 1.
	slackSaved  = 0.4
	slackRefill = 0.5
)

// Allowance is what all daemons together may repeat: in each Window, Ratio of
// the requests and Slack besides.
type Allowance struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Share is this daemon's part of a service's allowance. It counts on nothing
// that other daemons leave unused, so that it holds when they can't talk.
type Share struct {
	saved float64
	at    time.Time
}

func (s *Share) refill(a Allowance, daemons int, now time.Time) {
	n := float64(max(1, daemons))
	if s.at.IsZero() {
		s.saved, s.at = slackSaved*a.Slack/n, now
		return
	}
	gained := now.Sub(s.at).Seconds() / max(a.Window.Seconds(), 1) * slackRefill * a.Slack / n
	s.saved = min(slackSaved*a.Slack/n+1, s.saved+gained)
	s.at = now
}

// SharedBudget has the share of each service. It is safe for concurrent use; each
// share is under its own lock.
type SharedBudget struct {
	allowance Allowance
	daemons   func() int
	services  *shard.Map[*lockedShare]
}

type lockedShare struct {
	mu sync.Mutex
	s  Share
}

// NewSharedBudget returns the budget of a daemon; daemons tells among how many the
// allowance is divided.
func NewSharedBudget(a Allowance, daemons func() int) *SharedBudget {
	return &SharedBudget{allowance: a, daemons: daemons, services: shard.NewMap[*lockedShare]()}
}

// Deposit counts the first send of a request to the service.
func (sh *SharedBudget) Deposit(service string, now time.Time) {
	l := sh.of(service)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.s.refill(sh.allowance, sh.daemons(), now)
	l.s.saved += ratioUse * sh.allowance.Ratio
}

// TrySpend takes one repeat from the service's share and reports whether there was one.
func (sh *SharedBudget) TrySpend(service string, now time.Time) bool {
	l := sh.of(service)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.s.refill(sh.allowance, sh.daemons(), now)
	if l.s.saved < 1 {
		return false
	}
	l.s.saved--
	return true
}

// Remaining returns the repeats that the service's share holds.
func (sh *SharedBudget) Remaining(service string) float64 {
	l := sh.of(service)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.s.saved
}

func (sh *SharedBudget) of(service string) *lockedShare {
	return sh.services.GetOrMake(service, func() *lockedShare { return &lockedShare{} })
}
