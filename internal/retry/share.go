package retry

import (
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/shard"
)

// Fractions of the allowance that a share hands out, so that the retries of any
// window stay within it.
const (
	// usableRatio is the fraction of Allowance.Ratio that is used. The margin is
	// needed because a request and its retry may fall into different windows.
	usableRatio = 0.8
	// slackBurst is the fraction of Allowance.Slack that can be accumulated, and
	// slackPerWindow the fraction that is refilled per window. One window can
	// spend both, so their sum must stay below 1.
	slackBurst     = 0.4
	slackPerWindow = 0.5
)

// Allowance limits the retries of a service across all daemons: within any Window,
// at most Ratio times the number of requests, plus Slack.
type Allowance struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Share is the token bucket for this daemon's equal part of a service's allowance.
// It never uses what other daemons leave unspent, so the allowance also holds
// while daemons can't communicate.
type Share struct {
	tokens     float64
	refilledAt time.Time
}

func (s *Share) refill(a Allowance, daemons int, now time.Time) {
	n := float64(max(1, daemons))
	if s.refilledAt.IsZero() {
		s.tokens, s.refilledAt = slackBurst*a.Slack/n, now
		return
	}
	gained := now.Sub(s.refilledAt).Seconds() / max(a.Window.Seconds(), 1) * slackPerWindow * a.Slack / n
	s.tokens = min(slackBurst*a.Slack/n+1, s.tokens+gained)
	s.refilledAt = now
}

// SharedBudget holds this daemon's share per service. It is safe for concurrent
// use; each share has its own lock.
type SharedBudget struct {
	allowance Allowance
	daemons   func() int
	services  *shard.Map[*lockedShare]
}

type lockedShare struct {
	mu    sync.Mutex
	share Share
}

// NewSharedBudget returns the budget of one daemon. daemons returns the number of
// daemons among which the allowance is divided.
func NewSharedBudget(a Allowance, daemons func() int) *SharedBudget {
	return &SharedBudget{allowance: a, daemons: daemons, services: shard.NewMap[*lockedShare]()}
}

// Deposit adds tokens for the first send of a request to the service.
func (sh *SharedBudget) Deposit(service string, now time.Time) {
	l := sh.shareFor(service)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share.refill(sh.allowance, sh.daemons(), now)
	l.share.tokens += usableRatio * sh.allowance.Ratio
}

// TrySpend takes one token from the service's share and reports whether there was
// one.
func (sh *SharedBudget) TrySpend(service string, now time.Time) bool {
	l := sh.shareFor(service)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share.refill(sh.allowance, sh.daemons(), now)
	if l.share.tokens < 1 {
		return false
	}
	l.share.tokens--
	return true
}

// Available reports whether TrySpend would find a token, and takes none.
func (sh *SharedBudget) Available(service string, now time.Time) bool {
	l := sh.shareFor(service)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share.refill(sh.allowance, sh.daemons(), now)
	return l.share.tokens >= 1
}

// Remaining returns the number of tokens in the service's share as of the last
// Deposit or TrySpend.
func (sh *SharedBudget) Remaining(service string) float64 {
	l := sh.shareFor(service)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share.tokens
}

func (sh *SharedBudget) shareFor(service string) *lockedShare {
	return sh.services.GetOrMake(service, func() *lockedShare { return &lockedShare{} })
}
