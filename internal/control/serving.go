package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/quorum"
)

// servingStatusInterval is the time between two updates of the serving status.
const servingStatusInterval = 200 * time.Millisecond

// servingState is the last serving status and the conditions it was decided on.
type servingState struct {
	mu          sync.RWMutex
	current     quorum.ServingStatus
	changed     chan struct{} // closed at the next change; nil while nobody waits
	behindSince time.Time     // zero while no report is ahead of the view
	diverged    bool
	superseded  bool
}

// ServingStatus returns the last decision on whether this daemon may serve.
func (m *Manager) ServingStatus() quorum.ServingStatus {
	m.serving.mu.RLock()
	defer m.serving.mu.RUnlock()
	return m.serving.current
}

// ServingStatusChanged returns a channel that is closed when the serving status
// changes next.
func (m *Manager) ServingStatusChanged() <-chan struct{} {
	m.serving.mu.Lock()
	defer m.serving.mu.Unlock()
	if m.serving.changed == nil {
		m.serving.changed = make(chan struct{})
	}
	return m.serving.changed
}

// Diverged reports whether at least half of the daemons at the position of this
// one have another state.
func (m *Manager) Diverged() bool {
	m.serving.mu.RLock()
	defer m.serving.mu.RUnlock()
	return m.serving.diverged
}

// servingStatusLoop updates the serving status at an interval, because it depends
// on the age of the data and not only on events.
func (m *Manager) servingStatusLoop(ctx context.Context) error {
	ticker := time.NewTicker(servingStatusInterval)
	defer ticker.Stop()
	for {
		m.updateServingStatus()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// updateServingStatus decides on the serving status from the current reports.
func (m *Manager) updateServingStatus() {
	reports := m.peerReports()
	m.pullFromHighest(reports)
	pos, digest := m.opts.View.PositionAndDigest()
	m.setDiverged(quorum.Diverged(pos, digest, reports))
	opened, _ := m.opts.View.OpenEpoch()
	now := m.opts.Now()
	m.setServingStatus(quorum.Decide(quorum.Input{
		Self:         m.opts.Self,
		CaughtUp:     m.CaughtUp(),
		Diverged:     m.Diverged(),
		EpochNotOpen: pos.Epoch > opened,
		Superseded:   m.superseded(),
		Pos:          pos,
		LogAge:       m.LogAge(now),
		BehindFor:    m.behindFor(reports, now),
		Joined:       m.joinedIDs(),
		Reports:      reports,
		Limits:       m.opts.Limits,
	}))
}

// peerReports returns the reports without any of this daemon itself: if it were
// counted twice, it could decide which of two diverged states has the majority.
func (m *Manager) peerReports() []quorum.Report {
	return slices.DeleteFunc(slices.Clone(m.opts.Reports()), func(r quorum.Report) bool { return r.Daemon == m.opts.Self })
}

// pullFromHighest triggers a read of the log, or a pull from the peer that
// reports the highest position, if this position is ahead of the view.
func (m *Manager) pullFromHighest(reports []quorum.Report) {
	best, found := quorum.HighestPosition(reports)
	if !found || !m.isBehind(best) {
		return
	}
	for _, r := range reports {
		if r.Pos != best {
			continue
		}
		d, _ := m.opts.View.Daemon(r.Daemon)
		m.handlePositionUpdate(best, d.Addr)
		return
	}
}

// behindFor returns the time for which the view has been behind the highest
// reported position, or zero if it is not.
func (m *Manager) behindFor(reports []quorum.Report, now time.Time) time.Duration {
	best, found := quorum.HighestPosition(reports)
	behind := found && m.isBehind(best)
	m.serving.mu.Lock()
	defer m.serving.mu.Unlock()
	switch {
	case !behind:
		m.serving.behindSince = time.Time{}
		return 0
	case m.serving.behindSince.IsZero():
		m.serving.behindSince = now
	}
	// Zero means that the view is not behind, so a view that has just fallen
	// behind gets the smallest positive duration.
	return max(1, now.Sub(m.serving.behindSince))
}

func (m *Manager) setDiverged(now bool) {
	m.serving.mu.Lock()
	before := m.serving.diverged
	m.serving.diverged = now
	m.serving.mu.Unlock()
	if now && !before {
		klog.ErrorS(nil, "the state of this daemon differs from that of at least half of the daemons at the same position: restart this daemon", "position", m.opts.View.Position().String())
		m.opts.OnDiverged()
	}
}

func (m *Manager) setServingStatus(s quorum.ServingStatus) {
	m.serving.mu.Lock()
	before := m.serving.current
	m.serving.current = s
	if before != s && m.serving.changed != nil {
		close(m.serving.changed)
		m.serving.changed = nil
	}
	m.serving.mu.Unlock()
	if before.Mode != s.Mode || before.Majority != s.Majority {
		klog.InfoS("serving status changed", "mode", s.Mode.String(), "reason", s.Reason, "majority", s.Majority)
	}
}

func (m *Manager) superseded() bool {
	m.serving.mu.RLock()
	defer m.serving.mu.RUnlock()
	return m.serving.superseded
}

// setSuperseded records that the incarnation with the boot id by has joined with
// this daemon's id; an empty by clears it.
func (m *Manager) setSuperseded(by string) {
	m.serving.mu.Lock()
	before := m.serving.superseded
	m.serving.superseded = by != ""
	m.serving.mu.Unlock()
	if by != "" && !before {
		klog.ErrorS(nil, "another daemon has joined with the id of this one: give each daemon its own id", "daemon", m.opts.Self, "boot", by)
	}
}
