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
	// joinMargin is added to the expected duration of a join or load. After that the
	// operation counts as failed and its engines may be assigned again.
	joinMargin = 2 * time.Second
	// loadedJoinTime is the duration of a join if the members have already loaded
	// the model.
	loadedJoinTime = 200 * time.Millisecond
	// orderInterval is the minimum time between two orders to one engine. Within it
	// the engine's announcement of the effect of the first order arrives.
	orderInterval = 600 * time.Millisecond
	// unboundedLoads exceeds the number of engines of any service.
	unboundedLoads = 1 << 20
	// orderExpiry is the time after which an unanswered order can no longer be
	// executed. According to the platform's documentation an engine may execute an
	// order 2 to 12 s late; the rest is a margin.
	orderExpiry = 13 * time.Second
	// announceHeartbeats is the number of heartbeat intervals that the planner waits
	// for announcements while no groups exist. Each engine announces itself once
	// per heartbeat interval.
	announceHeartbeats = 1.25
	// quietHeartbeats is the number of heartbeat intervals without a new engine after
	// which no more are expected, and maxAnnounceHeartbeats the longest wait for that.
	quietHeartbeats       = 0.3
	maxAnnounceHeartbeats = 4
	// stateLogInterval is the minimum time between two log lines with the state of a
	// service, which name all groups.
	stateLogInterval = 500 * time.Millisecond
	// maxAnnouncementAge is the age of the engines' state above which the planner
	// does not plan, since the groups may have changed since.
	maxAnnouncementAge = 1200 * time.Millisecond
)

// planServices executes the planned steps for every service whose engines form
// groups.
func (p *Planner) planServices() {
	cfg := p.opts.Directory.Config()
	if cfg == nil || !p.opts.Directory.Loaded() || p.opts.Directory.EnginesAge() > maxAnnouncementAge {
		return
	}
	p.pruneDue(cfg)
	for name, service := range cfg.Services {
		if service.Engine == nil {
			continue
		}
		view, ok := p.opts.Directory.Service(name)
		if !ok || !p.announcementsComplete(view) {
			continue
		}
		s := p.buildSnapshot(view)
		p.logState(name, s)
		for _, step := range placement.Plan(s) {
			p.execute(view.Service, step)
		}
	}
}

// logState logs the summary of the snapshot when it differs from the last one
// logged, at most once per stateLogInterval.
func (p *Planner) logState(service string, s *placement.Snapshot) {
	old, logged := p.loggedState.Get(service)
	if logged && s.Now.Sub(old.at) < stateLogInterval {
		return
	}
	state := placement.Summarize(s)
	if logged && old.state == state {
		return
	}
	p.loggedState.Set(service, loggedState{state, s.Now})
	free, scattered := placement.FreeEngines(s)
	klog.InfoS("placement", "service", service, "state", state, "loads_left", min(s.LoadBudget, len(s.Engines)), "starting", s.Starting, "needs", s.Demand,
		"models", placement.SummarizeModels(s), "free", free, "free_scattered", scattered)
}

// ungroupedEngines describes the announcements of a service without groups: when the
// first was seen, and when the number of engines last changed.
type ungroupedEngines struct {
	count            int
	since, changedAt time.Time
}

// settled reports whether all engines have had time to announce themselves: each does
// so once per heartbeat, but the entries of a large fleet arrive over several.
func (u *ungroupedEngines) settled(heartbeat time.Duration, now time.Time) bool {
	age, quiet := now.Sub(u.since), now.Sub(u.changedAt)
	if age <= time.Duration(announceHeartbeats*float64(heartbeat)) {
		return false
	}
	return quiet > time.Duration(quietHeartbeats*float64(heartbeat)) || age > maxAnnounceHeartbeats*heartbeat
}

