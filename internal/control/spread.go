package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/pause"

	"github.com/ragwortquay/ragwortquay/internal/quorum"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

// Propagation is how far a position has got among the daemons: those that have
// joined, and those that are live and may serve before their join is recorded.
type Propagation struct {
	Daemons int      `json:"daemons"`
	Applied int      `json:"in_force"`
	Missing []string `json:"missing,omitempty"`
}

// spreadPause is the time between two questions to the daemons that are behind.
const spreadPause = 50 * time.Millisecond

// WaitPropagation asks the daemons until all have folded pos, or ctx ends.
func (m *Manager) WaitPropagation(ctx context.Context, pos state.Position) Propagation {
	var out Propagation
	_ = m.opts.View.WaitPosition(ctx, pos) // this daemon's own part
	reached := make(map[string]struct{})
	for {
		others := m.others()
		missing := slices.DeleteFunc(slices.Sorted(maps.Keys(others)), func(addr string) bool {
			_, ok := reached[addr]
			return ok
		})
		for _, s := range m.ask(ctx, missing) {
			if s.report.Started && !s.report.Pos.Before(pos) {
				reached[s.addr] = struct{}{}
			}
		}
		out = m.spread(pos, others, reached)
		if len(out.Missing) == 0 || !pause.For(ctx, spreadPause) {
			return out
		}
	}
}

// others returns the addresses of the other daemons, joined or live, with
// their ids as far as they are known.
func (m *Manager) others() map[string]string {
	out := make(map[string]string)
	if m.opts.Peers != nil {
		for _, addr := range m.opts.Peers.Peers() {
			out[addr] = addr
		}
	}
	for _, d := range m.opts.View.Daemons() {
		out[d.Addr] = d.ID
	}
	delete(out, m.opts.Addr)
	return out
}

func (m *Manager) spread(pos state.Position, others map[string]string, reached map[string]struct{}) Propagation {
	s := Propagation{Daemons: 1 + len(others)}
	if m.behind(pos) {
		s.Missing = append(s.Missing, m.opts.Self)
	}
	for addr, id := range others {
		if _, ok := reached[addr]; !ok {
			s.Missing = append(s.Missing, id)
		}
	}
	slices.Sort(s.Missing)
	s.Applied = s.Daemons - len(s.Missing)
	return s
}

// PeerReports asks the other daemons how far they are. Those that do not answer
// are left out.
func (m *Manager) PeerReports(ctx context.Context) []quorum.Report {
	var out []quorum.Report
	for _, s := range m.ask(ctx, slices.Collect(maps.Keys(m.others()))) {
		out = append(out, s.report)
	}
	return out
}
