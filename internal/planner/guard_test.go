package planner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/directory"
	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// interposer is an EngineClient that runs a function before each order. The function may
// report that the answer is lost.
type interposer struct {
	*simDaemon
	before func(o Order) (answerLost bool)
}

func (i *interposer) Order(e *catalog.Engine, o Order) error {
	lost := i.before(o)
	err := i.simDaemon.Order(e, o)
	if lost {
		return fault.New(fault.Timeout, "", "no answer")
	}
	return err
}

// TestLateOrdersAroundALeave guards against an engine that is in two groups because an order
// to join the group that it has left is executed before it joins the next one. Its head is
// open all the while.
func TestLateOrdersAroundALeave(t *testing.T) {
	oldGroup, newGroup := catalog.GroupID{Name: "g5", Epoch: 5}, catalog.GroupID{Name: "g9", Epoch: 9}
	lateJoin := Order{Op: Join, Group: oldGroup, Model: "m", Members: []string{"i-0", "i-1", "i-2"}, Fence: 6}
	for _, c := range []struct {
		name string
		// late is executed at the member before the first order with the operation before;
		// after the orders if that is Stage. lost is set if the answer to that first order is lost.
		late   *Order
		before Op
		lost   bool
		// joins is set if the member joins the new group at the first try.
		joins bool
		group catalog.GroupID
	}{
		{"nothing is late", nil, Stage, false, true, newGroup},
		{"a join of the old group between leave and join", &lateJoin, Join, false, false, oldGroup},
		{"a join of the old group before the leave", &lateJoin, Leave, false, true, newGroup},
		{"a join of the old group after the join", &lateJoin, Stage, false, true, newGroup},
		{"a repeated leave before the join", &Order{Op: Leave, Group: oldGroup, Fence: 6}, Join, false, true, newGroup},
		{"a repeated leave after the join", &Order{Op: Leave, Group: oldGroup, Fence: 6}, Stage, false, true, newGroup},
		{"the answer to the leave is lost", nil, Leave, true, true, newGroup},
		{"the answer to the join is lost", nil, Join, true, true, newGroup},
		{"a join of another group between leave and join", &Order{Op: Join, Group: catalog.GroupID{Name: "p7", Epoch: 7}, Members: []string{"i-1"}}, Join, false, false, catalog.GroupID{Name: "p7", Epoch: 7}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(1)
				s.reliable = true
				for _, id := range lateJoin.Members {
					s.engines[id].Membership = catalog.Membership{Group: oldGroup, Rank: int(id[2] - '0'), State: catalog.Ready}
					s.engines[id].members, s.engines[id].epoch, s.engines[id].seq = lateJoin.Members, oldGroup.Epoch, 1
				}
				s.engines["i-0"].Membership.State = catalog.Open
				d := &simDaemon{simulation: s, name: "d0"}
				member, done := s.engines["i-1"], false
				intrude := func(o Order) bool {
					if o.Op != c.before || done {
						return false
					}
					done = true
					if c.late != nil {
						s.mu.Lock()
						defer s.mu.Unlock()
						_ = s.execute(member, *c.late, "late")
					}
					return c.lost
				}
				p := New(Options{Lease: &fixedLease{}, Engines: &interposer{d, intrude}, Peers: d, Heads: d, Directory: directory.New(directory.Options{}), Demand: balance.NewDemand(), StallBound: headStall})
				p.applyRenewal(true, 3, 1<<62-1<<40)
				announced := member.Engine
				p.sendLeave(&announced)
				err := p.sendJoin(&announced, Order{Op: Join, Group: newGroup, Model: "m", Members: []string{"i-1", "i-3", "i-4"}})
				must.Eq(t, c.joins, err == nil, must.Sprint(err))
				intrude(Order{Op: Stage})
				must.SliceEmpty(t, s.joinedTwo)
				must.Eq(t, c.group, member.Membership.Group)
				time.Sleep(time.Second)
			})
		})
	}
}
