package control

import (
	"context"
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/pause"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

const (
	// submitTimeout bounds one submission of the manager's own records.
	submitTimeout = 10 * time.Second
	// joinPause is the time between two attempts to join.
	joinPause = time.Second
)

// joinLoop keeps this daemon joined: it joins at the start, and again when a
// peer took it for dead. Service does not wait for it.
func (m *Manager) joinLoop(ctx context.Context) error {
	if m.opts.Self == "" {
		return nil
	}
	wasJoined := false
	for ctx.Err() == nil {
		changed := m.opts.View.Changed()
		row, present := m.opts.View.Daemon(m.opts.Self)
		mine := present && row.BootID == m.opts.BootID
		switch {
		case mine:
			wasJoined = true
			m.setSuperseded("")
		case present && wasJoined:
			// Joining again would start an endless contest for the id.
			m.setSuperseded(row.BootID)
		case m.CaughtUp() && !m.leaving.Load():
			wasJoined = m.join(ctx) || wasJoined
			// A refusal moves the view too, so it must not prompt the next try.
			waitUnless(ctx, joinPause, wasJoined)
			continue
		}
		m.awaitChange(ctx, changed)
	}
	return nil
}

// waitUnless waits for d unless there is nothing to wait for.
func waitUnless(ctx context.Context, d time.Duration, done bool) {
	if !done {
		pause.For(ctx, d)
	}
}

// awaitChange waits for a change of the view, and until then looks again now
// and then, because being caught up is no change of the view.
func (m *Manager) awaitChange(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(joinPause)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// join reports whether this daemon is now joined.
func (m *Manager) join(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	rec := &state.Record{Join: &state.Join{
		Daemon: m.opts.Self, Addr: m.opts.Addr, FailureDomain: m.opts.FailureDomain, BootID: m.opts.BootID,
	}}
	v, err := m.Submit(ctx, rec)
	if err != nil {
		klog.V(1).InfoS("join was not accepted yet", "reason", err.Error())
	}
	return err == nil && v.Accepted
}

// Leave tells the others that this daemon ends. It is called once the daemon
// has stopped serving; without it a peer does so after a while.
func (m *Manager) Leave(ctx context.Context) error {
	m.leaving.Store(true)
	rec := &state.Record{Leave: &state.Leave{Daemon: m.opts.Self, BootID: m.opts.BootID, Reason: "shutdown"}}
	_, err := m.Submit(ctx, rec)
	return err
}

// leaveLoop proposes the end of daemons that have been silent for long. Only
// the home of a silent daemon proposes, and only on the side that sees a
// majority: the other side must not shrink the number of joined daemons.
func (m *Manager) leaveLoop(ctx context.Context) error {
	silent := make(map[string]time.Time)
	ticker := time.NewTicker(m.opts.LeaveAfter / 10)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.noteSilent(silent)
			m.proposeLeaves(ctx, silent)
		case <-ctx.Done():
			return nil
		}
	}
}

// noteSilent keeps since when each joined daemon has not been live. A daemon
// that joined anew under the same id starts afresh.
func (m *Manager) noteSilent(silent map[string]time.Time) {
	live := m.opts.LiveIDs()
	now := m.opts.Now()
	seen := make(map[string]struct{})
	for _, d := range m.opts.View.Daemons() {
		if d.ID == m.opts.Self || slices.Contains(live, d.ID) {
			continue
		}
		key := d.ID + "/" + d.BootID
		seen[key] = struct{}{}
		if _, known := silent[key]; !known {
			silent[key] = now
		}
	}
	for key := range silent {
		if _, still := seen[key]; !still {
			delete(silent, key)
		}
	}
}

func (m *Manager) proposeLeaves(ctx context.Context, silent map[string]time.Time) {
	if !m.ServingStatus().Majority || !m.readsLog() {
		return
	}
	live := m.opts.LiveIDs()
	for _, d := range m.opts.View.Daemons() {
		since, known := silent[d.ID+"/"+d.BootID]
		if !known || m.opts.Now().Sub(since) < m.opts.LeaveAfter {
			continue
		}
		if ids.Owner("leave/"+d.ID, live) == m.opts.Self {
			m.proposeLeave(ctx, d)
		}
	}
}

func (m *Manager) proposeLeave(ctx context.Context, d state.Daemon) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	reason := "silent for " + m.opts.LeaveAfter.String()
	v, err := m.Submit(ctx, &state.Record{Leave: &state.Leave{Daemon: d.ID, BootID: d.BootID, Reason: reason}})
	if err != nil {
		klog.ErrorS(err, "leave of a silent daemon was not accepted yet", "daemon", d.ID)
		return
	}
	klog.InfoS("silent daemon left", "daemon", d.ID, "accepted", v.Accepted, "reason", v.Reason)
}
