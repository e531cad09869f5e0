package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

const (
	// warmJoin and sameJoin are the times of a join from the host and of one for the model
	// of the last group; loadTime is that of a load. They are those of the configuration
	// that site publishes. stallTime is stall_ms.
	sameJoin  = 200 * time.Millisecond
	warmJoin  = 100 * time.Millisecond
	loadTime  = time.Second
	formTime  = 10 * time.Millisecond
	stallTime = 5 * time.Second
	// leastLate and mostLate bound how much later an order without an answer is carried out.
	leastLate, mostLate = 2 * time.Second, 12 * time.Second
	// memberEvents is the number of events of a stream.
	memberEvents = 5
)

//go:embed names.json
var namesFile []byte

// names holds the platform's names of fields, topics and headers.
var names = func() map[string]string {
	out := map[string]string{}
	if err := json.Unmarshal(namesFile, &out); err != nil {
		panic(err) // can't happen: the file is part of the program
	}
	return out
}()

// fleet is a set of model engines that join groups as the pages say.
type fleet struct {
	b  *bed
	mu sync.Mutex
	// members holds all engines that ever were by id.
	members map[string]*member
	rng     *rand.Rand
	// lateShare is the share of the orders that get no answer and are carried out late.
	// fenceLate is set if their fencing tokens are looked at again then.
	lateShare float64
	fenceLate bool
	// idStep is the difference between the ids of two events of a stream, which has so
	// many events, one each eventGap. runs counts the runs by request.
	idStep, events int
	eventGap       time.Duration
	// slots is the number of requests that a group runs at once; it refuses others. 0 stands
	// for no bound. The share preempted of the streams pauses for preemptedFor after half
	// of its events.
	slots        int
	preempted    float64
	preemptedFor time.Duration
	runs         map[string]int
	// paused holds the requests whose streams have paused.
	paused map[string]bool
	// broken describes the joins that broke TWO.
	broken []string
	joins  int
}

// member is one model engine. The fleet's lock guards it.
type member struct {
	id, domain string
	f          *fleet
	server     *http.Server
	addr       string
	alive      bool
	draining   bool
	born       int64
	beat       int64
	seq, fence int64
	epoch      int64
	model      string
	lastModel  string
	staged     []string
	group      string
	list       []string
	rank       int
	state      string
	// changed numbers the joins, closes and leaves, so that what was begun before one of
	// them isn't ended after it.
	changed int
	// running is the number of requests that run.
	running int
	// missingSince is since when an open head has missed a member.
	missingSince time.Time
}

func newFleet(b *bed) *fleet {
	return &fleet{
		b: b, members: map[string]*member{}, runs: map[string]int{}, paused: map[string]bool{}, rng: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 3)),
		idStep: 1, events: memberEvents,
	}
}

func (f *fleet) start(id, domain string) *member {
	m := &member{id: id, domain: domain, f: f, staged: []string{}}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members[id] = m
	m.boot()
	return m
}

// boot begins the life of the engine. The fleet's lock is held.
func (m *member) boot() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err) // no ports are left
	}
	m.addr, m.alive, m.born = l.Addr().String(), true, time.Now().UnixMilli()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", m.serveReport)
	mux.HandleFunc("POST /order", m.serveOrder)
	mux.HandleFunc("GET /healthz", m.serveHealth)
	mux.HandleFunc("/", m.serveRequest)
	m.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get(names["expectEngine"]); want != "" && want != m.id {
			w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(w, r)
	}), ReadHeaderTimeout: time.Minute}
	server := m.server
	go func() { _ = server.Serve(l) }()
	m.announce()
}

// drain announces that the engine leaves, and ends it some time later.
func (m *member) drain(after time.Duration) {
	m.draining = true
	m.f.b.note("%s drains, of group %s", m.id, m.group)
	m.announce()
	time.AfterFunc(after, func() {
		m.f.mu.Lock()
		defer m.f.mu.Unlock()
		if m.alive {
			m.alive = false
			m.f.b.store.Put(names["engines"], m.id, nil)
			go m.server.Close() //nolint:errcheck // its callers are gone
		}
	})
}

