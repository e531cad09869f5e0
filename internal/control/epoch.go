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

const remedyEpoch = "keep the daemons that hold the state running until one of them has opened the epoch; " +
	"if none is left, open it empty with apply --new-log"

// enterEpoch returns where to read an epoch that the view has not entered. The
// records before it are gone with the old log, and daemons may have read
// different numbers of them. So an epoch begins with an Open record that names
// the state it builds on, and only a view that holds this state enters.
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
		return next, nil // another goroutine, or a restored snapshot, was first
	}
	if open == nil {
		m.needsOpen(epoch)
		return start, fault.New(fault.LogDown, remedyEpoch, "the log was set up anew: its epoch %d is not open yet", epoch)
	}
	if m.holds(open) {
		return start, nil
	}
	return m.reachBase(ctx, epoch, open)
}

// holds reports whether the view is the state that the epoch builds on.
func (m *Manager) holds(open *state.Open) bool {
	pos, digest := m.opts.View.PositionAndDigest()
	if open.Base == (state.Position{}) {
		return !m.opts.View.Started()
	}
	return pos == open.Base && !state.DigestsDiffer(digest, open.Digest)
}

// reachBase brings a view that lags behind the base to it, or beyond, from
// snapshots and peers. A view that is ahead of the base knows records that the
// new epoch lacks: it stays out rather than take them back.
func (m *Manager) reachBase(ctx context.Context, epoch uint32, open *state.Open) (state.Position, error) {
	v := m.opts.View
	if !v.Started() || v.Position().Before(open.Base) {
		err := m.loadSnapshot(ctx, func(s *state.State) bool {
			return s.Opened >= epoch || s.Pos == open.Base && !state.DigestsDiffer(s.Digest(), open.Digest)
		})
		if err != nil {
			klog.ErrorS(err, "snapshots cannot be read", "epoch", epoch)
		}
		m.pullFromPeers(ctx)
	}
	if m.holds(open) {
		return state.Position{Epoch: epoch}, nil
	}
	if opened, _ := v.OpenEpoch(); opened >= epoch {
		return v.Next(), nil
	}
	return state.Position{}, fault.New(fault.LogDown, "start this daemon anew to take over the new state, after saving what it alone knows",
		"epoch %d builds on another state, at %s, than this daemon's at %s", epoch, open.Base, v.Position())
}

// findOpen returns the first Open record of the log's epoch, nil if there is
// none yet. An epoch whose beginning is trimmed was open long ago, and a
// snapshot of it or a peer holds its state.
func (m *Manager) findOpen(ctx context.Context, epoch uint32) (*state.Open, error) {
	for from := uint64(0); ; {
		answer, err := m.opts.Log.Read(ctx, platform.StreamControl, from, platform.MaxBatchRecords)
		var gap *platform.TrimmedError
		if errors.As(err, &gap) && gap.Epoch == epoch {
			return nil, m.restore(ctx, gap)
		}
		if err != nil {
			return nil, err
		}
		if answer.Epoch != epoch {
			return nil, fault.New(fault.LogDown, "nothing needs doing: it is read again", "the log was set up anew during the reading")
		}
		for _, r := range answer.Records {
			if rec, err := wire.DecodeRecord(r.Data); err == nil && rec.Open != nil {
				return rec.Open, nil
			}
			from = r.Offset + 1
		}
		if len(answer.Records) == 0 {
			return nil, nil
		}
	}
}

// needsOpen prompts the opening of the epoch.
func (m *Manager) needsOpen(epoch uint32) {
	select {
	case m.unopened <- epoch:
	default: // it is being dealt with
	}
}

// openLoop opens epochs while this daemon is the home of the snapshots.
func (m *Manager) openLoop(ctx context.Context) error {
	for {
		select {
		case epoch := <-m.unopened:
			if err := m.open(ctx, epoch); err != nil {
				klog.ErrorS(err, "epoch was not opened", "epoch", epoch)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// open writes the state into the new log and then names it in the epoch's Open
// record, after it has taken what the peers know beyond it. It does so only in
// sight of a majority: what a majority has not heard of was in force nowhere
// near everywhere.
func (m *Manager) open(ctx context.Context, epoch uint32) error {
	v := m.opts.View
	if !v.Started() || !m.CaughtUp() || !m.ServingStatus().Majority || m.Diverged() || !m.ownsSnapshots() {
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

// OpenEmptyEpoch opens a log that was set up anew without any state: for an operator
// who knows that no daemon holds one any more.
func (m *Manager) OpenEmptyEpoch(ctx context.Context) error {
	m.pullFromPeers(ctx)
	if m.opts.View.Started() {
		return fault.Refuse(fault.Conflict, "apply without --new-log", "a state is known, at %s", m.opts.View.Position())
	}
	return m.submitOpen(ctx, &state.Open{})
}

// submitOpen appends the record and lets the follower find it. The first Open
// of an epoch counts, so a repeated one does no harm.
func (m *Manager) submitOpen(ctx context.Context, open *state.Open) error {
	rec := &state.Record{Open: open}
	m.complete(rec)
	data, err := wire.EncodeRecord(rec)
	if err != nil {
		return err
	}
	if _, err := m.opts.Log.Append(ctx, platform.StreamControl, [][]byte{data}); err != nil {
		return err
	}
	klog.InfoS("opened the log's new epoch", "base", open.Base.String())
	m.readNow()
	return nil
}

func (m *Manager) pullFromPeers(ctx context.Context) {
	if m.opts.Peers != nil {
		m.pullFromBest(ctx, m.ask(ctx, m.opts.Peers.Peers()))
	}
}
