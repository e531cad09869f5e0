package planner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/directory"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/placement"
)

func TestNewAnnouncementClearsFailedQueries(t *testing.T) {
	now := time.Now()
	e := &catalog.Engine{ID: "i-1", StartUnixMS: 1, SeenAt: now}
	status := &engineStatus{}
	status.recordAnnouncement(e)
	status.misses, status.suspect = maxMisses, true
	must.True(t, status.unresponsive())
	status.recordAnnouncement(e)
	must.True(t, status.unresponsive(), must.Sprint("the same announcement again has no effect"))
	later := *e
	later.SeenAt = now.Add(time.Second)
	status.recordAnnouncement(&later)
	must.False(t, status.unresponsive())
}

func TestLoadBudgetOfTwoPlannersStaysBelowRate(t *testing.T) {
	spec := &catalog.EngineSpec{LoadsPerSecond: 4.5}
	now := time.Now()
	var planners [2]loadBudget // two planners that hold the lease in succession
	started := 0
	for i := range planners {
		n := planners[i].available(spec, now)
		planners[i].spend(n, now)
		started += n
		must.Zero(t, planners[i].available(spec, now))
	}
	// The platform's limit for any 5 s is 1.1 times the rate plus 3.
	must.LessEq(t, 27, started)
	must.Positive(t, planners[0].available(spec, now.Add(loadWindow+time.Millisecond)))
}

// fixedLease is a Lease with constant answers.
type fixedLease struct {
	held       bool
	generation int64
}

func (s *fixedLease) Renew(string, int64, time.Duration) (Renewal, error) {
	return Renewal{Held: s.held, Generation: s.generation}, nil
}
func (s *fixedLease) Leave(string) error { return nil }

func TestFencesIncreaseAcrossGenerations(t *testing.T) {
	p := New(Options{Lease: &fixedLease{}})
	p.applyRenewal(true, 3, 0)
	last := int64(0)
	for range 5 {
		n := p.nextFence()
		must.Greater(t, last, n)
		last = n
	}
	next := New(Options{Lease: &fixedLease{}})
	next.applyRenewal(true, 4, 0)
	must.Greater(t, last, next.nextFence(), must.Sprint("the fences of the next planner must be higher"))
}

// blockingEngines is an EngineClient whose orders block until the test sends the
// response.
type blockingEngines struct{ answers chan error }

func (s *blockingEngines) Report(*catalog.Engine) (Report, error) { return Report{}, nil }
func (s *blockingEngines) Answers(*catalog.Engine, string) bool   { return false }
func (s *blockingEngines) Order(*catalog.Engine, Order) error     { return <-s.answers }

// TestUnansweredOrderReservesEngine guards against an engine that joins a second
// group while the first one is open. This happened when the first join was sent
// again with a higher fence while a second join, whose fence lay between the two,
// was executed late.
func TestUnansweredOrderReservesEngine(t *testing.T) {
	engines := &blockingEngines{answers: make(chan error)}
	p := New(Options{Lease: &fixedLease{}, Engines: engines, Directory: directory.New(directory.Options{}), Demand: balance.NewDemand()})
	p.applyRenewal(true, 3, 1<<62-1<<40)
	view := &directory.ServiceView{Service: &catalog.Service{Name: "llm", Engine: &catalog.EngineSpec{}}}
	e := &catalog.Engine{ID: "i-1"}
	done := make(chan error, 1)
	go func() { done <- p.sendOrder(e, Order{Op: Join}) }()
	engines.answers <- fault.New(fault.Timeout, "", "no answer")
	must.True(t, p.buildSnapshot(view).Reserved["i-1"], must.Sprint("first attempt not answered, second one in progress"))
	engines.answers <- nil
	must.NoError(t, <-done)
	must.False(t, p.buildSnapshot(view).Reserved["i-1"], must.Sprint("answered"))

	p.engines.Set("i-1", &engineStatus{replaced: true})
	go func() { done <- p.sendOrder(e, Order{Op: Join}) }()
	engines.answers <- fault.New(fault.Timeout, "", "no answer")
	must.Error(t, <-done)
	must.True(t, p.buildSnapshot(view).Reserved["i-1"], must.Sprint("an order that was never answered may still be executed"))
}

func TestRegainedLeaseClearsState(t *testing.T) {
	p := New(Options{Lease: &fixedLease{}})
	p.applyRenewal(true, 3, 1<<62-1<<40)
	must.True(t, p.HoldsLease())
	p.closedGroups.Set("g1", closedGroup{})
	p.unopenedGroups.Set("g3", catalog.GroupID{Name: "g3"})
	p.formations.Set("g2", formation{})
	p.acceptedLeaves.Set("i-1", acceptedLeave{})
	p.applyRenewal(false, 4, 0)
	must.False(t, p.HoldsLease())
	p.applyRenewal(true, 5, 1<<62-1<<40)
	must.Zero(t, p.closedGroups.Len())
	must.Zero(t, p.formations.Len())
	must.Zero(t, p.unopenedGroups.Len())
	must.Zero(t, p.acceptedLeaves.Len())
}