// entry returns what the engine says of itself. The fleet's lock is held.
func (m *member) entry() map[string]any {
	models := []any{}
	if m.model != "" {
		models = append(models, map[string]any{"name": m.model, "version": 1, "adapters": []any{}})
	}
	state := "ready"
	if m.draining {
		state = "draining"
	}
	out := map[string]any{
		"service": site.ModelService, "address": m.addr, "zone": "a", "version": "v1", "slots": 8, "state": state, names["cold"]: 0, "stage": "combined",
		"models": models, "seq": m.beat, "born": m.born, "domain": m.domain, "staged": m.staged,
	}
	if m.group != "" {
		out["group"] = map[string]any{"name": m.group, "epoch": m.epoch, "rank": m.rank, "state": m.state}
	}
	return out
}

// announce writes the entry, as an engine does after each change. The fleet's lock is held.
func (m *member) announce() {
	m.beat++
	raw, err := json.Marshal(m.entry())
	if err != nil {
		panic(err) // can't happen: the entry consists of basic types
	}
	m.f.b.store.Put(names["engines"], m.id, raw)
}

func (m *member) serveReport(w http.ResponseWriter, _ *http.Request) {
	m.f.mu.Lock()
	out := m.entry()
	out["seq"] = m.seq
	m.f.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // it fails only if the caller has left
}

func (m *member) serveHealth(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set(names["engine"], m.id)
}

