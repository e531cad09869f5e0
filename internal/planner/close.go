package planner

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/placement"
)

// closedGroup is a group whose head has answered a close order, and when.
type closedGroup struct {
	id catalog.GroupID
	// head is the id of the head, which is reserved for the order until reservedUntil.
	head          string
	at            time.Time
	reservedUntil time.Time
}

// close orders the head of a group to stop serving. Once the head has answered, it
// refuses orders of earlier planners, because their fences are lower.
func (p *Planner) close(c *placement.Close) {
	id := c.Group.ID
	p.formations.Delete(id.Name)
	head := c.Group.Head()
	until := time.Now().Add(orderInterval)
	p.reserve(head, until)
	go p.sendClose(head, id, c.Abort, until)
}

// sendClose sends a close order to a head that is reserved for it until the given time.
// When the head has answered it records that the group is closed, and asks the head for
// its state.
func (p *Planner) sendClose(head *catalog.Engine, id catalog.GroupID, abort bool, reservedUntil time.Time) {
	err := p.sendOrder(head, Order{Op: Close, Group: id, Abort: abort})
	if err != nil && !fault.Is(err, fault.Conflict) {
		return
	}
	now := time.Now()
	p.closedGroups.Set(id.Name, closedGroup{id: id, head: head.ID, at: now, reservedUntil: reservedUntil})
	if es, ok := p.engines.Get(head.ID); ok && es.beginQuery(now) {
		p.query(es)
	}
}

// closeConfirmed reports whether a group's head has stated its state after it accepted the
// close order. An older announcement that it does not serve proves nothing: an earlier
// planner's order to open may have been executed in between, and the head then finishes
// its requests.
func (p *Planner) closeConfirmed(c *closedGroup) bool {
	es, ok := p.engines.Get(c.head)
	if !ok {
		return true // it is not listed, and judgeHead judges it
	}
	es.mu.Lock()
	defer es.mu.Unlock()
	m := es.reported.Membership
	serves := m.Group == c.id && (m.State == catalog.Open || m.State == catalog.Closing)
	return !es.present || es.engine.SeenAt.After(c.at) || !es.reportedAt.Before(c.at) && !serves
}

// closeAbsentHead closes the group of a head that no longer announces itself but serves,
// or may have been ordered to serve.
func (p *Planner) closeAbsentHead(es *engineStatus, e catalog.Engine, m catalog.Membership) {
	es.mu.Lock()
	present := es.present
	es.mu.Unlock()
	_, closed := p.closedGroups.Get(m.Group.Name)
	if present || (m.State != catalog.Open && m.State != catalog.Ready) || closed {
		return
	}
	if until, ok := p.unansweredUntil.Get(e.ID); ok && time.Now().Before(until) {
		return // an order is in progress
	}
	go p.sendClose(&e, m.Group, false, time.Time{})
}
