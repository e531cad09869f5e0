package planner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/boottime"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/directory"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/placement"
)

const (
	headStart  = 1000
	headStall  = 5 * time.Second
	headSlack  = 2 * time.Second // a series of queries and its interval
	headGoneAt = 30 * time.Second
)

var headGroup = catalog.GroupID{Name: "g5", Epoch: 5}

// headScene is a planner with one peer and the head of a group. It is the engine client,
// the peers and the store of the planner.
type headScene struct {
	p *Planner

	mu sync.Mutex
	// lost, lostHealth and lostToPeer are set while the planner's reports and orders, its
	// health checks, and the peer's queries get no answer.
	lost, lostHealth, lostToPeer bool
	// ended is set once the engine has ended. report is what it reports.
	ended  bool
	report Report
	closes int
}

func (s *headScene) query(lost bool) (Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lost || s.ended {
		return Report{}, fault.New(fault.Timeout, "", "no answer")
	}
	return s.report, nil
}

func (s *headScene) Report(*catalog.Engine) (Report, error) { return s.query(s.lost) }

func (s *headScene) Answers(*catalog.Engine, string) bool {
	_, err := s.query(s.lostHealth)
	return err == nil
}

func (s *headScene) Order(_ *catalog.Engine, o Order) error {
	_, err := s.query(s.lost)
	if err == nil && o.Op == Close {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.closes++
		if s.report.Membership.State == catalog.Open {
			s.report.Membership.State = catalog.Closing
		}
	}
	return err
}

func (s *headScene) Ask(e *catalog.Engine) {
	asked := boottime.Now()
	go func() {
		time.Sleep(10 * time.Millisecond)
		statement := &Statement{Peer: "peer", Engine: e.ID, StartUnixMS: e.StartUnixMS, AskedAt: asked, HeardAgo: -1}
		if r, err := s.query(s.lostToPeer); err == nil {
			statement.Finding = Finding{Kind: placement.Reported, Report: r}
		}
		s.p.ApplyStatement(statement)
	}()
}

func (s *headScene) LastHeard(string) time.Time { return time.Time{} }

// Read, ReadLatest and the decoders make the scene the store, which lists two daemons and
// the stored head of the group.
func (*headScene) Read(_ string, from uint64, wait time.Duration) ([]directory.Record, directory.Position, error) {
	time.Sleep(wait)
	return nil, directory.Position{Offset: from}, nil
}

func (*headScene) ReadLatest(topic string) ([]directory.Record, directory.Position, error) {
	if topic != "daemons" {
		return nil, directory.Position{Offset: 1}, nil
	}
	return []directory.Record{{Key: "daemon", Value: []byte("1")}, {Key: "peer", Value: []byte("1")}, {Key: "head", Value: []byte("1")}}, directory.Position{Offset: 1}, nil
}

func (*headScene) Operator(directory.Record) (*directory.OperatorRecord, error) { return nil, nil }
func (*headScene) Engine(directory.Record) (*catalog.Engine, error)             { return nil, nil }
func (*headScene) DaemonRecord(r directory.Record) (*directory.DaemonRecord, error) {
	if r.Key != "head" {
		return &directory.DaemonRecord{Daemon: r.Key, Addr: string(r.Value)}, nil
	}
	return &directory.DaemonRecord{Group: headGroup.Name, Head: openHead()}, nil
}

// openHead is the head as it is stored and was announced.
func openHead() *catalog.Engine {
	return &catalog.Engine{ID: "head", Service: "llm", StartUnixMS: headStart, Membership: catalog.Membership{Group: headGroup, State: catalog.Open}}
}

