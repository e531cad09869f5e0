package planner

import (
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/directory"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/placement"
	"github.com/ragwortquay/ragwortquay/internal/shard"
)

const (
	// joinSlack is added to the time that a join takes before its members are
	// free to be taken again.
	joinSlack = 2 * time.Second
	// rejoin is the time that a join takes where the model is loaded already.
	rejoin = 200 * time.Millisecond
	// orderPause is the time before the same engine gets the next order; its
	// announcement of the last one's effect arrives within it.
	orderPause = 600 * time.Millisecond
	// unbounded is more than all engines that a plan may load.
	unbounded = 1 << 20
	// lateOrders is how long after its sending an order without an answer may
	// still be carried out: 2 to 12 s on the users' pages, and a margin.
	lateOrders = 13 * time.Second
	// gatherBeats is the time, in heartbeats, that engines without any group get
	// to announce themselves; each does so once in a heartbeat.
	gatherBeats = 1.25
	// staleAfter is the age of the last read of announcements from which the
	// planner waits: what it believes of the groups may be over.
	staleAfter = 1200 * time.Millisecond
)

// act takes the steps that the state asks for.
func (p *Planner) act() {
	cfg := p.o.Directory.Config()
	if cfg == nil || !p.o.Directory.Loaded() || p.o.Directory.EnginesAge() > staleAfter {
		return
	}
	p.pruneDue(cfg)
	for name, service := range cfg.Services {
		if service.Engine == nil {
			continue
		}
		view, ok := p.o.Directory.Service(name)
		if !ok || !p.gathered(view) {
			continue
		}
		p.noteOccupied(view)
		s := p.snapshot(view)
		p.logState(name, s)
		for _, step := range placement.Plan(s) {
			p.take(view.Service, step)
		}
	}
}

// noteOccupied tells the measurement of demand what is under way by model.
func (p *Planner) noteOccupied(view *directory.ServiceView) {
	now := time.Now()
	loads := p.o.Loads(now)
	underWay := map[string]int{}
	for _, m := range view.Service.Engine.Models {
		underWay[m.Name] = 0
	}
	for i := range view.Groups {
		g := &view.Groups[i]
		if h := g.Head(); h != nil && g.Serving() {
			underWay[g.Model] += loads[h.ID].InFlight
		}
	}
	p.o.Demand.RecordInFlight(view.Service.Name, underWay, now)
}

// logState writes what the planner believes, whenever that changes.
func (p *Planner) logState(service string, s *placement.Snapshot) {
	state := placement.Summarize(s)
	if old, ok := p.logged.Get(service); ok && old == state {
		return
	}
	p.logged.Set(service, state)
	klog.InfoS("placement", "service", service, "state", state, "loads_left", min(s.LoadBudget, len(s.Engines)), "starting", s.Starting, "needs", s.Demand)
}

// gathered reports whether the engines have had the time to announce
// themselves: groups formed of the first few would be badly divided.
func (p *Planner) gathered(view *directory.ServiceView) bool {
	if len(view.Engines) == 0 || len(view.Groups) > 0 {
		return len(view.Groups) > 0
	}
	first := time.Now()
	p.firstSeen.Update(view.Service.Name, func(t time.Time, ok bool) (time.Time, bool) {
		if ok {
			first = t
		}
		return first, true
	})
	return time.Since(first) > time.Duration(gatherBeats*float64(p.o.Heartbeat))
}

