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
	// At is the time of the request, counted from the start.
	At        time.Duration
	Kind      *Kind
	Workspace *Workspace
	ID        string
	// Key is the idempotency key; "" is none. Issued is when the caller first
	// sent a request with it.
	Key    string
	IssuedAt time.Duration
	// Payload is the prompt, or the body of a call.
	Payload   string
	Tokens int
	// OriginalID is the id of the request that this one repeats; "" is none.
	OriginalID string
}

// RepeatSuffix ends the id of a request that repeats another one.
const RepeatSuffix = "-again"

// Arrivals yields the plan's requests in order of time.
func (p *Plan) Arrivals() iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		q := p.sources()
		for q.Len() > 0 {
			next := heap.Pop(q).(pending)
			if next.source != nil {
				q.follow(next)
			}
			if !yield(next.Arrival) {
				return
			}
		}
	}
}

// sources returns the first arrival of each kind.
func (p *Plan) sources() *queue {
	q := &queue{}
	for i := range p.Kinds {
		s := newSource(p, &p.Kinds[i])
		if a, ok := s.next(0); ok {
			heap.Push(q, pending{Arrival: a, source: s})
		}
	}
	return q
}

// source draws the arrivals of one kind. Each has random numbers of its own, so
// that a change to one kind leaves the others as they were.
type source struct {
	plan       *Plan
	kind       *Kind
	workspaces []*Workspace
	weight     float64
	draw       *rand.Rand
	count      int
	until      time.Duration
}

func newSource(p *Plan, k *Kind) *source {
	s := &source{plan: p, kind: k, draw: rand.New(rand.NewPCG(p.Seed, xxhash.Sum64String(k.Name)))}
	for i := range p.Workspaces {
		w := &p.Workspaces[i]
		if len(k.Workspaces) == 0 || slices.Contains(k.Workspaces, w.Name) {
			s.workspaces = append(s.workspaces, w)
			s.weight += w.Weight
		}
	}
	s.until = time.Duration(k.Until)
	if s.until == 0 {
		s.until = time.Duration(p.Duration)
	}
	return s
}

// next draws the arrival after the one at last; ok is false at the end.
func (s *source) next(last time.Duration) (a Arrival, ok bool) {
	if s.kind.Rate <= 0 || s.weight <= 0 {
		return Arrival{}, false
	}
	gap := -math.Log(1-s.draw.Float64()) / s.kind.Rate
	at := max(last, time.Duration(s.kind.From)) + time.Duration(gap*float64(time.Second))
	if at >= s.until {
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
		a.Tokens = s.kind.MinTokens + s.draw.IntN(s.kind.MaxTokens-s.kind.MinTokens+1)
	}
	if s.draw.Float64() < s.kind.KeyedRatio {
		a.Key = "key-" + a.ID
	}
	a.Payload = s.text(a)
	return a
}

// workspace draws one by weight.
func (s *source) workspace() *Workspace {
	x := s.draw.Float64() * s.weight
	for _, w := range s.workspaces {
		if x -= w.Weight; x < 0 {
			return w
		}
	}
	return s.workspaces[len(s.workspaces)-1]
}

// text is a shared prefix followed by what is the request's own.
func (s *source) text(a Arrival) string {
	prefix := ""
	if s.kind.Prefixes > 0 {
		n := s.draw.IntN(s.kind.Prefixes)
		prefix = fill(fmt.Sprintf("%s/%s/%d ", a.Workspace.Name, s.kind.Name, n), s.kind.PrefixBytes)
	}
	return prefix + fill(a.ID+" ", s.kind.BodyBytes)
}

// fill repeats text up to n bytes; shorter texts than that are kept whole.
func fill(text string, n int) string {
	if len(text) >= n {
		return text
	}
	return strings.Repeat(text, n/len(text)+1)[:n]
}

// repeat draws whether a is sent again.
func (s *source) repeat(a Arrival) (Arrival, bool) {
	if a.Key == "" || s.draw.Float64() >= s.kind.ResendRatio {
		return Arrival{}, false
	}
	b := a
	b.At += time.Duration(s.kind.ResendAfter)
	b.OriginalID = a.ID
	b.ID += RepeatSuffix
	return b, true
}

// pending is an arrival in line; its source is nil for a repeated one.
type pending struct {
	Arrival
	source *source
}

// queue orders arrivals by time, then by id.
type queue struct{ items []pending }

// follow adds what comes after p.
func (q *queue) follow(p pending) {
	if b, ok := p.source.repeat(p.Arrival); ok {
		heap.Push(q, pending{Arrival: b})
	}
	if a, ok := p.source.next(p.At); ok {
		heap.Push(q, pending{Arrival: a, source: p.source})
	}
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (q *queue) Len() int { return len(q.items) }

// Less orders by time, then by id.
func (q *queue) Less(i, j int) bool {
	a, b := q.items[i], q.items[j]
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.ID, b.ID)) < 0
}

// Swap swaps two items.
func (q *queue) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }

// Push appends an item.
func (q *queue) Push(x any) { q.items = append(q.items, x.(pending)) }

// Pop removes the last item.
func (q *queue) Pop() any {
	n := len(q.items) - 1
	x := q.items[n]
	q.items = q.items[:n]
	return x
}
