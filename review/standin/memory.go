package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

const (
	memoryDaemons = 3
	memoryEngines = 3
	// bodyBytes is max_body_bytes of the configuration, clientBytesPerS the rate of a
	// client's line, 5 Mbit/s.
	bodyBytes       = 4 << 20
	clientBytesPerS = 5e6 / 8
	writeBytes      = 32 << 10
	// uploadRate is the usual number of large requests a second at each daemon,
	// burstFactor by how much more come in a burst, and burstLength its length.
	uploadRate  = 6.0
	burstFactor = 2.5
	burstLength = 10 * time.Second
	// smallInterval is the time between two small requests at each daemon.
	smallInterval = 60 * time.Millisecond
	engineWork    = 400 * time.Millisecond
	answerBytes   = 800
	// usualTime is for how long the usual traffic runs before the burst, and
	// afterTime how long the case runs on.
	usualTime = 12 * time.Second
	afterTime = 12 * time.Second
	// memoryInterval is the interval at which the platform looks at the processes.
	memoryInterval = 20 * time.Millisecond
	processDelay   = time.Second
)

// uploadEngine is an engine of the plain service that reads whole requests.
type uploadEngine struct {
	id     string
	server *httptest.Server
	log    *runLog
}

// runLog holds the requests that engines have run, and those answered in full.
type runLog struct {
	rec *record
	mu  sync.Mutex
	// startedAt holds when a request began to run, by id.
	startedAt map[string]time.Time
}

func startUploadEngine(c *cluster, n int, runs *runLog) error {
	e := &uploadEngine{id: fmt.Sprintf("app-%d", n), log: runs}
	e.server = httptest.NewServer(e)
	entry := map[string]any{
		"service": "ledger", "address": strings.TrimPrefix(e.server.URL, "http://"), "zone": "dakar-plateau", "version": "v1", "slots": 26,
		"state": "ready", names["cold"]: 0, "seq": 1, "born": time.Now().UnixMilli(), "stage": "combined", "models": []any{},
	}
	raw, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	c.store.Put(names["topic_engines"], e.id, raw)
	return nil
}

// ServeHTTP runs a request.
func (e *uploadEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.Header.Get(names["expect"]) != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.log.mu.Lock()
	e.log.startedAt[id] = time.Now()
	e.log.mu.Unlock()
	e.log.rec.line("%s runs %s", e.id, id)
	time.Sleep(engineWork)
	w.Header().Set(names["seal"], "seal-"+id)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = w.Write(bytes.Repeat([]byte("x"), answerBytes)) // fails if the daemon has ended
}

// pacedBody is a request body that a client sends at the rate of its line.
type pacedBody struct {
	left  int
	start time.Time
	sent  int
}

func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if b.sent == 0 {
		b.start = time.Now()
	}
	n := min(len(p), b.left, writeBytes)
	time.Sleep(time.Until(b.start.Add(time.Duration(float64(b.sent) / clientBytesPerS * float64(time.Second)))))
	for i := range p[:n] {
		p[i] = 'x'
	}
	b.left -= n
	b.sent += n
	return n, nil
}

func (b *pacedBody) Close() error { return nil }

// memoryLoad sends large and small requests to all daemons.
type memoryLoad struct {
	c      *cluster
	stop   chan struct{}
	bursts atomic.Bool
	wg     sync.WaitGroup
	mu     sync.Mutex
	// lost holds the requests on kept connections that had no answer, with the time of
	// the end of their connections.
	lost  map[string]time.Time
	ended map[string]int
}

// uploads sends large requests that may be repeated, one after the other.
func (l *memoryLoad) uploads(d *daemon) {
	defer l.wg.Done()
	for n := 0; ; n++ {
		rate := uploadRate
		if l.bursts.Load() {
			rate *= burstFactor
		}
		select {
		case <-l.stop:
			return
		case <-time.After(time.Duration(float64(time.Second) / rate)):
		}
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.upload(d, fmt.Sprintf("%s-large-%d", d.Name, n))
		}()
	}
}

func (l *memoryLoad) upload(d *daemon, id string) {
	r, err := site.NewHTTPRequest(l.c.context(), d.addr(), site.Request{ID: id, Method: http.MethodPost, Path: "/look/1", APIKey: "key-a"})
	if err != nil {
		return
	}
	r.Body, r.ContentLength, r.GetBody = &pacedBody{left: bodyBytes}, bodyBytes, nil
	l.do(d, r, id)
}