func (p *Planner) snapshot(view *directory.ServiceView) *placement.Snapshot {
	now := time.Now()
	p.settleStaging(view)
	s := &placement.Snapshot{
		Service: view.Service, Engines: view.Engines, Groups: view.Groups, Now: now,
		Unresponsive:     map[string]bool{},
		Reserved:         map[string]bool{},
		JoinDeadlines:    map[catalog.GroupID]time.Time{},
		HeadStopped:      map[catalog.GroupID]bool{},
		CloseAcked:       map[catalog.GroupID]bool{},
		Opening:          map[string]bool{},
		Unanswered:       map[string]bool{},
		ZoneOutOfService: p.o.Directory.ZoneOutOfService,
		Staging:          map[string]string{},
		LoadBudget:       p.loadsLeft(view.Service.Engine, now),
		Starting:         p.starting(),
		Demand:           p.o.Demand.PerModel(view.Service, now),
	}
	p.watched.Range(func(id string, w *watched) bool {
		if w.lost() {
			s.Unresponsive[id] = true
		}
		return true
	})
	p.staging.Range(func(id string, st staging) bool {
		if now.Before(st.until) {
			s.Staging[id] = st.model
		}
		return true
	})
	pending(p.unanswered, now, s.Reserved, s.Unanswered)
	pending(p.reserved, now, s.Reserved)
	pending(p.opening, now, s.Opening)
	p.closed.Range(func(_ string, id catalog.GroupID) bool {
		s.CloseAcked[id] = true
		return true
	})
	p.own.Range(func(_ string, f formation) bool {
		s.JoinDeadlines[f.id] = f.until
		return true
	})
	for i := range view.Groups {
		g := &view.Groups[i]
		if p.headOver(g, now) {
			s.HeadStopped[g.ID] = true
		}
	}
	return s
}

// pending puts the keys whose time is not over into the sets.
func pending(m *shard.Map[time.Time], now time.Time, sets ...map[string]bool) {
	m.Range(func(key string, until time.Time) bool {
		for _, set := range sets {
			if now.Before(until) {
				set[key] = true
			}
		}
		return true
	})
}

func (p *Planner) take(service *catalog.Service, step placement.Step) {
	switch {
	case step.Form != nil:
		p.form(service, step.Form)
	case step.Open != nil:
		p.open(step.Open)
	case step.Close != nil:
		p.close(step.Close)
	case step.Stage != nil:
		p.stage(step.Stage)
	case step.Preload != nil:
		p.preload(step.Preload)
	}
}

// loadsLeft returns how many loads may start now: within the published rate, and
// no more at a time than the weight store carries at full speed.
func (p *Planner) loadsLeft(spec *catalog.EngineSpec, now time.Time) int {
	if p.starting() {
		return unbounded
	}
	under := 0
	p.staging.Range(func(_ string, st staging) bool {
		if now.Before(st.until) {
			under++
		}
		return true
	})
	return max(0, min(p.loads.available(spec, now), spec.MaxConcurrentLoads-under))
}

// settleStaging forgets the loads that have ended.
func (p *Planner) settleStaging(view *directory.ServiceView) {
	for _, e := range view.Engines {
		if st, ok := p.staging.Get(e.ID); ok && e.HasStaged(st.model) {
			p.staging.Delete(e.ID)
		}
	}
}

// starting reports whether the system has just started and served nothing yet.
func (p *Planner) starting() bool { return p.o.FirstStart && !p.serving.Load() }

// stage orders a model onto an engine's host; the engine stays free meanwhile.
func (p *Planner) stage(s *placement.Stage) {
	p.loads.take(1, time.Now())
	id := s.Engine.ID
	p.reserve(s.Engine, time.Now().Add(orderPause))
	p.staging.Set(id, staging{s.Model.Name, time.Now().Add(s.Model.LoadTime + joinSlack)})
	go func() {
		if err := p.order(s.Engine, Order{Op: Stage, Model: s.Model.Name}); err != nil {
			p.staging.Delete(id)
		}
	}()
}

// preload joins a spare to a group of its own, which is never opened.
func (p *Planner) preload(s *placement.Preload) {
	number := p.number()
	id := catalog.GroupID{Name: placement.PreloadGroupPrefix + strconv.FormatInt(number, 36), Epoch: number}
	p.reserve(s.Engine, time.Now().Add(orderPause+s.Model.WarmLoadTime))
	go func() {
		o := Order{Op: Join, Group: id, Model: s.Model.Name, Members: []string{s.Engine.ID}}
		if err := p.order(s.Engine, o); err != nil {
			p.reserved.Delete(s.Engine.ID)
		}
	}()
}

func (p *Planner) reserve(e *catalog.Engine, until time.Time) { p.reserved.Set(e.ID, until) }

