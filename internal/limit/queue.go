package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/table"
)

// Bounds of the queue.
const (
	// MaxQueue limits the queued requests of one pool.
	MaxQueue = 4096
	// MaxQueuePerWorkspace limits the queued requests of one workspace.
	MaxQueuePerWorkspace = 1024
	// lowPriorityInterval is the number of grants after which one grant goes to
	// the second highest waiting priority first, so that a steady load of high
	// priority does not starve lower ones.
	lowPriorityInterval = 16
	// maxFlowScan limits how many requests of one workspace are tried in a row
	// when the first ones cannot be granted.
	maxFlowScan = 4
)

type queuedRequest struct {
	req      Request
	queuedAt time.Time
	// refuseAt is when the request can no longer complete in time.
	refuseAt time.Time
}

// flow is the FIFO of one workspace at one priority. The flow with the lowest
// virtualStart is served first (start-time fair queueing).
type flow struct {
	workspace    string
	requests     []*queuedRequest
	virtualStart float64
}

// priorityQueue holds the flows of one priority. virtualTime is the virtualStart
// of the flow that was served last.
type priorityQueue struct {
	flows       map[string]*flow
	virtualTime float64
	length      int
}

// queue orders requests by priority, then by fair queueing between workspaces.
type queue struct {
	priorities  [table.MaxPriority + 1]priorityQueue
	byID        map[string]*queuedRequest
	byWorkspace map[string]int
	granted     int
	// firstExclusive is the exclusive request that has waited longest.
	firstExclusive *Request
}

func newQueue() queue {
	return queue{byID: make(map[string]*queuedRequest), byWorkspace: make(map[string]int)}
}

func (q *queue) len() int { return len(q.byID) }

func priorityIndex(r *Request) int { return max(0, min(r.Priority, table.MaxPriority)) }

// requestKey returns the key of a request that is unique among all holders.
func requestKey(holder, id string) string { return holder + "/" + id }

func (q *queue) push(qr *queuedRequest) {
	pq := &q.priorities[priorityIndex(&qr.req)]
	if pq.flows == nil {
		pq.flows = make(map[string]*flow)
	}
	f, ok := pq.flows[qr.req.Workspace]
	if !ok {
		f = &flow{workspace: qr.req.Workspace, virtualStart: pq.virtualTime}
		pq.flows[qr.req.Workspace] = f
	}
	f.requests = append(f.requests, qr)
	pq.length++
	q.byID[requestKey(qr.req.Holder, qr.req.ID)] = qr
	q.byWorkspace[qr.req.Workspace]++
	if qr.req.Exclusive && q.firstExclusive == nil {
		q.firstExclusive = &qr.req
	}
}

// remove takes a request out of the queue and reports whether it was there.
func (q *queue) remove(key string) bool {
	qr, ok := q.byID[key]
	if !ok {
		return false
	}
	pq := &q.priorities[priorityIndex(&qr.req)]
	f := pq.flows[qr.req.Workspace]
	f.requests = slices.DeleteFunc(f.requests, func(o *queuedRequest) bool { return o == qr })
	pq.length--
	if len(f.requests) == 0 {
		pq.removeFlow(f)
	}
	q.unindex(qr)
	return true
}

// removeFlow removes an empty flow. The virtual time restarts at 0 when no flow
// is left.
func (pq *priorityQueue) removeFlow(f *flow) {
	delete(pq.flows, f.workspace)
	if pq.length == 0 {
		pq.virtualTime = 0
	}
}

func (q *queue) unindex(qr *queuedRequest) {
	delete(q.byID, requestKey(qr.req.Holder, qr.req.ID))
	if q.byWorkspace[qr.req.Workspace]--; q.byWorkspace[qr.req.Workspace] <= 0 {
		delete(q.byWorkspace, qr.req.Workspace)
	}
	if q.firstExclusive == &qr.req {
		q.firstExclusive = q.oldestExclusive()
	}
}

func (q *queue) oldestExclusive() *Request {
	var oldest *queuedRequest
	for _, qr := range q.byID {
		if qr.req.Exclusive && (oldest == nil || qr.queuedAt.Before(oldest.queuedAt)) {
			oldest = qr
		}
	}
	if oldest == nil {
		return nil
	}
	return &oldest.req
}

// grantNext calls tryGrant on requests in queue order until one is granted, and
// removes that one from the queue. It reports whether a request was granted.
func (q *queue) grantNext(tryGrant func(*Request) bool) bool {
	for _, i := range q.priorityOrder() {
		if q.grantFrom(&q.priorities[i], tryGrant) {
			q.granted++
			return true
		}
	}
	return false
}

// priorityOrder lists the non-empty priorities, highest first. Once in
// lowPriorityInterval grants the second one comes first.
func (q *queue) priorityOrder() []int {
	var order []int
	for i := range q.priorities {
		if q.priorities[i].length > 0 {
			order = append(order, i)
		}
	}
	if len(order) > 1 && q.granted%lowPriorityInterval == lowPriorityInterval-1 {
		order[0], order[1] = order[1], order[0]
	}
	return order
}

func (q *queue) grantFrom(pq *priorityQueue, tryGrant func(*Request) bool) bool {
	flows := make([]*flow, 0, len(pq.flows))
	for _, f := range pq.flows {
		flows = append(flows, f)
	}
	slices.SortFunc(flows, func(a, b *flow) int {
		return cmp.Or(cmp.Compare(a.virtualStart, b.virtualStart), cmp.Compare(a.workspace, b.workspace))
	})
	for _, f := range flows {
		for _, qr := range f.requests[:min(maxFlowScan, len(f.requests))] {
			if !tryGrant(&qr.req) {
				continue
			}
			pq.virtualTime = max(pq.virtualTime, f.virtualStart)
			f.virtualStart = pq.virtualTime + 1
			q.remove(requestKey(qr.req.Holder, qr.req.ID))
			return true
		}
	}
	return false
}

// countAhead estimates how many requests are served before a new one: all of
// higher priority and, of its own priority, at most as many per workspace as its
// own workspace has, plus one.
func (q *queue) countAhead(r *Request) int {
	index, n := priorityIndex(r), 0
	for i := range index {
		n += q.priorities[i].length
	}
	pq := &q.priorities[index]
	sameWorkspace := 0
	if f, ok := pq.flows[r.Workspace]; ok {
		sameWorkspace = len(f.requests)
	}
	for _, f := range pq.flows {
		n += min(len(f.requests), sameWorkspace+1)
	}
	return n
}
