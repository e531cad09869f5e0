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

// Propagation tells how many daemons have applied a position. It covers the
// daemons that have joined, and live ones, which may serve before they join.
type Propagation struct {
	// Daemons is the number of daemons, including this one.
	Daemons int `json:"daemons"`
	// Applied is the number of daemons that have applied the position.
	Applied int `json:"in_force"`
	// Missing lists the daemons that have not applied the position, by id, or by
	// address if the id is unknown.
	Missing []string `json:"missing,omitempty"`
}

// propagationPollInterval is the time between two requests to the daemons that
// have not applied the position.
const propagationPollInterval = 50 * time.Millisecond

// WaitPropagation polls the daemons until all of them have applied pos or ctx is
// done.
func (m *Manager) WaitPropagation(ctx context.Context, pos state.Position) Propagation {
	var out Propagation
	_ = m.opts.View.WaitPosition(ctx, pos) // on an error this daemon is listed as missing
	reached := make(map[string]struct{})
	for {
		others := m.otherDaemons()
		missing := slices.DeleteFunc(slices.Sorted(maps.Keys(others)), func(addr string) bool {
			_, ok := reached[addr]
			return ok
		})
		for _, r := range m.requestReports(ctx, missing) {
			if r.report.Started && !r.report.Pos.Before(pos) {
				reached[r.addr] = struct{}{}
			}
		}
		out = m.propagation(pos, others, reached)
		if len(out.Missing) == 0 || !pause.For(ctx, propagationPollInterval) {
			return out
		}
	}
}

// otherDaemons maps the addresses of the other daemons, joined or live, to their
// ids, or to the address if the id is unknown.
func (m *Manager) otherDaemons() map[string]string {
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

func (m *Manager) propagation(pos state.Position, others map[string]string, reached map[string]struct{}) Propagation {
	p := Propagation{Daemons: 1 + len(others)}
	if m.isBehind(pos) {
		p.Missing = append(p.Missing, m.opts.Self)
	}
	for addr, id := range others {
		if _, ok := reached[addr]; !ok {
			p.Missing = append(p.Missing, id)
		}
	}
	slices.Sort(p.Missing)
	p.Applied = p.Daemons - len(p.Missing)
	return p
}

// PeerReports requests reports from the other daemons, joined or live, and
// returns those of the daemons that respond.
func (m *Manager) PeerReports(ctx context.Context) []quorum.Report {
	var out []quorum.Report
	for _, r := range m.requestReports(ctx, slices.Collect(maps.Keys(m.otherDaemons()))) {
		out = append(out, r.report)
	}
	return out
}
