package planner

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/directory"
	"github.com/ragwortquay/ragwortquay/internal/pause"
	"github.com/ragwortquay/ragwortquay/internal/placement"
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
	// absentRetention is how long the status of a removed engine and the head of a
	// group without members are kept.
	absentRetention = time.Minute
)

// engineStatus is the planner's knowledge of one engine.
type engineStatus struct {
	mu sync.Mutex
	// engine is the last announcement, or the stored head.
	engine catalog.Engine
	// lastModel is the last model that the incarnation announced.
	lastModel string
	// present is set while the engine announces itself. absentSince is when it
	// stopped.
	present     bool
	absentSince time.Time
	// suspect is set if the engine is to be queried. leads is the group that it leads
	// without announcing it, or zero.
	suspect   bool
	leads     catalog.GroupID
	queriedAt time.Time
	// querying is set while a series of queries is in progress.
	querying bool
	// misses is the number of consecutive queries for its report that failed.
	misses int
	// replaced is set if another engine answers at its address.
	replaced bool
	// silence and peerSilence are the failed queries of this daemon and of its peers
	// since the engine last answered.
	silence, peerSilence placement.Evidence
	// heardAt is when the engine last answered this daemon or a peer, or sent data to
	// one.
	heardAt time.Time
	// reported is the engine's last report, which was requested at reportedAt.
	reported   Report
	reportedAt time.Time
}

// unresponsive reports whether the engine has been replaced or did not answer the last
// maxMisses queries.
func (es *engineStatus) unresponsive() bool {
	es.mu.Lock()
	defer es.mu.Unlock()
	return es.replaced || es.misses >= maxMisses
}

// modelOfLastGroup returns the last model that the incarnation announced, or an empty name.
func (es *engineStatus) modelOfLastGroup(startUnixMS int64) string {
	es.mu.Lock()
	defer es.mu.Unlock()
	if es.engine.StartUnixMS != startUnixMS {
		return ""
	}
	return es.lastModel
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
	p.markAbsentHeads(view, now)
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
		if now.Sub(es.absentSince) > absentRetention && !es.leadsUnannounced() {
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
		if es.misses >= maxMisses || es.replaced {
			klog.InfoS("engine answers again", "engine", e.ID)
		}
		es.suspect, es.misses, es.replaced = false, 0, false
		es.silence, es.peerSilence = placement.Evidence{}, placement.Evidence{}
	}
	if e.StartUnixMS != es.engine.StartUnixMS {
		es.lastModel = ""
	}
	if e.Model != "" {
		es.lastModel = e.Model
	}
	es.engine, es.present = *e, true
}
