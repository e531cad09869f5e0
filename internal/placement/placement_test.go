package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

var (
	large = catalog.Model{Name: "large", GroupSize: 4, Share: 0.5, TimeFactor: 1}
	small = catalog.Model{Name: "small", GroupSize: 3, Share: 0.5, TimeFactor: 1}
)

func service() *catalog.Service {
	return &catalog.Service{Name: "llm", Engine: &catalog.EngineSpec{
		Slots: 8, LoadsPerSecond: 4, MaxConcurrentLoads: 6, Models: []catalog.Model{large, small},
	}}
}

// engine returns an engine in a group; an empty name puts it in none.
func engine(id, group string, rank int, state catalog.GroupState) *catalog.Engine {
	e := &catalog.Engine{ID: id, Service: "llm", Zone: "a", FabricDomain: "d0"}
	if group != "" {
		e.Membership = catalog.Membership{Group: catalog.GroupID{Name: group, Epoch: 7}, Rank: rank, State: state}
		e.Model = small.Name
		e.StagedModels = []string{small.Name}
	}
	return e
}

func snapshot(engines ...*catalog.Engine) *Snapshot {
	s := service()
	return &Snapshot{
		Service: s, Engines: engines, Groups: catalog.BuildGroups(s, engines), Now: time.Unix(1000, 0),
		Unresponsive: map[string]bool{}, Reserved: map[string]bool{}, Staging: map[string]string{},
		JoinDeadlines: map[catalog.GroupID]time.Time{}, CloseAcked: map[catalog.GroupID]bool{}, HeadStopped: map[catalog.GroupID]bool{},
		ZoneOutOfService: func(string) bool { return false }, Demand: map[string]float64{"large": 1, "small": 1}, LoadBudget: 6,
	}
}

func trio(state catalog.GroupState) []*catalog.Engine {
	return []*catalog.Engine{
		engine("i-0", "g1", 0, state), engine("i-1", "g1", 1, catalog.Ready), engine("i-2", "g1", 2, catalog.Ready),
	}
}

func TestJudge(t *testing.T) {
	id := catalog.GroupID{Name: "g1", Epoch: 7}
	cases := []struct {
		name    string
		engines []*catalog.Engine
		change  func(*Snapshot)
		want    Condition
	}{
		{"open and complete", trio(catalog.Open), nil, Healthy},
		{"open, a member gone", trio(catalog.Open)[:2], nil, Failed},
		{"open, a member silent", trio(catalog.Open), func(s *Snapshot) { s.Unresponsive["i-2"] = true }, Failed},
		{"open, a member drains", trio(catalog.Open), func(s *Snapshot) { s.Engines[1].Draining = true }, Draining},
		{"closing", trio(catalog.Closing), nil, Ending},
		{"broken", trio(catalog.Broken), nil, Ended},
		{"ready, ours", trio(catalog.Ready), func(s *Snapshot) { s.JoinDeadlines[id] = s.Now.Add(time.Second) }, Openable},
		{"ready, ours, a member not yet in", trio(catalog.Ready)[:2], func(s *Snapshot) { s.JoinDeadlines[id] = s.Now.Add(time.Second) }, Forming},
		{"ready, ours, too late", trio(catalog.Ready), func(s *Snapshot) { s.JoinDeadlines[id] = s.Now.Add(-time.Second) }, Unfenced},
		{"ready, another planner's", trio(catalog.Ready), nil, Unfenced},
		{"ready, closed by us", trio(catalog.Ready), func(s *Snapshot) { s.CloseAcked[id] = true }, Ended},
		{"open, closed by us but not yet seen", trio(catalog.Open)[:2], func(s *Snapshot) { s.CloseAcked[id] = true }, Failed},
		{"head gone", trio(catalog.Open)[1:], nil, Ending},
		{"head gone and released", trio(catalog.Open)[1:], func(s *Snapshot) { s.HeadStopped[id] = true }, Ended},
		{"head not yet in, ours", trio(catalog.Ready)[1:], func(s *Snapshot) {
			// The head still announces its previous group, which looks as if it had left this one.
			s.HeadStopped[id], s.JoinDeadlines[id] = true, s.Now.Add(time.Second)
		}, Forming},
		{"head never came, ours, too late", trio(catalog.Ready)[1:], func(s *Snapshot) {
			s.HeadStopped[id], s.JoinDeadlines[id] = true, s.Now.Add(-time.Second)
		}, Ended},
		{"head silent", trio(catalog.Open), func(s *Snapshot) { s.Unresponsive["i-0"] = true }, Ending},
		{"preloaded spare", []*catalog.Engine{engine("i-0", "p1", 0, catalog.Ready)}, nil, Ended},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := snapshot(c.engines...)
			if c.change != nil {
				c.change(s)
			}
			must.Eq(t, c.want, Classify(s, &s.Groups[0]))
		})
	}
}

