package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

const (
	coldDaemons = 2
	coldEngines = 2
	// coldTime and coldPerS are cold_s and cold_per_s of the service.
	coldTime = 8 * time.Second
	coldPerS = 4.0
	// coldBound is cold_per_s x cold_overage + cold_slack, and crashRate, in requests
	// a second, is well above what a cold engine bears.
	coldBound = coldPerS*1.5 + 5
	crashRate = 3 * coldBound
	// crashTime is how long an engine that has crashed is away.
	crashTime = 2 * time.Second
	// outage is how long the store is down.
	outage = 8 * time.Second
	// coldAfter is the time from the start of the outage until the engines turn cold.
	coldAfter    = time.Second
	usualLoad    = 4 * time.Second
	coldInterval = 30 * time.Millisecond
	coldWork     = 60 * time.Millisecond
)

// coldEngine is an engine that turns cold, and starts again under its id and address
// when it has crashed.
type coldEngine struct {
	c      *cluster
	id     string
	server *httptest.Server
	addr   string

	mu        sync.Mutex
	away      bool
	back      chan struct{} // closed when the engine is back
	born      time.Time
	coldUntil time.Time
	seq       int
	// arrivals are the times at which requests arrived while the engine was cold.
	arrivals []time.Time
	running  map[string]bool
	// cut holds the requests that the engine was running when it crashed.
	cut     []string
	crashes int
}

func startColdEngine(c *cluster, n int) *coldEngine {
	e := &coldEngine{c: c, id: fmt.Sprintf("desk-%d", n), born: time.Now(), running: map[string]bool{}}
	e.server = httptest.NewServer(e)
	e.addr = strings.TrimPrefix(e.server.URL, "http://")
	e.announce()
	return e
}

// announce writes the engine's entry to the store.
func (e *coldEngine) announce() {
	e.mu.Lock()
	e.seq++
	entry := map[string]any{
		"service": "desk", "address": e.addr, "zone": "dakar-plateau", "version": "v1", "slots": 26, "state": "ready",
		names["cold"]: max(0, time.Until(e.coldUntil).Milliseconds()), "seq": e.seq, "born": e.born.UnixMilli(), "stage": "combined", "models": []any{},
	}
	e.mu.Unlock()
	raw, err := json.Marshal(entry)
	if err != nil {
		panic(err) // can't happen: the entry consists of basic types
	}
	e.c.store.Put(names["topic_engines"], e.id, raw)
}

// turnCold makes the engine cold from now on. It writes that to the store if tell is
// set; while the store is down it cannot.
func (e *coldEngine) turnCold(tell bool) {
	e.mu.Lock()
	e.coldUntil = time.Now().Add(coldTime)
	e.mu.Unlock()
	e.c.rec.line("%s is cold for %v", e.id, coldTime)
	if tell {
		e.announce()
	}
}

// comeBack starts the engine again after a crash, under its id, cold. The store is down,
// or the engine writes its entry at its next heartbeat.
func (e *coldEngine) comeBack() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born, e.coldUntil, e.seq, e.away = time.Now(), time.Now().Add(coldTime), 0, false
	close(e.back)
	e.c.rec.line("%s is back, cold", e.id)
}

// ServeHTTP runs a request, or is silent while the engine is away.
func (e *coldEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	e.mu.Lock()
	if e.away {
		back := e.back
		e.mu.Unlock()
		select {
		case <-back:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	if now.Before(e.coldUntil) {
		e.arrivals = append(e.arrivals, now)
		e.c.rec.line("%s gets %s while it is cold", e.id, id)
		if float64(inLastSecond(e.arrivals, now)) > crashRate {
			e.crash()
			e.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	e.running[id] = true
	e.mu.Unlock()
	time.Sleep(coldWork)
	e.mu.Lock()
	delete(e.running, id)
	e.mu.Unlock()
	w.Header().Set("Request-Id", id)
	w.Header().Set(names["seal"], "seal-"+id)
	_, _ = fmt.Fprint(w, "answer to ", id) // fails if the daemon has left
}

// crash ends the engine under too many requests. The caller holds e.mu.
func (e *coldEngine) crash() {
	e.crashes++
	for id := range e.running {
		e.cut = append(e.cut, id)
	}
	clear(e.running)
	e.away, e.back = true, make(chan struct{})
	e.c.rec.line("%s crashes: too many requests for a cold engine", e.id)
	go func() {
		e.server.CloseClientConnections()
		time.Sleep(crashTime)
		e.comeBack()
	}()
}

func inLastSecond(times []time.Time, now time.Time) int {
	n := 0
	for _, t := range times {
		if now.Sub(t) < time.Second {
			n++
		}
	}
	return n
}

// most returns the largest number of arrivals in one second.
func most(times []time.Time) int {
	out := 0
	for _, t := range times {
		out = max(out, inLastSecond(times[:slices.Index(times, t)+1], t))
	}
	return out
}

// coldLoad sends requests of a public route to a daemon.
func coldLoad(d *daemon, stop <-chan struct{}, wg *sync.WaitGroup, note func(id string, r site.Response)) {
	defer wg.Done()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(coldInterval):
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := site.Request{ID: fmt.Sprintf("%s-%d", d.Name, n), Method: http.MethodGet, Path: "/hours/1"}
			if n%4 == 0 {
				r.Method, r.Path = http.MethodPost, "/visit/1"
			}
			note(r.ID, d.send(r))
		}()
	}
}

// playCold lets the engines turn cold while the store is down.
func playCold(c *cluster, trouble bool) (bool, error) {
	var engines []*coldEngine
	for n := range coldEngines {
		engines = append(engines, startColdEngine(c, n+1))
	}
	for range coldDaemons {
		if _, err := c.addDaemon(700); err != nil {
			return false, err
		}
	}
	for _, d := range c.daemons {
		if err := d.waitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	status, byID := map[int]int{}, map[string]int{}
	for _, d := range c.daemons {
		wg.Add(1)
		go coldLoad(d, stop, &wg, func(id string, r site.Response) {
			mu.Lock()
			defer mu.Unlock()
			status[r.Status]++
			byID[id] = r.Status
		})
	}
	time.Sleep(usualLoad)
	if trouble {
		c.rec.note("the store is down for %v", outage)
		for _, d := range c.daemons {
			d.gate.turnedAway.Store(true)
		}
	}
	time.Sleep(coldAfter)
	c.rec.note("the engines turn cold")
	for _, e := range engines {
		e.turnCold(!trouble)
	}
	time.Sleep(outage - coldAfter)
	for _, d := range c.daemons {
		d.gate.turnedAway.Store(false)
	}
	for _, e := range engines {
		e.announce()
	}
	time.Sleep(usualLoad)
	close(stop)
	wg.Wait()
	isBroken, lost := false, 0
	for _, e := range engines {
		e.mu.Lock()
		n := most(e.arrivals)
		for _, id := range e.cut {
			if byID[id] != http.StatusOK {
				lost++
			}
		}
		c.rec.note("%s: at most %d requests in one second while cold, allowed %.0f; crashed %d times", e.id, n, coldBound, e.crashes)
		e.mu.Unlock()
		isBroken = isBroken || float64(n) > coldBound
	}
	c.rec.note("answers by status: %v; requests cut off at work by these crashes and not answered with success: %d", status, lost)
	return isBroken, nil
}
