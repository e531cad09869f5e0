package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/pause"
)

// EngineConfig describes an engine.
type EngineConfig struct {
	ID, Service, Zone, FailureDomain string
	Slots                            int
	// EventsPerStream is the number of events of a stream, 0 for an engine without models.
	// Pause is the time between them, or before the answer of such an engine.
	EventsPerStream int
	EventInterval   time.Duration
	// ProxyAddr returns the address to announce in place of the engine's own; nil for
	// none. It lets a proxy stand before the engine.
	ProxyAddr func(addr string) (string, error)
}

// Engine is a model engine. It announces itself in the store on each change.
type Engine struct {
	c      EngineConfig
	store  *Store
	server *httptest.Server
	born   int64
	// addr is the address that is announced.
	addr string
	down atomic.Bool

	mu      sync.Mutex
	beat    int64
	fence   int64
	epoch   int64
	model   string
	staged  []string
	group   group
	drains  bool
	stalled bool
	orders  []Order
	hold    chan struct{}
}

type group struct {
	Name    string `json:"name"`
	Epoch   int64  `json:"epoch"`
	Rank    int    `json:"rank"`
	State   string `json:"state"`
	members []string
}

// Execution is the start of a request at an engine.
type Execution struct {
	RequestID, EngineID string
	At                  time.Time
}

// StartEngine starts an engine and announces it; Crash or Close ends it. It
// panics if the address of Via can't be had, as httptest does for its own.
func StartEngine(store *Store, c EngineConfig) *Engine {
	e := &Engine{c: c, store: store, born: time.Now().UnixMilli(), hold: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.report)
	mux.HandleFunc("POST /order", e.order)
	mux.HandleFunc("/", e.serve)
	e.server = httptest.NewServer(mux)
	e.addr = strings.TrimPrefix(e.server.URL, "http://")
	if c.ProxyAddr != nil {
		addr, err := c.ProxyAddr(e.addr)
		if err != nil {
			panic(err)
		}
		e.addr = addr
	}
	store.register(e)
	e.announce()
	return e
}

// Crash ends the engine without a word; its entry stays until Lapse.
func (e *Engine) Crash() {
	e.down.Store(true)
	e.StallStreams()
	e.server.CloseClientConnections()
	e.server.Listener.Close() //nolint:errcheck // it is closed either way
}

// ExpireEntry removes the engine's entry.
func (e *Engine) ExpireEntry() { e.store.Put("keyed.servers", e.c.ID, nil) }

// Close ends the engine and its entry.
func (e *Engine) Close() {
	e.StallStreams()
	e.ExpireEntry()
	e.server.CloseClientConnections()
	e.server.Close()
}

// StallStreams makes streams stand still where they are.
func (e *Engine) StallStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.stalled {
		e.stalled = true
		close(e.hold)
	}
}

// Drain announces that the engine leaves.
func (e *Engine) Drain() {
	e.mu.Lock()
	e.drains = true
	e.mu.Unlock()
	e.announce()
}

// ExecutedRequests returns the ids of the requests that began to run.
func (e *Engine) ExecutedRequests() []string {
	var ids []string
	for _, r := range e.store.Executions() {
		if r.EngineID == e.c.ID {
			ids = append(ids, r.RequestID)
		}
	}
	return ids
}

// Order is an order that an engine took: operation and group.
type Order struct {
	Action string
	// Seq orders the orders to all engines.
	Seq int64
}

var orderNumbers atomic.Int64

// AcceptedOrders returns the orders that were taken.
func (e *Engine) AcceptedOrders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// FirstOrderSeq returns the number of the first such order, or 0.
func FirstOrderSeq(e *Engine, what string) int64 {
	for _, o := range e.AcceptedOrders() {
		if o.Action == what {
			return o.Seq
		}
	}
	return 0
}

// GroupState returns the engine's group and its state in it.
func (e *Engine) GroupState() (name, state string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.group.Name, e.group.State
}

func (e *Engine) entry() map[string]any {
	state := "ready"
	if e.drains {
		state = "draining"
	}
	models := []map[string]any{}
	if e.model != "" {
		models = append(models, map[string]any{"name": e.model, "version": 1})
	}
	out := map[string]any{
		"service": e.c.Service, "address": e.addr, "zone": e.c.Zone,
		"version": "v1", "slots": e.c.Slots, "state": state, "cold_remaining_ms": 0, "seq": e.beat, "born": e.born,
		"domain": e.c.FailureDomain, "staged": e.staged, "models": models,
	}
	if e.group.Name != "" {
		out["group"] = e.group
	}
	return out
}

func (e *Engine) announce() {
	e.mu.Lock()
	e.beat++
	raw, err := json.Marshal(e.entry())
	e.mu.Unlock()
	if err != nil {
		panic(err) // the entry is made of plain values
	}
	e.store.Put("keyed.servers", e.c.ID, raw)
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	replyJSON(w, e.entry())
}

type orderCall struct {
	Operation string
	Fence     int64 `json:"fencing_token"`
	Group     string
	Epoch     int64
	Model     string
	Members   []string
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o orderCall
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := e.take(o)
	w.WriteHeader(status)
	if status == http.StatusAccepted {
		e.announce()
	}
}

// take carries an order out at once and returns the status of its answer.
func (e *Engine) take(o orderCall) int {
	if o.Operation == "join" {
		e.store.noteJoin(e, o)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence {
		return http.StatusPreconditionFailed
	}
	e.fence = o.Fence
	e.orders = append(e.orders, Order{o.Operation + " " + o.Group, orderNumbers.Add(1)})
	switch o.Operation {
	case "stage":
		e.staged = []string{o.Model}
	case "join":
		return e.join(o)
	case "open":
		if e.group.Name != o.Group || e.group.State != "ready" {
			return http.StatusConflict
		}
		e.group.State = "open"
	case "close":
		if e.group.Name != o.Group {
			return http.StatusConflict
		}
		e.group.State = "ready"
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

func (e *Engine) join(o orderCall) int {
	if o.Epoch < e.epoch {
		return http.StatusPreconditionFailed
	}
	rank := -1
	for i, id := range o.Members {
		if id == e.c.ID {
			rank = i
		}
	}
	if rank < 0 {
		return http.StatusBadRequest
	}
	e.epoch, e.model = o.Epoch, o.Model
	if len(e.staged) == 0 {
		e.staged = []string{o.Model}
	}
	e.group = group{Name: o.Group, Epoch: o.Epoch, Rank: rank, State: "ready", members: o.Members}
	return http.StatusAccepted
}

// serve answers a request: a stream where the engine heads an open group, one
// body where it serves no models.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.c.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	plain := e.c.EventsPerStream == 0
	refuses := !plain && (e.group.State != "open" || e.group.Rank != 0)
	if !refuses {
		e.store.noteRun(Execution{RequestID: id, EngineID: e.c.ID, At: time.Now()})
	}
	e.mu.Unlock()
	w.Header().Set("Request-Id", id)
	if refuses {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Response-Seal", "seal-"+e.c.ID)
	if plain {
		pause.For(r.Context(), e.c.EventInterval)
		fmt.Fprintf(w, "tenant=%s", r.Header.Get("Tenant"))
		return
	}
	e.stream(w, r)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request) {
	next := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for ; next <= e.c.EventsPerStream; next++ {
		select {
		case <-e.hold:
			<-r.Context().Done()
			return
		case <-time.After(e.c.EventInterval):
		}
		fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", next, next)
		if err := flush.Flush(); err != nil {
			return
		}
	}
}