// TestHeadIsGivenUpOnlyWhenNobodyReachesIt plays orders of events around a head that is no
// longer listed. Its members may be used once it has certainly stopped, and not long after
// that.
func TestHeadIsGivenUpOnlyWhenNobodyReachesIt(t *testing.T) {
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	type event struct {
		at time.Duration
		do func(s *headScene)
	}
	set := func(field func(s *headScene) *bool, value bool) func(*headScene) {
		return func(s *headScene) {
			s.mu.Lock()
			defer s.mu.Unlock()
			*field(s) = value
		}
	}
	lost := func(s *headScene) *bool { return &s.lost }
	lostHealth := func(s *headScene) *bool { return &s.lostHealth }
	lostToPeer := func(s *headScene) *bool { return &s.lostToPeer }
	ended := func(s *headScene) *bool { return &s.ended }
	suspect := func(s *headScene) {
		es, _ := s.p.engines.Get("head")
		es.mu.Lock()
		defer es.mu.Unlock()
		es.suspect = true
	}
	replacePlanner := func(s *headScene) { s.p.engines.Delete("head") }
	stopPlanner := func(s *headScene) { s.p.applyRenewal(false, 3, 0) }
	resumePlanner := func(s *headScene) { s.p.applyRenewal(true, 3, 1<<62-1<<40) }
	restart := func(s *headScene) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.report = Report{StartUnixMS: headStart + 1}
	}
	for _, c := range []struct {
		name   string
		events []event
		// removed is when the store removes the entry, stopped when the head stops
		// serving. within is how long after that its members may be used at the latest.
		removed, stopped, within time.Duration
	}{
		{
			"leaves without notice, the planner has lost its path",
			[]event{{at(0), set(lost, true)}, {at(0), set(lostHealth, true)}, {headGoneAt, set(ended, true)}},
			at(0.5), headGoneAt, headStall + headSlack,
		},
		{
			"leaves without notice, only the path of reports and orders is lost, for all",
			[]event{{at(0), set(lost, true)}, {at(0), set(lostToPeer, true)}, {headGoneAt, set(ended, true)}},
			at(0.5), headGoneAt, headStall + headSlack,
		},
		{
			"is silent to the peer only now and then",
			[]event{
				{at(0), set(lost, true)},
				{at(0), set(lostHealth, true)},
				{at(1), set(lostToPeer, true)},
				{at(5), set(lostToPeer, false)},
				{at(6), set(lostToPeer, true)},
				{at(10), set(lostToPeer, false)},
				{at(12), set(ended, true)},
			},
			at(0.5), at(12), headStall + headSlack,
		},
		{
			"the planner's path is lost, it is stopped, and goes on",
			[]event{{at(0), set(lost, true)}, {at(0), set(lostHealth, true)}, {at(1), set(lostToPeer, true)}, {at(2), stopPlanner}, {at(12), resumePlanner}, {at(16), set(ended, true)}},
			at(0.5), at(16), headStall + headSlack,
		},
		{
			"the removal is applied late",
			[]event{{at(0), set(lost, true)}, {at(0), set(lostHealth, true)}, {headGoneAt, set(ended, true)}},
			at(9), headGoneAt, headStall + headSlack,
		},
		{
			"the planner changes and reads the stored head back",
			[]event{{at(0), set(lost, true)}, {at(0), set(lostHealth, true)}, {at(3), replacePlanner}, {at(7), replacePlanner}, {headGoneAt, set(ended, true)}},
			at(0.5), headGoneAt, headStall + headSlack,
		},
		{
			"ends at once and is suspected before its entry expires",
			[]event{{at(0), set(ended, true)}, {at(0.5), suspect}},
			at(3), at(0), at(0.5) + headStall + headSlack,
		},
		{
			"ends at once, with nobody to notice",
			[]event{{at(0), set(ended, true)}},
			at(3), at(0), at(3) + headStall + headSlack,
		},
		{
			"starts again at the same address",
			[]event{{at(0), set(lost, true)}, {at(0), set(lostHealth, true)}, {at(4), restart}},
			at(0.5), at(4), headSlack,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				scene := &headScene{report: Report{StartUnixMS: headStart, Membership: openHead().Membership}}
				d := directory.New(directory.Options{Log: scene, Decoder: scene, Topics: directory.Topics{Operator: "operator", Engines: "engines", Daemons: "daemons"}, ConfigBound: time.Second})
				scene.p = New(Options{Lease: &fixedLease{}, Engines: scene, Peers: scene, Directory: d, StallBound: headStall})
				resumePlanner(scene)
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				running.Go(func() { _ = d.Run(ctx) })
				defer running.Wait()
				defer cancel()
				synctest.Wait()
				member := &catalog.Engine{ID: "member", Service: "llm", StartUnixMS: 1, Membership: catalog.Membership{Group: headGroup, Rank: 1, State: catalog.Ready}}
				service := &catalog.Service{Name: "llm", Engine: &catalog.EngineSpec{}}
				begun := time.Now()
				var usable time.Duration
				for events := c.events; usable == 0; time.Sleep(100 * time.Millisecond) {
					now := time.Since(begun)
					for len(events) > 0 && events[0].at <= now {
						events[0].do(scene)
						events = events[1:]
					}
					engines := []*catalog.Engine{member}
					if now < c.removed {
						engines = append(engines, openHead())
					}
					view := &directory.ServiceView{Service: service, Engines: engines, Groups: catalog.BuildGroups(service, engines)}
					scene.p.trackEngines(view)
					scene.p.querySuspects()
					if scene.p.HoldsLease() && scene.p.judgeHead(&view.Groups[0], time.Now()) != placement.HeadMayServe {
						usable = now
					}
					must.Less(t, time.Minute, now, must.Sprint("the members are never used"))
				}
				must.GreaterEq(t, c.stopped, usable, must.Sprint("the members are used while the head may serve"))
				must.LessEq(t, c.stopped+c.within, usable, must.Sprint("the members are stranded"))
			})
		})
	}
}

