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

// SnapshotSettings say when the home of the snapshots writes the next one.
type SnapshotSettings struct {
	// Records is the number of records after which a snapshot is due.
	Records uint64
	// Retention is how long the log keeps a record, at the least. A snapshot
	// is due after a quarter of it, even if nothing changed: the last snapshot
	// itself is dropped at its end.
	Retention time.Duration
	// CheckInterval is the time between two looks.
	CheckInterval time.Duration
}

// Defaults of SnapshotSettings.
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

// lastSnapshot is what the home knows of the newest snapshot in the log.
type lastSnapshot struct {
	known bool
	pos   state.Position
	at    time.Time
	// epoch is that of the log which holds the snapshot.
	epoch uint32
}

// due says whether a snapshot must be written of a view at pos, while the log
// keeps the control stream from first on.
func (s SnapshotSettings) due(last lastSnapshot, pos, first state.Position, now time.Time) bool {
	const retentionShare = 4
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

// nearlyTrimmed reports whether the log is about to drop records that follow
// the snapshot.
func (s SnapshotSettings) nearlyTrimmed(last lastSnapshot, first state.Position) bool {
	const marginShare = 10
	return first.Offset > 0 && first.Offset+s.Records/marginShare > last.pos.Offset
}

// snapshotLoop writes snapshots while this daemon is their home.
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
		if err := m.snapshot(ctx, &last); err != nil {
			klog.ErrorS(err, "snapshot was not written")
		}
	}
}

// snapshot writes a snapshot if one is due. Another home may have written one
// meanwhile, so the log is looked at before the write.
func (m *Manager) snapshot(ctx context.Context, last *lastSnapshot) error {
	if !m.isSnapshotHome() {
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
	if found != nil && (!last.known || last.epoch != m.kept.get().Epoch || last.pos.Before(found.state.Pos)) {
		*last = lastSnapshot{known: true, pos: found.state.Pos, at: time.UnixMilli(found.atMs), epoch: m.kept.get().Epoch}
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
	*last = lastSnapshot{known: true, pos: pos, at: m.opts.Now(), epoch: m.kept.get().Epoch}
	return nil
}

func (m *Manager) snapshotDue(last lastSnapshot) bool {
	return m.opts.Snapshots.due(last, m.opts.View.Position(), m.kept.get(), m.opts.Now())
}

// isSnapshotHome reports whether this daemon writes snapshots: it must have
// read the log freshly and agree with most daemons on the state.
func (m *Manager) isSnapshotHome() bool {
	if !m.opts.View.Started() || m.Diverged() || !m.readsLog() {
		return false
	}
	return m.ownsSnapshots()
}

func (m *Manager) ownsSnapshots() bool {
	return ids.Owner("snapshot", m.opts.LiveIDs()) == m.opts.Self
}

// readsLog reports whether this daemon reads the log at its interval.
func (m *Manager) readsLog() bool {
	return m.LogAge(m.opts.Now()) <= m.opts.Limits.MaxLogAge+m.opts.readInterval()
}

// writeSnapshot appends a snapshot of the view and returns its position.
func (m *Manager) writeSnapshot(ctx context.Context) (state.Position, error) {
	s := m.opts.View.Snapshot()
	return s.Pos, m.appendSnapshot(ctx, s)
}

// appendSnapshot appends the chunks of a snapshot. An append whose answer is
// lost is not repeated at once: the next look finds what became of it.
func (m *Manager) appendSnapshot(ctx context.Context, s *state.State) error {
	chunks, err := wire.SplitSnapshot(ids.New(), s)
	if err != nil {
		return err
	}
	// Few chunks at a time keep each append below the log's limit of a request.
	const batch = 4
	for from := 0; from < len(chunks); from += batch {
		part := chunks[from:min(from+batch, len(chunks))]
		if _, err := m.opts.Log.Append(ctx, platform.StreamSnapshots, part); err != nil {
			return err
		}
	}
	klog.InfoS("wrote a snapshot", "position", s.Pos.String(), "chunks", len(chunks))
	return nil
}