// serveRequest answers a request for a stream, if the engine is the head of an open group.
func (m *member) serveRequest(w http.ResponseWriter, r *http.Request) {
	m.f.mu.Lock()
	serves := m.alive && m.group != "" && m.rank == 0 && m.state == "open" && m.missingSince.IsZero()
	serves = serves && (m.f.slots == 0 || m.running < m.f.slots)
	if serves {
		m.running++
		defer func() {
			m.f.mu.Lock()
			m.running--
			m.f.mu.Unlock()
		}()
	}
	m.f.mu.Unlock()
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if !serves {
		w.Header().Set(names["notRun"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(names["seal"], "seal-"+m.id)
	w.Header().Set("Content-Type", "text/event-stream")
	m.f.mu.Lock()
	m.f.runs[r.Header.Get("Request-Id")]++
	step, events, gap, pauseAt := m.f.idStep, m.f.events, m.f.eventGap, 0
	if m.f.rng.Float64() < m.f.preempted {
		pauseAt = events / 2
		m.f.paused[r.Header.Get("Request-Id")] = true
	}
	m.f.mu.Unlock()
	next := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		next = last/step + 1
	}
	for ; next <= events; next++ {
		wait := gap
		if next == pauseAt {
			wait = m.f.preemptedFor
		}
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", next*step, next)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// order is an order to an engine.
type order struct {
	op, group, model string
	fence, epoch     int64
	members          []string
	abort            bool
	ifSeq            *int64
}

func decodeOrder(r *http.Request) (order, error) {
	var raw map[string]json.RawMessage
	o := order{}
	if err := json.NewDecoder(r.Body).Decode(&raw); err != nil {
		return o, err
	}
	mode := ""
	for name, to := range map[string]any{
		"operation": &o.op, "group": &o.group, "model": &o.model, names["fence"]: &o.fence, "epoch": &o.epoch,
		"members": &o.members, names["closeMode"]: &mode, "precondition": &o.ifSeq,
	} {
		if v, ok := raw[name]; ok {
			if err := json.Unmarshal(v, to); err != nil {
				return o, err
			}
		}
	}
	o.abort = mode == "abort"
	return o, nil
}

// serveOrder carries out an order, or leaves it unanswered and carries it out later.
func (m *member) serveOrder(w http.ResponseWriter, r *http.Request) {
	o, err := decodeOrder(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f := m.f
	f.mu.Lock()
	if o.fence < m.fence {
		f.mu.Unlock()
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	if f.rng.Float64() < f.lateShare {
		m.fence = o.fence // the engine has seen it
		delay := leastLate + time.Duration(f.rng.Int64N(int64(mostLate-leastLate)))
		born := m.born
		f.mu.Unlock()
		time.AfterFunc(delay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if m.alive && m.born == born && (!f.fenceLate || o.fence >= m.fence) {
				f.b.note("%s: %s %s, fence %d, %.1f s late: %d", m.id, o.op, o.group, o.fence, delay.Seconds(), m.carryOut(o))
			}
		})
		<-r.Context().Done()
		return
	}
	m.fence = o.fence
	status := m.carryOut(o)
	f.b.note("%s: %s %s %v, fence %d: %d", m.id, o.op, o.group, o.members, o.fence, status)
	f.mu.Unlock()
	w.WriteHeader(status)
}

// carryOut carries out an order whose fencing token has been looked at. The fleet's lock is
// held.
func (m *member) carryOut(o order) int {
	in := m.group == o.group && m.group != "" && (o.op == "stage" || m.epoch == o.epoch)
	switch {
	case o.ifSeq != nil && *o.ifSeq != m.seq:
		return http.StatusConflict
	case o.op == "stage":
		if slices.Contains(m.staged, o.model) {
			return http.StatusOK
		}
		born := m.born
		m.after(loadTime, born, func() { m.staged = []string{o.model} })
	case o.op == "join" && o.epoch < m.epoch, o.op == "join" && o.epoch == m.epoch && m.group == o.group && !slices.Equal(m.list, o.members):
		return http.StatusPreconditionFailed
	case o.op == "join" && in && m.state != "broken":
		return http.StatusOK
	case o.op == "join":
		m.join(o)
	case !in && o.op == "leave":
		return http.StatusOK
	case !in:
		return http.StatusConflict
	case o.op == "leave":
		m.changed++
		m.group, m.state, m.list, m.lastModel = "", "", nil, m.model
	case o.op == "open" && (m.state == "open" || m.rank != 0):
		return http.StatusOK
	case o.op == "open" && m.state == "ready":
		m.changed++
		n := m.changed
		m.after(formTime, m.born, func() {
			if m.changed == n {
				m.state, m.missingSince = "open", time.Time{}
			}
		})
	case o.op == "close" && m.state == "ready":
		m.changed++ // it doesn't open any more
		return http.StatusOK
	case o.op == "close" && (m.state == "open" || m.state == "closing"):
		m.changed++
		m.state = "ready" // no request runs for longer than a moment
	default:
		return http.StatusConflict
	}
	m.seq++
	m.announce()
	return http.StatusAccepted
}

// join makes the engine a member of a group. It first looks whether TWO holds.
func (m *member) join(o order) {
	f := m.f
	f.joins++
	if m.group != "" && m.group != o.group {
		head := f.members[m.list[0]]
		if head.alive && head.group == m.group && head.epoch == m.epoch && (head.state == "open" || head.state == "closing") {
			f.broken = append(f.broken, fmt.Sprintf("%s takes a join of %s while the head %s of its group %s is %s", m.id, o.group, head.id, m.group, head.state))
			f.b.note("TWO: %s", f.broken[len(f.broken)-1])
		}
	}
	wait := loadTime
	switch {
	case o.model == m.model || o.model == m.lastModel:
		wait = sameJoin
	case slices.Contains(m.staged, o.model):
		wait = warmJoin
	}
	m.group, m.epoch, m.list, m.model, m.state, m.missingSince = o.group, o.epoch, o.members, o.model, "joining", time.Time{}
	m.rank = slices.Index(o.members, m.id)
	m.changed++
	n := m.changed
	m.after(wait, m.born, func() {
		if m.changed == n {
			m.state, m.staged = "ready", []string{o.model}
		}
	})
}

// after does something later in the same life, and announces it. The fleet's lock is held.
func (m *member) after(d time.Duration, born int64, do func()) {
	time.AfterFunc(d, func() {
		m.f.mu.Lock()
		defer m.f.mu.Unlock()
		if m.alive && m.born == born {
			do()
			m.announce()
		}
	})
}

// watchHeads breaks the groups whose heads have missed a member for stallTime. The pages
// say that nothing moves in between, and that members notice nothing.
func (f *fleet) watchHeads(done <-chan struct{}) {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-tick.C:
			f.mu.Lock()
			for _, m := range f.members {
				if m.alive && m.rank == 0 && m.state == "open" {
					m.look(now)
				}
			}
			f.mu.Unlock()
		}
	}
}

// look looks for missing members of an open head. The fleet's lock is held.
func (m *member) look(now time.Time) {
	missing := slices.ContainsFunc(m.list, func(id string) bool {
		e := m.f.members[id]
		return e == nil || !e.alive || e.group != m.group || e.epoch != m.epoch
	})
	switch {
	case !missing:
		m.missingSince = time.Time{}
	case m.missingSince.IsZero():
		m.missingSince = now
	case now.Sub(m.missingSince) >= stallTime:
		m.state = "broken"
		m.announce()
	}
}

func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if m.alive {
			m.alive = false
			_ = m.server.Close()
		}
	}
}