func TestTheFirstGroupOfEachModelComesFirst(t *testing.T) {
	var engines []*catalog.Engine
	for i := range 9 {
		engines = append(engines, engine(fmt.Sprintf("i-%d", i), "", 0, catalog.NoGroup))
	}
	s := snapshot(engines...)
	s.Starting, s.LoadBudget = true, 100
	sizes := map[string]int{}
	for _, step := range Plan(s) {
		if step.Form != nil {
			sizes[step.Form.Model.Name] += len(step.Form.Members)
		}
	}
	must.Eq(t, map[string]int{"large": 4, "small": 3}, sizes)
}

// TestAHeadGetsOneOrderAtATime is the cause of a head that was opened again after
// its close: the order to open was still being sent again.
func TestAHeadGetsOneOrderAtATime(t *testing.T) {
	id := catalog.GroupID{Name: "g1", Epoch: 7}
	s := snapshot(trio(catalog.Ready)...)
	s.JoinDeadlines[id] = s.Now.Add(time.Second)
	must.Len(t, 1, Plan(s))
	s.Unanswered = map[string]bool{"i-0": true}
	must.Len(t, 0, Plan(s), must.Sprint("opened twice"))
	s.Unanswered = map[string]bool{"i-2": true}
	must.Len(t, 0, Plan(s), must.Sprint("opened while a member may be joined to another group"))
	s.JoinDeadlines[id] = s.Now.Add(-time.Second)
	s.Reserved["i-0"] = true
	must.Len(t, 0, Plan(s), must.Sprint("closed while the order to open is under way"))
}

func TestSurvivorsAndASpareFormAtOnce(t *testing.T) {
	spare := engine("i-9", "", 0, catalog.NoGroup)
	spare.StagedModels = []string{small.Name}
	s := snapshot(append(trio(catalog.Broken)[:2], spare)...)
	steps := Plan(s)
	must.Positive(t, len(steps))
	must.NotNil(t, steps[0].Form)
	must.Eq(t, small.Name, steps[0].Form.Model.Name)
	must.Zero(t, steps[0].Form.Loads)
}

func TestAnEmptySpareIsStagedBeforeItJoins(t *testing.T) {
	s := snapshot(append(trio(catalog.Broken)[:2], engine("i-9", "", 0, catalog.NoGroup))...)
	steps := Plan(s)
	must.Len(t, 1, steps)
	must.NotNil(t, steps[0].Stage)
	must.Eq(t, "i-9", steps[0].Stage.Engine.ID)
	s.LoadBudget = 0
	must.Len(t, 0, Plan(s), must.Sprint("a load beyond the bound"))
}

func TestEnginesOfAWithdrawnZoneAreLeftAlone(t *testing.T) {
	s := snapshot(trio(catalog.Broken)...)
	s.ZoneOutOfService = func(string) bool { return true }
	must.Len(t, 0, Plan(s))
}

