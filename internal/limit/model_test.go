package limit

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/ragwortquay/ragwortquay/internal/replica"
)

// model simulates the surroundings of one pool: holders that follow the protocol
// or die, targets that run whatever they are sent, successive homes, and lagging
// reports. It counts running work independently of the pool.
type model struct {
	t       *rapid.T
	now     time.Time
	p       *Pool
	cfg     Config
	homes   int
	seq     int
	holders []*holder
	// running has the work that each target really runs.
	running map[string][]*job
	// history has the counts at earlier times, from which lagging reports are
	// taken.
	history []runningCounts
}

type runningCounts struct {
	at      time.Time
	running map[string]int
}

type holder struct {
	id   string
	dead bool
	term string
	// arriving are grants in transit, unused those received but not yet used.
	arriving []Grant
	unused   []Grant
	pending  map[string]struct{}
	// delayedRenewal is a renewal that was written but has not reached the home.
	delayedRenewal *Renewal
}

type job struct {
	grant  Grant
	holder *holder
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

// newHome replaces the home. With withSnapshot, the old home passes on its
// snapshot; with lossy, some holders do not answer.
func (m *model) newHome(withSnapshot, lossy bool) {
	old := m.p
	m.homes++
	m.p = New(Identity{Pool: "p", Home: "h", Term: fmt.Sprintf("%04d", m.homes)}, m.cfg)
	// Each daemon is a failure domain of its own, and the home is not among
	// them, so there are no witnessed grants.
	var reachable, dead []Peer
	for _, h := range m.holders {
		p := Peer{ID: h.id, Domain: h.id}
		if h.dead {
			dead = append(dead, p)
			continue
		}
		reachable = append(reachable, p)
	}
	m.p.StartRecovery(m.now, reachable, dead)
	m.report(0)
	if old != nil && withSnapshot {
		m.p.ApplySnapshot(m.now, old.Snapshot(m.now))
	}
	for _, h := range m.holders {
		if h.dead {
			continue
		}
		if lossy && rapid.Bool().Draw(m.t, "unresponsive") {
			m.p.MarkUnresponsive(m.now, h.id)
			continue
		}
		m.sendHoldings(h)
	}
}

// sendHoldings reports to the home what a holder has. Grants of earlier terms
// that are still in transit are void from then on.
func (m *model) sendHoldings(h *holder) {
	h.term = m.p.Term()
	holdings := Holdings{Holder: h.id, BootID: "b", LastHome: "h", LastTerm: "0000"}
	holdings.Grants = append(holdings.Grants, h.unused...)
	holdings.Grants = append(holdings.Grants, m.jobsOf(h)...)
	m.p.ApplyHoldings(m.now, holdings)
}

func (m *model) jobsOf(h *holder) []Grant {
	var gs []Grant
	for i := range modelReplicas {
		for _, j := range m.running[fmt.Sprint("r", i)] {
			if j.holder == h {
				gs = append(gs, j.grant)
			}
		}
	}
	return gs
}

func (m *model) live() []*holder {
	return slices.DeleteFunc(slices.Clone(m.holders), func(h *holder) bool { return h.dead })
}

func (m *model) anyHolder() *holder {
	return rapid.SampledFrom(m.live()).Draw(m.t, "holder")
}

func (m *model) acquire() {
	h := m.anyHolder()
	m.seq++
	req := Request{
		ID: fmt.Sprint("q", m.seq), Pool: "p", Workspace: h.id, Holder: h.id, BootID: "b", Seq: uint64(m.seq),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(m.t, "deadline")) * time.Second),
	}
	h.pending[req.ID] = struct{}{}
	if g, err := m.p.Acquire(m.now, req); err == nil && g != nil {
		h.arriving = append(h.arriving, *g)
	}
	m.takeDecisions()
}

// takeDecisions sends grants for queued requests to their holders.
func (m *model) takeDecisions() {
	for _, d := range m.p.TakeDecisions() {
		for _, h := range m.holders {
			if h.id == d.Request.Holder && d.Grant != nil {
				h.arriving = append(h.arriving, *d.Grant)
			}
		}
	}
}

