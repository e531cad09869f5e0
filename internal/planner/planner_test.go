package planner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/directory"
	"github.com/ragwortquay/ragwortquay/internal/fault"
)

const (
	heartbeat = 400 * time.Millisecond
	stall     = 2 * time.Second
)

// TestHeadIsOver lists what proves that an absent or silent head serves no
// more, and what does not.
func TestHeadIsOver(t *testing.T) {
	now := time.Now()
	group := catalog.GroupID{Name: "g1", Epoch: 5}
	said := func(id catalog.GroupID, state catalog.GroupState) Report {
		return Report{Membership: catalog.Membership{Group: id, State: state}}
	}
	gone := now.Add(-500 * time.Millisecond)
	cases := []struct {
		name   string
		w      watched
		closed bool
		want   bool
	}{
		{"nothing known", watched{goneSince: gone}, false, false},
		{"another engine answers for it", watched{dead: true}, false, true},
		{"silent for a short time", watched{misses: missesLost, firstMiss: now.Add(-time.Second), present: true}, false, false},
		{"silent for longer than the stall, but it reaches the store", watched{misses: missesLost, firstMiss: now.Add(-time.Hour), present: true}, false, false},
		{"gone, silent for longer than the stall", watched{misses: missesLost, firstMiss: now.Add(-3 * time.Second), goneSince: now}, false, true},
		{"gone for long before it was asked", watched{misses: missesLost, firstMiss: now, goneSince: now.Add(-3 * time.Second)}, false, true},
		{"gone lately, silent lately", watched{misses: missesLost, firstMiss: now, goneSince: now.Add(-time.Second)}, false, false},
		{"asked only once", watched{misses: 1, firstMiss: now.Add(-time.Hour), goneSince: now.Add(-time.Hour)}, false, false},
		{"says that it is open", watched{goneSince: gone, reportedAt: now, reported: said(group, catalog.Open)}, false, false},
		{"says that it is broken", watched{goneSince: gone, reportedAt: now, reported: said(group, catalog.Broken)}, false, true},
		{"says that it is ready, may have been ordered to open", watched{goneSince: gone, reportedAt: now, reported: said(group, catalog.Ready)}, false, false},
		{"says that it is ready, has answered the close", watched{goneSince: gone, reportedAt: now, reported: said(group, catalog.Ready)}, true, true},
		{"says that it is in another group", watched{goneSince: gone, reportedAt: now, reported: said(catalog.GroupID{Name: "g2", Epoch: 6}, catalog.Open)}, false, true},
		// From a run in which a head was cut off 9 s after a report of its previous group.
		{"said so before it was gone", watched{goneSince: gone, reportedAt: gone.Add(-time.Second), reported: said(catalog.GroupID{Name: "g0", Epoch: 4}, catalog.Open)}, false, false},
		{"said so too long ago", watched{goneSince: now.Add(-time.Minute), reportedAt: now.Add(-5 * time.Second), reported: said(group, catalog.Broken)}, false, false},
	}
	for i := range cases {
		c := &cases[i]
		c.w.engine.Membership.Group = group
		must.Eq(t, c.want, c.w.over(group, c.closed, heartbeat, stall, now), must.Sprint(c.name))
	}
	left := watched{engine: catalog.Engine{Membership: catalog.Membership{Group: catalog.GroupID{Name: "g2", Epoch: 6}}}}
	must.True(t, left.over(group, false, heartbeat, stall, now), must.Sprint("announces itself in another group"))
}

func TestAnAnnouncementClearsDoubt(t *testing.T) {
	now := time.Now()
	e := &catalog.Engine{ID: "i-1", StartUnixMS: 1, SeenAt: now}
	w := &watched{}
	w.announced(e)
	w.misses, w.suspect = missesLost, true
	must.True(t, w.lost())
	w.announced(e)
	must.True(t, w.lost(), must.Sprint("the same announcement is no news"))
	later := *e
	later.SeenAt = now.Add(time.Second)
	w.announced(&later)
	must.False(t, w.lost())
}

func TestLoadsStayBelowTheRate(t *testing.T) {
	spec := &catalog.EngineSpec{LoadsPerSecond: 4.5}
	now := time.Now()
	var two [2]loadBudget // two planners, one after the other
	started := 0
	for i := range two {
		n := two[i].available(spec, now)
		two[i].take(n, now)
		started += n
		must.Zero(t, two[i].available(spec, now))
	}
	// The stated bound for any five seconds is 1.1 times the rate and 3 more.
	must.LessEq(t, 27, started)
	must.Positive(t, two[0].available(spec, now.Add(loadWindow+time.Millisecond)))
}

// scripted is a lease whose answers are given in advance.
type scripted struct {
	held       bool
	generation int64
}

func (s *scripted) Renew(string, int64, time.Duration) (bool, int64, error) {
	return s.held, s.generation, nil
}
func (s *scripted) Leave(string) error { return nil }

func TestNumbersGrowOverGenerations(t *testing.T) {
	p := New(Options{Lease: &scripted{}})
	p.noteLease(true, 3, 0)
	last := int64(0)
	for range 5 {
		n := p.number()
		must.Greater(t, last, n)
		last = n
	}
	next := New(Options{Lease: &scripted{}})
	next.noteLease(true, 4, 0)
	must.Greater(t, last, next.number(), must.Sprint("the next planner's orders must win"))
}

// silent is a set of engines that answer orders only when they are told to.
type silent struct{ answers chan error }

