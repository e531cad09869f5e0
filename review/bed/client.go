package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sent is one request of a client, and its answer.
type sent struct {
	id, key, daemon string
	at, end         time.Time
	// status is 0 if there was no answer.
	status int
}

// client sends requests on kept connections.
type client struct {
	http http.Client
	seq  atomic.Int64
	// post makes requests POST ones with a body.
	post bool
	mu   sync.Mutex
	list []sent
}

func newClient() *client {
	return &client{http: http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}}}
}

// send sends one request with a key to a daemon.
func (c *client) send(d *daemon, key string) sent {
	x := sent{id: fmt.Sprintf("r%06d", c.seq.Add(1)), key: key, daemon: d.name, at: time.Now()}
	method, body := http.MethodGet, ""
	if c.post {
		method, body = http.MethodPost, "order "+x.id
	}
	req, err := http.NewRequest(method, "http://"+d.front()+prefix+x.id, strings.NewReader(body))
	if err == nil {
		req.Host = host
		req.Header.Set("Request-Id", x.id)
		req.Header.Set("Authorization", "Bearer "+key)
		req.Header.Set(wireName("deadline"), "4000")
		if resp, err := c.http.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			x.status = resp.StatusCode
		}
	}
	x.end = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, x)
	return x
}

// flow sends requests one after the other from several connections until stop is closed.
func (c *client) flow(d *daemon, key string, workers int, gap time.Duration, stop <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(gap):
				}
				c.send(d, key)
			}
		})
	}
	return &wg
}
