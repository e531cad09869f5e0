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
	// queryInterval is the minimum time between two series of queries to one engine.
	queryInterval = 400 * time.Millisecond
	// maxMisses is the number of consecutive failed queries after which an engine
	// counts as unresponsive.
	maxMisses = 2
	// maxReportAge is the age up to which an engine's report counts as its current
	// state.
	maxReportAge = time.Second
	// headSilenceMargin is added to StallBound before an unresponsive head counts as
	// ended. It covers the lag of reading announcements.
	headSilenceMargin = 400 * time.Millisecond
	// unknownHeadWait is the time after which a group whose head is unknown counts as
	// ended. In any case the group has been broken for long by then.
	unknownHeadWait = 20 * time.Second
	// goneRetention is how long the status of a removed engine and the head of a
	// group without members are kept.
	goneRetention = time.Minute
)

// engineStatus is the planner's knowledge of one engine.
type engineStatus struct {
	mu sync.Mutex
	// engine is the last announcement, or the stored head.
	engine catalog.Engine
	// present is set while the engine announces itself. goneSince is when it
	// stopped.
	present   bool
	goneSince time.Time
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
	// reported is the engine's last report.
	reported   Report
	reportedAt time.Time
}

// unresponsive reports whether the engine is dead or did not answer the last
// maxMisses queries.
func (w *engineStatus) unresponsive() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead || w.misses >= maxMisses
}

// observe tracks the engines of all services and queries suspected ones, until ctx
// ends.
func (p *Planner) observe(ctx context.Context) error {
	for ctx.Err() == nil {
		p.drainSuspects()
		cfg := p.opts.Directory.Config()
		if cfg != nil {
			for name, service := range cfg.Services {
				if view, ok := p.opts.Directory.Service(name); ok && service.Engine != nil {
					p.trackEngines(view)
				}
			}
			p.querySuspects()
		}
		pause.For(ctx, observeInterval)
	}
	return nil
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
	p.engines.Range(func(_ string, w *engineStatus) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.engine.Membership.Group == head.Membership.Group || w.engine.ID == id {
			w.suspect = true
		}
		return true
	})
}

// suspectAllGroups marks the members of all groups for queries. A new planner needs
// this because earlier suspicions were reported to the previous planner.
func (p *Planner) suspectAllGroups() {
	p.engines.Range(func(_ string, w *engineStatus) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.suspect = w.engine.Membership.State != catalog.NoGroup
		return true
	})
}

