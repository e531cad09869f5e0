package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	deadlyEngines = 20
	// killDelay is the time after which a process that was killed is started again.
	killDelay = time.Second
	// stableWindow is the bound stable_window_ms, and touchMargin is added to it.
	stableWindow = 3 * time.Second
	touchMargin  = time.Second
	deadlyClient = "the same draft again"
)

// playDeadly lets a request crash its engines until all daemons refuse it, kills the
// two daemons that read the store for all, and lets the request come again.
func playDeadly(c *cluster, trouble bool) (bool, error) {
	s := &deniedSetup{c: c}
	for i := range deadlyEngines {
		s.startEngine(fmt.Sprintf("d%d", i%2))
	}
	for _, mbps := range []float64{700, 600, 300, 200} {
		if _, err := c.addDaemon(mbps); err != nil {
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
	for i := range 4 {
		c.sendDeadly(c.daemons[2+i%2], fmt.Sprintf("deadly-early-%d", i))
	}
	time.Sleep(6 * time.Second)
	refused := 0
	for i, d := range c.daemons {
		if c.sendDeadly(d, fmt.Sprintf("deadly-check-%d", i)) == 422 {
			refused++
		}
	}
	third := c.thirdRun()
	if third.IsZero() || refused != len(c.daemons) {
		return false, fmt.Errorf("the request is refused by %d of %d daemons after its first crashes", refused, len(c.daemons))
	}
	c.rec.note("the request has crashed 3 engines, all daemons refuse it")
	readers := c.daemons[:2]
	if trouble {
		for _, d := range readers {
			d.signal(syscall.SIGKILL)
		}
		time.Sleep(killDelay)
		for _, d := range readers {
			if err := d.start(); err != nil {
				return false, err
			}
		}
	}
	for _, d := range readers {
		if err := d.waitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(stableWindow + touchMargin)
	// The request comes again at any machine, here at two at the same time.
	var wg sync.WaitGroup
	for i, d := range readers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range 6 {
				c.sendDeadly(d, fmt.Sprintf("deadly-late-%d-%d", i, n))
				time.Sleep(300 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	late := 0
	for _, x := range c.store.Executions() {
		if strings.HasPrefix(x.RequestID, "deadly-") {
			isLate := x.At.Sub(third) > stableWindow
			c.rec.line("%s ran %s, late %t", x.EngineID, x.RequestID, isLate)
			if isLate {
				late++
			}
		}
	}
	c.rec.note("the request reached engines %d times later than %v after its third crash; allowed 3", late, stableWindow)
	return late > 3, nil
}

// sendDeadly sends the request that crashes its engines, and returns the status.
func (c *cluster) sendDeadly(d *daemon, id string) int {
	return d.send(crashing(id, deadlyClient, "77aa01:60", true)).Status
}

// thirdRun returns when the request began to run for the third time, or zero.
func (c *cluster) thirdRun() time.Time {
	n := 0
	for _, x := range c.store.Executions() {
		if strings.HasPrefix(x.RequestID, "deadly-") {
			if n++; n == 3 {
				return x.At
			}
		}
	}
	return time.Time{}
}
