package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// TestJudgeMember lists which evidence frees a member of a group whose head is not listed.
// Otherwise it would be in two groups (TWO).
func TestJudgeMember(t *testing.T) {
	const start = 1000
	group := catalog.GroupID{Name: "g5", Epoch: 5}
	other := catalog.GroupID{Name: "g6", Epoch: 6}
	announcedAt := time.Unix(100, 0)
	at := func(s float64) time.Time { return announcedAt.Add(time.Duration(s * float64(time.Second))) }
	left := func(s float64) Evidence {
		return Evidence{Kind: LeaveAccepted, StartUnixMS: start, Membership: catalog.Membership{Group: group}, At: at(s)}
	}
	reports := func(id catalog.GroupID, state catalog.GroupState, s float64) Evidence {
		return Evidence{Kind: Reported, StartUnixMS: start, Membership: catalog.Membership{Group: id, State: state}, At: at(s)}
	}
	of := func(startMS int64, e Evidence) Evidence {
		e.StartUnixMS = startMS
		return e
	}
	for _, c := range []struct {
		name     string
		head     HeadVerdict
		evidence []Evidence
		want     MemberVerdict
	}{
		{"the head may serve", HeadMayServe, nil, MemberBound},
		{"the head may serve, the member reports the group", HeadMayServe, []Evidence{reports(group, catalog.Ready, 1)}, MemberBound},
		{"another engine has the head's address", HeadReplaced, nil, MemberFree},
		{"the head has started again", HeadRestarted, nil, MemberFree},
		{"the head is in a later group", HeadJoinedLater, nil, MemberFree},
		{"the group was never opened", HeadNeverOpened, nil, MemberFree},
		// These were states of a moment, or none: the head may be open by now.
		{"nobody reaches the head", HeadSilent, nil, MemberMustLeave},
		{"the head is unknown", HeadUnknown, nil, MemberMustLeave},
		{"the head reported to be broken", HeadBroken, nil, MemberMustLeave},
		{"the head reported to be in no group", HeadLeft, nil, MemberMustLeave},
		{"the head reported ready after a close", HeadClosed, nil, MemberMustLeave},

		{"has left", HeadSilent, []Evidence{left(1)}, MemberLeft},
		{"has left, and the head is back", HeadMayServe, []Evidence{left(1)}, MemberLeft},
		{"has left, and is announced anew with the group that it left", HeadSilent, []Evidence{left(-1)}, MemberLeft},
		{"another incarnation has left", HeadSilent, []Evidence{of(start-1, left(1))}, MemberMustLeave},
		{"has left another group", HeadSilent, []Evidence{{Kind: LeaveAccepted, StartUnixMS: start, Membership: catalog.Membership{Group: other}, At: at(1)}}, MemberMustLeave},
		{"has left, and a late join made it a member again", HeadSilent, []Evidence{left(1), reports(group, catalog.Joining, 2)}, MemberMustLeave},
		{"reported the group before it left", HeadSilent, []Evidence{left(2), reports(group, catalog.Ready, 1)}, MemberLeft},
		{"left again after the late join", HeadSilent, []Evidence{left(3), reports(group, catalog.Ready, 2)}, MemberLeft},
		{"reports no group after its announcement", HeadSilent, []Evidence{reports(catalog.GroupID{}, catalog.NoGroup, 1)}, MemberLeft},
		{"reported no group before its announcement", HeadSilent, []Evidence{reports(catalog.GroupID{}, catalog.NoGroup, -1)}, MemberMustLeave},
		{"another incarnation reports no group", HeadSilent, []Evidence{of(start+1, reports(catalog.GroupID{}, catalog.NoGroup, 1))}, MemberMustLeave},
		{"reports another group", HeadSilent, []Evidence{reports(other, catalog.Joining, 1)}, MemberMustLeave},
	} {
		q := MemberQuestion{Group: group, StartUnixMS: start, AnnouncedAt: announcedAt, Head: c.head}
		must.Eq(t, c.want, JudgeMember(&q, c.evidence), must.Sprint(c.name))
	}
}

