package planner

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/directory"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/pause"
)

const (
	// observeInterval is the interval of the checks for engines to query.
	observeInterval = 100 * time.Millisecond
	// idleInterval is the interval at which a daemon that is no candidate for the
	// lease checks whether it has become one.
	idleInterval = 200 * time.Millisecond
	// trackInterval is the longest time between two updates of the status of the
	// engines, which expire statuses. A changed view starts one earlier.
	trackInterval = time.Second
	// queryInterval is the minimum time between two series of queries to one engine.
	queryInterval = 400 * time.Millisecond
	// maxMisses is the number of consecutive failed queries after which an engine
	// counts as unresponsive.
	maxMisses = 2
	// maxReportAge is the age up to which an engine's report counts as its current
	// state.
	maxReportAge = time.Second
	// unresponsiveHeadMargin is added to StallBound before an unresponsive head
	// counts as stopped. It covers the lag of reading announcements.
	unresponsiveHeadMargin = 400 * time.Millisecond
	// unknownHeadWait is the time after which the head of a group counts as stopped
	// if it is unknown. By then the group has been broken for a long time.
	unknownHeadWait = 20 * time.Second
	// absentRetention is how long the status of a removed engine and the head of a
	// group without members are kept.
	absentRetention = time.Minute
)

// engineStatus is the planner's knowledge of one engine.
type engineStatus struct {
	mu sync.Mutex
	// engine is the last announcement, or the stored head.
	engine catalog.Engine
	// present is set while the engine announces itself. absentSince is when it
	// stopped.
	present     bool
	absentSince time.Time
	// suspect is set if the engine is to be queried.
	suspect   bool
	queriedAt time.Time
	// misses is the number of consecutive failed queries.
	misses int
	// firstMiss is the time of the first of the consecutive failed queries.
	firstMiss time.Time
	// dead is set if the engine has certainly ended, because another engine answers
	// at its address. A refused connection is no proof, since a network fault may
	// reset connections.
	dead bool
	// reported is the engine's last report, which was requested at reportedAt.
	reported   Report
	reportedAt time.Time
}

// unresponsive reports whether the engine is dead or did not answer the last
// maxMisses queries.
func (es *engineStatus) unresponsive() bool {
	es.mu.Lock()
	defer es.mu.Unlock()
	return es.dead || es.misses >= maxMisses
}

// observe tracks the engines of all services and queries suspected ones while this
// daemon is a candidate for the lease, until ctx ends.
func (p *Planner) observe(ctx context.Context) error {
	tracked := map[string]trackedView{}
	for ctx.Err() == nil {
		p.drainSuspects()
		if !p.candidate.Load() {
			pause.For(ctx, idleInterval)
			continue
		}
		if cfg := p.opts.Directory.Config(); cfg != nil {
			p.trackChanged(cfg, tracked)
			if p.suspectAll.Swap(false) {
				p.suspectAllGroups()
			}
			p.querySuspects()
		}
		pause.For(ctx, observeInterval)
	}
	return nil
}

// trackedView is the view of a service that was last tracked, and when.
type trackedView struct {
	view *directory.ServiceView
	at   time.Time
}

// trackChanged updates the status of the engines of the services whose view has
// changed, or was tracked longer than trackInterval ago.
func (p *Planner) trackChanged(cfg *catalog.Config, tracked map[string]trackedView) {
	now := time.Now()
	for name, service := range cfg.Services {
		view, ok := p.opts.Directory.Service(name)
		if !ok || service.Engine == nil {
			continue
		}
		if last := tracked[name]; last.view == view && now.Sub(last.at) < trackInterval {
			continue
		}
		tracked[name] = trackedView{view, now}
		p.trackEngines(view)
	}
}

// drainSuspects processes the queue of suspected engines.
func (p *Planner) drainSuspects() {
	for {
		select {
		case id := <-p.suspects:
			p.suspectGroup(id)
		default:
			return
		}
	}
}

// suspectGroup marks all members of the suspected head's group for queries.
func (p *Planner) suspectGroup(id string) {
	head, ok := p.opts.Directory.Engine(id)
	if !ok {
		return
	}
	p.engines.Range(func(_ string, es *engineStatus) bool {
		es.mu.Lock()
		defer es.mu.Unlock()
		if es.engine.Membership.Group == head.Membership.Group || es.engine.ID == id {
			es.suspect = true
		}
		return true
	})
}