func (s *silent) Report(*catalog.Engine) (Report, error) { return Report{}, nil }
func (s *silent) Order(*catalog.Engine, Order) error     { return <-s.answers }

// TestAnEngineGetsNoOtherOrderBeforeItHasAnswered is the cause of an engine that
// was joined to a second group while the first was open: its first join was sent
// again while the second one, with a fence in between, was carried out late.
func TestAnEngineGetsNoOtherOrderBeforeItHasAnswered(t *testing.T) {
	engines := &silent{answers: make(chan error)}
	p := New(Options{Lease: &scripted{}, Engines: engines, Directory: directory.New(directory.Options{}), Demand: balance.NewDemand()})
	p.noteLease(true, 3, 1<<62-1<<40)
	view := &directory.ServiceView{Service: &catalog.Service{Name: "llm", Engine: &catalog.EngineSpec{}}}
	e := &catalog.Engine{ID: "i-1"}
	done := make(chan error, 1)
	go func() { done <- p.order(e, Order{Op: Join}) }()
	engines.answers <- fault.New(fault.Timeout, "", "no answer")
	must.True(t, p.snapshot(view).Reserved["i-1"], must.Sprint("sent again, not answered"))
	engines.answers <- nil
	must.NoError(t, <-done)
	must.False(t, p.snapshot(view).Reserved["i-1"], must.Sprint("answered"))

	p.watched.Set("i-1", &watched{dead: true})
	go func() { done <- p.order(e, Order{Op: Join}) }()
	engines.answers <- fault.New(fault.Timeout, "", "no answer")
	must.Error(t, <-done)
	must.True(t, p.snapshot(view).Reserved["i-1"], must.Sprint("an order that was never answered may be carried out late"))
}

func TestALostLeaseForgetsWhatWasClosed(t *testing.T) {
	p := New(Options{Lease: &scripted{}})
	p.noteLease(true, 3, 1<<62-1<<40)
	must.True(t, p.HoldsLease())
	p.closed.Set("g1", catalog.GroupID{Name: "g1"})
	p.own.Set("g2", formation{})
	p.noteLease(false, 4, 0)
	must.False(t, p.HoldsLease())
	p.noteLease(true, 5, 1<<62-1<<40)
	must.Zero(t, p.closed.Len())
	must.Zero(t, p.own.Len())
}

// The notes of formations do not grow with a lease's length.
func TestPruneDropsWhatIsOver(t *testing.T) {
	now := time.Now()
	p := New(Options{})
	past, later := now.Add(-time.Second), now.Add(time.Second)
	for name, until := range map[string]time.Time{"old": past, "new": later} {
		p.reserved.Set(name, until)
		p.unanswered.Set(name, until)
		p.opening.Set(name, until)
		p.own.Set(name, formation{until: until})
		p.staging.Set(name, staging{until: until})
		p.closed.Set(name, catalog.GroupID{Name: name})
		p.headless.Set(name, past)
		p.memberless.Set(name, past)
	}
	p.prune(map[string]bool{"new": true}, map[string]*catalog.Engine{"new": nil}, now)
	sizes := []int{
		p.reserved.Len(), p.unanswered.Len(), p.opening.Len(), p.own.Len(),
		p.staging.Len(), p.closed.Len(), p.headless.Len(), p.memberless.Len(),
	}
	must.Eq(t, []int{1, 1, 1, 1, 1, 1, 1, 1}, sizes)
	_, ok := p.closed.Get("new")
	must.True(t, ok)
}

// Each planner keeps within its part of the published rate of loads; a third
// one within the same window leaves room for what two others may have started.
func TestAThirdPlannerInAWindowLeavesRoom(t *testing.T) {
	begun := time.Unix(1000, 0)
	at := func(s float64) time.Time { return begun.Add(time.Duration(s * float64(time.Second))) }
	cases := []struct {
		name    string
		changes []float64
		gained  float64
		crowded bool
	}{
		{"nothing known of the time before it joined", nil, 2, true},
		{"the lease had one holder for long", []float64{60}, 60, false},
		{"the holder before had it for long", []float64{10, 60}, 60, false},
		{"the holder before had it for a moment", []float64{58, 60}, 60, true},
		{"the holder before had it for longer than the window", []float64{54, 60}, 60, false},
	}
	for _, c := range cases {
		var l leaseChanges
		l.note(true, begun)
		for _, s := range c.changes {
			l.note(true, at(s))
		}
		l.note(false, at(c.gained))
		must.Eq(t, c.crowded, l.crowded(at(c.gained)), must.Sprint(c.name))
	}
	for _, c := range []struct{ rate, atOnce, alone, shared int }{
		{4, 6, 11, 8},
		{18, 27, 49, 36},
		{4, 20, 11, 0},
		{4, 2, 11, 11},
	} {
		var b loadBudget
		spec := &catalog.EngineSpec{LoadsPerSecond: float64(c.rate), MaxConcurrentLoads: c.atOnce}
		must.Eq(t, c.alone, b.available(spec, begun))
		b.share(begun)
		must.Eq(t, c.shared, b.available(spec, at(4)), must.Sprintf("%+v", c))
		// The platform's ceiling is 1.1 of the published rate over 5 s.
		must.LessEq(t, 1.1*float64(c.rate*5), float64(c.shared+2*min(c.alone, c.atOnce)), must.Sprintf("%+v", c))
		must.Eq(t, c.alone, b.available(spec, at(5)))
	}
}