// TestPruneDeletesExpiredState guards against state that grows with every group
// formed during a long lease.
func TestPruneDeletesExpiredState(t *testing.T) {
	now := time.Now()
	p := New(Options{})
	past, later := now.Add(-time.Second), now.Add(time.Second)
	for name, until := range map[string]time.Time{"old": past, "new": later} {
		p.reservedUntil.Set(name, until)
		p.unansweredUntil.Set(name, until)
		p.openingUntil.Set(name, until)
		p.formations.Set(name, formation{until: until})
		p.stagedLoads.Set(name, stagedLoad{until: until})
		p.closedGroups.Set(name, closedGroup{})
		p.unopenedGroups.Set(name, catalog.GroupID{Name: name})
		p.acceptedLeaves.Set(name, acceptedLeave{group: catalog.GroupID{Name: name}})
		p.headVerdicts.Set(name, placement.HeadSilent)
		p.headlessSince.Set(name, past)
		p.memberlessSince.Set(name, past)
	}
	p.prune(map[string]bool{"new": true}, map[string]*catalog.Engine{"new": nil}, now)
	sizes := []int{
		p.reservedUntil.Len(), p.unansweredUntil.Len(), p.openingUntil.Len(), p.formations.Len(),
		p.stagedLoads.Len(), p.closedGroups.Len(), p.headlessSince.Len(), p.memberlessSince.Len(),
		p.unopenedGroups.Len(), p.headVerdicts.Len(), p.acceptedLeaves.Len(),
	}
	must.Eq(t, []int{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, sizes)
	_, ok := p.closedGroups.Get("new")
	must.True(t, ok)
}

// Loads on engines that are gone must not keep other loads from starting.
func TestLoadsOfLostEnginesFreeTheWeightStore(t *testing.T) {
	spec := &catalog.EngineSpec{LoadsPerSecond: 100, MaxConcurrentLoads: 4}
	loaded := catalog.Engine{ID: "i-0", StartUnixMS: 7, StagedModels: []string{"m"}}
	running := catalog.Engine{ID: "i-1", StartUnixMS: 7}
	restarted := catalog.Engine{ID: "i-2", StartUnixMS: 8}
	view := &directory.ServiceView{Service: &catalog.Service{Name: "llm", Engine: spec}, Engines: []*catalog.Engine{&loaded, &running, &restarted}}
	p := New(Options{})
	now := time.Now()
	for _, id := range []string{"i-0", "i-1", "i-2", "i-3"} {
		p.stagedLoads.Set(id, stagedLoad{service: "llm", model: "m", engineStart: 7, since: now, until: now.Add(time.Minute)})
	}
	p.stagedLoads.Set("i-9", stagedLoad{service: "other", model: "m", until: now.Add(-time.Minute)})
	must.Eq(t, 0, p.availableLoads(spec, now))
	p.clearEndedLoads(view)
	must.Eq(t, 3, p.availableLoads(spec, now), must.Sprint("only the load of i-1 is running"))
	_, ok := p.stagedLoads.Get("i-9")
	must.True(t, ok, must.Sprint("the engine of another service is not in the view"))
}

// TestThirdPlannerInWindowReducesBudget checks that a planner whose two predecessors
// may have started loads within the same window leaves room for those loads, so
// that the three together stay within the platform's limit.
func TestThirdPlannerInWindowReducesBudget(t *testing.T) {
	begun := time.Unix(1000, 0)
	at := func(s float64) time.Time { return begun.Add(time.Duration(s * float64(time.Second))) }
	cases := []struct {
		name         string
		changes      []float64
		acquired     float64
		predecessors bool
	}{
		{"candidate for less than the window", nil, 2, true},
		{"one change, 60 s after joining", []float64{60}, 60, false},
		{"the previous holder held it for 50 s", []float64{10, 60}, 60, false},
		{"the previous holder held it for 2 s", []float64{58, 60}, 60, true},
		{"the previous holder held it for longer than the window", []float64{54, 60}, 60, false},
	}
	for _, c := range cases {
		var l leaseHistory
		l.record(true, begun)
		for _, s := range c.changes {
			l.record(true, at(s))
		}
		l.record(false, at(c.acquired))
		must.Eq(t, c.predecessors, l.predecessorsInWindow(at(c.acquired)), must.Sprint(c.name))
	}
	for _, c := range []struct{ rate, atOnce, unshared, shared int }{
		{4, 6, 11, 8},
		{18, 27, 49, 36},
		{4, 20, 11, 0},
		{4, 2, 11, 11},
	} {
		var b loadBudget
		spec := &catalog.EngineSpec{LoadsPerSecond: float64(c.rate), MaxConcurrentLoads: c.atOnce}
		must.Eq(t, c.unshared, b.available(spec, begun))
		b.reserveForPredecessors(begun)
		must.Eq(t, c.shared, b.available(spec, at(4)), must.Sprintf("%+v", c))
		// The platform's limit is 1.1 times the published rate over 5 s.
		must.LessEq(t, 1.1*float64(c.rate*5), float64(c.shared+2*min(c.unshared, c.atOnce)), must.Sprintf("%+v", c))
		must.Eq(t, c.unshared, b.available(spec, at(5)))
	}
}
