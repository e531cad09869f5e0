package main

import (
	"sync"
	"time"
)

const (
	// clockStep is by how much the clock of the engine's machine is ahead at first.
	clockStep = 2400 * time.Millisecond
	// clockLife is how long the engine runs before it crashes, and clockDown how long it
	// is down.
	clockLife = 700 * time.Millisecond
	clockDown = 800 * time.Millisecond
	// clockSettled is how long nothing happens before the engine leaves.
	clockSettled = 12 * time.Second
	// clockServes is how long the engine serves on after the store has its notice.
	clockServes = 8 * time.Second
	drainBound  = 2 * time.Second
	clockWork   = 300 * time.Millisecond
)

// runClock lets an engine start while the clock of its machine is ahead, crash, and start
// again under its id when the clock is right. Long after that the engine leaves as
// planned. It checks that no request reaches it later than drain_ms after its notice.
func runClock(b *bench) outcome {
	s, err := newStore()
	if err != nil {
		return notRun
	}
	defer s.close()
	cfg := configuration{version: 10, kind: "non_idempotent", tenants: []tenant{{"t1", []string{"key-1"}}}}
	s.put(wireName("operator"), "config", cfg.encode())
	executed := &runs{}
	for _, name := range []string{service, other} {
		e, err := startEngine(s, executed, "i-sound-"+name, name, "z1", clockWork)
		if err != nil {
			return notRun
		}
		defer e.close()
	}
	var daemons []*daemon
	for i := 1; i <= 2; i++ {
		d, err := newDaemon(b.dir, b.binary, b.ip(i), "z1", i, s.addr, smallMachine)
		if err != nil || d.start() != nil {
			return notRun
		}
		defer d.stop()
		daemons = append(daemons, d)
	}
	c, stop := newClient(), make(chan struct{})
	c.post = true
	for _, d := range daemons {
		if !d.awaitReady(30*time.Second) || c.send(d, "key-1").status != 200 {
			b.note("%s does not serve", d.name)
			return notRun
		}
	}
	ahead := time.Duration(0)
	if b.trouble {
		ahead = clockStep
	}
	e, err := startEngineAt("127.0.0.1:0", time.Now().Add(ahead), s, executed, "i-leaves", service, "z1", clockWork)
	if err != nil {
		return notRun
	}
	b.note("i-leaves started, born %d, its clock is %d ms ahead", e.born, ahead.Milliseconds())
	time.Sleep(clockLife)
	e.close()
	b.note("i-leaves crashed")
	time.Sleep(clockDown)
	e, err = startEngineAt(e.addr, time.Now(), s, executed, "i-leaves", service, "z1", clockWork)
	if err != nil {
		b.note("start again: %v", err)
		return notRun
	}
	b.note("i-leaves started again, born %d, its clock is right", e.born)
	var flows []*sync.WaitGroup
	for _, d := range daemons {
		flows = append(flows, c.flow(d, "key-1", 4, 100*time.Millisecond, stop))
	}
	time.Sleep(clockSettled)
	acked := e.announce("draining")
	b.note("i-leaves is draining; acknowledged")
	time.Sleep(time.Until(acked.Add(clockServes)))
	e.close()
	exit := time.Now()
	e.removeEntry()
	b.note("i-leaves has exited")
	time.Sleep(2 * time.Second)
	close(stop)
	for _, f := range flows {
		f.Wait()
	}
	return b.judgeClock(c, executed, acked, exit)
}

func (b *bench) judgeClock(c *client, executed *runs, acked, exit time.Time) outcome {
	ran, before, late, lost := executed.byID(), 0, 0, 0
	for _, x := range c.list {
		for _, r := range ran[x.id] {
			if r.engine != "i-leaves" {
				continue
			}
			if r.at.Before(acked) {
				before++
			}
			if after := r.at.Sub(acked); after > drainBound {
				late++
				note := ""
				if r.at.Add(clockWork).After(exit) {
					lost++
					note = "; the engine exited while it ran"
				}
				b.note("%s sent to %s at %.3f reached i-leaves %d ms after the acknowledgement and was answered %d%s", x.id, x.daemon, b.since(x.at), after.Milliseconds(), x.status, note)
			}
		}
	}
	b.note("%d requests sent; i-leaves ran %d before its notice and %d later than %d ms after it, %d of which were lost with it", len(c.list), before, late, drainBound.Milliseconds(), lost)
	switch {
	case late > 0:
		return broken
	case before == 0:
		return notRun
	}
	return held
}
