package main

import (
	"fmt"
	"time"
)

const (
	// revokeBound is the bound revoke_ms of the settings.
	revokeBound = 5 * time.Second
	// cutTime is how long the daemon is cut off.
	cutTime = 12 * time.Second
	// changes is the number of changes of the configuration, changeGap their interval
	// and idleRoutes the number of its routes beside the one in use.
	changes    = 12
	changeGap  = 330 * time.Millisecond
	idleRoutes = 540
)

// runBacklog cuts one daemon off while the operator changes a large configuration a dozen
// times, the last time to take a key away. It checks that no request with the key runs
// that was sent later than revokeBound after the acknowledgement.
func runBacklog(b *bench) outcome {
	s, err := newStore()
	if err != nil {
		return notRun
	}
	defer s.close()
	g, err := newGate(s.addr)
	if err != nil {
		return notRun
	}
	defer g.close()
	cfg := configuration{version: 10, idle: idleRoutes, tenants: []tenant{{"t1", []string{"key-kept-1", "key-taken-1"}}, {"t2", []string{"key-kept-2"}}}}
	b.note("a configuration has %d bytes", len(cfg.encode()))
	s.put(wireName("operator"), "config", cfg.encode())
	executed := &runs{}
	for i := range 3 {
		e, err := startEngine(s, executed, fmt.Sprintf("i-%d", i), service, "z1", 5*time.Millisecond)
		if err != nil {
			return notRun
		}
		defer e.close()
	}
	d, err := newDaemon(b.dir, b.binary, b.ip(1), "z1", 1, g.addr(), smallMachine)
	if err != nil || d.start() != nil {
		return notRun
	}
	defer d.stop()
	if !d.awaitReady(20 * time.Second) {
		return notRun
	}
	c := newClient()
	if x := c.send(d, "key-taken-1"); x.status != 200 {
		b.note("the first request got status %d", x.status)
		return notRun
	}
	b.note("cut begins: %v", b.trouble)
	g.setCut(b.trouble)
	cutAt := time.Now()
	for range changes - 1 {
		time.Sleep(changeGap)
		cfg.version += 3
		cfg.idle++
		s.put(wireName("operator"), "config", cfg.encode())
	}
	time.Sleep(changeGap)
	cfg.version += 3
	cfg.tenants[0].keys = cfg.tenants[0].keys[:1]
	acked := s.put(wireName("operator"), "config", cfg.encode())
	b.note("version %d takes key-taken-1 away; acknowledged", cfg.version)
	time.Sleep(time.Until(acked.Add(revokeBound)))
	stop := make(chan struct{})
	flow := c.flow(d, "key-taken-1", 4, 2*time.Millisecond, stop)
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	g.setCut(false)
	b.note("cut ends")
	time.Sleep(4 * time.Second)
	close(stop)
	flow.Wait()
	return b.judgeBacklog(c, executed, acked)
}

func (b *bench) judgeBacklog(c *client, executed *runs, acked time.Time) outcome {
	ran, statuses, late := executed.byID(), map[int]int{}, 0
	for _, x := range c.list {
		statuses[x.status]++
		after := x.at.Sub(acked)
		if len(ran[x.id]) == 0 || after <= revokeBound {
			continue
		}
		late++
		for _, r := range ran[x.id] {
			b.note("%s sent at %.3f, %d ms after the acknowledgement, ran at %s as %s at %.3f and was answered %d", x.id, b.since(x.at), after.Milliseconds(), r.engine, r.tenant, b.since(r.at), x.status)
		}
	}
	b.note("%d requests sent; answers by status: %v; %d ran with the key that was taken away", len(c.list), statuses, late)
	if statuses[401] == 0 {
		b.note("no request got 401, so the key was never refused")
		return notRun
	}
	if late > 0 {
		return broken
	}
	return held
}
