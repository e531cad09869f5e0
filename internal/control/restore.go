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

// snapshotWindow is the number of records read at a time, from the end of the
// snapshot stream backwards.
const snapshotWindow = 16

// stored is a snapshot found in the log.
type stored struct {
	state *state.State
	// first is the offset of its first chunk, atMs the log's clock at it.
	first uint64
	atMs  int64
}

// restore brings the view to a position from which the log can be read on:
// from the newest snapshot, or from a peer.
func (m *Manager) restore(ctx context.Context, gap *platform.TrimmedError) error {
	err := m.loadSnapshot(ctx, func(s *state.State) bool { return reaches(s.Next(), gap) })
	if m.reaches(gap) {
		return nil
	}
	m.pullFromPeers(ctx)
	if m.reaches(gap) {
		return nil
	}
	unreached := fault.New(fault.LogDown, "start one daemon that still holds the state, or restore the snapshot stream",
		"the log begins at %d/%d, and neither a snapshot nor a peer holds the state before it", gap.Epoch, gap.Oldest)
	return errors.Join(unreached, err)
}

// reaches reports whether the log can be read on from the view.
func (m *Manager) reaches(gap *platform.TrimmedError) bool {
	if !m.opts.View.Started() {
		return false
	}
	return reaches(m.opts.View.Next(), gap)
}

func reaches(next state.Position, gap *platform.TrimmedError) bool {
	return next.Epoch == gap.Epoch && next.Offset >= gap.Oldest
}

func anySnapshot(*state.State) bool { return true }

// loadSnapshot loads the newest usable snapshot if it is ahead of the view.
func (m *Manager) loadSnapshot(ctx context.Context, usable func(*state.State) bool) error {
	found, err := m.newestSnapshot(ctx, usable)
	if err != nil || found == nil {
		return err
	}
	if m.tail.load(found.state) {
		klog.InfoS("loaded a snapshot", "position", m.opts.View.Position().String())
	}
	return nil
}

// newestSnapshot returns the newest complete and usable snapshot in the log,
// nil if there is none.
func (m *Manager) newestSnapshot(ctx context.Context, usable func(*state.State) bool) (*stored, error) {
	oldest, next, err := m.snapshotBounds(ctx)
	if err != nil {
		return nil, err
	}
	byID := make(map[string][]*wire.SnapshotChunk)
	for end := next; end > oldest; {
		from := max(oldest, end-min(end, snapshotWindow))
		answer, err := m.opts.Log.Read(ctx, platform.StreamSnapshots, from, int(end-from))
		if err != nil {
			return nil, err
		}
		if len(answer.Records) == 0 {
			break
		}
		for _, r := range slices.Backward(answer.Records) {
			if s := addChunk(byID, r); s != nil && usable(s.state) {
				return s, nil
			}
		}
		end = from
	}
	return nil, nil
}

// addChunk collects a chunk, newest first, and returns the snapshot that it
// makes whole, if any.
func addChunk(byID map[string][]*wire.SnapshotChunk, r platform.Record) *stored {
	c, err := wire.DecodeSnapshotChunk(r.Data)
	if err != nil {
		klog.ErrorS(err, "snapshot chunk cannot be decoded", "offset", r.Offset)
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
		klog.ErrorS(err, "snapshot cannot be used", "offset", r.Offset)
		return nil
	}
	return &stored{state: s, first: r.Offset, atMs: r.AppendUnixMS}
}

func (m *Manager) snapshotBounds(ctx context.Context) (oldest, next uint64, err error) {
	answer, err := m.opts.Log.Read(ctx, platform.StreamSnapshots, 0, 1)
	if err == nil {
		return answer.Oldest, answer.Next, nil
	}
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		return trimmed.Oldest, trimmed.Next, nil
	}
	return 0, 0, err
}
