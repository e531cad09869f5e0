package planner

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/boottime"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/placement"
)

// maxExaminations bounds the engines that are examined for peers at a time.
const maxExaminations = 16

// Peers are the other daemons, which may reach an engine that this one does not.
type Peers interface {
	// Ask asks some of the other daemons whether they reach the engine. Their
	// statements arrive at ApplyStatement.
	Ask(e *catalog.Engine)
	// LastHeard returns when the engine last sent data of a request to this daemon.
	LastHeard(engine string) time.Time
}

// Finding is the result of an attempt to reach an engine.
type Finding struct {
	// Kind is Silent, Answered, Reported or Replaced.
	Kind placement.EvidenceKind
	// Report is set if Kind is Reported.
	Report Report
	// Err is why there is no report.
	Err error
}

// Statement is what a peer states about an engine.
type Statement struct {
	Peer string
	// Engine and StartUnixMS identify the incarnation that the peer was asked about.
	Engine      string
	StartUnixMS int64
	// AskedAt is the boot time at which the peer was asked.
	AskedAt time.Duration
	Finding Finding
	// HeardAgo is the time since the engine last sent data of a request to the peer,
	// when the statement was sent; negative if it never did.
	HeardAgo time.Duration
}

// querySuspects queries the suspected members of groups, and the heads that no longer
// announce themselves or their group but may still serve.
func (p *Planner) querySuspects() {
	if !p.HoldsLease() {
		return
	}
	now := time.Now()
	var due []*engineStatus
	p.engines.Range(func(_ string, es *engineStatus) bool {
		if es.needsQuery(now) && es.beginQuery(now) {
			due = append(due, es)
		}
		return true
	})
	for _, es := range due {
		go p.query(es)
	}
}

func (es *engineStatus) needsQuery(now time.Time) bool {
	es.mu.Lock()
	defer es.mu.Unlock()
	inGroup := es.engine.Membership.State != catalog.NoGroup
	absentHead := !es.present && es.engine.Membership.Rank == 0 && inGroup
	wanted := es.present && inGroup && es.suspect || absentHead || es.leadsUnannounced()
	return wanted && !es.replaced && now.Sub(es.queriedAt) >= queryInterval
}

// beginQuery reports whether a series of queries may begin, which query then ends: no
// other one is in progress.
func (es *engineStatus) beginQuery(now time.Time) bool {
	es.mu.Lock()
	defer es.mu.Unlock()
	if es.querying {
		return false
	}
	es.queriedAt, es.querying = now, true
	return true
}

// query queries an engine up to maxMisses times and records the results. It asks the
// peers about a head that did not answer. The caller has called beginQuery.
func (p *Planner) query(es *engineStatus) {
	es.mu.Lock()
	e := es.engine
	if es.leadsUnannounced() {
		e.Membership = catalog.Membership{Group: es.leads, State: catalog.Open}
	}
	isHead := e.Membership.Rank == 0
	es.mu.Unlock()
	defer func() {
		es.mu.Lock()
		es.querying = false
		es.mu.Unlock()
	}()
	for i := range maxMisses {
		if !p.querySlots.acquire(time.Now().Add(queryInterval)) {
			return
		}
		sentAt := time.Now()
		last := i == maxMisses-1
		found := p.examine(&e, isHead && last)
		p.querySlots.release()
		if !es.recordFinding(&e, found, sentAt) {
			return
		}
		switch {
		case found.Kind == placement.Reported:
			p.closeAbsentHead(es, e, found.Report.Membership)
			return
		case found.Kind == placement.Answered:
			p.closeAbsentHead(es, e, e.Membership)
		case found.Kind == placement.Replaced || !isHead && fault.Is(found.Err, fault.Unavailable):
			return
		}
		if isHead && i == 0 {
			p.opts.Peers.Ask(&e)
		}
	}
}

