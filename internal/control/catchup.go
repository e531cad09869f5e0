package control

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/quorum"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

const (
	// parallelCalls bounds the calls to peers that are open at once.
	parallelCalls = 16
	// askedPeers is the number of peers that a caught-up daemon asks at a time.
	askedPeers = 3
)

// source is a peer that answered, with its address.
type source struct {
	addr   string
	report quorum.Report
}

// catchUp takes later state from peers while the log cannot be read. A daemon
// that is not caught up asks all of them, because it must hear a majority.
func (m *Manager) catchUp(ctx context.Context) {
	if m.opts.Peers == nil {
		m.settle(nil)
		return
	}
	addrs := slices.Clone(m.opts.Peers.Peers())
	if m.CaughtUp() && len(addrs) > askedPeers {
		rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
		addrs = addrs[:askedPeers]
	}
	heard := m.ask(ctx, addrs)
	m.pullFromBest(ctx, heard)
	if !m.CaughtUp() {
		m.settle(heard)
	}
}

// pullFromBest catches up from the peer that is farthest ahead; if that fails,
// from the next one.
func (m *Manager) pullFromBest(ctx context.Context, heard []source) {
	slices.SortFunc(heard, func(a, b source) int {
		if a.report.Pos.Before(b.report.Pos) {
			return 1
		}
		return cmp.Compare(b.report.Pos.Offset, a.report.Pos.Offset)
	})
	for _, s := range heard {
		if !s.report.Started || !m.behind(s.report.Pos) {
			continue
		}
		if err := m.pull(ctx, s.addr); err != nil {
			klog.ErrorS(err, "peer could not bring the view forward", "peer", s.report.Daemon, "addr", s.addr)
		}
	}
}

// settle marks the view as caught up without the log: a majority of the joined
// daemons was heard, and the view holds the highest position among them.
func (m *Manager) settle(heard []source) {
	v := m.opts.View
	if !v.Started() {
		return
	}
	// This daemon knows nothing of its own yet, so it does not count itself.
	others := slices.DeleteFunc(m.joined(), func(id string) bool { return id == m.opts.Self })
	in := quorum.Input{Joined: others}
	for _, s := range heard {
		in.Reports = append(in.Reports, s.report)
	}
	best, found := quorum.HighestPosition(in.Reports)
	if !found || v.Position().Before(best) || !quorum.Decide(in).Majority {
		return
	}
	klog.InfoS("caught up from peers while the log is out of reach", "position", v.Position().String(), "heard", len(heard))
	m.status.mu.Lock()
	m.status.caught = true
	m.status.mu.Unlock()
}

func (m *Manager) joined() []string {
	var out []string
	for _, d := range m.opts.View.Daemons() {
		out = append(out, d.ID)
	}
	return out
}

// ask asks each peer for its position; those that do not answer are left out.
func (m *Manager) ask(ctx context.Context, addrs []string) []source {
	if m.opts.Peers == nil {
		return nil
	}
	var mu sync.Mutex
	var heard []source
	var g errgroup.Group
	g.SetLimit(parallelCalls)
	for _, addr := range addrs {
		g.Go(func() error {
			var answer wire.PositionResponse
			if err := m.call(ctx, addr, &wire.PositionRequest{}, &answer); err != nil {
				return nil // a silent peer is not counted
			}
			mu.Lock()
			defer mu.Unlock()
			heard = append(heard, source{addr: addr, report: reportOf(answer)})
			return nil
		})
	}
	_ = g.Wait()
	return heard
}

func reportOf(a wire.PositionResponse) quorum.Report {
	return quorum.Report{Daemon: a.Daemon, Started: a.Started, Pos: a.Pos, Digest: a.Digest, LogAge: a.LogAge}
}

func (m *Manager) call(ctx context.Context, addr string, req, resp wire.Message) error {
	ctx, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	return m.opts.Peers.Call(ctx, addr, req, resp)
}

// pull takes from one peer the records that follow the view, or the peer's
// whole state where its records do not reach back far enough.
func (m *Manager) pull(ctx context.Context, addr string) error {
	for {
		v := m.opts.View
		ask := &wire.RecordsRequest{Started: v.Started(), After: v.Position()}
		var answer wire.RecordsResponse
		if err := m.call(ctx, addr, ask, &answer); err != nil {
			return err
		}
		if answer.Gap {
			return m.pullState(ctx, addr)
		}
		if len(answer.Records) == 0 {
			return nil
		}
		if err := m.foldPeer(ask, answer.Records); err != nil {
			return err
		}
	}
}

// foldPeer folds a peer's records, which must follow the asked position
// without a gap: a gap would give this daemon another state for good.
func (m *Manager) foldPeer(ask *wire.RecordsRequest, records []wire.RawRecord) error {
	last, started := ask.After, ask.Started
	for i, r := range records {
		if r.Pos.Epoch > max(last.Epoch, state.FirstEpoch) && !m.mayEnter(records[i:]) {
			return fault.New(fault.BadInput, remedyEpoch, "peer's epoch %d builds on another state than this daemon's at %s", r.Pos.Epoch, last)
		}
		if !follows(last, started, r.Pos) {
			return fault.New(fault.BadInput, "run the same release on all daemons", "peer gave position %s after %s", r.Pos, last)
		}
		m.foldRaw(r)
		last, started = r.Pos, true
	}
	return nil
}

// mayEnter reports whether the records, the first of an epoch, open it on the
// state that the view holds.
func (m *Manager) mayEnter(records []wire.RawRecord) bool {
	for _, r := range records {
		if rec, err := wire.DecodeRecord(r.Data); err == nil && rec.Open != nil {
			return r.Pos.Epoch == records[0].Pos.Epoch && m.holds(rec.Open)
		}
	}
	return false
}

func follows(last state.Position, started bool, next state.Position) bool {
	if !started || next.Epoch > last.Epoch {
		return next.Offset == 0
	}
	return next == state.Position{Epoch: last.Epoch, Offset: last.Offset + 1}
}

func (m *Manager) pullState(ctx context.Context, addr string) error {
	var answer wire.StateResponse
	if err := m.call(ctx, addr, &wire.StateRequest{}, &answer); err != nil {
		return err
	}
	s, err := wire.DecodeState(answer.State)
	if err != nil {
		return err
	}
	if state.DigestsDiffer(s.Digest(), answer.Digest) {
		return fault.New(fault.BadInput, "run the same release on all daemons", "peer's state does not have the digest that it names")
	}
	if m.tail.load(s) {
		klog.InfoS("loaded a peer's state", "addr", addr, "position", m.opts.View.Position().String())
	}
	return nil
}
