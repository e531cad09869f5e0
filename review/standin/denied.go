package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

const (
	// deniedDaemons and deniedEngines make a small deployment: six groups of two.
	deniedDaemons = 3
	deniedEngines = 12
	// engineBack is how long an engine that has crashed is away.
	engineBack = 3 * time.Second
	// entryLife is three heartbeat intervals, after which the store drops the entry
	// of an engine that has crashed.
	entryLife = 3600 * time.Millisecond
	// soundBefore and soundAfter are the numbers of sound requests before and after
	// those that crash their engines, and soundInterval the time between two.
	soundBefore, soundAfter = 30, 60
	soundInterval           = 400 * time.Millisecond
	deadlyMark              = "crashes"
	// sharedPart is the part of the prompt that all requests of the route have.
	sharedPart = "5c1e07a2:40"
)

// deniedSetup holds the engines of the case, which are started again after a crash.
type deniedSetup struct {
	c  *cluster
	mu sync.Mutex
	n  int
}

// startEngine starts an engine that each deadly request crashes.
func (s *deniedSetup) startEngine(domain string) {
	s.mu.Lock()
	s.n++
	id := fmt.Sprintf("i-%d", s.n)
	s.mu.Unlock()
	var e *site.Engine
	var once sync.Once
	started := make(chan struct{})
	e = site.StartEngine(s.c.store, site.EngineConfig{
		ID: id, Service: "llm", Zone: "dakar-plateau", FabricDomain: domain, Slots: 26, EventsPerStream: 25, EventInterval: 20 * time.Millisecond,
		Deadly: func(body string, _ []string) bool { return strings.Contains(body, deadlyMark) },
		OnDeadly: func() {
			once.Do(func() {
				<-started
				s.c.rec.line("engine %s crashes", id)
				e.Crash()
				go func() {
					time.Sleep(entryLife)
					e.ExpireEntry()
				}()
				time.Sleep(engineBack)
				s.startEngine(domain)
			})
		},
	})
	close(started)
	s.c.rec.line("engine %s starts in domain %s", id, domain)
}

// soundRequest returns a sound request of one of the two tenants; each has a prompt of
// its own behind the part that all requests of the route share.
func soundRequest(n int) site.Request {
	key := []string{"key-a", "key-b"}[n%2]
	return site.Request{
		ID: fmt.Sprintf("sound-%d", n), Method: http.MethodPost, Path: "/draft/1", APIKey: key, Model: "large",
		Body: fmt.Sprintf("prompt %d", n), Parts: []string{sharedPart, fmt.Sprintf("9%07x:60", n)},
	}
}

// crashing returns a request that crashes the engines that run it, unless trouble is
// left out.
func crashing(id, text, part string, trouble bool) site.Request {
	body := text
	if trouble {
		body += " " + deadlyMark
	}
	return site.Request{ID: id, Method: http.MethodPost, Path: "/draft/1", APIKey: "key-a", Model: "large", Body: body, Parts: []string{sharedPart, part}}
}

// playDenied sends sound requests, then two requests of one client that crash the
// engines that run them, and sound requests again.
func playDenied(c *cluster, trouble bool) (bool, error) {
	s := &deniedSetup{c: c}
	for i := range deniedEngines {
		s.startEngine(fmt.Sprintf("d%d", i%2))
	}
	for range deniedDaemons {
		if _, err := c.addDaemon(700); err != nil {
			return false, err
		}
	}
	for _, d := range c.daemons {
		if err := d.waitReady(); err != nil {
			return false, err
		}
	}
	if err := c.waitServing(soundRequest(1_000_000)); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	total, served := 0, 0
	for n := range soundBefore {
		total++
		if resp := c.daemons[n%deniedDaemons].send(soundRequest(n)); resp.Status == http.StatusOK && resp.BodyComplete {
			served++
		}
		time.Sleep(soundInterval / 4)
	}
	c.rec.note("before: %d of %d sound requests served", served, soundBefore)
	if served < soundBefore*9/10 {
		return false, fmt.Errorf("the deployment serves %d of %d before the disruption", served, soundBefore)
	}
	// A client retries a stream that may be resumed after any failure, at another daemon.
	c.daemons[0].send(crashing("first-1", "draft for the first account", "77aa01:60", trouble))
	c.daemons[1].send(crashing("first-2", "draft for the first account", "77aa01:60", trouble))
	c.daemons[2].send(crashing("second-1", "draft for the second account", "77aa02:60", trouble))
	total += 3
	time.Sleep(4 * time.Second) // all machines are in touch, engines are back
	denied, servedAfter, byTenant := 0, 0, [2]int{}
	for n := soundBefore; n < soundBefore+soundAfter; n++ {
		total++
		resp := c.daemons[n%deniedDaemons].send(soundRequest(n))
		switch {
		case resp.Status == http.StatusOK && resp.BodyComplete:
			servedAfter++
		case resp.Status >= 300 && resp.Status < 500 && resp.Status != 408 && resp.Status != 421 && resp.Status != 429:
			denied++
			byTenant[n%2]++
		}
		time.Sleep(soundInterval)
	}
	bound := 5 + float64(total)/500
	c.rec.note("after: of %d sound requests %d served, %d ended with a 4xx of the system (tenant-a %d, tenant-b %d); allowed %.2f of %d requests",
		soundAfter, servedAfter, denied, byTenant[0], byTenant[1], bound, total)
	return float64(denied) > bound, nil
}

// waitServing waits until the deployment serves a request.
func (c *cluster) waitServing(r site.Request) error {
	id := r.ID
	for i := range 100 {
		r.ID = fmt.Sprintf("%s-%d", id, i)
		if resp := c.daemons[i%len(c.daemons)].send(r); resp.Status == http.StatusOK && resp.BodyComplete {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("nothing is served")
}