// suspectAllGroups marks the members of all groups for queries. A new planner needs
// this because earlier suspicions were reported to the previous planner.
func (p *Planner) suspectAllGroups() {
	p.engines.Range(func(_ string, es *engineStatus) bool {
		es.mu.Lock()
		defer es.mu.Unlock()
		es.suspect = es.engine.Membership.State != catalog.NoGroup
		return true
	})
}

// trackEngines updates the status of a service's engines from the directory.
func (p *Planner) trackEngines(view *directory.ServiceView) {
	present := map[string]bool{}
	for _, e := range view.Engines {
		present[e.ID] = true
		p.engines.Update(e.ID, func(es *engineStatus, ok bool) (*engineStatus, bool) {
			if !ok {
				es = &engineStatus{}
			}
			es.recordAnnouncement(e)
			return es, true
		})
	}
	now := time.Now()
	p.restoreSavedHeads(view, present, now)
	var expired []string
	p.engines.Range(func(id string, es *engineStatus) bool {
		es.mu.Lock()
		defer es.mu.Unlock()
		if es.engine.Service != view.Service.Name || present[id] {
			return true
		}
		if es.present {
			es.present, es.absentSince = false, now
		}
		if now.Sub(es.absentSince) > absentRetention {
			expired = append(expired, id)
		}
		return true
	})
	for _, id := range expired {
		p.engines.Delete(id)
	}
}

// restoreSavedHeads adds the stored heads that do not announce themselves to the
// tracked engines if their group still has members, and deletes the stored heads
// of groups that have ended.
func (p *Planner) restoreSavedHeads(view *directory.ServiceView, present map[string]bool, now time.Time) {
	groups := map[string]bool{}
	for i := range view.Groups {
		groups[view.Groups[i].ID.Name] = true
	}
	for name, head := range p.opts.Directory.Heads() {
		if head.Service != view.Service.Name || present[head.ID] {
			continue
		}
		if !groups[name] {
			p.deleteStaleHead(name, now)
			continue
		}
		p.engines.Update(head.ID, func(es *engineStatus, ok bool) (*engineStatus, bool) {
			if !ok {
				es = &engineStatus{engine: *head, absentSince: now}
			}
			return es, true
		})
	}
}

// deleteStaleHead deletes the stored head of a group that has had no members for
// goneRetention.
func (p *Planner) deleteStaleHead(name string, now time.Time) {
	if !p.HoldsLease() {
		return
	}
	due := false
	p.memberlessSince.Update(name, func(since time.Time, ok bool) (time.Time, bool) {
		if !ok {
			return now, true
		}
		due = now.Sub(since) > absentRetention
		return since, !due
	})
	if !due {
		return
	}
	go func() {
		if err := p.opts.Heads.DeleteHead(name); err != nil {
			klog.ErrorS(err, "stored head of the group not deleted", "group", name)
		}
	}()
}

// recordAnnouncement updates the status from an announcement. A new announcement
// clears suspicions and failed queries.
func (es *engineStatus) recordAnnouncement(e *catalog.Engine) {
	es.mu.Lock()
	defer es.mu.Unlock()
	if !es.present || e.StartUnixMS != es.engine.StartUnixMS || e.SeenAt.After(es.engine.SeenAt) {
		if es.misses >= maxMisses || es.dead {
			klog.InfoS("engine answers again", "engine", e.ID)
		}
		es.suspect, es.misses, es.dead, es.firstMiss = false, 0, false, time.Time{}
	}
	es.engine, es.present = *e, true
}

// querySuspects queries the suspected members of groups, and the heads that no
// longer announce themselves but may still serve.
func (p *Planner) querySuspects() {
	if !p.HoldsLease() {
		return
	}
	now := time.Now()
	var due []*engineStatus
	p.engines.Range(func(_ string, es *engineStatus) bool {
		es.mu.Lock()
		defer es.mu.Unlock()
		inGroup := es.engine.Membership.State != catalog.NoGroup
		absentHead := !es.present && es.engine.Membership.Rank == 0 && inGroup
		needsQuery := es.present && inGroup && es.suspect || absentHead
		if needsQuery && !es.dead && now.Sub(es.queriedAt) >= queryInterval {
			es.queriedAt = now
			due = append(due, es)
		}
		return true
	})
	for _, es := range due {
		go p.query(es)
	}
}

// query queries an engine up to maxMisses times and records the results.
func (p *Planner) query(es *engineStatus) {
	es.mu.Lock()
	e := es.engine
	es.mu.Unlock()
	for range maxMisses {
		if !p.queryOnce(es, e) {
			return
		}
	}
}