// TestNoMemberIsTakenFromAGroupThatMayServe checks for arbitrary states that
// steps take engines only of groups that are over, and open only complete ones.
func TestNoMemberIsTakenFromAGroupThatMayServe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := []catalog.GroupState{catalog.NoGroup, catalog.Joining, catalog.Ready, catalog.Open, catalog.Closing, catalog.Broken}
		var engines []*catalog.Engine
		for i := range rapid.IntRange(1, 14).Draw(t, "engines") {
			group := ""
			state := rapid.SampledFrom(states).Draw(t, "state")
			if state != catalog.NoGroup {
				group = fmt.Sprintf("g%d", i/4)
			}
			e := engine(fmt.Sprintf("i-%d", i), group, i%4, state)
			e.Draining = rapid.Bool().Draw(t, "draining")
			engines = append(engines, e)
		}
		s := snapshot(engines...)
		for _, e := range engines {
			id := e.Membership.Group
			if rapid.Bool().Draw(t, "lost") {
				s.Unresponsive[e.ID] = true
			}
			if rapid.Bool().Draw(t, "own") {
				s.JoinDeadlines[id] = s.Now.Add(time.Second)
			}
			if rapid.Bool().Draw(t, "closed") {
				s.CloseAcked[id] = true
			}
		}
		condition := map[catalog.GroupID]Condition{}
		for i := range s.Groups {
			condition[s.Groups[i].ID] = Classify(s, &s.Groups[i])
		}
		taken := map[string]bool{}
		for _, step := range Plan(s) {
			if step.Open != nil && !step.Open.Complete() {
				t.Fatalf("opens the incomplete group %v", step.Open.ID)
			}
			if step.Form == nil {
				continue
			}
			for _, e := range step.Form.Members {
				if e.Membership.State != catalog.NoGroup && condition[e.Membership.Group] != Ended {
					t.Fatalf("takes %s of a group that is %s", e.ID, condition[e.Membership.Group])
				}
				if taken[e.ID] || s.Unresponsive[e.ID] || e.Draining {
					t.Fatalf("takes %s twice, or though it is lost or leaves", e.ID)
				}
				taken[e.ID] = true
			}
		}
	})
}

// groupOf returns an open group of the model in a domain, numbered from first.
func groupOf(m catalog.Model, domain, name string, first int) []*catalog.Engine {
	var out []*catalog.Engine
	for i := range m.GroupSize {
		state := catalog.Ready
		if i == 0 {
			state = catalog.Open
		}
		e := engine(fmt.Sprintf("i-%d", first+i), name, i, state)
		e.FabricDomain, e.Model, e.StagedModels = domain, m.Name, []string{m.Name}
		out = append(out, e)
	}
	return out
}

// From days on a deployment with groups of 5 and 2: once small groups had taken
// the engines of a broken large one, no domain ever had enough for it again.
func TestALargeModelWithoutGroupsGetsEnginesBack(t *testing.T) {
	var engines []*catalog.Engine
	for i := range 3 {
		engines = append(engines, groupOf(small, "d0", fmt.Sprint("g", i), 10*i)...)
	}
	spare := engine("i-99", "", 0, catalog.NoGroup)
	s := snapshot(append(engines, spare)...)
	steps := Plan(s)
	var closed []catalog.Group
	for _, step := range steps {
		must.Nil(t, step.Form)
		if step.Close != nil {
			must.False(t, step.Close.Abort)
			closed = append(closed, step.Close.Group)
		}
	}
	must.Len(t, 1, closed, must.Sprint("one group of three and the spare make a group of four"))

	t.Run("no further group closes while the order is under way", func(t *testing.T) {
		s := snapshot(append(engines, spare)...)
		s.Reserved[closed[0].Head().ID] = true
		for _, step := range Plan(s) {
			must.Nil(t, step.Close)
		}
	})
	t.Run("the engines that come free are kept for it", func(t *testing.T) {
		closing := closed[0].ID.Name
		for _, e := range engines {
			if e.Membership.Group.Name == closing && e.Membership.Rank == 0 {
				e.Membership.State = catalog.Closing
			}
		}
		more := []*catalog.Engine{engine("i-97", "", 0, catalog.NoGroup), engine("i-98", "", 0, catalog.NoGroup)}
		for _, e := range append(more, spare) {
			e.Model, e.StagedModels = small.Name, []string{small.Name, large.Name}
		}
		s := snapshot(append(append(engines, spare), more...)...)
		for _, step := range Plan(s) {
			must.Nil(t, step.Form, must.Sprint("three free engines could form a small group"))
			must.Nil(t, step.Close, must.Sprint("a second group is closed"))
		}
	})
}

