package site

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/pause"
)

// EngineConfig configures an engine.
type EngineConfig struct {
	ID, Service, Zone, FabricDomain string
	// Addr is the address to listen at; empty for a free one.
	Addr  string
	Slots int
	// EventsPerStream is the number of events of a stream. 0 makes the engine a
	// plain service without models.
	EventsPerStream int
	// EventInterval is the time before each event of a stream, or before the
	// response of a plain service.
	EventInterval time.Duration
	// ProxyAddr, if not nil, maps the engine's own address to that of a proxy,
	// which the engine announces instead.
	ProxyAddr func(addr string) (string, error)
	// Deadly, if not nil, reports whether a request with the given body and parts of a
	// prompt, each as ID:TOKENS, ends the engine when it would begin to be answered.
	// OnDeadly, if not nil, then ends it in place of Crash.
	Deadly   func(body string, parts []string) bool
	OnDeadly func()
}

// Engine is a model engine or a plain service. It announces itself in the store
// on each change of its state.
type Engine struct {
	config      EngineConfig
	store       *Store
	server      *httptest.Server
	startUnixMS int64
	// announcedAddr is the engine's own address or that of its proxy.
	announcedAddr string
	crashed       atomic.Bool

	mu           sync.Mutex
	heartbeatSeq int64
	// begunOrders is the number of orders that this incarnation has begun to execute.
	begunOrders  int64
	fencingToken int64
	epoch        int64
	model        string
	stagedModels []string
	group        groupMembership
	draining     bool
	stalled      bool
	dripping     bool
	orders       []Order
	stallCh      chan struct{}
	// leaving is set if responses state that the engine leaves.
	leaving bool
	// refusals is the number of requests still to refuse, with the given wait.
	refusals    int
	refusalWait string
	arrivals    int
	// spoilt is the number of answers still to spoil, in the given way.
	spoilt int
	spoil  Spoil
	// delay is the time before each answer of a plain service, beyond EventInterval.
	delay time.Duration
}

// groupMembership is the engine's membership in a group, as announced.
type groupMembership struct {
	Name    string `json:"name"`
	Epoch   int64  `json:"epoch"`
	Rank    int    `json:"rank"`
	State   string `json:"state"`
	members []string
}

// Execution records that a request started to execute at an engine.
type Execution struct {
	RequestID, EngineID string
	// Priority is what the daemon has sent as the request's priority.
	Priority string
	At       time.Time
}

// StartEngine starts an engine and announces it; Crash or Close ends it. It
// panics if ProxyAddr fails or it can't listen, as httptest does.
func StartEngine(store *Store, c EngineConfig) *Engine {
	e := &Engine{config: c, store: store, startUnixMS: time.Now().UnixMilli(), stallCh: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.handleReport)
	mux.HandleFunc("POST /order", e.handleOrder)
	mux.HandleFunc("GET "+healthPath, e.handleHealth)
	mux.HandleFunc("/", e.handleRequest)
	e.server = httptest.NewUnstartedServer(e.onlyForThisEngine(mux))
	if c.Addr != "" {
		_ = e.server.Listener.Close()
		listener, err := net.Listen("tcp", c.Addr)
		if err != nil {
			panic(err)
		}
		e.server.Listener = listener
	}
	e.server.Start()
	e.announcedAddr = e.Addr()
	if c.ProxyAddr != nil {
		addr, err := c.ProxyAddr(e.announcedAddr)
		if err != nil {
			panic(err)
		}
		e.announcedAddr = addr
	}
	store.registerEngine(e)
	e.announce()
	return e
}

// Crash ends the engine without an announcement. Its entry in the store stays
// until ExpireEntry.
func (e *Engine) Crash() {
	e.crashed.Store(true)
	e.StallStreams()
	e.server.Listener.Close() //nolint:errcheck // the listener is closed even if this fails
	e.server.CloseClientConnections()
}

// Ended reports whether the engine has ended without an announcement.
func (e *Engine) Ended() bool { return e.crashed.Load() }

// ExpireEntry removes the engine's entry from the store.
func (e *Engine) ExpireEntry() { e.store.Put("keyed.servers", e.config.ID, nil) }

// Close removes the engine's entry and ends the engine.
func (e *Engine) Close() {
	e.StallStreams()
	e.ExpireEntry()
	e.server.CloseClientConnections()
	e.server.Close()
}

