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
	// submitTimeout bounds the submission of a Join or Leave record.
	submitTimeout = 10 * time.Second
	// joinRetryInterval is the time between two attempts to join, and between two
	// checks of whether to join.
	joinRetryInterval = time.Second
)

// joinLoop keeps this daemon joined. It joins at the start, and again after a
// peer has removed it as unresponsive. Serving does not depend on the join.
func (m *Manager) joinLoop(ctx context.Context) error {
	if m.opts.Self == "" {
		return nil
	}
	wasJoined := false
	for ctx.Err() == nil {
		changed := m.opts.View.Changed()
		row, present := m.opts.View.Daemon(m.opts.Self)
		joined := present && row.BootID == m.opts.BootID
		switch {
		case joined:
			wasJoined = true
			m.setSuperseded("")
		case present && wasJoined:
			// Two daemons with the same id would replace each other forever if
			// both joined again.
			m.setSuperseded(row.BootID)
		case m.CaughtUp() && !m.leaving.Load():
			wasJoined = m.join(ctx) || wasJoined
			// A refused Join is a change of the view too, so a change must not
			// trigger the next attempt.
			pauseUnless(ctx, joinRetryInterval, wasJoined)
			continue
		}
		m.awaitChange(ctx, changed)
	}
	return nil
}

// pauseUnless waits for d unless done is set.
func pauseUnless(ctx context.Context, d time.Duration, done bool) {
	if !done {
		pause.For(ctx, d)
	}
}

// awaitChange waits for a change of the view, at most for joinRetryInterval:
// CaughtUp may become true without a change of the view.
func (m *Manager) awaitChange(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(joinRetryInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// join submits a Join record and reports whether it was accepted.
func (m *Manager) join(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	rec := &state.Record{Join: &state.Join{
		Daemon: m.opts.Self, Addr: m.opts.Addr, FailureDomain: m.opts.FailureDomain, BootID: m.opts.BootID,
	}}
	v, err := m.Submit(ctx, rec)
	if err != nil {
		klog.V(1).InfoS("failed to join the cluster; will retry", "reason", err.Error())
	}
	return err == nil && v.Accepted
}

// Leave submits a Leave record for this daemon, which has stopped serving. If
// the daemon ends without it, a peer submits one after Options.LeaveAfter.
func (m *Manager) Leave(ctx context.Context) error {
	m.leaving.Store(true)
	rec := &state.Record{Leave: &state.Leave{Daemon: m.opts.Self, BootID: m.opts.BootID, Reason: "shutdown"}}
	_, err := m.Submit(ctx, rec)
	return err
}

// leaveLoop submits Leave records for daemons that have been unresponsive for
// Options.LeaveAfter. Only the owner of the daemon's id does so, and only on the
// side of a partition that has a majority: the other side must not reduce the
// number of joined daemons.
func (m *Manager) leaveLoop(ctx context.Context) error {
	unresponsiveSince := make(map[string]time.Time) // by daemon id and boot id
	ticker := time.NewTicker(m.opts.LeaveAfter / 10)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.updateUnresponsive(unresponsiveSince)
			m.submitLeaves(ctx, unresponsiveSince)
		case <-ctx.Done():
			return nil
		}
	}
}

// updateUnresponsive maintains the time since when each joined daemon has been
// unresponsive. It starts anew for a daemon that has joined again.
func (m *Manager) updateUnresponsive(unresponsiveSince map[string]time.Time) {
	live := m.opts.LiveIDs()
	now := m.opts.Now()
	unresponsive := make(map[string]struct{})
	for _, d := range m.opts.View.Daemons() {
		if d.ID == m.opts.Self || slices.Contains(live, d.ID) {
			continue
		}
		key := d.ID + "/" + d.BootID
		unresponsive[key] = struct{}{}
		if _, known := unresponsiveSince[key]; !known {
			unresponsiveSince[key] = now
		}
	}
	for key := range unresponsiveSince {
		if _, ok := unresponsive[key]; !ok {
			delete(unresponsiveSince, key)
		}
	}
}

func (m *Manager) submitLeaves(ctx context.Context, unresponsiveSince map[string]time.Time) {
	if !m.ServingStatus().Majority || !m.logReadIsRecent() {
		return
	}
	live := m.opts.LiveIDs()
	for _, d := range m.opts.View.Daemons() {
		since, known := unresponsiveSince[d.ID+"/"+d.BootID]
		if !known || m.opts.Now().Sub(since) < m.opts.LeaveAfter {
			continue
		}
		if ids.Owner("leave/"+d.ID, live) == m.opts.Self {
			m.submitLeave(ctx, d)
		}
	}
}

func (m *Manager) submitLeave(ctx context.Context, d state.Daemon) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	reason := "silent for " + m.opts.LeaveAfter.String()
	v, err := m.Submit(ctx, &state.Record{Leave: &state.Leave{Daemon: d.ID, BootID: d.BootID, Reason: reason}})
	if err != nil {
		klog.ErrorS(err, "failed to submit the leave of an unresponsive daemon; will retry", "daemon", d.ID)
		return
	}
	klog.InfoS("submitted the leave of an unresponsive daemon", "daemon", d.ID, "accepted", v.Accepted, "reason", v.Reason)
}
