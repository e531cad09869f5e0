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
	// maxParallelCalls is the maximum number of concurrent calls to peers.
	maxParallelCalls = 16
	// peerSampleSize is the number of randomly chosen peers that a daemon which
	// has caught up asks per round.
	peerSampleSize = 3
)

// peerReport is the report of a peer, with its address.
type peerReport struct {
	addr   string
	report quorum.Report
}

// catchUpFromPeers brings the view forward from peers while the log cannot be
// read. A daemon that has not caught up yet asks all peers, because it needs
// reports from a majority.
func (m *Manager) catchUpFromPeers(ctx context.Context) {
	if m.opts.Peers == nil {
		m.markCaughtUpByPeers(nil)
		return
	}
	addrs := slices.Clone(m.opts.Peers.Peers())
	if m.CaughtUp() && len(addrs) > peerSampleSize {
		rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
		addrs = addrs[:peerSampleSize]
	}
	reports := m.requestReports(ctx, addrs)
	m.pullInOrder(ctx, reports)
	if !m.CaughtUp() {
		m.markCaughtUpByPeers(reports)
	}
}

// pullInOrder pulls records from the peers, the farthest ahead first. It skips
// peers that are not ahead of the view when their turn comes.
func (m *Manager) pullInOrder(ctx context.Context, reports []peerReport) {
	slices.SortFunc(reports, func(a, b peerReport) int {
		if a.report.Pos.Before(b.report.Pos) {
			return 1
		}
		return cmp.Compare(b.report.Pos.Offset, a.report.Pos.Offset)
	})
	for _, r := range reports {
		if !r.report.Started || !m.isBehind(r.report.Pos) {
			continue
		}
		if err := m.pullRecords(ctx, r.addr); err != nil {
			klog.ErrorS(err, "failed to catch up from a peer", "peer", r.report.Daemon, "addr", r.addr)
		}
	}
}

// markCaughtUpByPeers marks the view as caught up without the log, provided that
// a majority of the joined daemons has reported and that the view has reached
// the highest position among them.
func (m *Manager) markCaughtUpByPeers(reports []peerReport) {
	v := m.opts.View
	if !v.Started() {
		return
	}
	// This daemon has no knowledge of its own yet, so it does not count as a
	// member of the majority.
	others := slices.DeleteFunc(m.joinedIDs(), func(id string) bool { return id == m.opts.Self })
	in := quorum.Input{Joined: others}
	for _, r := range reports {
		in.Reports = append(in.Reports, r.report)
	}
	highest, found := quorum.HighestPosition(in.Reports)
	if !found || v.Position().Before(highest) || !quorum.Decide(in).Majority {
		return
	}
	klog.InfoS("caught up from peers while the log is unreachable", "position", v.Position().String(), "heard", len(reports))
	m.logStatus.mu.Lock()
	m.logStatus.caughtUp = true
	m.logStatus.mu.Unlock()
}

func (m *Manager) joinedIDs() []string {
	var out []string
	for _, d := range m.opts.View.Daemons() {
		out = append(out, d.ID)
	}
	return out
}

// requestReports requests the positions of the peers in parallel and returns the
// reports of those that respond.
func (m *Manager) requestReports(ctx context.Context, addrs []string) []peerReport {
	if m.opts.Peers == nil {
		return nil
	}
	var mu sync.Mutex
	var reports []peerReport
	var g errgroup.Group
	g.SetLimit(maxParallelCalls)
	for _, addr := range addrs {
		g.Go(func() error {
			var resp wire.PositionResponse
			if err := m.call(ctx, addr, &wire.PositionRequest{}, &resp); err != nil {
				return nil // a peer that does not respond has no report
			}
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, peerReport{addr: addr, report: reportOf(resp)})
			return nil
		})
	}
	_ = g.Wait()
	return reports
}

func reportOf(a wire.PositionResponse) quorum.Report {
	return quorum.Report{Daemon: a.Daemon, Started: a.Started, Pos: a.Pos, Digest: a.Digest, LogAge: a.LogAge}
}

func (m *Manager) call(ctx context.Context, addr string, req, resp wire.Message) error {
	ctx, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	return m.opts.Peers.Call(ctx, addr, req, resp)
}

// pullRecords reads the records after the view's position from the peer until
// there are no more. If the peer does not keep them any more, it loads the whole
// state of the peer.
func (m *Manager) pullRecords(ctx context.Context, addr string) error {
	for {
		v := m.opts.View
		req := &wire.RecordsRequest{Started: v.Started(), After: v.Position()}
		var resp wire.RecordsResponse
		if err := m.call(ctx, addr, req, &resp); err != nil {
			return err
		}
		if resp.Gap {
			return m.pullState(ctx, addr)
		}
		if len(resp.Records) == 0 {
			return nil
		}
		if err := m.applyPeerRecords(req, resp.Records); err != nil {
			return err
		}
	}
}

// applyPeerRecords applies the records that a peer returned for req. They must
// follow the requested position without a gap, because after a gap the state of
// this daemon would differ permanently from that of the others.
func (m *Manager) applyPeerRecords(req *wire.RecordsRequest, records []wire.RawRecord) error {
	last, started := req.After, req.Started
	for i, r := range records {
		if r.Pos.Epoch > max(last.Epoch, state.FirstEpoch) && !m.mayEnterEpoch(records[i:]) {
			return fault.New(fault.BadInput, openEpochRemedy, "epoch %d of the peer is based on another state than that of this daemon at %s", r.Pos.Epoch, last)
		}
		if !follows(last, started, r.Pos) {
			return fault.New(fault.BadInput, "run the same release on all daemons", "peer sent the record at %s after the one at %s", r.Pos, last)
		}
		m.applyRaw(r)
		last, started = r.Pos, true
	}
	return nil
}

// mayEnterEpoch reports whether the records, which start an epoch, contain an
// Open record with the state of the view as its base.
func (m *Manager) mayEnterEpoch(records []wire.RawRecord) bool {
	for _, r := range records {
		if rec, err := wire.DecodeRecord(r.Data); err == nil && rec.Open != nil {
			return r.Pos.Epoch == records[0].Pos.Epoch && m.matchesBase(rec.Open)
		}
	}
	return false
}

// follows reports whether next is the position directly after last, or the first
// one of the stream or of a new epoch.
func follows(last state.Position, started bool, next state.Position) bool {
	if !started || next.Epoch > last.Epoch {
		return next.Offset == 0
	}
	return next == state.Position{Epoch: last.Epoch, Offset: last.Offset + 1}
}

// pullState loads the whole state of the peer.
func (m *Manager) pullState(ctx context.Context, addr string) error {
	var resp wire.StateResponse
	if err := m.call(ctx, addr, &wire.StateRequest{}, &resp); err != nil {
		return err
	}
	s, err := wire.DecodeState(resp.State)
	if err != nil {
		return err
	}
	if state.DigestsDiffer(s.Digest(), resp.Digest) {
		return fault.New(fault.BadInput, "run the same release on all daemons", "digest of the peer's state does not match the one that the peer sent")
	}
	if m.recent.load(s) {
		klog.InfoS("loaded the state of a peer", "addr", addr, "position", m.opts.View.Position().String())
	}
	return nil
}