// StallStreams makes all streams hang, without further events or an end.
func (e *Engine) StallStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.stalled {
		e.stalled = true
		close(e.stallCh)
	}
}

// DripStreams makes all streams send a comment now and then instead of events.
func (e *Engine) DripStreams() {
	e.mu.Lock()
	e.dripping = true
	e.mu.Unlock()
	e.StallStreams()
}

// dripInterval is the interval between the comments of a dripping stream.
const dripInterval = 40 * time.Millisecond

// drip sends comments until the client has left.
func (e *Engine) drip(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	dripping := e.dripping
	e.mu.Unlock()
	for dripping && pause.For(r.Context(), dripInterval) {
		fmt.Fprint(w, ": \n\n")
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}

// Drain announces that the engine is draining.
func (e *Engine) Drain() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.announce()
}

// LeaveInResponses makes all further responses state that the engine leaves. Its
// entry in the store stays unchanged.
func (e *Engine) LeaveInResponses() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Refuse makes the engine refuse the next n requests and ask for a wait, which is
// sent as it is given.
func (e *Engine) Refuse(n int, wait string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refusals, e.refusalWait = n, wait
}

// SpoilAnswers makes the engine spoil the answers to the next n requests that it runs.
func (e *Engine) SpoilAnswers(n int, how Spoil) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.spoilt, e.spoil = n, how
}

// DelayAnswers makes a plain service wait before each further answer.
func (e *Engine) DelayAnswers(delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delay = delay
}

// Arrivals returns the number of requests that have arrived, refused ones included.
func (e *Engine) Arrivals() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrivals
}

// ExecutedRequests returns the ids of the requests that started to execute.
func (e *Engine) ExecutedRequests() []string {
	var ids []string
	for _, r := range e.store.Executions() {
		if r.EngineID == e.config.ID {
			ids = append(ids, r.RequestID)
		}
	}
	return ids
}

// Order is an order that passed the engine's fencing check.
type Order struct {
	// Action is the operation and the group, separated by a space.
	Action string
	// Seq numbers the orders of all engines of the process.
	Seq int64
}

var lastOrderSeq atomic.Int64

// Orders returns the orders that passed the fencing check, in order of arrival.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// FirstOrderSeq returns the Seq of the first order with the given action, or 0.
func FirstOrderSeq(e *Engine, action string) int64 {
	for _, o := range e.Orders() {
		if o.Action == action {
			return o.Seq
		}
	}
	return 0
}

// GroupState returns the name of the engine's group and the engine's state in it.
func (e *Engine) GroupState() (name, state string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.group.Name, e.group.State
}

// announcement returns the engine's entry in the store, which is also its report.
// e.mu must be held.
func (e *Engine) announcement() map[string]any {
	state := "ready"
	if e.draining {
		state = "draining"
	}
	models := []map[string]any{}
	if e.model != "" {
		models = append(models, map[string]any{"name": e.model, "version": 1})
	}
	entry := map[string]any{
		"service": e.config.Service, "address": e.announcedAddr, "zone": e.config.Zone,
		"version": "v1", "slots": e.config.Slots, "state": state, "cold_remaining_ms": 0, "seq": e.heartbeatSeq, "born": e.startUnixMS,
		"domain": e.config.FabricDomain, "staged": e.stagedModels, "models": models,
	}
	if e.group.Name != "" {
		entry["group"] = e.group
	}
	return entry
}

// Announce writes the engine's entry, as after a restore of the store.
func (e *Engine) Announce() { e.announce() }

func (e *Engine) announce() {
	e.mu.Lock()
	e.heartbeatSeq++
	raw, err := json.Marshal(e.announcement())
	e.mu.Unlock()
	if err != nil {
		panic(err) // can't happen: the entry consists of basic types
	}
	e.store.Put("keyed.servers", e.config.ID, raw)
}

func (e *Engine) handleReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := e.announcement()
	report["seq"] = e.begunOrders
	writeJSON(w, report)
}

// healthPath is the path of health checks.
const healthPath = "/healthz"

