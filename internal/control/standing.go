package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/quorum"
)

// standInterval is the time between two decisions on the standing.
const standInterval = 200 * time.Millisecond

// standing is the last decision on whether this daemon may serve.
type standing struct {
	mu          sync.RWMutex
	current     quorum.ServingStatus
	changed     chan struct{} // closed at the next change; nil while nobody waits
	behindSince time.Time     // zero while the view is level with all reports
	diverged    bool
	superseded  bool
}

// ServingStatus returns whether this daemon may serve, and why.
func (m *Manager) ServingStatus() quorum.ServingStatus {
	m.stand.mu.RLock()
	defer m.stand.mu.RUnlock()
	return m.stand.current
}

// ServingStatusChanged returns a channel that is closed when the standing changes.
func (m *Manager) ServingStatusChanged() <-chan struct{} {
	m.stand.mu.Lock()
	defer m.stand.mu.Unlock()
	if m.stand.changed == nil {
		m.stand.changed = make(chan struct{})
	}
	return m.stand.changed
}

// Diverged reports whether most daemons hold another state at this position.
func (m *Manager) Diverged() bool {
	m.stand.mu.RLock()
	defer m.stand.mu.RUnlock()
	return m.stand.diverged
}

// standLoop decides on the standing again at an interval, since it depends on
// the age of what is known and not only on events.
func (m *Manager) standLoop(ctx context.Context) error {
	ticker := time.NewTicker(standInterval)
	defer ticker.Stop()
	for {
		m.decideStanding()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (m *Manager) decideStanding() {
	reports := m.reports()
	m.takeHint(reports)
	pos, digest := m.opts.View.PositionAndDigest()
	m.setDiverged(quorum.Diverged(pos, digest, reports))
	opened, _ := m.opts.View.OpenEpoch()
	now := m.opts.Now()
	m.setStanding(quorum.Decide(quorum.Input{
		Self:         m.opts.Self,
		CaughtUp:     m.CaughtUp(),
		Diverged:     m.Diverged(),
		EpochNotOpen: pos.Epoch > opened,
		Superseded:   m.superseded(),
		Pos:          pos,
		LogAge:       m.LogAge(now),
		BehindFor:    m.behindFor(reports, now),
		Joined:       m.joined(),
		Reports:      reports,
		Limits:       m.opts.Limits,
	}))
}

// reports returns the reports of the other daemons: counted twice, this one
// would tip the balance between diverged states.
func (m *Manager) reports() []quorum.Report {
	return slices.DeleteFunc(slices.Clone(m.opts.Reports()), func(r quorum.Report) bool { return r.Daemon == m.opts.Self })
}

// takeHint catches up from a peer that reports a later position.
func (m *Manager) takeHint(reports []quorum.Report) {
	best, found := quorum.HighestPosition(reports)
	if !found || !m.behind(best) {
		return
	}
	for _, r := range reports {
		if r.Pos != best {
			continue
		}
		d, _ := m.opts.View.Daemon(r.Daemon)
		m.nudgeFrom(best, d.Addr)
		return
	}
}

func (m *Manager) behindFor(reports []quorum.Report, now time.Time) time.Duration {
	best, found := quorum.HighestPosition(reports)
	behind := found && m.behind(best)
	m.stand.mu.Lock()
	defer m.stand.mu.Unlock()
	switch {
	case !behind:
		m.stand.behindSince = time.Time{}
		return 0
	case m.stand.behindSince.IsZero():
		m.stand.behindSince = now
	}
	// A view that has just fallen behind is behind for some time above zero.
	return max(1, now.Sub(m.stand.behindSince))
}

func (m *Manager) setDiverged(now bool) {
	m.stand.mu.Lock()
	before := m.stand.diverged
	m.stand.diverged = now
	m.stand.mu.Unlock()
	if now && !before {
		klog.ErrorS(nil, "this daemon's state differs from that of most daemons: restart it", "position", m.opts.View.Position().String())
		m.opts.OnDiverged()
	}
}

func (m *Manager) setStanding(s quorum.ServingStatus) {
	m.stand.mu.Lock()
	before := m.stand.current
	m.stand.current = s
	if before != s && m.stand.changed != nil {
		close(m.stand.changed)
		m.stand.changed = nil
	}
	m.stand.mu.Unlock()
	if before.Mode != s.Mode || before.Majority != s.Majority {
		klog.InfoS("standing changed", "mode", s.Mode.String(), "reason", s.Reason, "majority", s.Majority)
	}
}

func (m *Manager) superseded() bool {
	m.stand.mu.RLock()
	defer m.stand.mu.RUnlock()
	return m.stand.superseded
}

func (m *Manager) setSuperseded(by string) {
	m.stand.mu.Lock()
	before := m.stand.superseded
	m.stand.superseded = by != ""
	m.stand.mu.Unlock()
	if by != "" && !before {
		klog.ErrorS(nil, "another daemon has joined with this id: give each its own", "daemon", m.opts.Self, "boot", by)
	}
}