// queryOnce queries an engine once. It reports whether the query should be repeated
// immediately because it failed.
func (p *Planner) queryOnce(es *engineStatus, e catalog.Engine) bool {
	if !p.querySlots.acquire(time.Now().Add(queryInterval)) {
		return false
	}
	sentAt := time.Now()
	r, err := p.opts.Engines.Report(&e)
	p.querySlots.release()
	es.mu.Lock()
	defer es.mu.Unlock()
	if es.engine.StartUnixMS != e.StartUnixMS || es.engine.SeenAt.After(sentAt) {
		return false
	}
	switch {
	case fault.Is(err, fault.NotFound) || (err == nil && r.StartUnixMS != e.StartUnixMS):
		es.dead = true
		klog.InfoS("engine is down", "engine", e.ID, "group", e.Membership.Group.Name, "rank", e.Membership.Rank, "error", errText(err))
	case err != nil:
		if es.misses == 0 {
			es.firstMiss = sentAt
		}
		es.misses++
		if fault.Is(err, fault.Unavailable) {
			es.misses = max(es.misses, maxMisses)
		}
		if es.misses == maxMisses {
			klog.InfoS("engine is silent", "engine", e.ID, "group", e.Membership.Group.Name, "rank", e.Membership.Rank, "error", errText(err))
		}
		return es.misses < maxMisses
	default:
		es.misses, es.firstMiss, es.suspect = 0, time.Time{}, false
		es.reported, es.reportedAt = r, sentAt
		p.closeAbsentHead(es, e)
	}
	return false
}

// closeAbsentHead closes the group of a head that no longer announces itself but
// serves, or may have been ordered to serve. The caller holds the lock of es.
func (p *Planner) closeAbsentHead(es *engineStatus, e catalog.Engine) {
	group, state := es.reported.Membership.Group, es.reported.Membership.State
	_, closed := p.closedGroups.Get(group.Name)
	if es.present || (state != catalog.Open && state != catalog.Ready) || closed {
		return
	}
	go p.sendClose(&e, group, false)
}

// headStopped reports whether the absent or unresponsive head of a group has
// certainly stopped serving.
func (p *Planner) headStopped(g *catalog.Group, now time.Time) bool {
	id := ""
	if h := g.Head(); h != nil {
		id = h.ID
	} else if h, ok := p.opts.Directory.Head(g.ID.Name); ok {
		id = h.ID
	} else {
		id = p.lastAnnouncedHead(g.ID)
	}
	es, ok := p.engines.Get(id)
	if !ok {
		return p.headlessFor(g.ID, now) > unknownHeadWait
	}
	_, closed := p.closedGroups.Get(g.ID.Name)
	return es.headStopped(g.ID, closed, p.opts.Heartbeat, p.opts.StallBound+unresponsiveHeadMargin, now)
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

// lastAnnouncedHead returns the id of the tracked head of a group, or an empty id.
func (p *Planner) lastAnnouncedHead(group catalog.GroupID) string {
	id := ""
	p.engines.Range(func(_ string, es *engineStatus) bool {
		es.mu.Lock()
		defer es.mu.Unlock()
		if es.engine.Membership.Group == group && es.engine.Membership.Rank == 0 {
			id = es.engine.ID
			return false
		}
		return true
	})
	return id
}

// headStopped reports whether the engine, as head of a group, has certainly stopped
// serving: it is dead, has left the group, reports that it no longer serves, or has
// been unresponsive and absent for longer than bound. The store deletes an entry
// after three heartbeats without renewal, so an absent head was cut off at least
// two heartbeats before its entry was deleted.
func (es *engineStatus) headStopped(group catalog.GroupID, closed bool, heartbeat, bound time.Duration, now time.Time) bool {
	es.mu.Lock()
	defer es.mu.Unlock()
	switch {
	case es.dead || es.engine.Membership.Group != group:
		return true
	case es.misses >= maxMisses && es.present:
		// The engine still reaches the store, and may serve the daemons that it can
		// reach.
		return false
	case es.misses >= maxMisses:
		unresponsiveSince := es.firstMiss
		if cutOff := es.absentSince.Add(-2 * heartbeat); cutOff.Before(unresponsiveSince) {
			unresponsiveSince = cutOff
		}
		return now.Sub(unresponsiveSince) > bound
	case now.Sub(es.reportedAt) > maxReportAge || es.reportedAt.Before(es.absentSince):
		return false
	case es.reported.Membership.Group != group:
		return true
	}
	state := es.reported.Membership.State
	return (state == catalog.Ready && closed) || state == catalog.Broken || state == catalog.NoGroup
}
