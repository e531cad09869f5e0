package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// silenceSlots is the number of requests that a group runs at once, and silenceClients
	// the number of clients of each daemon: both groups of the model are full.
	silenceSlots   = 8
	silenceClients = 20
	// silenceDomains is the number of domains of engines.
	silenceDomains = 3
	// silenceEvents is the number of events of a stream, one each silenceGap.
	silenceEvents = 60
	silenceGap    = 40 * time.Millisecond
	// preemptedShare of the streams are preempted in their middle, for preemptedFor.
	// Clients leave a stream after a gap of 2 s.
	preemptedShare = 0.5
	preemptedFor   = 1700 * time.Millisecond
	// beforeSilentStop is the time before each stop of a daemon.
	beforeSilentStop = 15 * time.Second
)

// runSilence lets engines preempt some streams while they are full, and stops the
// daemons in order, one after the other.
func runSilence(b *bed, trouble bool) (int, error) {
	f := newFleet(b)
	defer f.close()
	f.events, f.eventGap, f.slots, f.preemptedFor = silenceEvents, silenceGap, silenceSlots, preemptedFor
	if trouble {
		f.preempted = preemptedShare
	}
	for i := range silenceDomains * perDomain {
		f.start(fmt.Sprintf("i-%04d", i), fmt.Sprintf("d%d", i/perDomain))
	}
	b.store.PublishConfig(1, apiKey)
	if err := b.startDaemons(2); err != nil {
		return couldNot, err
	}
	time.Sleep(5 * time.Second) // groups form
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	var mu sync.Mutex
	sent := make([][]sentStream, len(b.daemons))
	for n, d := range b.daemons {
		for i := range silenceClients {
			clients.Go(func() {
				c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 15 * time.Second}
				for k := 0; ctx.Err() == nil; k++ {
					s := askForStream(c, d, fmt.Sprintf("stream-%d-%d-%d", n+1, i+1, k), silenceEvents)
					mu.Lock()
					sent[n] = append(sent[n], s)
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	stoppedAt := make([]time.Time, len(b.daemons))
	for n, d := range b.daemons {
		time.Sleep(beforeSilentStop)
		stoppedAt[n] = time.Now()
		b.note("SIGTERM for daemon %d", n+1)
		if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return couldNot, err
		}
		select {
		case <-d.done:
			b.note("daemon %d has ended", n+1)
		case <-time.After(afterStop):
			return couldNot, fmt.Errorf("daemon %d has not ended within grace_s", n+1)
		}
		if err := d.start(); err != nil {
			return couldNot, err
		}
	}
	cancel()
	clients.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	lost := 0
	for n := range sent {
		whole, refused, cut := 0, 0, 0
		for _, s := range sent[n] {
			ran := f.runs[s.id]
			switch {
			case s.whole:
				whole++
				continue
			case ran == 0:
				refused++
				continue
			}
			cut++
			across := s.sentAt.Before(stoppedAt[n]) && s.doneAt.After(stoppedAt[n]) && s.doneAt.Before(stoppedAt[n].Add(afterStop))
			if across {
				lost++
			}
			if across || cut <= 5 {
				b.note("daemon %d: %s: sent %.3f s, ended %.3f s, status %d, %d of %d events, ran %d times, preempted %t, across the stop %t: %v", n+1, s.id,
					s.sentAt.Sub(b.began).Seconds(), s.doneAt.Sub(b.began).Seconds(), s.status, s.events, silenceEvents, ran, f.paused[s.id], across, s.err)
			}
		}
		b.note("daemon %d: %d streams whole, %d not run, %d passed on to an engine and not whole", n+1, whole, refused, cut)
	}
	b.note("streams that ran across the stop of their daemon and ended without a complete answer: %d", lost)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
