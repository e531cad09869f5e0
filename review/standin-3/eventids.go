package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

const (
	// tokensPerEvent is the number of tokens in an event, by the sheet. An engine whose
	// ids count tokens raises them by as many with each event.
	tokensPerEvent = 7
	// idEvents is the number of events of a stream, one each idGap.
	idEvents = 20
	idGap    = 20 * time.Millisecond
	// idClients is the number of clients of each daemon, each with one kept connection.
	idClients = 4
	// beforeStop is how long they send before a daemon is stopped in order, and afterStop
	// is grace_s.
	beforeStop = 8 * time.Second
	afterStop  = 8 * time.Second
)

// sentStream is a stream that a client has asked for.
type sentStream struct {
	id             string
	sentAt, doneAt time.Time
	status, events int
	whole          bool
	err            error
}

// runEventIDs lets engines number events by tokens, and stops one of the daemons in order.
func runEventIDs(b *bed, trouble bool) (int, error) {
	f := newFleet(b)
	defer f.close()
	f.events, f.eventGap = idEvents, idGap
	if trouble {
		f.idStep = tokensPerEvent
	}
	for i := range site.LargeGroupSize + site.SmallGroupSize {
		f.start(fmt.Sprintf("i-%04d", i), "d0")
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
		for i := range idClients {
			clients.Go(func() {
				c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 10 * time.Second}
				for k := 0; ctx.Err() == nil; k++ {
					s := askForStream(c, d, fmt.Sprintf("stream-%d-%d-%d", n+1, i+1, k), idEvents)
					mu.Lock()
					sent[n] = append(sent[n], s)
					mu.Unlock()
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(beforeStop)
	stoppedAt := time.Now()
	b.note("SIGTERM for daemon 1")
	if err := b.daemons[0].cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return couldNot, err
	}
	select {
	case <-b.daemons[0].done:
		b.note("daemon 1 has ended")
	case <-time.After(afterStop):
		b.note("daemon 1 has not ended within grace_s")
	}
	cancel()
	clients.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	lost := 0
	for n := range sent {
		whole, cut := 0, 0
		for _, s := range sent[n] {
			ran := f.runs[s.id]
			if s.whole {
				whole++
			} else if ran > 0 {
				cut++
				if cut <= 10 {
					b.note("daemon %d: %s: status %d, %d of %d events, ran %d times: %v", n+1, s.id, s.status, s.events, idEvents, ran, s.err)
				}
			}
			// The sender of a stream that runs across the stop, by the machine that stops.
			if n == 0 && ran > 0 && !s.whole && s.sentAt.Before(stoppedAt.Add(3*time.Second)) && s.doneAt.After(stoppedAt) && s.doneAt.Before(stoppedAt.Add(afterStop+time.Second)) {
				lost++
			}
		}
		b.note("daemon %d: %d streams whole, %d passed on to an engine and not whole", n+1, whole, cut)
	}
	b.note("streams of daemon 1 that ran across its stop and ended without a complete answer: %d", lost)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}

// askForStream sends a request for a stream and reads the answer.
func askForStream(c *http.Client, d *daemon, id string, events int) sentStream {
	s := sentStream{id: id, sentAt: time.Now()}
	resp, err := site.Send(context.Background(), c, d.frontAddr(), site.Request{ID: id, Method: http.MethodPost, Path: site.StreamPath, Model: site.LargeModel, APIKey: apiKey})
	s.doneAt, s.status, s.err = time.Now(), resp.Status, err
	s.events = strings.Count(resp.Body, "data: ")
	s.whole = err == nil && resp.Status == http.StatusOK && resp.BodyComplete && s.events == events
	return s
}
