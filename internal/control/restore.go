package control

import (
	"context"
	"errors"
	"slices"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// snapshotReadBatch is the number of records per read of the snapshot stream.
const snapshotReadBatch = 16

// storedSnapshot is a decoded snapshot from the log.
type storedSnapshot struct {
	state *state.State
	// completingOffset is the offset of the last chunk that was read, which completed
	// the snapshot. appendUnixMS is the time of its append by the log's clock.
	completingOffset uint64
	appendUnixMS     int64
}

// restore brings the view to a position from which the trimmed log can be read
// on, from the newest snapshot or else from a peer.
func (m *Manager) restore(ctx context.Context, trimmed *platform.TrimmedError) error {
	err := m.loadSnapshot(ctx, func(s *state.State) bool { return logContinuesAt(s.Next(), trimmed) })
	if m.canReadOn(trimmed) {
		return nil
	}
	m.pullFromPeers(ctx)
	if m.canReadOn(trimmed) {
		return nil
	}
	notFound := fault.New(fault.LogDown, "start a daemon that still has the state, or restore the snapshot stream",
		"the log begins at %d/%d, and neither a snapshot nor a peer has the state before it", trimmed.Epoch, trimmed.Oldest)
	return errors.Join(notFound, err)
}

// canReadOn reports whether the log can be read on from the view's position.
func (m *Manager) canReadOn(trimmed *platform.TrimmedError) bool {
	if !m.opts.View.Started() {
		return false
	}
	return logContinuesAt(m.opts.View.Next(), trimmed)
}

// logContinuesAt reports whether the trimmed log still has the record at next.
func logContinuesAt(next state.Position, trimmed *platform.TrimmedError) bool {
	return next.Epoch == trimmed.Epoch && next.Offset >= trimmed.Oldest
}

func anySnapshot(*state.State) bool { return true }

// loadSnapshot loads the newest usable snapshot if it is at a later position than
// the view.
func (m *Manager) loadSnapshot(ctx context.Context, usable func(*state.State) bool) error {
	found, err := m.newestSnapshot(ctx, usable)
	if err != nil || found == nil {
		return err
	}
	if m.recent.load(found.state) {
		klog.InfoS("loaded a snapshot of the control state", "position", m.opts.View.Position().String())
	}
	return nil
}

// newestSnapshot reads the snapshot stream backwards and returns the newest
// complete and usable snapshot, or nil if there is none.
func (m *Manager) newestSnapshot(ctx context.Context, usable func(*state.State) bool) (*storedSnapshot, error) {
	oldest, next, err := m.snapshotBounds(ctx)
	if err != nil {
		return nil, err
	}
	byID := make(map[string][]*wire.SnapshotChunk)
	for end := next; end > oldest; {
		from := max(oldest, end-min(end, snapshotReadBatch))
		resp, err := m.opts.Log.Read(ctx, platform.StreamSnapshots, from, int(end-from))
		if err != nil {
			return nil, err
		}
		if len(resp.Records) == 0 {
			break
		}
		for _, r := range slices.Backward(resp.Records) {
			if s := addChunk(byID, r); s != nil && usable(s.state) {
				return s, nil
			}
		}
		end = from
	}
	return nil, nil
}

// addChunk decodes a chunk and adds it to the chunks of the same snapshot. It
// returns the snapshot if this chunk completes it, and nil otherwise. It skips
// chunks and snapshots that are not valid.
func addChunk(byID map[string][]*wire.SnapshotChunk, r platform.Record) *storedSnapshot {
	c, err := wire.DecodeSnapshotChunk(r.Data)
	if err != nil {
		klog.ErrorS(err, "failed to decode a snapshot chunk", "offset", r.Offset)
		return nil
	}
	chunks := append(byID[c.ID], c)
	byID[c.ID] = chunks
	if len(chunks) < c.Total {
		return nil
	}
	delete(byID, c.ID)
	slices.SortFunc(chunks, func(a, b *wire.SnapshotChunk) int { return a.Index - b.Index })
	s, err := wire.JoinSnapshot(chunks)
	if err != nil {
		klog.ErrorS(err, "failed to decode a snapshot", "offset", r.Offset)
		return nil
	}
	return &storedSnapshot{state: s, completingOffset: r.Offset, appendUnixMS: r.AppendUnixMS}
}

// snapshotBounds returns the oldest retained and the next offset of the snapshot
// stream.
func (m *Manager) snapshotBounds(ctx context.Context) (oldest, next uint64, err error) {
	resp, err := m.opts.Log.Read(ctx, platform.StreamSnapshots, 0, 1)
	if err == nil {
		return resp.Oldest, resp.Next, nil
	}
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		return trimmed.Oldest, trimmed.Next, nil
	}
	return 0, 0, err
}
