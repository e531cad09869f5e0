package planner

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/boottime"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/directory"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/placement"
)

const (
	// stallMargin is added to StallBound before a silent head counts as stopped. It
	// covers the lag of reading announcements.
	stallMargin = 400 * time.Millisecond
	// unknownHeadWait is the time after which the head of a group counts as stopped if
	// it is unknown, or is silent and no other daemon has stated so. By then a group
	// that stands still has been broken for a long time.
	unknownHeadWait = 20 * time.Second
	// maxExaminations bounds the engines that are examined for peers at a time.
	maxExaminations = 16
)

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

// markAbsentHeads marks the engines that lead groups without announcing them, so that
// they are queried.
func (p *Planner) markAbsentHeads(view *directory.ServiceView, now time.Time) {
	leads := map[string]catalog.GroupID{}
	for i := range view.Groups {
		g := &view.Groups[i]
		f, forming := p.formations.Get(g.ID.Name)
		if g.Head() != nil || forming && now.Before(f.until) {
			continue
		}
		if id, _, ok := p.absentHead(g.ID); ok {
			leads[id] = g.ID
		}
	}
	p.engines.Range(func(id string, es *engineStatus) bool {
		es.mu.Lock()
		defer es.mu.Unlock()
		if es.engine.Service == view.Service.Name {
			es.leads = leads[id]
		}
		return true
	})
}

// absentHead returns the id and the start time, in Unix milliseconds, of the engine that
// leads a group without announcing it: the one that announced it last, or the stored
// one.
func (p *Planner) absentHead(group catalog.GroupID) (id string, startMS int64, ok bool) {
	stored, isStored := p.opts.Directory.Head(group.Name)
	if isStored {
		id, startMS, ok = stored.ID, stored.StartUnixMS, true
		if es, tracked := p.engines.Get(id); tracked {
			if last, leads := es.ledStart(group); leads {
				startMS = last
			}
		}
		return id, startMS, ok
	}
	p.engines.Range(func(trackedID string, es *engineStatus) bool {
		if last, leads := es.ledStart(group); leads {
			id, startMS, ok = trackedID, last, true
		}
		return !ok
	})
	return id, startMS, ok
}

// ledStart returns the start of the incarnation that announced, as the engine's last
// announcement, that it leads the group.
func (es *engineStatus) ledStart(group catalog.GroupID) (startMS int64, leads bool) {
	es.mu.Lock()
	defer es.mu.Unlock()
	m := es.engine.Membership
	return es.engine.StartUnixMS, m.Group == group && m.Rank == 0 && m.State != catalog.NoGroup
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

// leadsUnannounced reports whether the engine leads a group that it does not announce. The
// caller holds the lock.
func (es *engineStatus) leadsUnannounced() bool { return es.leads != catalog.GroupID{} }

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
	case thorough && p.opts.Engines.Answers(e, p.healthPath(e.Service)):
		return Finding{Kind: placement.Answered, Err: err}
	default:
		return Finding{Kind: placement.Silent, Err: err}
	}
}

