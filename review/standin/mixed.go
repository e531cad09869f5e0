package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

const (
	mixedRequests = 200
	// leaveEvery is the reciprocal of the share of the clients that leave, and
	// leaveAfter when they do, half of the objective of 300 ms.
	leaveEvery    = 5
	leaveAfter    = 150 * time.Millisecond
	mixedWork     = 400 * time.Millisecond
	mixedEvents   = 25
	mixedInterval = 100 * time.Millisecond
	mixedPause    = 60 * time.Millisecond
	mixedPatience = 10 * time.Second
)

// received is what a client got on its connection.
type received struct {
	id, kind  string
	left      bool
	status    int
	hasSeal   bool
	bodyBytes int
	// complete is set if the answer looks complete, and events is the number of events
	// of a stream.
	complete bool
	events   int
	err      error
}

// exchange sends a request on a new connection and reads the answer. A client that leaves
// closes its direction of the connection, and reads until the daemon has closed too.
func exchange(addr string, r site.Request, kind string, leaves bool) received {
	out := received{id: r.ID, kind: kind, left: leaves}
	req, err := site.NewHTTPRequest(context.Background(), addr, r)
	if err != nil {
		out.err = err
		return out
	}
	var raw bytes.Buffer
	if err := req.Write(&raw); err != nil {
		out.err = err
		return out
	}
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(mixedPatience))
	if _, err := conn.Write(raw.Bytes()); err != nil {
		out.err = err
		return out
	}
	if leaves {
		t := time.AfterFunc(leaveAfter, func() {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
		})
		defer t.Stop()
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		out.err = err
		return out
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	out.status, out.hasSeal = resp.StatusCode, resp.Header.Get(names["seal"]) != ""
	out.bodyBytes, out.complete, out.events = len(body), err == nil, strings.Count(string(body), "id: ")
	return out
}

// wrong says what is wrong with an answer, or nothing.
func (r *received) wrong() string {
	switch {
	case r.err != nil || r.status < 200 || r.status > 299:
		return ""
	case !r.hasSeal:
		return "a success without the engine's seal"
	case r.kind == "stream" && r.complete && r.events < mixedEvents:
		return fmt.Sprintf("a stream that ends as complete after %d of %d events", r.events, mixedEvents)
	default:
		return ""
	}
}

// playMixed lets a share of the clients leave before their answers.
func playMixed(c *cluster, trouble bool) (bool, error) {
	for i := range 2 {
		site.StartEngine(c.store, site.EngineConfig{ID: fmt.Sprintf("app-%d", i+1), Service: "ledger", Zone: "dakar-plateau", Slots: 26, EventInterval: mixedWork})
	}
	for i := range 6 {
		site.StartEngine(c.store, site.EngineConfig{
			ID: fmt.Sprintf("i-%d", i+1), Service: "llm", Zone: "dakar-plateau", FabricDomain: "d0", Slots: 26, EventsPerStream: mixedEvents, EventInterval: mixedInterval,
		})
	}
	for range 2 {
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
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var wg sync.WaitGroup
	counts, wrong := map[string]int{}, map[string]int{}
	total := 0
	for n := range mixedRequests {
		d := c.daemons[n%len(c.daemons)]
		kind, r := "stream", soundRequest(n)
		switch n % 3 {
		case 1:
			kind, r = "non_idempotent", site.Request{ID: fmt.Sprintf("post-%d", n), Method: http.MethodPost, Path: "/book/1", APIKey: "key-a"}
		case 2:
			kind, r = "idempotent", site.Request{ID: fmt.Sprintf("read-%d", n), Method: http.MethodGet, Path: "/look/1", APIKey: "key-a"}
		}
		leaves := trouble && n%leaveEvery == 0
		wg.Add(1)
		go func() {
			defer wg.Done()
			out := exchange(d.addr(), r, kind, leaves)
			c.rec.line("%s request %s to %s, left %t: status %d, seal %t, %d bytes, looks complete %t, %d events, error %v; wrong: %q",
				kind, out.id, d.Name, out.left, out.status, out.hasSeal, out.bodyBytes, out.complete, out.events, out.err, out.wrong())
			mu.Lock()
			defer mu.Unlock()
			total++
			counts[fmt.Sprintf("%s left=%t status=%d", kind, out.left, out.status)]++
			if out.wrong() != "" {
				wrong[kind]++
			}
		}()
		time.Sleep(mixedPause)
	}
	wg.Wait()
	for k, n := range counts {
		c.rec.line("%s: %d", k, n)
	}
	c.rec.note("of %d requests these got a success without a seal, or an early end that looks complete, by kind: %v", total, wrong)
	return len(wrong) > 0, nil
}
