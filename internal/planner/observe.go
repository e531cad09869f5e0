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
	// observeInterval is the pause between looks at who must be asked.
	observeInterval = 100 * time.Millisecond
	// askedAgain is the pause between two questions to the same engine.
	askedAgain = 400 * time.Millisecond
	// missesLost is the number of unanswered questions after which an engine
	// counts as lost.
	missesLost = 2
	// reportFresh is the age up to which an engine's report says what it does now.
	reportFresh = time.Second
	// headMargin is added to the stall bound before a silent head counts as over;
	// it covers the lag of the reads of announcements.
	headMargin = 400 * time.Millisecond
	// unknownHead is how long the members of a group wait whose head is not known
	// at all; by then it has been broken for long, whatever happened to it.
	unknownHead = 20 * time.Second
	// forgetAfter is how long an engine that is gone is remembered.
	forgetAfter = time.Minute
)

// watched is what is known of an engine beyond its announcements.
type watched struct {
	mu     sync.Mutex
	engine catalog.Engine
	// present tells whether it announces itself; since when it doesn't.
	present   bool
	goneSince time.Time
	suspect   bool
	asked     time.Time
	misses    int
	// firstMiss is the first unanswered question in a row.
	firstMiss time.Time
	// dead means that the engine has ended: another one answers for it. A refused
	// connection does not prove that, since a path may be cut with resets.
	dead bool
	// reported is the last answer.
	reported   Report
	reportedAt time.Time
}

// lost reports whether the engine answers nothing.
func (w *watched) lost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead || w.misses >= missesLost
}

// observe follows the engines and asks those in doubt.
func (p *Planner) observe(ctx context.Context) error {
	for ctx.Err() == nil {
		p.drainSuspects()
		cfg := p.o.Directory.Config()
		if cfg != nil {
			for name, service := range cfg.Services {
				if view, ok := p.o.Directory.Service(name); ok && service.Engine != nil {
					p.follow(view)
				}
			}
			p.askDoubtful()
		}
		pause.For(ctx, observeInterval)
	}
	return nil
}

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

// suspectGroup marks all members of the suspected head's group to be asked.
func (p *Planner) suspectGroup(id string) {
	head, ok := p.o.Directory.Engine(id)
	if !ok {
		return
	}
	p.watched.Range(func(_ string, w *watched) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.engine.Membership.Group == head.Membership.Group || w.engine.ID == id {
			w.suspect = true
		}
		return true
	})
}

// doubtAll marks all members of groups to be asked: what others suspected was
// told to the planner before.
func (p *Planner) doubtAll() {
	p.watched.Range(func(_ string, w *watched) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.suspect = w.engine.Membership.State != catalog.NoGroup
		return true
	})
}

// follow takes the announcements in.
func (p *Planner) follow(view *directory.ServiceView) {
	present := map[string]bool{}
	for _, e := range view.Engines {
		present[e.ID] = true
		p.watched.Update(e.ID, func(w *watched, ok bool) (*watched, bool) {
			if !ok {
				w = &watched{}
			}
			w.announced(e)
			return w, true
		})
	}
	now := time.Now()
	p.recall(view, present, now)
	var old []string
	p.watched.Range(func(id string, w *watched) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.engine.Service != view.Service.Name || present[id] {
			return true
		}
		if w.present {
			w.present, w.goneSince = false, now
		}
		if now.Sub(w.goneSince) > forgetAfter {
			old = append(old, id)
		}
		return true
	})
	for _, id := range old {
		p.watched.Delete(id)
	}
}

// recall adds the noted heads of groups that still have members, if they do
// not announce themselves, and drops the notes of formations that are over.
func (p *Planner) recall(view *directory.ServiceView, present map[string]bool, now time.Time) {
	groups := map[string]bool{}
	for i := range view.Groups {
		groups[view.Groups[i].ID.Name] = true
	}
	for name, head := range p.o.Directory.Heads() {
		if head.Service != view.Service.Name || present[head.ID] {
			continue
		}
		if !groups[name] {
			p.dropNote(name, now)
			continue
		}
		p.watched.Update(head.ID, func(w *watched, ok bool) (*watched, bool) {
			if !ok {
				w = &watched{engine: *head, goneSince: now}
			}
			return w, true
		})
	}
}

// dropNote removes a note once its group has had no members for a while.
func (p *Planner) dropNote(name string, now time.Time) {
	if !p.HoldsLease() {
		return
	}
	due := false
	p.memberless.Update(name, func(since time.Time, ok bool) (time.Time, bool) {
		if !ok {
			return now, true
		}
		due = now.Sub(since) > forgetAfter
		return since, !due
	})
	if !due {
		return
	}
	go func() {
		if err := p.o.Heads.DeleteHead(name); err != nil {
			klog.ErrorS(err, "note not dropped", "group", name)
		}
	}()
}

// announced notes an engine's announcement; a new one clears all doubt.
func (w *watched) announced(e *catalog.Engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.present || e.StartUnixMS != w.engine.StartUnixMS || e.SeenAt.After(w.engine.SeenAt) {
		if w.misses >= missesLost || w.dead {
			klog.InfoS("engine answers again", "engine", e.ID)
		}
		w.suspect, w.misses, w.dead, w.firstMiss = false, 0, false, time.Time{}
	}
	w.engine, w.present = *e, true
}