// announcementsComplete reports whether groups exist or all engines have had time
// to announce themselves. Forming groups from the first few engines would divide
// the engines badly between the models.
func (p *Planner) announcementsComplete(view *directory.ServiceView) bool {
	if len(view.Engines) == 0 || len(view.Groups) > 0 {
		return len(view.Groups) > 0
	}
	now := time.Now()
	var seen ungroupedEngines
	p.ungrouped.Update(view.Service.Name, func(u ungroupedEngines, ok bool) (ungroupedEngines, bool) {
		if !ok {
			u.since = now
		}
		if u.count != len(view.Engines) {
			u.count, u.changedAt = len(view.Engines), now
		}
		seen = u
		return u, true
	})
	return seen.settled(p.opts.Heartbeat, now)
}

// buildSnapshot returns the planner's input for a service.
func (p *Planner) buildSnapshot(view *directory.ServiceView) *placement.Snapshot {
	now := time.Now()
	p.clearEndedLoads(view)
	s := &placement.Snapshot{
		Service: view.Service, Engines: view.Engines, Groups: view.Groups, Now: now,
		Unresponsive:     map[string]bool{},
		Reserved:         map[string]bool{},
		JoinDeadlines:    map[catalog.GroupID]time.Time{},
		HeadVerdicts:     map[catalog.GroupID]placement.HeadVerdict{},
		MemberVerdicts:   map[string]placement.MemberVerdict{},
		CloseAcked:       map[catalog.GroupID]bool{},
		Opening:          map[string]bool{},
		Unanswered:       map[string]bool{},
		ZoneOutOfService: p.opts.Directory.ZoneOutOfService,
		LastModels:       map[string]string{},
		Staging:          map[string]string{},
		LoadBudget:       p.availableLoads(view.Service.Engine, now),
		Starting:         p.startingUp(),
		Demand:           p.opts.Demand.PerModel(view.Service, now),
	}
	p.engines.Range(func(id string, es *engineStatus) bool {
		if es.unresponsive() {
			s.Unresponsive[id] = true
		}
		return true
	})
	for _, e := range view.Engines {
		if model := p.modelOfLastGroup(e); model != "" {
			s.LastModels[e.ID] = model
		}
	}
	p.stagedLoads.Range(func(id string, st stagedLoad) bool {
		if now.Before(st.until) {
			s.Staging[id] = st.model
		}
		return true
	})
	p.closedGroups.Range(func(_ string, c closedGroup) bool {
		if s.CloseAcked[c.id] = p.closeConfirmed(&c); s.CloseAcked[c.id] {
			// In the same round as the other members, or they form a group without it.
			p.endReservation(c.head, c.reservedUntil)
		}
		return true
	})
	addUnexpired(p.unansweredUntil, now, s.Reserved, s.Unanswered)
	addUnexpired(p.reservedUntil, now, s.Reserved)
	addUnexpired(p.openingUntil, now, s.Opening)
	p.addFormations(s, view)
	for i := range view.Groups {
		g := &view.Groups[i]
		if v := p.judgeHead(g, now); v != placement.HeadMayServe {
			s.HeadVerdicts[g.ID] = v
		}
		p.judgeMembers(g, s)
	}
	return s
}

// modelOfLastGroup returns the model of an engine's group, or of its last group if it is in
// none.
func (p *Planner) modelOfLastGroup(e *catalog.Engine) string {
	if es, ok := p.engines.Get(e.ID); ok && e.Model == "" {
		return es.modelOfLastGroup(e.StartUnixMS)
	}
	return e.Model
}

// addFormations adds the groups that this planner is forming to the snapshot, and
// reserves the members that do not announce them yet. It gives up the groups that can
// no longer be completed.
func (p *Planner) addFormations(s *placement.Snapshot, view *directory.ServiceView) {
	engines := make(map[string]*catalog.Engine, len(view.Engines))
	for _, e := range view.Engines {
		engines[e.ID] = e
	}
	var abandoned []string
	p.formations.Range(func(name string, f formation) bool {
		if f.service != view.Service.Name {
			return true
		}
		if f.abandoned(engines) {
			abandoned = append(abandoned, name)
			return true
		}
		s.JoinDeadlines[f.id] = f.until
		if s.Now.Before(f.until) {
			for _, id := range f.pending(engines) {
				s.Reserved[id] = true
			}
		}
		return true
	})
	for _, name := range abandoned {
		p.formations.Delete(name)
		klog.InfoS("formation given up: a member has left, started again or joined a later group", "group", name)
	}
}

