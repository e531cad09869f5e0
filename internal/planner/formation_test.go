package planner

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/directory"
	"github.com/ragwortquay/ragwortquay/internal/placement"
)

// acceptingEngines is an EngineClient that accepts all orders and counts them.
type acceptingEngines struct{ orders *atomic.Int64 }

func (acceptingEngines) Answers(*catalog.Engine, string) bool            { return true }
func (acceptingEngines) SaveHead(catalog.GroupID, *catalog.Engine) error { return nil }
func (acceptingEngines) DeleteHead(string) error                         { return nil }
func (a acceptingEngines) Order(*catalog.Engine, Order) error {
	a.orders.Add(1)
	return nil
}

func (acceptingEngines) Report(e *catalog.Engine) (Report, error) {
	return Report{StartUnixMS: e.StartUnixMS, Membership: e.Membership}, nil
}

// TestMembersStayReservedUntilTheyAnnounceTheirGroup guards against a member that is
// assigned to a second group because its announcement of the first, whose join it has
// accepted, is late. In a large fleet that takes seconds; eleven groups of a first
// division lost members to later ones and stood incomplete for 18 s.
func TestMembersStayReservedUntilTheyAnnounceTheirGroup(t *testing.T) {
	service := &catalog.Service{Name: "llm", Engine: &catalog.EngineSpec{}}
	engines := []*catalog.Engine{{ID: "a", StartUnixMS: 1}, {ID: "b", StartUnixMS: 1}}
	form := &placement.Form{Model: catalog.Model{Name: "m", GroupSize: 2, LoadTime: 16 * time.Second}, Members: engines}
	cases := []struct {
		name     string
		announce func(id catalog.GroupID) []*catalog.Engine
		reserved []string
		kept     bool
	}{
		{"neither announces the group", func(catalog.GroupID) []*catalog.Engine { return engines }, []string{"a", "b"}, true},
		{"one announces it", func(id catalog.GroupID) []*catalog.Engine {
			return []*catalog.Engine{{ID: "a", StartUnixMS: 1, Membership: catalog.Membership{Group: id, State: catalog.Joining}}, engines[1]}
		}, []string{"b"}, true},
		{"one announces an earlier group", func(id catalog.GroupID) []*catalog.Engine {
			id.Name, id.Epoch = "g0", id.Epoch-1
			return []*catalog.Engine{{ID: "a", StartUnixMS: 1, Membership: catalog.Membership{Group: id, State: catalog.Open}}, engines[1]}
		}, []string{"a", "b"}, true},
		{"one announces a later group", func(id catalog.GroupID) []*catalog.Engine {
			id.Name, id.Epoch = "g9", id.Epoch+1
			return []*catalog.Engine{{ID: "a", StartUnixMS: 1, Membership: catalog.Membership{Group: id, State: catalog.Joining}}, engines[1]}
		}, nil, false},
		{"one has started again", func(catalog.GroupID) []*catalog.Engine {
			return []*catalog.Engine{{ID: "a", StartUnixMS: 2}, engines[1]}
		}, nil, false},
		{"one has left", func(catalog.GroupID) []*catalog.Engine { return engines[1:] }, nil, false},
	}
	for _, c := range cases {
		accepting := acceptingEngines{&atomic.Int64{}}
		p := New(Options{Lease: &fixedLease{}, Engines: accepting, Heads: accepting, Directory: directory.New(directory.Options{}), Demand: balance.NewDemand()})
		p.applyRenewal(true, 3, 1<<62-1<<40)
		p.form(service, form)
		var id catalog.GroupID
		p.formations.Range(func(_ string, f formation) bool {
			id = f.id
			return true
		})
		for accepting.orders.Load() < 2 || p.unansweredUntil.Len() > 0 {
			time.Sleep(time.Millisecond)
		}
		p.reservedUntil.Clear() // the time after an order has passed
		other := p.buildSnapshot(&directory.ServiceView{Service: &catalog.Service{Name: "other", Engine: &catalog.EngineSpec{}}})
		must.MapEmpty(t, other.Reserved, must.Sprint(c.name))
		s := p.buildSnapshot(&directory.ServiceView{Service: service, Engines: c.announce(id)})
		want := map[string]bool{}
		for _, id := range c.reserved {
			want[id] = true
		}
		must.Eq(t, want, s.Reserved, must.Sprint(c.name))
		_, kept := s.JoinDeadlines[id]
		must.Eq(t, c.kept, kept, must.Sprint(c.name))
	}
}

// TestFirstGroupsWaitForTheAnnouncementsOfAllEngines checks when the first groups are
// formed, for entries that arrive at once and over several heartbeats.
func TestFirstGroupsWaitForTheAnnouncementsOfAllEngines(t *testing.T) {
	const heartbeat = 1200 * time.Millisecond
	cases := []struct {
		name   string
		counts []int // engines known at each 100 ms
		want   int   // engines known when the first groups are formed
		within time.Duration
	}{
		{"all at once", []int{54}, 54, 1600 * time.Millisecond},
		{"over one heartbeat", []int{5, 10, 20, 30, 40, 45, 50, 52, 54}, 54, 1600 * time.Millisecond},
		{"over three heartbeats", ramp(30, 1095), 1095, 3500 * time.Millisecond},
		{"one after the other for ever", ramp(100, 100), 49, 4900 * time.Millisecond},
	}
	for _, c := range cases {
		u := ungroupedEngines{}
		begun := time.Unix(1000, 0)
		u.since = begun
		for i := 0; ; i++ {
			now := begun.Add(time.Duration(i) * 100 * time.Millisecond)
			n := c.counts[min(i, len(c.counts)-1)]
			if u.count != n {
				u.count, u.changedAt = n, now
			}
			if u.settled(heartbeat, now) {
				must.GreaterEq(t, c.want, n, must.Sprint(c.name))
				must.LessEq(t, c.within, now.Sub(begun), must.Sprint(c.name))
				break
			}
			must.Less(t, 100, i, must.Sprint(c.name, ": never"))
		}
	}
}

// ramp returns counts that grow evenly up to most in the given number of steps.
func ramp(steps, most int) []int {
	var out []int
	for i := range steps {
		out = append(out, most*(i+1)/steps)
	}
	return out
}
