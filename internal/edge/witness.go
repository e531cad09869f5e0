package edge

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/placement"
	"github.com/ragwortquay/ragwortquay/internal/planner"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// Ask asks other daemons whether they reach an engine. It implements planner.Peers.
func (g *meshAdapter) Ask(e *catalog.Engine) {
	group := e.Membership.Group
	g.d.mesh.AskAboutHead(&wire.HeadQuery{Engine: e.ID, StartMS: e.StartUnixMS, Service: e.Service, Addr: e.Addr, Group: group.Name, Epoch: group.Epoch})
}

// LastHeard returns when the engine last sent data of a request to this daemon. It
// implements planner.Peers.
func (g *meshAdapter) LastHeard(engine string) time.Time {
	return g.tracker.LastProgress(&catalog.Engine{ID: engine})
}

// HandleHeadQuery finds out whether this daemon reaches an engine, and answers the daemon
// that asked. It does not answer while it examines too many others; the query comes again.
func (g *meshAdapter) HandleHeadQuery(q *wire.HeadQuery) {
	go func() {
		group := catalog.GroupID{Name: q.Group, Epoch: q.Epoch}
		e := catalog.Engine{ID: q.Engine, StartUnixMS: q.StartMS, Service: q.Service, Addr: q.Addr, Membership: catalog.Membership{Group: group}}
		if found, ok := g.d.planner.Examine(&e); ok {
			g.d.mesh.SendHeadStatement(q.Sender, encodeStatement(q, &found, g.LastHeard(q.Engine), time.Now()))
		}
	}()
}

// HandleHeadStatement passes the statement of another daemon to the planner.
func (g *meshAdapter) HandleHeadStatement(s *wire.HeadStatement) {
	if statement, ok := decodeStatement(s); ok {
		g.d.planner.ApplyStatement(statement)
	}
}

// findingCodes are the values of wire.HeadStatement.Finding.
var findingCodes = map[placement.EvidenceKind]int{
	placement.Silent: wire.HeadSilent, placement.Answered: wire.HeadAnswered, placement.Reported: wire.HeadReported, placement.Replaced: wire.HeadReplaced,
}

// encodeStatement returns the answer to a query. heard is when the engine last sent data
// of a request to this daemon.
func encodeStatement(q *wire.HeadQuery, found *planner.Finding, heard, now time.Time) *wire.HeadStatement {
	m := found.Report.Membership
	s := &wire.HeadStatement{
		EchoNS: q.SentNS, Engine: q.Engine, StartMS: q.StartMS, Finding: findingCodes[found.Kind], HeardAgeUS: -1,
		ReportStartMS: found.Report.StartUnixMS, Group: m.Group.Name, Epoch: m.Group.Epoch, Rank: m.Rank, State: m.State.String(),
	}
	if !heard.IsZero() {
		s.HeardAgeUS = now.Sub(heard).Microseconds()
	}
	return s
}

// decodeStatement returns a statement, unless its finding or state is unknown in this
// release.
func decodeStatement(s *wire.HeadStatement) (*planner.Statement, bool) {
	state, ok := catalog.ParseGroupState(s.State)
	if !ok {
		return nil, false
	}
	for kind, code := range findingCodes {
		if code == s.Finding {
			return &planner.Statement{
				Peer: s.Sender, Engine: s.Engine, StartUnixMS: s.StartMS, AskedAt: time.Duration(s.EchoNS),
				Finding: planner.Finding{Kind: kind, Report: planner.Report{StartUnixMS: s.ReportStartMS, Membership: catalog.Membership{
					Group: catalog.GroupID{Name: s.Group, Epoch: s.Epoch}, Rank: s.Rank, State: state,
				}}},
				HeardAgo: time.Duration(s.HeardAgeUS) * time.Microsecond,
			}, true
		}
	}
	return nil, false
}
