package planner

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/directory"
	"github.com/ragwortquay/ragwortquay/internal/placement"
)

const (
	// stallMargin is added to StallBound before the group of a silent head counts as
	// abandoned. It covers the lag of reading announcements.
	stallMargin = 400 * time.Millisecond
	// unknownHeadWait is the time after which a group counts as abandoned if its head is
	// unknown, or is silent and no other daemon has stated so. By then a group that stands
	// still has been broken for a long time.
	unknownHeadWait = 20 * time.Second
)

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

// leadsUnannounced reports whether the engine leads a group that it does not announce. The
// caller holds the lock.
func (es *engineStatus) leadsUnannounced() bool { return es.leads != catalog.GroupID{} }

// judgeHead returns the verdict on the head of a group. One that announces the group may
// serve: it reaches the store, and may serve daemons that it can reach.
func (p *Planner) judgeHead(g *catalog.Group, now time.Time) placement.HeadVerdict {
	if g.Head() != nil {
		p.headlessSince.Delete(g.ID.Name)
		return placement.HeadMayServe
	}
	id, startMS, ok := p.absentHead(g.ID)
	es, tracked := p.engines.Get(id)
	q := placement.HeadQuestion{
		Group: g.ID, StartUnixMS: startMS, HasPeers: p.opts.Directory.DaemonCount() > 1,
		StallBound: p.opts.StallBound + stallMargin, UnwitnessedBound: max(unknownHeadWait, p.opts.StallBound+stallMargin), Now: now,
	}
	if !ok || !tracked {
		since := p.unrecordedSince(g.ID, now)
		verdict := placement.JudgeHead(&q, []placement.Evidence{{Kind: placement.Unrecorded, Since: since, At: now}})
		if p.verdictChanges(g.ID, verdict) {
			klog.InfoS("head judged", "group", g.ID.Name, "verdict", verdict.String(), "unrecorded_ms", now.Sub(since).Milliseconds())
		}
		return verdict
	}
	p.headlessSince.Delete(g.ID.Name)
	evidence := es.evidence(p.opts.Peers.LastHeard(id))
	if closed, ok := p.closedGroups.Get(g.ID.Name); ok {
		evidence = append(evidence, placement.Evidence{Kind: placement.CloseAccepted, At: closed.at})
	}
	if _, ok := p.unopenedGroups.Get(g.ID.Name); ok {
		evidence = append(evidence, placement.Evidence{Kind: placement.NeverOpened})
	}
	verdict := placement.JudgeHead(&q, evidence)
	if p.verdictChanges(g.ID, verdict) {
		es.logVerdict(g.ID, verdict, now)
	}
	return verdict
}

// verdictChanges records the verdict on the head of a group, and reports whether it differs
// from the last one.
func (p *Planner) verdictChanges(group catalog.GroupID, v placement.HeadVerdict) bool {
	last, judged := p.headVerdicts.Get(group.Name)
	p.headVerdicts.Set(group.Name, v)
	return !judged || last != v
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

// unrecordedSince returns since when a group has had neither an announced nor a stored
// head; now if it had one the last time.
func (p *Planner) unrecordedSince(group catalog.GroupID, now time.Time) time.Time {
	first := now
	p.headlessSince.Update(group.Name, func(since time.Time, ok bool) (time.Time, bool) {
		if ok {
			first = since
		}
		return first, true
	})
	return first
}