// addUnexpired adds the keys whose time has not passed to the sets.
func addUnexpired(m *shard.Map[time.Time], now time.Time, sets ...map[string]bool) {
	m.Range(func(key string, until time.Time) bool {
		for _, set := range sets {
			if now.Before(until) {
				set[key] = true
			}
		}
		return true
	})
}

// execute carries out one step of a plan.
func (p *Planner) execute(service *catalog.Service, step placement.Step) {
	switch {
	case step.Form != nil:
		p.form(service, step.Form)
	case step.Open != nil:
		p.open(step.Open)
	case step.Close != nil:
		p.close(step.Close)
	case step.Leave != nil:
		p.leave(step.Leave)
	case step.Stage != nil:
		p.stage(step.Stage)
	case step.Preload != nil:
		p.preload(step.Preload)
	}
}

// availableLoads returns the number of loads that may start now, limited by the
// published rate and by the number of loads that the weight store serves
// concurrently at full speed.
func (p *Planner) availableLoads(spec *catalog.EngineSpec, now time.Time) int {
	if p.startingUp() {
		return unboundedLoads
	}
	loading := 0
	p.stagedLoads.Range(func(_ string, st stagedLoad) bool {
		if now.Before(st.until) {
			loading++
		}
		return true
	})
	return max(0, min(p.budget.available(spec, now), spec.MaxConcurrentLoads-loading))
}

// clearEndedLoads removes the loads that have finished, and those that ended with
// their engine: they would otherwise occupy the weight store until they time out.
func (p *Planner) clearEndedLoads(view *directory.ServiceView) {
	engines := make(map[string]*catalog.Engine, len(view.Engines))
	for _, e := range view.Engines {
		engines[e.ID] = e
	}
	ended := map[string]stagedLoad{}
	p.stagedLoads.Range(func(id string, l stagedLoad) bool {
		if l.service == view.Service.Name && l.stateAt(engines[id]) != loadRunning {
			ended[id] = l
		}
		return true
	})
	for id, l := range ended {
		p.stagedLoads.Delete(id)
		klog.InfoS(l.stateAt(engines[id]).String(), "engine", id, "model", l.model, "ms", time.Since(l.since).Milliseconds())
	}
}

// startingUp reports whether the whole system has just started and no request has
// been served yet.
func (p *Planner) startingUp() bool { return p.opts.FirstStart && !p.requestsServed.Load() }

// stage orders an engine to load a model's weights onto its host. The engine
// remains available for other orders meanwhile.
func (p *Planner) stage(s *placement.Stage) {
	p.budget.spend(1, time.Now())
	id := s.Engine.ID
	p.reserve(s.Engine, time.Now().Add(orderInterval))
	now := time.Now()
	p.stagedLoads.Set(id, stagedLoad{
		service: s.Engine.Service, model: s.Model.Name, engineStart: s.Engine.StartUnixMS,
		since: now, until: now.Add(s.Model.LoadTime + joinMargin),
	})
	go func() {
		if err := p.sendOrder(s.Engine, Order{Op: Stage, Model: s.Model.Name}); err != nil {
			p.stagedLoads.Delete(id)
		}
	}()
}

