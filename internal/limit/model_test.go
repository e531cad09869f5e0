package limit

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/ragwortquay/ragwortquay/internal/replica"
)

// model is a small world around one pool: holders that follow the protocol or
// die, targets that run whatever was sent, homes that follow one another, and
// reports that lag. Its count of running work is independent of the pool.
type model struct {
	t       *rapid.T
	now     time.Time
	p       *Pool
	cfg     Config
	terms   int
	seq     int
	holders []*holder
	// running is the truth: what each target runs.
	running map[string][]*job
	// past are the counts at earlier times, for reports that lag.
	past []counts
}

type counts struct {
	at  time.Time
	run map[string]int
}

type holder struct {
	id   string
	dead bool
	term string
	// arriving are grants under way, unused those that arrived.
	arriving []Grant
	unused   []Grant
	pending  map[string]struct{}
	// late is a renewal that was written but has not reached the home.
	late *Renewal
}

type job struct {
	g Grant
	h *holder
}

const modelReplicas = 2

func newModel(t *rapid.T, cfg Config) *model {
	m := &model{t: t, now: epoch, cfg: cfg, running: make(map[string][]*job)}
	for i := range 4 {
		m.holders = append(m.holders, &holder{id: fmt.Sprint("d", i), pending: make(map[string]struct{})})
	}
	m.newHome(false, false)
	return m
}

// newHome replaces the home. The old one may hand over its table; holders may
// fail to answer.
func (m *model) newHome(table, lossy bool) {
	old := m.p
	m.terms++
	m.p = New(Identity{Pool: "p", Home: "h", Term: fmt.Sprintf("%04d", m.terms)}, m.cfg)
	// Each daemon is a failure domain of its own, and the home is none of them:
	// nobody remembers grants for others here.
	var asked, dead []Peer
	for _, h := range m.holders {
		p := Peer{ID: h.id, Domain: h.id}
		if h.dead {
			dead = append(dead, p)
			continue
		}
		asked = append(asked, p)
	}
	m.p.StartRecovery(m.now, asked, dead)
	m.report(0)
	if old != nil && table {
		m.p.ApplySnapshot(m.now, old.Snapshot(m.now))
	}
	for _, h := range m.holders {
		if h.dead {
			continue
		}
		if lossy && rapid.Bool().Draw(m.t, "silent") {
			m.p.MarkUnresponsive(m.now, h.id)
			continue
		}
		m.answer(h)
	}
}

// answer tells the home what a holder has; grants of earlier terms that are
// still under way are then void.
func (m *model) answer(h *holder) {
	h.term = m.p.Term()
	held := Holdings{Holder: h.id, Boot: "b", LastHome: "h", LastTerm: "0000"}
	held.Grants = append(held.Grants, h.unused...)
	held.Grants = append(held.Grants, m.jobsOf(h)...)
	m.p.ApplyHoldings(m.now, held)
}

func (m *model) jobsOf(h *holder) []Grant {
	var gs []Grant
	for i := range modelReplicas {
		for _, j := range m.running[fmt.Sprint("r", i)] {
			if j.h == h {
				gs = append(gs, j.g)
			}
		}
	}
	return gs
}

func (m *model) live() []*holder {
	return slices.DeleteFunc(slices.Clone(m.holders), func(h *holder) bool { return h.dead })
}

func (m *model) pick() *holder {
	return rapid.SampledFrom(m.live()).Draw(m.t, "holder")
}

func (m *model) acquire() {
	h := m.pick()
	m.seq++
	req := Request{
		ID: fmt.Sprint("q", m.seq), Pool: "p", Workspace: h.id, Holder: h.id, Boot: "b", Seq: uint64(m.seq),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(m.t, "deadline")) * time.Second),
	}
	h.pending[req.ID] = struct{}{}
	if g, err := m.p.Acquire(m.now, req); err == nil && g != nil {
		h.arriving = append(h.arriving, *g)
	}
	m.collect()
}

// collect puts the pool's late answers on their way.
func (m *model) collect() {
	for _, a := range m.p.TakeDecisions() {
		for _, h := range m.holders {
			if h.id == a.Request.Holder && a.Grant != nil {
				h.arriving = append(h.arriving, *a.Grant)
			}
		}
	}
}

