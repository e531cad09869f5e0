package load

import (
	"cmp"
	"container/heap"
	"fmt"
	"iter"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Arrival is one request of a plan.
type Arrival struct {
	// At is the planned send time, relative to the start of the run.
	At        time.Duration
	Kind      *Kind
	Workspace *Workspace
	ID        string
	// Key is the idempotency key, or "" for a request without one. IssuedAt is when the
	// caller first sent a request with this key.
	Key      string
	IssuedAt time.Duration
	// Payload is the prompt of a generate request, or the body of a call.
	Payload string
	Tokens  int
	// OriginalID is the id of the first request with this key, if the caller sends it
	// again with this arrival; else "".
	OriginalID string
}

// ResendSuffix is appended to the id of a request to form the id with which the caller
// sends it again.
const ResendSuffix = "-again"

// Arrivals yields the plan's requests ordered by time.
func (p *Plan) Arrivals() iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		q := p.newQueue()
		for q.Len() > 0 {
			next := heap.Pop(q).(queuedArrival)
			if next.source != nil {
				q.pushSuccessors(next)
			}
			if !yield(next.Arrival) {
				return
			}
		}
	}
}

// newQueue returns a queue with the first arrival of each kind.
func (p *Plan) newQueue() *queue {
	q := &queue{}
	for i := range p.Kinds {
		s := newSource(p, &p.Kinds[i])
		if a, ok := s.next(0); ok {
			heap.Push(q, queuedArrival{Arrival: a, source: s})
		}
	}
	return q
}

// source generates the arrivals of one kind. Each kind has its own random generator, so
// that a change to one kind does not change the arrivals of the others.
type source struct {
	plan        *Plan
	kind        *Kind
	workspaces  []*Workspace
	totalWeight float64
	rng         *rand.Rand
	count       int
	end         time.Duration
}

func newSource(p *Plan, k *Kind) *source {
	s := &source{plan: p, kind: k, rng: rand.New(rand.NewPCG(p.Seed, xxhash.Sum64String(k.Name)))}
	for i := range p.Workspaces {
		w := &p.Workspaces[i]
		if len(k.Workspaces) == 0 || slices.Contains(k.Workspaces, w.Name) {
			s.workspaces = append(s.workspaces, w)
			s.totalWeight += w.Weight
		}
	}
	s.end = time.Duration(k.Until)
	if s.end == 0 {
		s.end = time.Duration(p.Duration)
	}
	return s
}

// next generates the arrival after the one at time last; ok is false if it would be
// after the end of the kind's time, or if the kind has no arrivals. The gaps are exponentially distributed (a Poisson process).
func (s *source) next(last time.Duration) (a Arrival, ok bool) {
	if s.kind.Rate <= 0 || s.totalWeight <= 0 {
		return Arrival{}, false
	}
	gap := -math.Log(1-s.rng.Float64()) / s.kind.Rate
	at := max(last, time.Duration(s.kind.From)) + time.Duration(gap*float64(time.Second))
	if at >= s.end {
		return Arrival{}, false
	}
	return s.arrival(at), true
}

func (s *source) arrival(at time.Duration) Arrival {
	s.count++
	a := Arrival{
		At: at, Kind: s.kind, Workspace: s.workspace(), IssuedAt: at,
		ID: fmt.Sprintf("%s-%d-%s-%d", s.plan.Name, s.plan.Seed, s.kind.Name, s.count),
	}
	if s.kind.Form == Generate {
		a.Tokens = s.kind.MinTokens + s.rng.IntN(s.kind.MaxTokens-s.kind.MinTokens+1)
	}
	if s.rng.Float64() < s.kind.KeyedRatio {
		a.Key = "key-" + a.ID
	}
	a.Payload = s.payload(a)
	return a
}

// workspace draws a workspace by weight.
func (s *source) workspace() *Workspace {
	x := s.rng.Float64() * s.totalWeight
	for _, w := range s.workspaces {
		if x -= w.Weight; x < 0 {
			return w
		}
	}
	return s.workspaces[len(s.workspaces)-1]
}

// payload returns a shared prefix, as prompts of one workspace have, followed by text
// that is unique to the request.
func (s *source) payload(a Arrival) string {
	prefix := ""
	if s.kind.Prefixes > 0 {
		n := s.rng.IntN(s.kind.Prefixes)
		prefix = padText(fmt.Sprintf("%s/%s/%d ", a.Workspace.Name, s.kind.Name, n), s.kind.PrefixBytes)
	}
	return prefix + padText(a.ID+" ", s.kind.BodyBytes)
}

// padText repeats text up to n bytes. A text of n bytes or more is returned unchanged.
func padText(text string, n int) string {
	if len(text) >= n {
		return text
	}
	return strings.Repeat(text, n/len(text)+1)[:n]
}

// resend decides by the random generator whether the caller sends a again. If so, it
// returns the later arrival and true.
func (s *source) resend(a Arrival) (Arrival, bool) {
	if a.Key == "" || s.rng.Float64() >= s.kind.ResendRatio {
		return Arrival{}, false
	}
	b := a
	b.At += time.Duration(s.kind.ResendAfter)
	b.OriginalID = a.ID
	b.ID += ResendSuffix
	return b, true
}

// queuedArrival is an arrival in the queue. Its source is nil for a resent request,
// which has no successor.
type queuedArrival struct {
	Arrival
	source *source
}

// queue is a heap of arrivals ordered by time, then by id.
type queue struct{ items []queuedArrival }

// pushSuccessors adds the resent request of the popped arrival, if the caller sends
// it again, and the next arrival of its kind.
func (q *queue) pushSuccessors(popped queuedArrival) {
	if b, ok := popped.source.resend(popped.Arrival); ok {
		heap.Push(q, queuedArrival{Arrival: b})
	}
	if a, ok := popped.source.next(popped.At); ok {
		heap.Push(q, queuedArrival{Arrival: a, source: popped.source})
	}
}

// Len implements heap.Interface.
func (q *queue) Len() int { return len(q.items) }

// Less orders by time, then by id. The ids make the order of simultaneous arrivals
// deterministic.
func (q *queue) Less(i, j int) bool {
	a, b := q.items[i], q.items[j]
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.ID, b.ID)) < 0
}

// Swap implements heap.Interface.
func (q *queue) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { q.items = append(q.items, x.(queuedArrival)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	n := len(q.items) - 1
	x := q.items[n]
	q.items = q.items[:n]
	return x
}