// preload makes a spare engine load a model by joining it to a group of one that
// is never opened.
func (p *Planner) preload(s *placement.Preload) {
	fence := p.nextFence()
	id := catalog.GroupID{Name: placement.PreloadGroupPrefix + strconv.FormatInt(fence, 36), Epoch: fence}
	p.reserve(s.Engine, time.Now().Add(orderInterval+s.Model.WarmLoadTime))
	go func() {
		o := Order{Op: Join, Group: id, Model: s.Model.Name, Members: []string{s.Engine.ID}}
		if err := p.sendJoin(s.Engine, o); err != nil {
			p.reservedUntil.Delete(s.Engine.ID)
		}
	}()
}

// reserve excludes an engine from planning until the given time.
func (p *Planner) reserve(e *catalog.Engine, until time.Time) { p.reservedUntil.Set(e.ID, until) }

// endReservation ends the reservation of an engine until the given time, unless a later
// order has reserved it anew.
func (p *Planner) endReservation(id string, until time.Time) {
	p.reservedUntil.Update(id, func(current time.Time, ok bool) (time.Time, bool) {
		return current, ok && !current.Equal(until)
	})
}

// open orders the head of a complete group to serve. No reservation is needed: a
// head that has announced Ready accepts the order.
func (p *Planner) open(g *catalog.Group) {
	p.openingUntil.Set(g.ID.Name, time.Now().Add(orderInterval))
	p.unopenedGroups.Delete(g.ID.Name)
	// sendOrder logs failures; the next planning round decides again.
	go func() { _ = p.sendOrder(g.Head(), Order{Op: Open, Group: g.ID}) }()
}

// form forms a group by sending the join order to all members concurrently.
func (p *Planner) form(service *catalog.Service, f *placement.Form) {
	fence := p.nextFence()
	id := catalog.GroupID{Name: "g" + strconv.FormatInt(fence, 36), Epoch: fence}
	members := make([]string, len(f.Members))
	starts := make(map[string]int64, len(f.Members))
	joinTime := loadedJoinTime
	for i, e := range f.Members {
		members[i], starts[e.ID] = e.ID, e.StartUnixMS
		switch {
		case p.modelOfLastGroup(e) == f.Model.Name:
		case e.HasStaged(f.Model.Name):
			joinTime = max(joinTime, f.Model.WarmLoadTime)
		default:
			joinTime = max(joinTime, f.Model.LoadTime)
		}
	}
	p.budget.spend(f.Loads, time.Now())
	until := time.Now().Add(joinTime + joinMargin)
	p.formations.Set(id.Name, formation{id: id, service: service.Name, until: until, members: starts})
	p.unopenedGroups.Set(id.Name, id)
	klog.InfoS("group formed", "group", id.Name, "epoch", id.Epoch, "service", service.Name, "model", f.Model.Name,
		"members", members, "loads", f.Loads, "domain", f.Members[0].FabricDomain, "takes_ms", joinTime.Milliseconds())
	go p.saveHead(id, f.Members[0])
	for _, e := range f.Members {
		p.reserve(e, time.Now().Add(orderInterval))
		go func() {
			o := Order{Op: Join, Group: id, Model: f.Model.Name, Members: members}
			if err := p.sendJoin(e, o); err != nil {
				p.formations.Delete(id.Name)
			}
		}()
	}
}

// sendJoin sends an order to join a group. It depends on the state on which the plan rests,
// except for the first groups of a system, before which there are no orders.
func (p *Planner) sendJoin(e *catalog.Engine, o Order) error {
	if p.startingUp() {
		return p.sendOrder(e, o)
	}
	guard := &orderGuard{
		judge:    placement.JudgeJoin,
		question: placement.OrderQuestion{Target: o.Group, From: e.Membership.Group, StartUnixMS: e.StartUnixMS},
	}
	if l, ok := p.acceptedLeaves.Get(e.ID); ok && l.startUnixMS == e.StartUnixMS {
		if l.group == guard.question.From {
			guard.question.From = catalog.GroupID{}
		}
		guard.knownSeq = l.seqAfter
		l.seqAfter = nil // the join changes it
		p.acceptedLeaves.Set(e.ID, l)
	}
	return p.sendGuarded(e, o, guard)
}