// burst runs as much as the home allows.
func (m *model) burst() {
	for range 2 * modelReplicas {
		m.acquire()
	}
	for _, h := range m.live() {
		for len(h.arriving) > 0 {
			m.arriveAt(h)
		}
		for len(h.unused) > 0 {
			m.sendFrom(h)
		}
	}
}

func (m *model) arrive() { m.arriveAt(m.pick()) }

func (m *model) arriveAt(h *holder) {
	if len(h.arriving) == 0 {
		return
	}
	g := h.arriving[0]
	h.arriving = h.arriving[1:]
	_, wanted := h.pending[g.Request]
	delete(h.pending, g.Request)
	if !wanted || h.term > g.Term || rapid.IntRange(0, 19).Draw(m.t, "lost") == 0 {
		return
	}
	h.term = g.Term
	h.unused = append(h.unused, g)
}

func (m *model) send() { m.sendFrom(m.pick()) }

func (m *model) sendFrom(h *holder) {
	if len(h.unused) == 0 {
		return
	}
	g := h.unused[0]
	h.unused = h.unused[1:]
	if !g.Usable(m.now) {
		m.p.Release(m.now, Release{Grant: g.ID, Result: Result{Outcome: Cancelled}})
		return
	}
	m.running[g.Replica] = append(m.running[g.Replica], &job{g: g, h: h})
}

func (m *model) finish() {
	id := fmt.Sprint("r", rapid.IntRange(0, modelReplicas-1).Draw(m.t, "replica"))
	js := m.running[id]
	if len(js) == 0 || js[0].h.dead {
		return
	}
	m.running[id] = js[1:]
	// Failed proves nothing for the ramp: the limit to check stays the same.
	m.p.Release(m.now, Release{Grant: js[0].g.ID, Result: Result{Outcome: Failed, Duration: time.Second}})
}

func (m *model) die() {
	if len(m.live()) > 2 {
		m.pick().dead = true
	}
}

// pass lets time go by in short steps: work past its deadline ends, live
// holders renew, and targets report.
func (m *model) pass() {
	for range rapid.IntRange(1, 12).Draw(m.t, "steps") {
		m.step()
	}
}

func (m *model) step() {
	m.now = m.now.Add(500 * time.Millisecond)
	for id, js := range m.running {
		m.running[id] = slices.DeleteFunc(js, func(j *job) bool { return !j.g.Deadline.After(m.now) })
	}
	for _, h := range m.live() {
		m.renew(h)
	}
	m.report(time.Duration(rapid.IntRange(0, 2000).Draw(m.t, "lag ms")) * time.Millisecond)
	m.p.Tick(m.now)
	m.collect()
}

func (m *model) renew(h *holder) {
	r := Renewal{Boot: "b", Seq: uint64(m.seq)}
	for _, g := range append(m.jobsOf(h), h.unused...) {
		r.Grants = append(r.Grants, g.ID)
	}
	for id := range h.pending {
		r.Pending = append(r.Pending, id)
	}
	if h.late != nil {
		r = *h.late
		h.late = nil
	} else if rapid.IntRange(0, 3).Draw(m.t, "late") == 0 {
		h.late = &r
		return
	}
	if len(m.p.Renew(m.now, h.id, r)) > 0 {
		m.answer(h)
	}
}

// report shows the home the targets' work as it was some time ago.
func (m *model) report(lag time.Duration) {
	now := counts{at: m.now, run: make(map[string]int)}
	for id, js := range m.running {
		now.run[id] = len(js)
	}
	m.past = append(m.past, now)
	seen := now
	for _, c := range m.past {
		if !c.at.After(m.now.Add(-lag)) {
			seen = c
		}
	}
	var reps []replica.Replica
	for i := range modelReplicas {
		r := rep(fmt.Sprint("r", i), "f1")
		r.Inflight, r.ReportedAt = seen.run[r.ID], m.now
		reps = append(reps, r)
	}
	m.p.SetReplicas(m.now, reps)
}