// healthPath returns the path of a service's health checks, or an empty path.
func (p *Planner) healthPath(service string) string {
	cfg := p.opts.Directory.Config()
	if cfg == nil {
		return ""
	}
	return cfg.Services[service].HealthPath
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

// closeAbsentHead closes the group of a head that no longer announces itself but serves,
// or may have been ordered to serve.
func (p *Planner) closeAbsentHead(es *engineStatus, e catalog.Engine, m catalog.Membership) {
	es.mu.Lock()
	present := es.present
	es.mu.Unlock()
	_, closed := p.closedGroups.Get(m.Group.Name)
	if present || (m.State != catalog.Open && m.State != catalog.Ready) || closed {
		return
	}
	if until, ok := p.unansweredUntil.Get(e.ID); ok && time.Now().Before(until) {
		return // an order is in progress
	}
	go p.sendClose(&e, m.Group, false, time.Time{})
}

// headStopped reports whether the head of a group, which does not announce the group,
// has certainly stopped serving.
func (p *Planner) headStopped(g *catalog.Group, now time.Time) bool {
	if g.Head() != nil {
		// It reaches the store, and may serve daemons that it can reach.
		return false
	}
	id, startMS, ok := p.absentHead(g.ID)
	es, tracked := p.engines.Get(id)
	if !ok || !tracked {
		return p.headlessFor(g.ID, now) > unknownHeadWait
	}
	q := placement.HeadQuestion{
		Group: g.ID, StartUnixMS: startMS, HasPeers: p.opts.Directory.DaemonCount() > 1,
		StallBound: p.opts.StallBound + stallMargin, UnwitnessedBound: max(unknownHeadWait, p.opts.StallBound+stallMargin), Now: now,
	}
	evidence := es.evidence(p.opts.Peers.LastHeard(id))
	if closed, ok := p.closedGroups.Get(g.ID.Name); ok {
		evidence = append(evidence, placement.Evidence{Kind: placement.CloseAccepted, At: closed.at})
	}
	if _, ok := p.unopenedGroups.Get(g.ID.Name); ok {
		evidence = append(evidence, placement.Evidence{Kind: placement.NeverOpened})
	}
	verdict := placement.JudgeHead(&q, evidence)
	if last, judged := p.headVerdicts.Get(g.ID.Name); !judged || last != verdict {
		p.headVerdicts.Set(g.ID.Name, verdict)
		es.logVerdict(g.ID, verdict, now)
	}
	return verdict != placement.HeadMayServe
}

// evidence lists what is known of the engine as a head. lastHeard is when it last sent
// data of a request to this daemon.
func (es *engineStatus) evidence(lastHeard time.Time) []placement.Evidence {
	es.mu.Lock()
	defer es.mu.Unlock()
	es.recordHeard(lastHeard)
	var out []placement.Evidence
	if es.present {
		out = append(out, placement.Evidence{Kind: placement.Announced, StartUnixMS: es.engine.StartUnixMS, Membership: es.engine.Membership, At: es.engine.SeenAt})
	} else {
		out = append(out, placement.Evidence{Kind: placement.Removed, At: es.absentSince})
	}
	if es.replaced {
		out = append(out, placement.Evidence{Kind: placement.Replaced})
	}
	if !es.reportedAt.IsZero() {
		out = append(out, placement.Evidence{Kind: placement.Reported, StartUnixMS: es.reported.StartUnixMS, Membership: es.reported.Membership, At: es.reportedAt})
	}
	if !es.heardAt.IsZero() {
		out = append(out, placement.Evidence{Kind: placement.Answered, At: es.heardAt})
	}
	own, peers := es.silence, es.peerSilence
	own.Kind, peers.Kind, peers.FromPeer = placement.Silent, placement.Silent, true
	return append(out, own, peers)
}

// logVerdict logs a verdict on the engine as the head of a group, and what led to it.
func (es *engineStatus) logVerdict(group catalog.GroupID, v placement.HeadVerdict, now time.Time) {
	es.mu.Lock()
	defer es.mu.Unlock()
	ago := func(t time.Time) int64 {
		if t.IsZero() {
			return -1
		}
		return now.Sub(t).Milliseconds()
	}
	klog.InfoS("head judged", "engine", es.engine.ID, "group", group.Name, "verdict", v.String(), "listed", es.present,
		"heard_ms_ago", ago(es.heardAt), "silent_ms", ago(es.silence.Since), "silent_to_peers_ms", ago(es.peerSilence.Since),
		"reported_ms_ago", ago(es.reportedAt), "reported_group", es.reported.Membership.Group.Name, "reported_state", es.reported.Membership.State.String())
}

// headlessFor returns for how long a group has had neither an announced nor a
// stored head.
func (p *Planner) headlessFor(group catalog.GroupID, now time.Time) time.Duration {
	first := now
	p.headlessSince.Update(group.Name, func(since time.Time, ok bool) (time.Time, bool) {
		if ok {
			first = since
		}
		return first, true
	})
	return now.Sub(first)
}
