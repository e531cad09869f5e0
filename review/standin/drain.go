package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

const (
	drainEngines = 3
	// storeDown is how long the store turns all machines away, and lastServed how much
	// longer it turns the third machine away.
	storeDown  = 4500 * time.Millisecond
	lastServed = 800 * time.Millisecond
	// calm is the time from the end of the outage to the restart.
	calm = 6 * time.Second
	// restartDelay is the time from the exit of a process to its start.
	restartDelay = 2 * time.Second
	// leaveAt is the time from the exit of the process to the leaving of an engine.
	leaveAt = 2900 * time.Millisecond
	// drainBound is the bound drain_ms.
	drainBound = 2 * time.Second
	// servesOn is how long the engine that left serves before it exits.
	servesOn = 12 * time.Second
	// workTime is how long an engine of the plain service works on a request.
	workTime      = 150 * time.Millisecond
	drainInterval = 60 * time.Millisecond
)

// sentRequest is a request that a client sent to a daemon.
type sentRequest struct {
	daemon string
	status int
	kind   string
}

// drainLoad sends requests to all daemons until it is stopped.
type drainLoad struct {
	c    *cluster
	mu   sync.Mutex
	sent map[string]sentRequest
	stop chan struct{}
	wg   sync.WaitGroup
}

func (l *drainLoad) run(d *daemon) {
	defer l.wg.Done()
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(drainInterval):
		}
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			kind, method, path := "idempotent", http.MethodGet, "/look/1"
			if n%2 == 0 {
				kind, method, path = "non_idempotent", http.MethodPost, "/book/1"
			}
			id := fmt.Sprintf("%s-%d", d.Name, n)
			l.mu.Lock()
			l.sent[id] = sentRequest{daemon: d.Name, kind: kind}
			l.mu.Unlock()
			resp := d.send(site.Request{ID: id, Method: method, Path: path, APIKey: "key-a", Body: fmt.Sprint("item ", id)})
			l.mu.Lock()
			l.sent[id] = sentRequest{daemon: d.Name, status: resp.Status, kind: kind}
			l.mu.Unlock()
		}()
	}
}

// playDrain lets the store be down, then restarts one daemon as planned work, while an
// engine leaves whose entry is removed without a draining report.
func playDrain(c *cluster, trouble bool) (bool, error) {
	var engines []*site.Engine
	for i := range drainEngines {
		engines = append(engines, site.StartEngine(c.store, site.EngineConfig{
			ID: fmt.Sprintf("app-%d", i+1), Service: "ledger", Zone: "dakar-plateau", Slots: 26, EventInterval: workTime,
		}))
	}
	for _, mbps := range []float64{700, 600, 500} {
		if _, err := c.addDaemon(mbps); err != nil {
			return false, err
		}
	}
	for _, d := range c.daemons {
		if err := d.waitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	load := &drainLoad{c: c, sent: map[string]sentRequest{}, stop: make(chan struct{})}
	for _, d := range c.daemons {
		load.wg.Add(1)
		go load.run(d)
	}
	time.Sleep(3 * time.Second)
	restarted, calmDaemon := c.daemons[0], c.daemons[2]
	if trouble {
		c.rec.note("the store turns all machines away")
		for _, d := range c.daemons {
			d.gate.turnedAway.Store(true)
		}
		time.Sleep(storeDown)
		c.daemons[0].gate.turnedAway.Store(false)
		c.daemons[1].gate.turnedAway.Store(false)
		time.Sleep(lastServed)
		c.daemons[2].gate.turnedAway.Store(false)
		c.rec.note("the store serves all machines")
		time.Sleep(calm)
		<-restarted.signal(syscall.SIGTERM)
	}
	exit := time.Now()
	go func() {
		time.Sleep(restartDelay)
		if trouble && !c.stopped.Load() {
			if err := restarted.start(); err != nil {
				c.rec.note("start: %v", err)
			}
		}
	}()
	time.Sleep(time.Until(exit.Add(leaveAt)))
	engines[0].ExpireEntry()
	left := time.Now()
	c.rec.note("app-1 leaves: the store has removed its entry, and it serves %v more", servesOn)
	time.Sleep(time.Until(left.Add(servesOn)))
	engines[0].Crash()
	c.rec.note("app-1 exits")
	time.Sleep(3 * time.Second)
	close(load.stop)
	load.wg.Wait()
	late, lost := map[string]int{}, 0
	last := map[string]float64{}
	for _, x := range c.store.Executions() {
		s := load.sent[x.RequestID]
		if x.EngineID != "app-1" || x.At.Before(left) {
			continue
		}
		after := x.At.Sub(left)
		c.rec.line("app-1 ran %s of %s, %.3f s after it left; the client got %d", x.RequestID, s.daemon, after.Seconds(), s.status)
		last[s.daemon] = max(last[s.daemon], after.Seconds())
		if after > drainBound {
			late[s.daemon]++
			if s.status != http.StatusOK && s.kind == "non_idempotent" {
				lost++
			}
		}
	}
	c.rec.note("requests that reached app-1 later than %v after its leaving, by daemon: %v; the last of each daemon, s: %v; not answered with success: %d that must not be repeated",
		drainBound, late, last, lost)
	// Only the machine that nothing has happened to since the outage counts.
	return late[calmDaemon.Name] > 0, nil
}
