package planner

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// busyMachine is an EngineClient on a machine whose processor all exchanges in
// flight share.
type busyMachine struct {
	// cost is the processor time of an exchange, timeout its longest duration.
	cost, timeout time.Duration
	inFlight      atomic.Int64
	attempts      atomic.Int64
}

func (m *busyMachine) exchange() error {
	m.attempts.Add(1)
	n := m.inFlight.Add(1)
	defer m.inFlight.Add(-1)
	if took := time.Duration(n) * m.cost; took < m.timeout {
		time.Sleep(took)
		return nil
	}
	time.Sleep(m.timeout)
	return fault.New(fault.Timeout, "", "no answer")
}

func (m *busyMachine) Report(e *catalog.Engine) (Report, error) {
	return Report{StartUnixMS: e.StartUnixMS, Membership: e.Membership}, m.exchange()
}
func (m *busyMachine) Answers(*catalog.Engine, string) bool { return m.exchange() == nil }
func (m *busyMachine) Order(*catalog.Engine, Order) error   { return m.exchange() }

const fleetEngines = 1095

// TestOrdersToLargeFleetAreAnswered sends the joins of a large fleet from a machine
// with a fifth of a core. Sent all at once they timed out, and were repeated until
// traffic had begun.
func TestOrdersToLargeFleetAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &busyMachine{cost: 500 * time.Microsecond, timeout: 150 * time.Millisecond}
		p := New(Options{Lease: &fixedLease{}, Engines: m})
		p.applyRenewal(true, 3, 1<<62-1<<40)
		begun := time.Now()
		var done sync.WaitGroup
		for i := range fleetEngines {
			e := &catalog.Engine{ID: fmt.Sprint("i-", i)}
			done.Go(func() { must.NoError(t, p.sendOrder(e, Order{Op: Join})) })
		}
		done.Wait()
		must.LessEq(t, 2*time.Second, time.Since(begun))
		must.LessEq(t, fleetEngines*11/10, m.attempts.Load(), must.Sprint("orders were repeated"))
	})
}

// TestTakeoverDoesNotSilenceEngines queries all engines of a large fleet, as a new
// planner does. None of them may count as unresponsive because the planner's own
// machine is busy.
func TestTakeoverDoesNotSilenceEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &busyMachine{cost: time.Millisecond, timeout: 300 * time.Millisecond}
		p := New(Options{Lease: &fixedLease{}, Engines: m})
		p.applyRenewal(true, 3, 1<<62-1<<40)
		for i := range fleetEngines {
			e := catalog.Engine{ID: fmt.Sprint("i-", i), Membership: catalog.Membership{State: catalog.Ready}}
			p.engines.Set(e.ID, &engineStatus{engine: e, present: true})
		}
		p.suspectAllGroups()
		for range 20 {
			p.querySuspects()
			time.Sleep(observeInterval)
			p.engines.Range(func(id string, es *engineStatus) bool {
				must.False(t, es.unresponsive(), must.Sprint(id))
				return true
			})
		}
		suspected := 0
		p.engines.Range(func(_ string, es *engineStatus) bool {
			if es.suspect {
				suspected++
			}
			return true
		})
		must.Eq(t, 0, suspected, must.Sprint("engines were not queried"))
	})
}

// TestUrgentOrdersDoNotWaitForStages sends an open order behind the loads of a whole
// fleet.
func TestUrgentOrdersDoNotWaitForStages(t *testing.T) {
	engines := &blockingEngines{answers: make(chan error)}
	p := New(Options{Lease: &fixedLease{}, Engines: engines})
	p.applyRenewal(true, 3, 1<<62-1<<40)
	for range maxStagesInFlight {
		must.True(t, p.orderSlots.of(Stage).acquire(time.Now()))
	}
	must.False(t, p.orderSlots.of(Stage).acquire(time.Now()))
	done := make(chan error, 1)
	go func() { done <- p.sendOrder(&catalog.Engine{ID: "i-1"}, Order{Op: Open}) }()
	engines.answers <- nil
	must.NoError(t, <-done)
}

// TestCloseNotSentIsNotAnswered guards against a head that counts as closed although
// the order was never sent, because the lease had ended.
func TestCloseNotSentIsNotAnswered(t *testing.T) {
	p := New(Options{Lease: &fixedLease{}, Engines: &busyMachine{}})
	head := &catalog.Engine{ID: "i-1"}
	p.sendClose(head, catalog.GroupID{Name: "g1", Epoch: 1}, false, time.Time{})
	must.Zero(t, p.closedGroups.Len())
	_, unanswered := p.unansweredUntil.Get(head.ID)
	must.False(t, unanswered, must.Sprint("an order that was not sent cannot be executed late"))
}
