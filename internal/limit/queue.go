package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/table"
)

// Bounds of the queue.
const (
	// MaxQueue bounds the waiting requests of one pool.
	MaxQueue = 4096
	// MaxQueuePerWorkspace bounds the waiting requests of one workspace.
	MaxQueuePerWorkspace = 1024
	// lowShare is the one grant in so many that goes to lower priorities while
	// they wait, so that a steady load of high priority does not starve them.
	lowShare = 16
	// flowScan bounds how many requests of one workspace are tried in a row
	// when the first ones can't be placed.
	flowScan = 4
)

// waiting is a queued request.
type waiting struct {
	req Request
	at  time.Time
	// giveUp is when the request can no longer be answered in time.
	giveUp time.Time
}

// flow is the line of one workspace at one priority. Its tag is the virtual
// time at which its next request is due: the lowest tag goes first.
type flow struct {
	workspace string
	items     []*waiting
	tag       float64
}

// lane holds the flows of one priority.
type lane struct {
	flows map[string]*flow
	vtime float64
	n     int
}

// queue orders requests by priority, then fairly between workspaces.
type queue struct {
	lanes       [table.MaxPriority + 1]lane
	byID        map[string]*waiting
	byWorkspace map[string]int
	taken       int
	// alone is the longest waiting request that must run alone.
	alone *Request
}

func newQueue() queue {
	return queue{byID: make(map[string]*waiting), byWorkspace: make(map[string]int)}
}

func (q *queue) len() int { return len(q.byID) }

func laneOf(r *Request) int { return max(0, min(r.Priority, table.MaxPriority)) }

// requestKey names a request among those of all holders.
func requestKey(holder, id string) string { return holder + "/" + id }

func (q *queue) push(w *waiting) {
	l := &q.lanes[laneOf(&w.req)]
	if l.flows == nil {
		l.flows = make(map[string]*flow)
	}
	f, ok := l.flows[w.req.Workspace]
	if !ok {
		f = &flow{workspace: w.req.Workspace, tag: l.vtime}
		l.flows[w.req.Workspace] = f
	}
	f.items = append(f.items, w)
	l.n++
	q.byID[requestKey(w.req.Holder, w.req.ID)] = w
	q.byWorkspace[w.req.Workspace]++
	if w.req.Exclusive && q.alone == nil {
		q.alone = &w.req
	}
}

// remove takes a request out of its line and reports whether it was there.
func (q *queue) remove(key string) bool {
	w, ok := q.byID[key]
	if !ok {
		return false
	}
	l := &q.lanes[laneOf(&w.req)]
	f := l.flows[w.req.Workspace]
	f.items = slices.DeleteFunc(f.items, func(o *waiting) bool { return o == w })
	l.n--
	if len(f.items) == 0 {
		l.retire(f)
	}
	q.forget(w)
	return true
}

// retire drops an empty flow; an idle lane starts its time anew.
func (l *lane) retire(f *flow) {
	delete(l.flows, f.workspace)
	if l.n == 0 {
		l.vtime = 0
	}
}

func (q *queue) forget(w *waiting) {
	delete(q.byID, requestKey(w.req.Holder, w.req.ID))
	if q.byWorkspace[w.req.Workspace]--; q.byWorkspace[w.req.Workspace] <= 0 {
		delete(q.byWorkspace, w.req.Workspace)
	}
	if q.alone == &w.req {
		q.alone = q.oldestAlone()
	}
}

func (q *queue) oldestAlone() *Request {
	var oldest *waiting
	for _, w := range q.byID {
		if w.req.Exclusive && (oldest == nil || w.at.Before(oldest.at)) {
			oldest = w
		}
	}
	if oldest == nil {
		return nil
	}
	return &oldest.req
}

// take offers requests in order to place until one is placed; that one leaves
// the queue. It reports false when none could be placed.
func (q *queue) take(place func(*Request) bool) bool {
	for _, i := range q.order() {
		if q.takeFrom(&q.lanes[i], place) {
			q.taken++
			return true
		}
	}
	return false
}

// order lists the lanes that hold requests, most urgent first; now and then
// the second comes first.
func (q *queue) order() []int {
	var lanes []int
	for i := range q.lanes {
		if q.lanes[i].n > 0 {
			lanes = append(lanes, i)
		}
	}
	if len(lanes) > 1 && q.taken%lowShare == lowShare-1 {
		lanes[0], lanes[1] = lanes[1], lanes[0]
	}
	return lanes
}

func (q *queue) takeFrom(l *lane, place func(*Request) bool) bool {
	flows := make([]*flow, 0, len(l.flows))
	for _, f := range l.flows {
		flows = append(flows, f)
	}
	slices.SortFunc(flows, func(a, b *flow) int {
		return cmp.Or(cmp.Compare(a.tag, b.tag), cmp.Compare(a.workspace, b.workspace))
	})
	for _, f := range flows {
		for _, w := range f.items[:min(flowScan, len(f.items))] {
			if !place(&w.req) {
				continue
			}
			l.vtime = max(l.vtime, f.tag)
			f.tag = l.vtime + 1
			q.remove(requestKey(w.req.Holder, w.req.ID))
			return true
		}
	}
	return false
}

// ahead estimates how many requests go before a new one: all of higher
// priority, and of its own priority as many per workspace as its own has.
func (q *queue) ahead(r *Request) int {
	own, n := laneOf(r), 0
	for i := range own {
		n += q.lanes[i].n
	}
	l := &q.lanes[own]
	mine := 0
	if f, ok := l.flows[r.Workspace]; ok {
		mine = len(f.items)
	}
	for _, f := range l.flows {
		n += min(len(f.items), mine+1)
	}
	return n
}
