package control

import (
	"context"
	"errors"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// openEpochRemedy is the remedy for an epoch that has no matching Open record.
const openEpochRemedy = "keep the daemons that have the state running until one of them has opened the epoch; " +
	"if no daemon has it, open the epoch without a state by apply --new-log"

// enterEpoch returns the position from which to read an epoch that the view has
// not entered. The records of earlier epochs are lost with the old log, and
// daemons may have read different numbers of them. Therefore an epoch begins with
// an Open record that identifies the state it is based on, and only a view with
// this state may enter the epoch.
func (m *Manager) enterEpoch(ctx context.Context, epoch uint32) (state.Position, error) {
	start := state.Position{Epoch: epoch}
	if !m.opts.View.Started() && epoch <= state.FirstEpoch {
		return start, nil
	}
	open, err := m.findOpen(ctx, epoch)
	if err != nil {
		return start, err
	}
	if next := m.opts.View.Next(); next.Epoch >= epoch {
		return next, nil // another goroutine or a restored snapshot has entered it
	}
	if open == nil {
		m.requestOpen(epoch)
		return start, fault.New(fault.LogDown, openEpochRemedy, "the log was recreated: its epoch %d is not open yet", epoch)
	}
	if m.matchesBase(open) {
		return start, nil
	}
	return m.advanceToBase(ctx, epoch, open)
}

// matchesBase reports whether the view is at the state that open names as the
// base of its epoch.
func (m *Manager) matchesBase(open *state.Open) bool {
	pos, digest := m.opts.View.PositionAndDigest()
	if open.Base == (state.Position{}) {
		return !m.opts.View.Started()
	}
	return pos == open.Base && !state.DigestsDiffer(digest, open.Digest)
}

// advanceToBase brings a view that lags behind the base of the epoch to the base
// or beyond it, from snapshots and peers. A view that is ahead of the base has
// records that the new epoch lacks. It does not enter the epoch, because applied
// records cannot be undone.
func (m *Manager) advanceToBase(ctx context.Context, epoch uint32, open *state.Open) (state.Position, error) {
	v := m.opts.View
	if !v.Started() || v.Position().Before(open.Base) {
		err := m.loadSnapshot(ctx, func(s *state.State) bool {
			return s.Opened >= epoch || s.Pos == open.Base && !state.DigestsDiffer(s.Digest(), open.Digest)
		})
		if err != nil {
			klog.ErrorS(err, "failed to read snapshots of the control state", "epoch", epoch)
		}
		m.pullFromPeers(ctx)
	}
	if m.matchesBase(open) {
		return state.Position{Epoch: epoch}, nil
	}
	if opened, _ := v.OpenEpoch(); opened >= epoch {
		return v.Next(), nil
	}
	return state.Position{}, fault.New(fault.LogDown, "save the records that only this daemon has, then restart it to load the new state",
		"epoch %d is based on another state, at %s, than that of this daemon at %s", epoch, open.Base, v.Position())
}

// findOpen returns the first Open record of the log's epoch, or nil if there is
// none yet. If the beginning of the epoch has been trimmed, the epoch was opened
// before; findOpen then restores the state from a snapshot or a peer and returns
// nil.
func (m *Manager) findOpen(ctx context.Context, epoch uint32) (*state.Open, error) {
	for from := uint64(0); ; {
		resp, err := m.opts.Log.Read(ctx, platform.StreamControl, from, platform.MaxBatchRecords)
		var trimmed *platform.TrimmedError
		if errors.As(err, &trimmed) && trimmed.Epoch == epoch {
			return nil, m.restore(ctx, trimmed)
		}
		if err != nil {
			return nil, err
		}
		if resp.Epoch != epoch {
			return nil, fault.New(fault.LogDown, "no action is needed: the log is read again", "the log was recreated while it was read")
		}
		for _, r := range resp.Records {
			if rec, err := wire.DecodeRecord(r.Data); err == nil && rec.Open != nil {
				return rec.Open, nil
			}
			from = r.Offset + 1
		}
		if len(resp.Records) == 0 {
			return nil, nil
		}
	}
}

// requestOpen asks openLoop to open the epoch.
func (m *Manager) requestOpen(epoch uint32) {
	select {
	case m.epochsToOpen <- epoch:
	default: // a request is pending already
	}
}

// openLoop opens the requested epochs if this daemon is responsible for it.
func (m *Manager) openLoop(ctx context.Context) error {
	for {
		select {
		case epoch := <-m.epochsToOpen:
			if err := m.openEpoch(ctx, epoch); err != nil {
				klog.ErrorS(err, "failed to open the epoch of the log", "epoch", epoch)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// openEpoch pulls later records from the peers, appends a snapshot of the state
// to the new log and then an Open record with this state as the base. Only the
// snapshot owner does this, and only if it sees a majority: a record that no
// daemon of a majority has cannot have been applied widely.
func (m *Manager) openEpoch(ctx context.Context, epoch uint32) error {
	v := m.opts.View
	if !v.Started() || !m.CaughtUp() || !m.ServingStatus().Majority || m.Diverged() || !m.isSnapshotOwner() {
		return nil
	}
	m.pullFromPeers(ctx)
	if v.Position().Epoch >= epoch {
		return nil
	}
	s := v.Snapshot()
	if err := m.appendSnapshot(ctx, s); err != nil {
		return err
	}
	return m.submitOpen(ctx, &state.Open{Base: s.Pos, Digest: s.Digest()})
}

// OpenEmptyEpoch opens the epoch of a recreated log without a base state. It is
// for an operator who knows that no daemon has a state any more, and fails if
// this daemon has one or gets one from a peer.
func (m *Manager) OpenEmptyEpoch(ctx context.Context) error {
	m.pullFromPeers(ctx)
	if m.opts.View.Started() {
		return fault.Refuse(fault.Conflict, "apply without --new-log", "this daemon has a control state, at %s", m.opts.View.Position())
	}
	return m.submitOpen(ctx, &state.Open{})
}

// submitOpen appends the Open record and requests a read of the log, which
// applies it. A repeated append is harmless, because only the first Open record
// of an epoch is accepted.
func (m *Manager) submitOpen(ctx context.Context, open *state.Open) error {
	rec := &state.Record{Open: open}
	m.fillDefaults(rec)
	data, err := wire.EncodeRecord(rec)
	if err != nil {
		return err
	}
	if _, err := m.opts.Log.Append(ctx, platform.StreamControl, [][]byte{data}); err != nil {
		return err
	}
	klog.InfoS("opened the log's new epoch", "base", open.Base.String())
	m.requestRead()
	return nil
}

// pullFromPeers brings the view forward from all reachable peers.
func (m *Manager) pullFromPeers(ctx context.Context) {
	if m.opts.Peers != nil {
		m.pullInOrder(ctx, m.requestReports(ctx, m.opts.Peers.Peers()))
	}
}