func TestGroupsStayWhereTheDivisionIsGoodEnough(t *testing.T) {
	cases := []struct {
		name    string
		engines []*catalog.Engine
		needs   map[string]float64
	}{
		{"each model has one", append(groupOf(small, "d0", "g0", 0), groupOf(large, "d1", "g1", 10)...), map[string]float64{"large": 5, "small": 1}},
		{"the last small group is not closed", groupOf(small, "d0", "g0", 0), map[string]float64{"large": 5, "small": 1}},
		{"nobody asks for the large model", append(groupOf(small, "d0", "g0", 0), groupOf(small, "d0", "g1", 10)...), map[string]float64{"large": 0, "small": 1}},
	}
	for _, c := range cases {
		s := snapshot(c.engines...)
		s.Demand = c.needs
		for _, step := range Plan(s) {
			must.Nil(t, step.Close, must.Sprint(c.name))
		}
	}
}

// From a day on which a planner that saw all engines divided them by the
// published shares, and 85 of 100 requests were for the small model.
func TestALargeGroupIsDividedWhereTheSmallModelIsAskedFor(t *testing.T) {
	double := catalog.Model{Name: "large", GroupSize: 2 * small.GroupSize}
	var engines []*catalog.Engine
	for i := range 4 {
		engines = append(engines, groupOf(double, fmt.Sprint("d", i), fmt.Sprint("g", i), 10*i)...)
	}
	engines = append(engines, groupOf(small, "d4", "g4", 40)...)
	for _, e := range engines {
		e.StagedModels = []string{small.Name, large.Name}
	}
	cases := []struct {
		needs  map[string]float64
		closes int
	}{
		{map[string]float64{"large": 1, "small": 9}, 1},
		{map[string]float64{"large": 2, "small": 1}, 0},
	}
	for _, c := range cases {
		s := snapshot(engines...)
		s.Service.Engine.Models[0] = double
		s.Demand = c.needs
		n := 0
		for _, step := range Plan(s) {
			if step.Close != nil {
				must.Eq(t, large.Name, step.Close.Group.Model)
				n++
			}
		}
		must.Eq(t, c.closes, n, must.Sprintf("%v", c.needs))
	}
}

// Groups of a zone that operators have taken out of service serve nobody, and
// their engines can't be taken.
func TestAnEvacuatedZoneDoesNotCount(t *testing.T) {
	engines := append(groupOf(large, "d0", "g0", 0), groupOf(small, "d0", "g1", 10)...)
	for _, e := range engines {
		e.Zone = "out"
	}
	engines = append(engines, groupOf(small, "d1", "g2", 20)...)
	engines = append(engines, groupOf(small, "d1", "g3", 30)...)
	last := engine("i-99", "", 0, catalog.NoGroup)
	last.FabricDomain = "d1"
	s := snapshot(append(engines, last)...)
	s.ZoneOutOfService = func(zone string) bool { return zone == "out" }
	var closed []string
	for _, step := range Plan(s) {
		if step.Close != nil {
			closed = append(closed, step.Close.Group.Head().FabricDomain)
		}
	}
	must.Eq(t, []string{"d1"}, closed, must.Sprint("the large model serves nobody; one of two small groups and one engine more are needed"))
}
