package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

const (
	// engineCount is the number of engines of the service, and workTime the time that
	// one of them takes for a request.
	engineCount = 6
	workTime    = 60 * time.Millisecond
	// clientsPerDaemon is the number of clients that each daemon has. Each of them has one
	// connection, and sends one request after the other.
	clientsPerDaemon = 60
	// releaseCount of the engines, half of them, are replaced at a time, each releaseGap; a replaced one
	// serves for drainTime after its notice.
	releaseCount = 3
	releaseGap   = time.Second
	drainTime    = 2200 * time.Millisecond
	// releaseTime is how long engines are replaced.
	releaseTime = 80 * time.Second
	// calmTime is longer than stable_window_ms, so that nothing excuses the daemons after
	// it. Then each of newClients opens a connection and sends a request, and another one
	// when the first has failed.
	calmTime   = 5 * time.Second
	trialTime  = 7 * time.Second
	newClients = 8
	// routeTimeout is timeout_ms of the route. A request without an answer half a second
	// after it breaks CONFIG, unless more than half of those that were unanswered at it
	// have one by then.
	routeTimeout = 5 * time.Second
	lateAfter    = routeTimeout + 500*time.Millisecond
)

// runDescriptors replaces engines under a steady load and then looks whether the daemons
// still take connections.
func runDescriptors(b *bed, trouble bool) (int, error) {
	engines := make([]*site.Engine, engineCount)
	next := 0
	start := func() *site.Engine {
		next++
		return site.StartEngine(b.store, site.EngineConfig{ID: fmt.Sprintf("i-%04d", next), Service: site.PlainService, Zone: "a", Slots: 6, EventInterval: workTime})
	}
	for i := range engines {
		engines[i] = start()
	}
	b.store.PublishConfig(1, apiKey)
	if err := b.startDaemons(1); err != nil {
		return couldNot, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answers := &counts{}
	var clients sync.WaitGroup
	for _, d := range b.daemons {
		for i := range clientsPerDaemon {
			clients.Go(func() { sendSteadily(ctx, d, i, answers) })
		}
	}
	probers := make([]*http.Client, len(b.daemons))
	for i := range probers {
		probers[i] = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	}

	var drains sync.WaitGroup
	replaced := 0
	for end := time.Now().Add(releaseTime); time.Now().Before(end); time.Sleep(releaseGap) {
		if trouble {
			for range releaseCount {
				i := replaced % engineCount
				old := engines[i]
				engines[i] = start()
				old.Drain()
				drains.Go(func() {
					time.Sleep(drainTime)
					old.Close()
				})
				replaced++
			}
		}
		for i, d := range b.daemons {
			b.note("daemon %d: %d descriptors, ready %d; engines replaced %d; answers so far %s", i+1, d.descriptors(), d.probe(probers[i]), replaced, answers)
		}
	}
	drains.Wait()
	b.note("no engine is replaced from now on")
	time.Sleep(calmTime)
	status := held
	for i, d := range b.daemons {
		if b.tryNewConnections(i, d, probers[i], answers) {
			status = broken
		}
		b.fetchMetrics(i, d, answers)
	}
	cancel()
	clients.Wait()
	for _, e := range engines {
		e.Close()
	}
	return status, nil
}

// tryNewConnections lets newClients send requests on new connections for trialTime, and
// reports whether more than half of those that were unanswered at their route's timeout
// had no answer half a second later.
func (b *bed) tryNewConnections(n int, d *daemon, prober *http.Client, steady *counts) bool {
	b.note("daemon %d: %d descriptors; %d clients open new connections; answers so far %s", n+1, d.descriptors(), newClients, steady)
	var tries sync.WaitGroup
	var answered, late, never atomic.Int64
	end := time.Now().Add(trialTime)
	for i := range newClients {
		tries.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				begun := time.Now()
				status, err := b.tryOnce(d, fmt.Sprintf("new-%d-%d", i, k))
				took := time.Since(begun)
				switch {
				case status == 0 && took >= lateAfter:
					never.Add(1)
				case status > 0 && took >= routeTimeout:
					late.Add(1)
				case status > 0:
					answered.Add(1)
				}
				if k < 2 {
					b.note("daemon %d: request on new connection %d of client %d: status %d, error %v", n+1, k+1, i+1, status, err)
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	saysReady := 0
	for time.Now().Before(end) {
		kept, anew := d.probe(prober), d.probe(fresh)
		b.note("daemon %d: readiness asked on the kept connection %d, on a new one %d; %d descriptors", n+1, kept, anew, d.descriptors())
		if kept == http.StatusOK {
			saysReady++
		}
		time.Sleep(time.Second)
	}
	tries.Wait()
	b.note("daemon %d: of the requests on new connections %d were answered by the route's timeout, %d within 0.5 s of it, %d not; it said %d times on the kept connection that it is ready; answers so far %s",
		n+1, answered.Load(), late.Load(), never.Load(), saysReady, steady)
	return never.Load() > late.Load()
}

// fetchMetrics fetches the daemon's metrics, as the platform does each 5 s while an incident
// is examined, and notes whether the process ends by that.
func (b *bed) fetchMetrics(n int, d *daemon, steady *counts) {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
	resp, err := c.Get("http://" + net.JoinHostPort(d.ip, strconv.Itoa(metricsPort)) + "/metrics")
	if err == nil {
		_ = resp.Body.Close()
	}
	b.note("daemon %d: its metrics are fetched: error %v", n+1, err)
	select {
	case <-d.done:
		b.note("daemon %d: the process has ended by itself; answers so far %s", n+1, steady)
	case <-time.After(2 * time.Second):
		b.note("daemon %d: the process goes on", n+1)
	}
}

// tryOnce sends one request on a new connection and returns the status of the answer, or
// 0 if there is none by lateAfter.
func (b *bed) tryOnce(d *daemon, id string) (int, error) {
	conn, err := net.DialTimeout("tcp", d.frontAddr(), time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	r, err := site.NewHTTPRequest(context.Background(), d.frontAddr(), site.Request{ID: id, Method: http.MethodGet, Path: site.IdempotentPath, APIKey: apiKey})
	if err != nil {
		return 0, err
	}
	_ = conn.SetDeadline(time.Now().Add(lateAfter))
	if err := r.Write(conn); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}

// sendSteadily sends one request after the other on one connection until ctx ends.
func sendSteadily(ctx context.Context, d *daemon, client int, answers *counts) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 6 * time.Second}
	for k := 0; ctx.Err() == nil; k++ {
		resp, err := site.Send(ctx, c, d.frontAddr(), site.Request{ID: "steady-" + strconv.Itoa(client) + "-" + strconv.Itoa(k), Method: http.MethodGet, Path: site.IdempotentPath, APIKey: apiKey})
		if ctx.Err() != nil {
			return
		}
		answers.add(resp.Status)
		if err != nil || resp.Status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// counts holds the number of answers by status; 0 stands for none.
type counts struct{ ok, unavailable, other, none atomic.Int64 }

func (c *counts) add(status int) {
	switch status {
	case http.StatusOK:
		c.ok.Add(1)
	case http.StatusServiceUnavailable:
		c.unavailable.Add(1)
	case 0:
		c.none.Add(1)
	default:
		c.other.Add(1)
	}
}

// String returns the counts as they appear in the record.
func (c *counts) String() string {
	return fmt.Sprintf("200: %d, 503: %d, others: %d, none: %d", c.ok.Load(), c.unavailable.Load(), c.other.Load(), c.none.Load())
}