// saveHead stores the head of a group for the next planner. Without the record, the
// next planner waits for unknownHeadWait before it reuses the members of a group
// whose head does not announce itself.
func (p *Planner) saveHead(id catalog.GroupID, head *catalog.Engine) {
	if err := p.opts.Heads.SaveHead(id, head); err != nil {
		klog.ErrorS(err, "head of the group not stored", "group", id.Name, "engine", head.ID)
	}
}

// sendOrder sends an order until the engine answers it, for at most orderExpiry.
// Each attempt has a higher fence, so that the engine refuses a late arrival of an
// earlier attempt. Until the engine answers it gets no other order. An order that
// was never answered blocks the engine for as long as it may still be executed:
// fences do not protect against that, since the late order need not be the one
// with the lower fence.
func (p *Planner) sendOrder(e *catalog.Engine, o Order) error {
	return p.sendGuarded(e, o, nil)
}

// sendGuarded is sendOrder for an order that depends on the engine's state; guard is asked
// before each attempt. It may be nil.
func (p *Planner) sendGuarded(e *catalog.Engine, o Order, guard *orderGuard) error {
	p.unansweredUntil.Set(e.ID, time.Now().Add(orderExpiry))
	var err error
	unanswered, delay := false, orderRetryDelay
	for deadline := time.Now().Add(orderExpiry); time.Now().Before(deadline); {
		var sent bool
		sent, err = p.attemptOrder(e, o, guard, deadline)
		switch {
		case !sent && !fault.Is(err, fault.Timeout): // the order must not be sent
			if !unanswered {
				p.unansweredUntil.Delete(e.ID)
			}
			return err
		case sent && (err == nil || fault.As(err).Outcome == fault.NotRun && !guard.retries(err)): // answered
			p.unansweredUntil.Delete(e.ID)
			return err
		case sent && fault.As(err).Outcome != fault.NotRun: // may be executed late
			unanswered = true
			p.unansweredUntil.Set(e.ID, time.Now().Add(orderExpiry))
		case sent: // refused for the order count
			delay = seqConflictDelay
		}
		if es, ok := p.engines.Get(e.ID); ok && es.unresponsive() {
			break
		}
		time.Sleep(delay)
	}
	if !unanswered {
		p.unansweredUntil.Delete(e.ID)
	}
	return err
}

// attemptOrder sends an order once, when a slot is free. It reports false if the
// order was not sent, because the lease or the time to send it has ended or the guard did
// not allow it. It reports true without an error if the guard finds the order done.
func (p *Planner) attemptOrder(e *catalog.Engine, o Order, guard *orderGuard, deadline time.Time) (sent bool, err error) {
	slot := p.orderSlots.of(o.Op)
	if !slot.acquire(deadline) {
		return false, fault.Refuse(fault.Overload, "plan again", "no slot for an order to engine %s before its expiry", e.ID)
	}
	defer slot.release()
	if !p.HoldsLease() {
		klog.InfoS("order not sent: this daemon no longer holds the planners' lease", "engine", e.ID, "op", o.Op.String(), "group", o.Group.Name)
		return false, errLeaseLost
	}
	if guard != nil {
		done, err := guard.check(p.opts.Engines, e, &o)
		if done || err != nil {
			return done, err
		}
		if !p.HoldsLease() {
			return false, errLeaseLost
		}
	}
	o.Fence = p.nextFence()
	err = p.opts.Engines.Order(e, o)
	klog.InfoS("order", "engine", e.ID, "op", o.Op.String(), "group", o.Group.Name, "model", o.Model, "fence", o.Fence, "error", errText(err))
	return true, err
}

// errLeaseLost is the reason for which an order is not sent.
var errLeaseLost = fault.Refuse(fault.Unavailable, "leave the order to the current planner", "this daemon does not hold the planners' lease")

// errText returns the text of an error, or an empty text for nil.
func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
