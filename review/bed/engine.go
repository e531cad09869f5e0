package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one execution of a request at an engine.
type run struct {
	id, tenant, engine string
	at                 time.Time
}

// runs holds the executions of all engines.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

// byID returns the executions by request.
func (r *runs) byID() map[string][]run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string][]run{}
	for _, x := range r.list {
		out[x.id] = append(out[x.id], x)
	}
	return out
}

// engine is a stand-in of an engine of a plain service.
type engine struct {
	id, service, zone string
	born              int64
	store             *store
	runs              *runs
	server            *http.Server
	addr              string
	work              time.Duration
	seq               int64
}

func startEngine(s *store, r *runs, id, service, zone string, work time.Duration) (*engine, error) {
	return startEngineAt("127.0.0.1:0", time.Now(), s, r, id, service, zone, work)
}

// startEngineAt starts an engine at an address. clock is the time of day on its machine.
func startEngineAt(addr string, clock time.Time, s *store, r *runs, id, service, zone string, work time.Duration) (*engine, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, service: service, zone: zone, born: clock.UnixMilli(), store: s, runs: r, addr: l.Addr().String(), work: work}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(l) }()
	e.announce("ready")
	return e, nil
}

// close ends the engine and what it runs.
func (e *engine) close() { _ = e.server.Close() }

// removeEntry removes the engine's entry and returns when the store has acknowledged it.
func (e *engine) removeEntry() time.Time { return e.store.put(wireName("engines"), e.id, nil) }

// announce writes the engine's entry and returns when the store has acknowledged it.
func (e *engine) announce(state string) time.Time {
	e.seq++
	entry, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.addr, "zone": e.zone, "version": 1, "slots": 64, "state": state,
		wireName("cold"): 0, "seq": e.seq, "born": e.born,
	})
	return e.store.put(wireName("engines"), e.id, entry)
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	h, id := w.Header(), r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if want := r.Header.Get(wireName("expect")); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set("Instance-Id", e.id)
	if r.URL.Path == healthPath {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	e.runs.add(run{id, r.Header.Get("Tenant"), e.id, time.Now()})
	time.Sleep(e.work)
	h.Set(wireName("seal"), "seal-"+id)
	_, _ = fmt.Fprintf(w, "answer to %s\n", id)
}