// burst requests, delivers and uses as many grants as the home allows.
func (m *model) burst() {
	for range 2 * modelReplicas {
		m.acquire()
	}
	for _, h := range m.live() {
		for len(h.arriving) > 0 {
			m.deliverTo(h)
		}
		for len(h.unused) > 0 {
			m.startWorkOf(h)
		}
	}
}

func (m *model) deliverGrant() { m.deliverTo(m.anyHolder()) }

func (m *model) deliverTo(h *holder) {
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

func (m *model) startWork() { m.startWorkOf(m.anyHolder()) }

func (m *model) startWorkOf(h *holder) {
	if len(h.unused) == 0 {
		return
	}
	g := h.unused[0]
	h.unused = h.unused[1:]
	if !g.Usable(m.now) {
		m.p.Release(m.now, Release{Grant: g.ID, Result: Result{Outcome: Cancelled}})
		return
	}
	m.running[g.Replica] = append(m.running[g.Replica], &job{grant: g, holder: h})
}

func (m *model) finishWork() {
	id := fmt.Sprint("r", rapid.IntRange(0, modelReplicas-1).Draw(m.t, "replica"))
	jobs := m.running[id]
	if len(jobs) == 0 || jobs[0].holder.dead {
		return
	}
	m.running[id] = jobs[1:]
	// Failed does not affect the ramp, so the limit to check stays the same.
	m.p.Release(m.now, Release{Grant: jobs[0].grant.ID, Result: Result{Outcome: Failed, Duration: time.Second}})
}

func (m *model) killHolder() {
	if len(m.live()) > 2 {
		m.anyHolder().dead = true
	}
}

// advance lets time pass in short steps: work past its deadline ends, live holders
// renew, and targets report.
func (m *model) advance() {
	for range rapid.IntRange(1, 12).Draw(m.t, "steps") {
		m.step()
	}
}

func (m *model) step() {
	m.now = m.now.Add(500 * time.Millisecond)
	for id, jobs := range m.running {
		m.running[id] = slices.DeleteFunc(jobs, func(j *job) bool { return !j.grant.Deadline.After(m.now) })
	}
	for _, h := range m.live() {
		m.renew(h)
	}
	m.report(time.Duration(rapid.IntRange(0, 2000).Draw(m.t, "lag ms")) * time.Millisecond)
	m.p.Tick(m.now)
	m.takeDecisions()
}

func (m *model) renew(h *holder) {
	r := Renewal{BootID: "b", Seq: uint64(m.seq)}
	for _, g := range append(m.jobsOf(h), h.unused...) {
		r.Grants = append(r.Grants, g.ID)
	}
	for id := range h.pending {
		r.Pending = append(r.Pending, id)
	}
	if h.delayedRenewal != nil {
		r = *h.delayedRenewal
		h.delayedRenewal = nil
	} else if rapid.IntRange(0, 3).Draw(m.t, "delayed") == 0 {
		h.delayedRenewal = &r
		return
	}
	if len(m.p.Renew(m.now, h.id, r)) > 0 {
		m.sendHoldings(h)
	}
}

// report delivers the targets' counts as they were at the given lag.
func (m *model) report(lag time.Duration) {
	now := runningCounts{at: m.now, running: make(map[string]int)}
	for id, jobs := range m.running {
		now.running[id] = len(jobs)
	}
	m.history = append(m.history, now)
	reported := now
	for _, c := range m.history {
		if !c.at.After(m.now.Add(-lag)) {
			reported = c
		}
	}
	var reps []replica.Replica
	for i := range modelReplicas {
		r := servingReplica(fmt.Sprint("r", i), "f1")
		r.Inflight, r.ReportedAt = reported.running[r.ID], m.now
		reps = append(reps, r)
	}
	m.p.SetReplicas(m.now, reps)
}