// TestUnknownHeadIsGivenUpLate checks that the group of a head that neither the store nor the
// planner knows is abandoned after unknownHeadWait, not ended: its head may be open.
func TestUnknownHeadIsGivenUpLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Options{Lease: &fixedLease{}, Directory: directory.New(directory.Options{}), StallBound: headStall})
		group := catalog.Group{ID: headGroup, Members: []*catalog.Engine{nil}}
		for range int(unknownHeadWait / time.Second) {
			must.Eq(t, placement.HeadMayServe, p.judgeHead(&group, time.Now()))
			time.Sleep(time.Second)
		}
		time.Sleep(time.Second)
		must.Eq(t, placement.HeadUnknown, p.judgeHead(&group, time.Now()))
	})
}

// TestUnknownHeadIsDatedAnew guards against a group that is abandoned at once when its head is
// unknown for the second time, since the time counted from the first.
func TestUnknownHeadIsDatedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Options{Lease: &fixedLease{}, Directory: directory.New(directory.Options{}), StallBound: headStall})
		unknown := catalog.Group{ID: headGroup, Members: []*catalog.Engine{nil}}
		listed := catalog.Group{ID: headGroup, Members: []*catalog.Engine{openHead()}}
		must.Eq(t, placement.HeadMayServe, p.judgeHead(&unknown, time.Now()))
		must.Eq(t, placement.HeadMayServe, p.judgeHead(&listed, time.Now()))
		time.Sleep(2 * unknownHeadWait)
		must.Eq(t, placement.HeadMayServe, p.judgeHead(&unknown, time.Now()))
	})
}

// TestAbsentHeadThatAnswersIsClosed checks that the group of a head that leaves without
// notice is closed, and its members are used once the head has finished its requests.
func TestAbsentHeadThatAnswersIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scene := &headScene{report: Report{StartUnixMS: headStart, Membership: openHead().Membership}}
		scene.p = New(Options{Lease: &fixedLease{}, Engines: scene, Peers: scene, Directory: directory.New(directory.Options{}), StallBound: headStall})
		scene.p.applyRenewal(true, 3, 1<<62-1<<40)
		scene.p.engines.Set("head", &engineStatus{engine: *openHead(), absentSince: time.Now()})
		group := catalog.Group{ID: headGroup, Members: []*catalog.Engine{nil}}
		step := func() bool {
			time.Sleep(queryInterval + 100*time.Millisecond)
			scene.p.querySuspects()
			synctest.Wait()
			return scene.p.judgeHead(&group, time.Now()) != placement.HeadMayServe
		}
		must.False(t, step())
		must.False(t, step())
		must.Eq(t, 1, scene.closes)
		scene.mu.Lock()
		scene.report.Membership.State = catalog.Ready
		scene.mu.Unlock()
		must.True(t, step())
	})
}

