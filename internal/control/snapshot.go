package control

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// SnapshotSettings determine when the snapshot owner writes a snapshot.
type SnapshotSettings struct {
	// Records is the number of records since the last snapshot after which the
	// next one is due.
	Records uint64
	// Retention is the minimum time for which the log retains a record. A
	// snapshot is due after a quarter of it, even without new records, because
	// the log drops the last snapshot too when its retention ends.
	Retention time.Duration
	// CheckInterval is the time between two checks of whether a snapshot is due.
	CheckInterval time.Duration
}

// Default values of SnapshotSettings.
const (
	DefaultSnapshotRecords       = 1000
	DefaultLogRetention          = 4 * time.Hour
	DefaultSnapshotCheckInterval = 5 * time.Second
)

func (s SnapshotSettings) withDefaults() SnapshotSettings {
	if s.Records == 0 {
		s.Records = DefaultSnapshotRecords
	}
	if s.Retention <= 0 {
		s.Retention = DefaultLogRetention
	}
	if s.CheckInterval <= 0 {
		s.CheckInterval = DefaultSnapshotCheckInterval
	}
	return s
}

// lastSnapshot describes the newest snapshot in the log, as far as the snapshot
// owner knows it.
type lastSnapshot struct {
	known bool
	pos   state.Position
	at    time.Time
	// epoch is the epoch of the log that contains the snapshot.
	epoch uint32
}

// due reports whether a snapshot of a view at pos must be written, where first is
// the oldest position of the control stream that the log retains.
func (s SnapshotSettings) due(last lastSnapshot, pos, first state.Position, now time.Time) bool {
	const retentionShare = 4 // a snapshot is due after 1/4 of the retention
	age := now.Sub(last.at)
	switch {
	case !last.known || last.epoch != first.Epoch || last.pos.Epoch != pos.Epoch:
		return true
	case pos.Offset >= last.pos.Offset+s.Records:
		return true
	case pos != last.pos && s.nearlyTrimmed(last, first):
		return true
	default:
		return age < 0 || age >= s.Retention/retentionShare
	}
}

// nearlyTrimmed reports whether the log may soon drop records that follow the
// snapshot.
func (s SnapshotSettings) nearlyTrimmed(last lastSnapshot, first state.Position) bool {
	const marginShare = 10 // the margin is 1/10 of the records between snapshots
	return first.Offset > 0 && first.Offset+s.Records/marginShare > last.pos.Offset
}

// snapshotLoop writes the snapshots that are due while this daemon is the
// snapshot owner.
func (m *Manager) snapshotLoop(ctx context.Context) error {
	var last lastSnapshot
	ticker := time.NewTicker(m.opts.Snapshots.CheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		if err := m.snapshotIfDue(ctx, &last); err != nil {
			klog.ErrorS(err, "failed to write a snapshot of the control state")
		}
	}
}

// snapshotIfDue writes a snapshot if one is due. It searches the log for the
// newest one before the write, because a previous owner may have written one.
func (m *Manager) snapshotIfDue(ctx context.Context, last *lastSnapshot) error {
	if !m.mayWriteSnapshots() {
		*last = lastSnapshot{}
		return nil
	}
	if !m.snapshotDue(*last) {
		return nil
	}
	found, err := m.newestSnapshot(ctx, anySnapshot)
	if err != nil {
		return err
	}
	if found != nil && (!last.known || last.epoch != m.logStart.get().Epoch || last.pos.Before(found.state.Pos)) {
		*last = lastSnapshot{known: true, pos: found.state.Pos, at: time.UnixMilli(found.appendUnixMS), epoch: m.logStart.get().Epoch}
	}
	if found == nil {
		last.known = false
	}
	if !m.snapshotDue(*last) {
		return nil
	}
	pos, err := m.writeSnapshot(ctx)
	if err != nil {
		return err
	}
	*last = lastSnapshot{known: true, pos: pos, at: m.opts.Now(), epoch: m.logStart.get().Epoch}
	return nil
}

func (m *Manager) snapshotDue(last lastSnapshot) bool {
	return m.opts.Snapshots.due(last, m.opts.View.Position(), m.logStart.get(), m.opts.Now())
}

// mayWriteSnapshots reports whether this daemon writes the snapshots: it must be
// their owner, have read the log recently and not be diverged.
func (m *Manager) mayWriteSnapshots() bool {
	if !m.opts.View.Started() || m.Diverged() || !m.logReadIsRecent() {
		return false
	}
	return m.isSnapshotOwner()
}

// isSnapshotOwner reports whether this daemon is the snapshot owner: the one live
// daemon, chosen by rendezvous hashing, that writes the snapshots and opens epochs.
func (m *Manager) isSnapshotOwner() bool {
	return ids.Owner("snapshot", m.opts.LiveIDs()) == m.opts.Self
}

// logReadIsRecent reports whether the last read that reached the log's end is
// at most one read interval older than the age that counts as current.
func (m *Manager) logReadIsRecent() bool {
	return m.LogAge(m.opts.Now()) <= m.opts.Limits.MaxLogAge+m.opts.readInterval()
}

// writeSnapshot appends a snapshot of the view and returns its position.
func (m *Manager) writeSnapshot(ctx context.Context) (state.Position, error) {
	s := m.opts.View.Snapshot()
	return s.Pos, m.appendSnapshot(ctx, s)
}

// appendSnapshot appends the chunks of a snapshot of s. A failed append is not
// retried here: the next check finds out whether the snapshot is in the log.
func (m *Manager) appendSnapshot(ctx context.Context, s *state.State) error {
	chunks, err := wire.SplitSnapshot(ids.New(), s)
	if err != nil {
		return err
	}
	// Four chunks per append keep the request below the size limit of the log.
	const batch = 4
	for from := 0; from < len(chunks); from += batch {
		part := chunks[from:min(from+batch, len(chunks))]
		if _, err := m.opts.Log.Append(ctx, platform.StreamSnapshots, part); err != nil {
			return err
		}
	}
	klog.InfoS("wrote a snapshot of the control state", "position", s.Pos.String(), "chunks", len(chunks))
	return nil
}