// open lets a complete group serve. The head is free for it as soon as it has
// announced that it is ready.
func (p *Planner) open(g *catalog.Group) {
	p.opening.Set(g.ID.Name, time.Now().Add(orderPause))
	// order logs its failure; the next look decides anew.
	go func() { _ = p.order(g.Head(), Order{Op: Open, Group: g.ID}) }()
}

// close ends a group's service. Once the head has answered, it refuses what
// earlier planners ordered.
func (p *Planner) close(c *placement.Close) {
	id := c.Group.ID
	p.own.Delete(id.Name)
	head := c.Group.Head()
	p.reserve(head, time.Now().Add(orderPause))
	go p.orderClose(head, id, c.Abort)
}

// orderClose orders a head to close and notes that it has answered.
func (p *Planner) orderClose(head *catalog.Engine, id catalog.GroupID, abort bool) {
	err := p.order(head, Order{Op: Close, Group: id, Abort: abort})
	if err == nil || fault.Is(err, fault.Conflict) {
		p.closed.Set(id.Name, id)
		p.reserved.Delete(head.ID)
	}
}

// form sends the join to all members at once.
func (p *Planner) form(service *catalog.Service, f *placement.Form) {
	number := p.number()
	id := catalog.GroupID{Name: "g" + strconv.FormatInt(number, 36), Epoch: number}
	members := make([]string, len(f.Members))
	takes := rejoin
	for i, e := range f.Members {
		members[i] = e.ID
		switch {
		case e.Model == f.Model.Name:
		case e.HasStaged(f.Model.Name):
			takes = max(takes, f.Model.WarmLoadTime)
		default:
			takes = max(takes, f.Model.LoadTime)
		}
	}
	p.loads.take(f.Loads, time.Now())
	until := time.Now().Add(takes + joinSlack)
	p.own.Set(id.Name, formation{id, until})
	klog.InfoS("group formed", "group", id.Name, "epoch", id.Epoch, "service", service.Name, "model", f.Model.Name,
		"members", members, "loads", f.Loads, "domain", f.Members[0].FabricDomain, "takes_ms", takes.Milliseconds())
	go p.noteHead(id, f.Members[0])
	for _, e := range f.Members {
		p.reserve(e, time.Now().Add(orderPause))
		go func() {
			o := Order{Op: Join, Group: id, Model: f.Model.Name, Members: members}
			if err := p.order(e, o); err != nil {
				p.own.Delete(id.Name)
			}
		}()
	}
}

// noteHead writes the head down. Without the note the next planner waits
// longer before it takes the members of a group whose head it can't see.
func (p *Planner) noteHead(id catalog.GroupID, head *catalog.Engine) {
	if err := p.o.Heads.SaveHead(id, head); err != nil {
		klog.ErrorS(err, "head not noted", "group", id.Name, "engine", head.ID)
	}
}

// order sends an order until the engine has answered it, each time with a
// higher fence, so that a late arrival of an earlier send is refused. Until
// then the engine gets no other order, and one that was never answered keeps it
// back for as long as it may still be carried out: its fence would not be the
// lower one.
func (p *Planner) order(e *catalog.Engine, o Order) error {
	p.unanswered.Set(e.ID, time.Now().Add(lateOrders))
	var err error
	for deadline := time.Now().Add(lateOrders); time.Now().Before(deadline); {
		if !p.HoldsLease() {
			klog.InfoS("order dropped: not the planner any more", "engine", e.ID, "op", o.Op.String(), "group", o.Group.Name)
			return fault.Refuse(fault.Conflict, "leave it to the planner", "this daemon does not plan")
		}
		o.Fence = p.number()
		err = p.o.Engines.Order(e, o)
		klog.InfoS("order", "engine", e.ID, "op", o.Op.String(), "group", o.Group.Name, "model", o.Model, "fence", o.Fence, "error", errText(err))
		if err == nil || fault.As(err).Outcome == fault.NotRun {
			p.unanswered.Delete(e.ID)
			return err
		}
		p.unanswered.Set(e.ID, time.Now().Add(lateOrders))
		if w, ok := p.watched.Get(e.ID); ok && w.lost() {
			return err
		}
	}
	return err
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