// askDoubtful asks the engines that are suspected, or gone while they may still
// head a group.
func (p *Planner) askDoubtful() {
	if !p.HoldsLease() {
		return
	}
	now := time.Now()
	var ask []*watched
	p.watched.Range(func(_ string, w *watched) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		inGroup := w.engine.Membership.State != catalog.NoGroup
		goneHead := !w.present && w.engine.Membership.Rank == 0 && inGroup
		doubtful := w.present && inGroup && w.suspect || goneHead
		if doubtful && !w.dead && now.Sub(w.asked) >= askedAgain {
			w.asked = now
			ask = append(ask, w)
		}
		return true
	})
	for _, w := range ask {
		go p.ask(w)
	}
}

// ask gets the engine's report and notes what that tells.
func (p *Planner) ask(w *watched) {
	w.mu.Lock()
	e := w.engine
	w.mu.Unlock()
	for range missesLost {
		if !p.askOnce(w, e) {
			return
		}
	}
}

// askOnce asks once and reports whether the engine should be asked again at
// once, because it did not answer.
func (p *Planner) askOnce(w *watched, e catalog.Engine) bool {
	began := time.Now()
	r, err := p.o.Engines.Report(&e)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.engine.StartUnixMS != e.StartUnixMS || w.engine.SeenAt.After(began) {
		return false
	}
	switch {
	case fault.Is(err, fault.NotFound) || (err == nil && r.StartUnixMS != e.StartUnixMS):
		w.dead = true
		klog.InfoS("engine is down", "engine", e.ID, "group", e.Membership.Group.Name, "rank", e.Membership.Rank, "error", errText(err))
	case err != nil:
		if w.misses == 0 {
			w.firstMiss = began
		}
		w.misses++
		if fault.Is(err, fault.Unavailable) {
			w.misses = max(w.misses, missesLost)
		}
		if w.misses == missesLost {
			klog.InfoS("engine is silent", "engine", e.ID, "group", e.Membership.Group.Name, "rank", e.Membership.Rank, "error", errText(err))
		}
		return w.misses < missesLost
	default:
		w.misses, w.firstMiss, w.suspect = 0, time.Time{}, false
		w.reported, w.reportedAt = r, began
		p.closeGone(w, e)
	}
	return false
}

// closeGone ends the service of a head that is gone from the directory but
// serves, or may have been ordered to. The caller holds the lock of w.
func (p *Planner) closeGone(w *watched, e catalog.Engine) {
	group, state := w.reported.Membership.Group, w.reported.Membership.State
	_, closed := p.closed.Get(group.Name)
	if w.present || (state != catalog.Open && state != catalog.Ready) || closed {
		return
	}
	go p.orderClose(&e, group, false)
}

// headOver reports whether the absent or lost head of a group certainly serves
// no more.
func (p *Planner) headOver(g *catalog.Group, now time.Time) bool {
	id := ""
	if h := g.Head(); h != nil {
		id = h.ID
	} else if h, ok := p.o.Directory.Head(g.ID.Name); ok {
		id = h.ID
	} else {
		id = p.lastHead(g.ID)
	}
	w, ok := p.watched.Get(id)
	if !ok {
		return p.headlessFor(g.ID, now) > unknownHead
	}
	_, closed := p.closed.Get(g.ID.Name)
	return w.over(g.ID, closed, p.o.Heartbeat, p.o.StallBound+headMargin, now)
}

// headlessFor returns how long a group has been without a head that was ever
// seen or noted.
func (p *Planner) headlessFor(group catalog.GroupID, now time.Time) time.Duration {
	first := now
	p.headless.Update(group.Name, func(since time.Time, ok bool) (time.Time, bool) {
		if ok {
			first = since
		}
		return first, true
	})
	return now.Sub(first)
}

// lastHead returns the head that announced itself last, or an empty id.
func (p *Planner) lastHead(group catalog.GroupID) string {
	id := ""
	p.watched.Range(func(_ string, w *watched) bool {
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

// over reports whether the head is dead, says that it serves no more, has left
// the group, or has been silent for longer than the bound. The store drops an
// entry after three heartbeats without one, so a head that is gone was cut off
// at least two heartbeats before.
func (w *watched) over(group catalog.GroupID, closed bool, heartbeat, bound time.Duration, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.dead || w.engine.Membership.Group != group:
		return true
	case w.misses >= missesLost && w.present:
		// It still reaches the store, and may serve those that it can reach.
		return false
	case w.misses >= missesLost:
		quiet := w.firstMiss
		if cut := w.goneSince.Add(-2 * heartbeat); cut.Before(quiet) {
			quiet = cut
		}
		return now.Sub(quiet) > bound
	case now.Sub(w.reportedAt) > reportFresh || w.reportedAt.Before(w.goneSince):
		return false
	case w.reported.Membership.Group != group:
		return true
	}
	state := w.reported.Membership.State
	return (state == catalog.Ready && closed) || state == catalog.Broken || state == catalog.NoGroup
}