func (e *Engine) handleHealth(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Instance-Id", e.config.ID)
	if e.draining || e.leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// orderRequest is the body of POST /order.
type orderRequest struct {
	Operation    string
	FencingToken int64 `json:"fencing_token"`
	Group        string
	Epoch        int64
	Model        string
	Members      []string
	Precondition *int64
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o orderRequest
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := e.applyOrder(o)
	w.WriteHeader(status)
	if status == http.StatusAccepted {
		e.announce()
	}
}

// applyOrder executes an order at once and returns the HTTP status of the
// response.
func (e *Engine) applyOrder(o orderRequest) int {
	if o.Operation == "join" {
		e.store.recordDisruptiveJoin(e, o)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.FencingToken < e.fencingToken {
		return http.StatusPreconditionFailed
	}
	if o.Precondition != nil && *o.Precondition != e.begunOrders {
		return http.StatusConflict
	}
	e.fencingToken = o.FencingToken
	e.orders = append(e.orders, Order{o.Operation + " " + o.Group, lastOrderSeq.Add(1)})
	status := e.begin(o)
	if status == http.StatusAccepted {
		e.begunOrders++
	}
	return status
}

// begin begins to execute an order whose conditions hold. e.mu must be held.
func (e *Engine) begin(o orderRequest) int {
	switch o.Operation {
	case "stage":
		e.stagedModels = []string{o.Model}
	case "join":
		return e.joinGroup(o)
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
	case "leave":
		if e.group.Name != o.Group || e.group.Epoch != o.Epoch {
			return http.StatusOK
		}
		e.group = groupMembership{}
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

func (e *Engine) joinGroup(o orderRequest) int {
	if o.Epoch < e.epoch {
		return http.StatusPreconditionFailed
	}
	rank := -1
	for i, id := range o.Members {
		if id == e.config.ID {
			rank = i
		}
	}
	if rank < 0 {
		return http.StatusBadRequest
	}
	e.epoch, e.model = o.Epoch, o.Model
	if len(e.stagedModels) == 0 {
		e.stagedModels = []string{o.Model}
	}
	e.group = groupMembership{Name: o.Group, Epoch: o.Epoch, Rank: rank, State: "ready", members: o.Members}
	return http.StatusAccepted
}

// onlyForThisEngine rejects calls that are meant for another engine at the address.
func (e *Engine) onlyForThisEngine(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if wantInstance := r.Header.Get("Expect-Instance"); wantInstance != "" && wantInstance != e.config.ID {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Addr returns the engine's own address.
func (e *Engine) Addr() string { return strings.TrimPrefix(e.server.URL, "http://") }

// handleRequest responds with a stream if the engine is the head of an open group,
// or with a single body if it is a plain service. Other engines refuse.
func (e *Engine) handleRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	e.mu.Lock()
	plainService := e.config.EventsPerStream == 0
	refused := !plainService && (e.group.State != "open" || e.group.Rank != 0)
	e.arrivals++
	if e.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if e.refusals > 0 {
		e.refusals--
		refused = true
		w.Header().Set("Retry-After", e.refusalWait)
	}
	if !refused {
		e.store.recordExecution(Execution{RequestID: id, EngineID: e.config.ID, Priority: r.Header.Get("Request-Priority"), At: time.Now()})
	}
	delay := e.delay
	spoilt, spoil := e.spoilt > 0 && !refused, e.spoil
	if spoilt {
		e.spoilt--
	}
	e.mu.Unlock()
	if spoilt {
		spoilAnswer(w, r, spoil, e.stallCh)
		return
	}
	w.Header().Set("Request-Id", id)
	if refused {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if e.isDeadly(r) {
		pause.For(r.Context(), e.config.EventInterval)
		end := e.config.OnDeadly
		if end == nil {
			end = e.Crash
		}
		go end() // closes this connection too
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Response-Seal", "seal-"+e.config.ID)
	if plainService {
		pause.For(r.Context(), e.config.EventInterval+delay)
		fmt.Fprintf(w, "tenant=%s", r.Header.Get("Tenant"))
		return
	}
	e.writeStream(w, r)
}

// isDeadly reports whether a request ends the engine.
func (e *Engine) isDeadly(r *http.Request) bool {
	if e.config.Deadly == nil {
		return false
	}
	body, err := io.ReadAll(r.Body)
	return err == nil && e.config.Deadly(string(body), strings.Split(r.Header.Get("Prompt-Prefix"), ","))
}

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request) {
	next := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for ; next <= e.config.EventsPerStream; next++ {
		select {
		case <-e.stallCh:
			e.drip(w, r)
			<-r.Context().Done()
			return
		case <-time.After(e.config.EventInterval):
		}
		fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", next, next)
		if err := controller.Flush(); err != nil {
			return
		}
	}
}