// examine queries an engine for its report. If it does not get one and thorough is set,
// it checks whether the engine answers otherwise. A report of another start is that of
// another engine at the address or of a later incarnation, unless it names the group: then
// the engine started again before it joined.
func (p *Planner) examine(e *catalog.Engine, thorough bool) Finding {
	r, err := p.opts.Engines.Report(e)
	switch {
	case err == nil && r.StartUnixMS != e.StartUnixMS && r.Membership.Group != e.Membership.Group:
		return Finding{Kind: placement.Replaced}
	case err == nil:
		return Finding{Kind: placement.Reported, Report: r}
	case fault.Is(err, fault.NotFound):
		return Finding{Kind: placement.Replaced, Err: err}
	case thorough && p.opts.Engines.Answers(e, p.opts.Directory.HealthPath(e.Service)):
		return Finding{Kind: placement.Answered, Err: err}
	default:
		return Finding{Kind: placement.Silent, Err: err}
	}
}

// Examine finds out for a peer whether this daemon reaches an engine. It reports false if
// too many engines are being examined.
func (p *Planner) Examine(e *catalog.Engine) (Finding, bool) {
	select {
	case p.examinations <- struct{}{}:
		defer p.examinations.release()
		return p.examine(e, true), true
	default:
		return Finding{}, false
	}
}

// recordFinding records the result of this daemon's query, which was sent at sentAt. It
// reports false if the engine has been announced anew since.
func (es *engineStatus) recordFinding(e *catalog.Engine, found Finding, sentAt time.Time) bool {
	es.mu.Lock()
	defer es.mu.Unlock()
	if es.engine.StartUnixMS != e.StartUnixMS || es.engine.SeenAt.After(sentAt) {
		return false
	}
	fields := []any{"engine", e.ID, "group", e.Membership.Group.Name, "rank", e.Membership.Rank, "error", errText(found.Err)}
	switch found.Kind {
	case placement.Reported:
		es.misses, es.suspect = 0, false
		es.recordReport(found.Report, sentAt)
	case placement.Replaced:
		es.replaced = true
		klog.InfoS("engine is down", fields...)
	case placement.Answered:
		es.misses++
		es.recordHeard(sentAt)
	default:
		es.misses++
		if fault.Is(found.Err, fault.Unavailable) {
			es.misses = max(es.misses, maxMisses)
		}
		es.silence = placement.ExtendSilence(es.silence, sentAt)
	}
	if es.misses == maxMisses {
		klog.InfoS("engine is silent", append(fields, "answers_health_check", found.Kind == placement.Answered)...)
	}
	return true
}

// recordReport records a report that was requested at the given time. The caller holds
// the lock.
func (es *engineStatus) recordReport(r Report, at time.Time) {
	if at.After(es.reportedAt) {
		es.reported, es.reportedAt = r, at
	}
	es.recordHeard(at)
}

// recordHeard records that the engine answered or sent data, which ends all silences
// before. The caller holds the lock.
func (es *engineStatus) recordHeard(at time.Time) {
	if !at.After(es.heardAt) {
		return
	}
	es.heardAt = at
	for _, s := range []*placement.Evidence{&es.silence, &es.peerSilence} {
		if !at.Before(s.At) {
			*s = placement.Evidence{}
		}
	}
}

// ApplyStatement records what a peer states about an engine.
func (p *Planner) ApplyStatement(s *Statement) {
	es, ok := p.engines.Get(s.Engine)
	waited := boottime.Now() - s.AskedAt
	if !ok || waited < 0 || waited > unknownHeadWait {
		return
	}
	now := time.Now()
	es.applyStatement(s, now.Add(-waited), now)
}

// applyStatement records a statement that was asked for at askedAt and arrived at now.
func (es *engineStatus) applyStatement(s *Statement, askedAt, now time.Time) {
	es.mu.Lock()
	defer es.mu.Unlock()
	if es.engine.StartUnixMS != s.StartUnixMS || es.engine.SeenAt.After(askedAt) {
		return
	}
	if s.HeardAgo >= 0 {
		es.recordHeard(now.Add(-s.HeardAgo))
	}
	switch s.Finding.Kind {
	case placement.Reported:
		es.recordReport(s.Finding.Report, askedAt)
	case placement.Answered:
		es.recordHeard(askedAt)
	case placement.Replaced:
		es.replaced = true
		klog.InfoS("engine is down", "engine", s.Engine, "peer", s.Peer)
	default:
		// The peer's query failed some time between the two moments.
		es.peerSilence = placement.ExtendSilence(es.peerSilence, now)
	}
}