// trackEngines updates the status of a service's engines from the directory.
func (p *Planner) trackEngines(view *directory.ServiceView) {
	present := map[string]bool{}
	for _, e := range view.Engines {
		present[e.ID] = true
		p.engines.Update(e.ID, func(w *engineStatus, ok bool) (*engineStatus, bool) {
			if !ok {
				w = &engineStatus{}
			}
			w.recordAnnouncement(e)
			return w, true
		})
	}
	now := time.Now()
	p.restoreSavedHeads(view, present, now)
	var expired []string
	p.engines.Range(func(id string, w *engineStatus) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.engine.Service != view.Service.Name || present[id] {
			return true
		}
		if w.present {
			w.present, w.goneSince = false, now
		}
		if now.Sub(w.goneSince) > goneRetention {
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
		p.engines.Update(head.ID, func(w *engineStatus, ok bool) (*engineStatus, bool) {
			if !ok {
				w = &engineStatus{engine: *head, goneSince: now}
			}
			return w, true
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
		due = now.Sub(since) > goneRetention
		return since, !due
	})
	if !due {
		return
	}
	go func() {
		if err := p.opts.Heads.DeleteHead(name); err != nil {
			klog.ErrorS(err, "stored head not deleted", "group", name)
		}
	}()
}

// recordAnnouncement updates the status from an announcement. A new announcement
// clears suspicions and failed queries.
func (w *engineStatus) recordAnnouncement(e *catalog.Engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.present || e.StartUnixMS != w.engine.StartUnixMS || e.SeenAt.After(w.engine.SeenAt) {
		if w.misses >= maxMisses || w.dead {
			klog.InfoS("engine answers again", "engine", e.ID)
		}
		w.suspect, w.misses, w.dead, w.firstMiss = false, 0, false, time.Time{}
	}
	w.engine, w.present = *e, true
}

// querySuspects queries the suspected members of groups, and the heads that no
// longer announce themselves but may still serve.
func (p *Planner) querySuspects() {
	if !p.HoldsLease() {
		return
	}
	now := time.Now()
	var due []*engineStatus
	p.engines.Range(func(_ string, w *engineStatus) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		inGroup := w.engine.Membership.State != catalog.NoGroup
		goneHead := !w.present && w.engine.Membership.Rank == 0 && inGroup
		doubtful := w.present && inGroup && w.suspect || goneHead
		if doubtful && !w.dead && now.Sub(w.queriedAt) >= queryInterval {
			w.queriedAt = now
			due = append(due, w)
		}
		return true
	})
	for _, w := range due {
		go p.query(w)
	}
}

// query queries an engine up to maxMisses times and records the results.
func (p *Planner) query(w *engineStatus) {
	w.mu.Lock()
	e := w.engine
	w.mu.Unlock()
	for range maxMisses {
		if !p.queryOnce(w, e) {
			return
		}
	}
}

// queryOnce queries an engine once. It reports whether the query should be repeated
// immediately because it failed.
func (p *Planner) queryOnce(w *engineStatus, e catalog.Engine) bool {
	sentAt := time.Now()
	r, err := p.opts.Engines.Report(&e)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.engine.StartUnixMS != e.StartUnixMS || w.engine.SeenAt.After(sentAt) {
		return false
	}
	switch {
	case fault.Is(err, fault.NotFound) || (err == nil && r.StartUnixMS != e.StartUnixMS):
		w.dead = true
		klog.InfoS("engine is down", "engine", e.ID, "group", e.Membership.Group.Name, "rank", e.Membership.Rank, "error", errText(err))
	case err != nil:
		if w.misses == 0 {
			w.firstMiss = sentAt
		}
		w.misses++
		if fault.Is(err, fault.Unavailable) {
			w.misses = max(w.misses, maxMisses)
		}
		if w.misses == maxMisses {
			klog.InfoS("engine is silent", "engine", e.ID, "group", e.Membership.Group.Name, "rank", e.Membership.Rank, "error", errText(err))
		}
		return w.misses < maxMisses
	default:
		w.misses, w.firstMiss, w.suspect = 0, time.Time{}, false
		w.reported, w.reportedAt = r, sentAt
		p.closeAbsentHead(w, e)
	}
	return false
}

// closeAbsentHead closes the group of a head that no longer announces itself but
// serves, or may have been ordered to serve. The caller holds the lock of w.
func (p *Planner) closeAbsentHead(w *engineStatus, e catalog.Engine) {
	group, state := w.reported.Membership.Group, w.reported.Membership.State
	_, closed := p.closedGroups.Get(group.Name)
	if w.present || (state != catalog.Open && state != catalog.Ready) || closed {
		return
	}
	go p.sendClose(&e, group, false)
}

// headEnded reports whether the absent or unresponsive head of a group has
// certainly stopped serving.
func (p *Planner) headEnded(g *catalog.Group, now time.Time) bool {
	id := ""
	if h := g.Head(); h != nil {
		id = h.ID
	} else if h, ok := p.opts.Directory.Head(g.ID.Name); ok {
		id = h.ID
	} else {
		id = p.lastAnnouncedHead(g.ID)
	}
	w, ok := p.engines.Get(id)
	if !ok {
		return p.headlessFor(g.ID, now) > unknownHeadWait
	}
	_, closed := p.closedGroups.Get(g.ID.Name)
	return w.headEnded(g.ID, closed, p.opts.Heartbeat, p.opts.StallBound+headSilenceMargin, now)
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
	p.engines.Range(func(_ string, w *engineStatus) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.engine.Membership.Group == group && w.engine.Membership.Rank == 0 {
			id = w.engine.ID
			return false
		}
		return true
	})
	return id
}

// headEnded reports whether the engine, as head of a group, has certainly stopped
// serving: it is dead, has left the group, reports that it no longer serves, or has
// been unresponsive and absent for longer than bound. The store deletes an entry
// after three heartbeats without renewal, so an absent head was cut off at least
// two heartbeats before its entry was deleted.
func (w *engineStatus) headEnded(group catalog.GroupID, closed bool, heartbeat, bound time.Duration, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.dead || w.engine.Membership.Group != group:
		return true
	case w.misses >= maxMisses && w.present:
		// The engine still reaches the store, and may serve the daemons that it can
		// reach.
		return false
	case w.misses >= maxMisses:
		silentSince := w.firstMiss
		if cutOff := w.goneSince.Add(-2 * heartbeat); cutOff.Before(silentSince) {
			silentSince = cutOff
		}
		return now.Sub(silentSince) > bound
	case now.Sub(w.reportedAt) > maxReportAge || w.reportedAt.Before(w.goneSince):
		return false
	case w.reported.Membership.Group != group:
		return true
	}
	state := w.reported.Membership.State
	return (state == catalog.Ready && closed) || state == catalog.Broken || state == catalog.NoGroup
}