// TestCloseIsConfirmedByALaterState guards against members that are taken on an
// announcement that the head does not serve, which is older than its close: an earlier
// planner's order to open was executed in between, and the head finishes its requests.
func TestCloseIsConfirmedByALaterState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scene := &headScene{report: Report{StartUnixMS: headStart, Membership: openHead().Membership}}
		scene.p = New(Options{Lease: &fixedLease{}, Engines: scene, Peers: scene, Directory: directory.New(directory.Options{}), Demand: balance.NewDemand(), StallBound: headStall})
		scene.p.applyRenewal(true, 3, 1<<62-1<<40)
		announced := openHead()
		announced.Membership.State, announced.SeenAt = catalog.Ready, time.Now()
		scene.p.engines.Set("head", &engineStatus{engine: *announced, present: true})
		view := &directory.ServiceView{Service: &catalog.Service{Name: "llm", Engine: &catalog.EngineSpec{}}, Engines: []*catalog.Engine{announced}}
		time.Sleep(time.Second)
		until := time.Now().Add(orderInterval)
		scene.p.reserve(announced, until)
		scene.p.sendClose(announced, headGroup, false, until)
		must.Eq(t, 1, scene.closes)
		snapshot := scene.p.buildSnapshot(view)
		must.False(t, snapshot.CloseAcked[headGroup], must.Sprint("the head is closing"))
		must.True(t, snapshot.Reserved["head"])
		scene.mu.Lock()
		scene.report.Membership.State = catalog.Ready
		scene.mu.Unlock()
		time.Sleep(orderInterval)
		until = time.Now().Add(orderInterval)
		scene.p.reserve(announced, until)
		scene.p.sendClose(announced, headGroup, false, until)
		snapshot = scene.p.buildSnapshot(view)
		must.True(t, snapshot.CloseAcked[headGroup], must.Sprint("the head has finished"))
		must.False(t, snapshot.Reserved["head"], must.Sprint("the head is free together with its members"))
		scene.p.reserve(announced, until.Add(time.Second)) // for a later order
		must.True(t, scene.p.buildSnapshot(view).Reserved["head"])
	})
}

// TestEngineOfAnotherStartIsDown guards against a member that has ended and whose address
// another engine has, or a later incarnation of it: its report was taken for that of the
// member, whose group stood still and was not replaced.
func TestEngineOfAnotherStartIsDown(t *testing.T) {
	member := catalog.Engine{ID: "i-1", StartUnixMS: headStart, Membership: catalog.Membership{Group: headGroup, Rank: 1, State: catalog.Ready}}
	for _, c := range []struct {
		name   string
		report Report
		down   bool
	}{
		{"itself", Report{StartUnixMS: headStart, Membership: member.Membership}, false},
		{"a later incarnation", Report{StartUnixMS: headStart + 1}, true},
		{"another engine, the head of another group", Report{StartUnixMS: headStart - 1, Membership: catalog.Membership{Group: catalog.GroupID{Name: "g9", Epoch: 9}, State: catalog.Open}}, true},
		{"a later incarnation that joined the group", Report{StartUnixMS: headStart + 1, Membership: member.Membership}, false},
	} {
		for _, present := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				scene := &headScene{report: c.report}
				scene.p = New(Options{Lease: &fixedLease{}, Engines: scene, Peers: scene, Directory: directory.New(directory.Options{}), StallBound: headStall})
				scene.p.applyRenewal(true, 3, 1<<62-1<<40)
				e := member
				if !present {
					e.Membership.Rank = 0 // an absent head
				}
				es := &engineStatus{engine: e, present: present, suspect: true}
				scene.p.engines.Set("i-1", es)
				scene.p.querySuspects()
				synctest.Wait()
				must.Eq(t, c.down, es.unresponsive(), must.Sprintf("%s, present: %t", c.name, present))
				closes := 0
				if !present && !c.down {
					closes = 1 // the group of an absent head that answers
				}
				must.Eq(t, closes, scene.closes, must.Sprintf("%s, present: %t", c.name, present))
			})
		}
	}
}
