package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// stormSmall and stormLarge are the numbers of machines with the small and the large
	// links of the grown sites.
	stormSmall = 90
	stormLarge = 4
	// stormChanges is the number of changes of the configuration, one each stormGap.
	stormChanges = 12
	stormGap     = 330 * time.Millisecond
	stormRoutes  = 500
	// stormSettled is how long nothing is disrupted before the changes.
	stormSettled = 12 * time.Second
	// stormWatch is how long requests are sent after the first change.
	stormWatch = 25 * time.Second
)

// runStorm lets a fleet lose its machines with the largest links, and changes the
// configuration in quick succession long after that; the last change moves a route to
// another service. It checks that the route has moved within config_apply_ms.
func runStorm(b *bench) outcome {
	s, err := newStore()
	if err != nil {
		return notRun
	}
	defer s.close()
	cfg := configuration{version: 10, idle: stormRoutes, public: true, tenants: []tenant{{"t1", []string{"key-1"}}}}
	b.note("a configuration has %d bytes", len(cfg.encode()))
	s.put(wireName("operator"), "config", cfg.encode())
	executed := &runs{}
	for i := range 4 {
		e, err := startEngine(s, executed, fmt.Sprintf("i-%d", i), [...]string{service, other}[i/2], "z1", 5*time.Millisecond)
		if err != nil {
			return notRun
		}
		defer e.close()
	}
	var daemons []*daemon
	for i := range stormSmall + stormLarge {
		m := grownMachine
		if i >= stormSmall {
			m = largeGrownMachine
		}
		d, err := newDaemon(b.dir, b.binary, b.ip(i), "z1", i, s.addr, m)
		if err != nil || d.start() != nil {
			return notRun
		}
		defer d.stop()
		daemons = append(daemons, d)
	}
	for _, d := range daemons {
		if !d.awaitReady(30 * time.Second) {
			b.note("%s is not ready", d.name)
			return notRun
		}
	}
	b.note("%d daemons are ready", len(daemons))
	if b.trouble {
		for _, d := range daemons[stormSmall:] {
			d.signal(syscall.SIGKILL)
		}
		b.note("killed the %d machines with large links", stormLarge)
	}
	time.Sleep(stormSettled)
	c, stop := newClient(), make(chan struct{})
	var flows []*sync.WaitGroup
	for _, d := range daemons[:stormSmall] {
		flows = append(flows, c.flow(d, "key-1", 1, 100*time.Millisecond, stop))
	}
	var moved time.Time
	begun := time.Now()
	for i := range stormChanges {
		time.Sleep(time.Until(begun.Add(time.Duration(i) * stormGap)))
		cfg.version += 3
		cfg.idle++
		if i == stormChanges-1 {
			cfg.target = other
		}
		acked := s.put(wireName("operator"), "config", cfg.encode())
		if i == stormChanges-1 {
			moved = acked
			b.note("version %d moves the route from %s to %s; acknowledged", cfg.version, service, other)
		}
	}
	b.note("version %d is the last one", cfg.version)
	time.Sleep(time.Until(begun.Add(stormWatch)))
	close(stop)
	for _, f := range flows {
		f.Wait()
	}
	return b.judgeStorm(c, executed, moved)
}

// judgeStorm checks that no request that was sent later than config_apply_ms after the
// acknowledgement ran at the old service.
func (b *bench) judgeStorm(c *client, executed *runs, acked time.Time) outcome {
	bound := time.Duration(grownMachine.configApplyMS) * time.Millisecond
	ran, old, atNew, last, statuses := executed.byID(), map[string]int{}, 0, time.Duration(0), map[int]int{}
	for _, x := range c.list {
		statuses[x.status]++
		for _, r := range ran[x.id] {
			after := x.at.Sub(acked)
			switch {
			case r.engine == "i-2" || r.engine == "i-3":
				atNew++
			case after > bound:
				old[x.daemon]++
				b.note("%s sent to %s at %.3f, %d ms after the acknowledgement, ran at %s of the old service at %.3f and was answered %d", x.id, x.daemon, b.since(x.at), after.Milliseconds(), r.engine, b.since(r.at), x.status)
				last = max(last, after)
			}
		}
	}
	late := 0
	for name, n := range old {
		late += n
		b.note("%s sent %d requests to the old service that were sent later than %d ms after the acknowledgement", name, n, bound.Milliseconds())
	}
	b.note("%d requests sent, answers by status: %v; %d ran at the new service, %d at the old one after the bound, the last one sent %d ms after the acknowledgement", len(c.list), statuses, atNew, late, last.Milliseconds())
	switch {
	case late > 0:
		return broken
	case atNew == 0:
		return notRun
	}
	return held
}