// do sends a request, reads its answer and records both.
func (l *memoryLoad) do(d *daemon, r *http.Request, id string) {
	sent := time.Since(l.c.rec.start).Seconds()
	status, what, reused := 0, "", false
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }}
	resp, err := d.client.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err == nil {
		status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if err != nil {
		what = err.Error()
	}
	l.c.rec.line("request %s, sent %.3f on a kept connection %t: %d %s", id, sent, reused, status, what)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil && reused {
		l.lost[id] = time.Now()
	}
	if err != nil {
		status = 0
	}
	l.ended[strings.Split(id, "-")[4]+" "+strconv.Itoa(status)]++
}

// small sends small requests that must not be repeated, over kept connections.
func (l *memoryLoad) small(d *daemon) {
	defer l.wg.Done()
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(smallInterval):
		}
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			id := fmt.Sprintf("%s-small-%d", d.Name, n)
			r, err := site.NewHTTPRequest(l.c.context(), d.addr(), site.Request{ID: id, Method: http.MethodPost, Path: "/book/1", APIKey: "key-b", Body: id})
			if err == nil {
				r.GetBody = nil
				l.do(d, r, id)
			}
		}()
	}
}

// anonymousMB returns the memory of a process that belongs to no file.
func anonymousMB(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.ParseFloat(strings.Fields(value)[0], 64)
			if err == nil {
				return kb / 1024
			}
		}
	}
	return 0
}

// guard plays the platform: it kills a process that exceeds its memory, and starts it
// again after a short delay.
func (l *memoryLoad) guard(d *daemon, peak *float64, kills *int) {
	defer l.wg.Done()
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(memoryInterval):
		}
		mb := anonymousMB(d.pid())
		*peak = max(*peak, mb)
		if mb <= float64(d.MemoryMB) {
			continue
		}
		*kills++
		l.c.rec.note("%s has %.0f MB, more than %d: the platform kills it", d.Name, mb, d.MemoryMB)
		<-d.signal(syscall.SIGKILL)
		time.Sleep(processDelay)
		if l.c.stopped.Load() {
			return
		}
		if err := d.start(); err != nil {
			l.c.rec.note("start: %v", err)
			return
		}
	}
}

// playMemory sends large requests at the usual rate, and more of them for some seconds.
func playMemory(c *cluster, trouble bool) (bool, error) {
	runs := &runLog{rec: c.rec, startedAt: map[string]time.Time{}}
	for n := range memoryEngines {
		if err := startUploadEngine(c, n+1, runs); err != nil {
			return false, err
		}
	}
	for range memoryDaemons {
		if _, err := c.addDaemon(700); err != nil {
			return false, err
		}
	}
	l := &memoryLoad{c: c, stop: make(chan struct{}), lost: map[string]time.Time{}, ended: map[string]int{}}
	peaks, kills := make([]float64, memoryDaemons), make([]int, memoryDaemons)
	for i, d := range c.daemons {
		if err := d.waitReady(); err != nil {
			return false, err
		}
		l.wg.Add(3)
		go l.uploads(d)
		go l.small(d)
		go l.guard(d, &peaks[i], &kills[i])
	}
	time.Sleep(usualTime)
	if trouble {
		c.rec.note("burst: %.1f times the large requests for %v", burstFactor, burstLength)
		l.bursts.Store(true)
	}
	time.Sleep(burstLength)
	l.bursts.Store(false)
	time.Sleep(afterTime)
	close(l.stop)
	l.wg.Wait()
	lost, killed := 0, 0
	for id, at := range l.lost {
		started, ran := runs.startedAt[id]
		if strings.Contains(id, "-small-") && ran && at.Sub(started) < engineWork {
			c.rec.line("lost: %s ran at %.3f, its connection ended without an answer", id, started.Sub(c.rec.start).Seconds())
			lost++
		}
	}
	for _, n := range kills {
		killed += n
	}
	c.rec.note("peaks in MB %.0f, kills %v, ends by kind and status %v", peaks, kills, l.ended)
	c.rec.note("small requests passed on to an engine that was at work on them when the connection ended without an answer: %d; allowed 3", lost)
	return killed > 0 && lost > 3, nil
}