// TestJudgeOrders lists in which reported state an engine may be ordered to join or to leave
// a group.
func TestJudgeOrders(t *testing.T) {
	const start = 1000
	target, ended, open := catalog.GroupID{Name: "g9", Epoch: 9}, catalog.GroupID{Name: "g5", Epoch: 5}, catalog.GroupID{Name: "g6", Epoch: 6}
	for _, c := range []struct {
		name        string
		from        catalog.GroupID
		start       int64
		group       catalog.GroupID
		state       catalog.GroupState
		join, leave OrderVerdict
	}{
		{"in no group", ended, start, catalog.GroupID{}, catalog.NoGroup, OrderAllowed, OrderDone},
		{"in no group after it left", catalog.GroupID{}, start, catalog.GroupID{}, catalog.NoGroup, OrderAllowed, OrderDone},
		{"in the group that has ended", ended, start, ended, catalog.Ready, OrderAllowed, OrderDone},
		{"in the group that it left, by a late join", catalog.GroupID{}, start, ended, catalog.Joining, OrderRefused, OrderDone},
		{"in another group, by a late join", ended, start, open, catalog.Ready, OrderRefused, OrderDone},
		{"in the target group", ended, start, target, catalog.Joining, OrderDone, OrderAllowed},
		{"another incarnation in no group", ended, start + 1, catalog.GroupID{}, catalog.NoGroup, OrderRefused, OrderRefused},
		{"another incarnation in the target group", ended, start + 1, target, catalog.Ready, OrderRefused, OrderRefused},
	} {
		m := catalog.Membership{Group: c.group, State: c.state}
		q := OrderQuestion{Target: target, From: c.from, StartUnixMS: start}
		must.Eq(t, c.join, JudgeJoin(&q, c.start, m), must.Sprint("join: ", c.name))
		must.Eq(t, c.leave, JudgeLeave(&q, c.start, m), must.Sprint("leave: ", c.name))
	}
}

// TestMembersLeaveOnlyForAGroup checks which members of an abandoned group are ordered to
// leave: those that a new group needs. The others stay, in case the head returns.
func TestMembersLeaveOnlyForAGroup(t *testing.T) {
	id := catalog.GroupID{Name: "g1", Epoch: 7}
	for _, c := range []struct {
		name   string
		spares int
		left   []string
		leave  []string
		forms  int
	}{
		{"too few engines for a group", 0, nil, nil, 0},
		{"a spare completes the group", 1, nil, []string{"i-1", "i-2"}, 0},
		{"one has left already", 1, []string{"i-1"}, []string{"i-2"}, 0},
		{"both have left", 1, []string{"i-1", "i-2"}, nil, 1},
		{"the spares suffice for the only group", 3, nil, nil, 1},
		{"the spares suffice for one group of two", 4, nil, []string{"i-1", "i-2"}, 1},
	} {
		engines := groupOfThree(catalog.Open)[1:]
		for i := range c.spares {
			e := engine(fmt.Sprint("spare-", i), "", 0, catalog.NoGroup)
			e.Model, e.StagedModels = small.Name, []string{small.Name}
			engines = append(engines, e)
		}
		s := snapshot(engines...)
		s.Service.Engine.Models = []catalog.Model{small}
		s.HeadVerdicts[id] = HeadSilent
		for _, e := range engines[:2] {
			s.MemberVerdicts[e.ID] = MemberMustLeave
			if slices.Contains(c.left, e.ID) {
				s.MemberVerdicts[e.ID] = MemberLeft
			}
		}
		var leave []string
		forms := 0
		for _, step := range Plan(s) {
			if step.Leave != nil {
				must.Eq(t, small.GroupSize, len(step.Leave.Members)+len(step.Leave.Partners), must.Sprint(c.name))
				for _, e := range step.Leave.Members {
					leave = append(leave, e.ID)
				}
			}
			if step.Form != nil {
				forms++
			}
		}
		slices.Sort(leave)
		must.Eq(t, c.leave, leave, must.Sprint(c.name))
		must.Eq(t, c.forms, forms, must.Sprint(c.name))
	}
}

// TestEngineThatLeftKeepsItsModel guards against engines that load the weights of the group
// that they left again: they announce no model, and a group of them waited for that load.
func TestEngineThatLeftKeepsItsModel(t *testing.T) {
	var engines []*catalog.Engine
	for i := range 3 {
		e := engine(fmt.Sprint("i-", i), "", 0, catalog.NoGroup)
		e.StagedModels = []string{large.Name}
		engines = append(engines, e)
	}
	s := snapshot(engines...)
	s.LastModels = map[string]string{"i-0": small.Name, "i-1": small.Name, "i-2": small.Name}
	steps := Plan(s)
	must.Len(t, 1, steps)
	must.NotNil(t, steps[0].Form)
	must.Eq(t, small.Name, steps[0].Form.Model.Name)
	must.Zero(t, steps[0].Form.Loads)
}
