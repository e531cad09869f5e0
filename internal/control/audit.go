package control

import (
	"context"
	"errors"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/audit"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// maxAuditRecords is the maximum number of records of an audit trail.
const maxAuditRecords = 200_000

// AuditTrail reads the control stream from the oldest record that the log
// retains, with the state before that record.
func (m *Manager) AuditTrail(ctx context.Context) (audit.Trail, error) {
	var t audit.Trail
	first, err := m.oldestPosition(ctx)
	if err != nil {
		return t, err
	}
	t.Begin = first
	if t.Base, err = m.auditBase(ctx, first); err != nil {
		return t, err
	}
	for at := first; len(t.Records) < maxAuditRecords; {
		resp, err := m.opts.Log.Read(ctx, platform.StreamControl, at.Offset, platform.MaxBatchRecords)
		if err != nil {
			return t, err
		}
		if resp.Epoch != first.Epoch {
			return t, fault.New(fault.LogDown, "request the audit again", "the log was recreated while it was read")
		}
		if len(resp.Records) == 0 {
			return t, nil
		}
		for _, r := range resp.Records {
			t.Records = append(t.Records, auditRecord(first.Epoch, r))
			at.Offset = r.Offset + 1
		}
	}
	return t, nil
}

func auditRecord(epoch uint32, r platform.Record) audit.Record {
	rec, err := wire.DecodeRecord(r.Data)
	if err != nil {
		rec = nil
	}
	return audit.Record{Pos: state.Position{Epoch: epoch, Offset: r.Offset}, AppendedAt: time.UnixMilli(r.AppendUnixMS), Decoded: rec}
}

// oldestPosition returns the position of the oldest record that the log retains.
func (m *Manager) oldestPosition(ctx context.Context) (state.Position, error) {
	resp, err := m.opts.Log.Read(ctx, platform.StreamControl, 0, 1)
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		return state.Position{Epoch: trimmed.Epoch, Offset: trimmed.Oldest}, nil
	}
	return state.Position{Epoch: resp.Epoch, Offset: resp.Oldest}, err
}

// auditBase returns the state from which the verdicts on the records from first
// on can be computed: the empty state if first is the start of the stream, else
// the oldest snapshot after which no record before first is needed. It returns
// nil if there is none.
func (m *Manager) auditBase(ctx context.Context, first state.Position) (*state.State, error) {
	if first.Offset == 0 && first.Epoch <= state.FirstEpoch {
		return state.New(), nil
	}
	usable := func(s *state.State) bool {
		next := s.Next()
		return (next.Epoch < first.Epoch && first.Offset == 0) || (next.Epoch == first.Epoch && next.Offset >= first.Offset)
	}
	found, err := m.oldestSnapshot(ctx, usable)
	if err != nil || found == nil {
		return nil, err
	}
	return found.state, nil
}

// oldestSnapshot returns the oldest complete and usable snapshot in the log, or
// nil if there is none.
func (m *Manager) oldestSnapshot(ctx context.Context, usable func(*state.State) bool) (*storedSnapshot, error) {
	oldest, next, err := m.snapshotBounds(ctx)
	if err != nil {
		return nil, err
	}
	byID := make(map[string][]*wire.SnapshotChunk)
	for from := oldest; from < next; {
		resp, err := m.opts.Log.Read(ctx, platform.StreamSnapshots, from, snapshotReadBatch)
		if err != nil || len(resp.Records) == 0 {
			return nil, err
		}
		for _, r := range resp.Records {
			if s := addChunk(byID, r); s != nil && usable(s.state) {
				return s, nil
			}
			from = r.Offset + 1
		}
	}
	return nil, nil
}
