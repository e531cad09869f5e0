package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

const (
	// slowWork is the time that an engine takes for a request, so that the client has
	// stopped sending long before the answer.
	slowWork = 300 * time.Millisecond
	// halfRequests is the number of requests of each kind.
	halfRequests = 10
	// streamEvents is the number of events of a stream, one each eventGap. The client of a
	// stream stops sending when it has the first one.
	streamEvents = 40
	eventGap     = 20 * time.Millisecond
	// groupTimeout bounds the time until the model has a group that serves.
	groupTimeout = 20 * time.Second
)

// runHalfClose sends requests by clients that end their sending side after the request,
// and wait for the answer.
func runHalfClose(b *bed, trouble bool) (int, error) {
	seal := os.Getenv("SEAL_HEADER")
	if seal == "" {
		return couldNot, fmt.Errorf("SEAL_HEADER doesn't name the header of the signature")
	}
	var engines []*site.Engine
	for i := range 3 {
		engines = append(engines, site.StartEngine(b.store, site.EngineConfig{ID: fmt.Sprintf("i-%04d", i), Service: site.PlainService, Zone: "a", Slots: 6, EventInterval: slowWork}))
	}
	for i := range site.LargeGroupSize + site.SmallGroupSize {
		engines = append(engines, site.StartEngine(b.store, site.EngineConfig{
			ID: fmt.Sprintf("m-%04d", i), Service: site.ModelService, Zone: "a", FabricDomain: "d0", Slots: 8, EventsPerStream: streamEvents, EventInterval: eventGap,
		}))
	}
	b.store.PublishConfig(1, apiKey)
	if err := b.startDaemons(2); err != nil {
		return couldNot, err
	}
	if err := b.awaitGroup(); err != nil {
		return couldNot, err
	}
	unsigned, short := 0, 0
	for k := range halfRequests {
		id := fmt.Sprintf("half-%d-draft", k)
		resp, body, err := halfClosedStream(b.daemons[k%len(b.daemons)], id, trouble)
		whole := err == nil && site.CheckStream(string(body), streamEvents) == nil
		if err != nil && resp == nil {
			b.note("stream %s: no answer: %v", id, err)
			continue
		}
		b.note("stream %s: status %d, %d bytes, ended as complete %t, whole %t", id, resp.StatusCode, len(body), err == nil, whole)
		if resp.StatusCode/100 == 2 && err == nil && !whole {
			short++
		}
	}
	for k := range halfRequests {
		for _, path := range []string{site.NonIdempotentPath, site.IdempotentPath} {
			id := fmt.Sprintf("half-%d%s", k, strings.ReplaceAll(path, "/", "-"))
			resp, body, err := halfClosed(b.daemons[k%len(b.daemons)], id, path, trouble)
			if err != nil {
				b.note("request %s: no answer: %v", id, err)
				continue
			}
			signed := resp.Header.Get(seal) != ""
			b.note("request %s: status %d, signed %t, body %q", id, resp.StatusCode, signed, body)
			if resp.StatusCode/100 == 2 && !signed {
				unsigned++
			}
		}
	}
	for _, e := range engines {
		b.note("engine ran %v", e.ExecutedRequests())
		e.Close()
	}
	b.note("successes without the engine's signature: %d; streams that ended as complete before their last event: %d", unsigned, short)
	if unsigned+short > 0 {
		return broken, nil
	}
	return held, nil
}

// awaitGroup waits until the model serves.
func (b *bed) awaitGroup() error {
	for end := time.Now().Add(groupTimeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		all := true
		for i, d := range b.daemons {
			_, body, err := halfClosedStream(d, fmt.Sprintf("wait-%d-%d", i, time.Now().UnixNano()), false)
			all = all && err == nil && site.CheckStream(string(body), streamEvents) == nil
		}
		if all {
			return nil
		}
	}
	return errors.New("the model has no group that serves")
}

// halfClosedStream sends a request for a stream, and ends its sending side after the first
// event.
func halfClosedStream(d *daemon, id string, half bool) (*http.Response, []byte, error) {
	return exchange(d, site.Request{ID: id, Method: http.MethodPost, Path: site.StreamPath, Model: site.LargeModel, APIKey: apiKey}, false, half)
}

// halfClosed sends a request, and ends its sending side at once.
func halfClosed(d *daemon, id, path string, half bool) (*http.Response, []byte, error) {
	return exchange(d, site.Request{ID: id, Method: http.MethodPost, Path: path, APIKey: apiKey}, half, false)
}

// exchange sends a request on a new connection and reads the answer. It ends the sending
// side of the connection after the request or after the first bytes of the body, as asked.
func exchange(d *daemon, request site.Request, halfAtOnce, halfLater bool) (*http.Response, []byte, error) {
	conn, err := net.DialTimeout("tcp", d.frontAddr(), time.Second)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = conn.Close() }()
	r, err := site.NewHTTPRequest(context.Background(), d.frontAddr(), request)
	if err != nil {
		return nil, nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
	if err := r.Write(conn); err != nil {
		return nil, nil, err
	}
	endSending := func(wanted bool) {
		if tcp, ok := conn.(*net.TCPConn); ok && wanted {
			_ = tcp.CloseWrite() // it fails only if the connection has ended
		}
	}
	endSending(halfAtOnce)
	resp, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	start := make([]byte, 1)
	if _, err := io.ReadFull(resp.Body, start); err != nil {
		if errors.Is(err, io.EOF) {
			err = nil // an empty body
		}
		return resp, nil, err
	}
	endSending(halfLater)
	body, err := io.ReadAll(resp.Body)
	return resp, append(start, body...), err
}
