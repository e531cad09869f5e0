package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

const (
	// twoEngines are three groups of two and a spare.
	twoEngines = 7
	// pathLost is the time from the loss of the path to the leaving of the head, and
	// headServesOn how long it serves after its entry was removed.
	pathLost     = 500 * time.Millisecond
	headServesOn = 8 * time.Second
	// twoEventInterval makes a stream of 25 events last 5 s.
	twoEventInterval = 200 * time.Millisecond
	// maxStreams is the number of streams after which one has run at the head.
	maxStreams = 60
)

// controlPath is the way of reports and orders to one engine. The machine that plans
// can lose it.
type controlPath struct {
	server *httptest.Server
	lost   atomic.Bool
}

func newControlPath(addr string, rec *record, id string) *controlPath {
	p := &controlPath{}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: addr})
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	proxy.FlushInterval = -1
	p.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := r.URL.Path == "/report" || r.URL.Path == "/order"
		if control {
			body, _ := io.ReadAll(io.LimitReader(r.Body, 1<<12)) // a short body is of no harm in a record
			r.Body = io.NopCloser(strings.NewReader(string(body)))
			rec.line("%s gets %s %s %s lost=%t", id, r.Method, r.URL.Path, body, p.lost.Load())
		}
		if control && p.lost.Load() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		proxy.ServeHTTP(w, r)
	}))
	return p
}

// playTwo lets the machine that plans lose the path to the head of a group, which then
// leaves: its entry is removed, and it serves for some seconds more.
func playTwo(c *cluster, trouble bool) (bool, error) {
	engines, paths := map[string]*site.Engine{}, map[string]*controlPath{}
	for i := range twoEngines {
		id := fmt.Sprintf("i-%d", i+1)
		engines[id] = site.StartEngine(c.store, site.EngineConfig{
			ID: id, Service: "llm", Zone: "dakar-plateau", FabricDomain: "d0", Slots: 26, EventsPerStream: 25, EventInterval: twoEventInterval,
			ProxyAddr: func(addr string) (string, error) {
				paths[id] = newControlPath(addr, c.rec, id)
				return strings.TrimPrefix(paths[id].server.URL, "http://"), nil
			},
		})
	}
	for range 3 {
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
	time.Sleep(6 * time.Second)
	head := ""
	for id, e := range engines {
		if name, state := e.GroupState(); state == "open" {
			head = id
			c.rec.line("%s is the head of %s", id, name)
		}
	}
	if head == "" {
		return false, fmt.Errorf("no group is open")
	}
	group, _ := engines[head].GroupState()
	planner, err := c.planner()
	if err != nil {
		return false, err
	}
	running, err := c.streamAt(head, planner)
	if err != nil {
		return false, err
	}
	if trouble {
		c.rec.note("%s, which plans, loses its path to %s, the head of %s", planner.Name, head, group)
		paths[head].lost.Store(true)
	}
	time.Sleep(pathLost)
	engines[head].ExpireEntry()
	left := time.Now()
	c.rec.note("%s leaves: its entry is removed, and it serves %v more", head, headServesOn)
	for time.Since(left) < headServesOn {
		name, state := engines[head].GroupState()
		c.rec.line("%s, head of %s, is %s; joins that took members of open groups: %v", head, name, state, c.store.DisruptiveJoins())
		time.Sleep(250 * time.Millisecond)
	}
	ended := <-running
	engines[head].Crash()
	time.Sleep(2 * time.Second)
	joins := c.store.DisruptiveJoins()
	c.rec.note("joins that took a member from a group whose head was open: %v; a stream ran at that head until %.1f s after it left", joins, ended.Sub(left).Seconds())
	return len(joins) > 0, nil
}

// planner returns the daemon that plans, by its log.
func (c *cluster) planner() (*daemon, error) {
	var out *daemon
	latest := ""
	for _, d := range c.daemons {
		raw, err := os.ReadFile(filepath.Join(c.dir, d.Name+".log"))
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(raw)) {
			var entry struct{ Time, Msg string }
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Msg == "planner gained" && entry.Time > latest {
				out, latest = d, entry.Time
			}
		}
	}
	if out == nil {
		return nil, fmt.Errorf("no daemon plans")
	}
	return out, nil
}

// streamAt sends streams to the daemons but for one until one runs at the given head. It
// returns a channel that receives the time at which that one has ended.
func (c *cluster) streamAt(head string, without *daemon) (<-chan time.Time, error) {
	ended := map[string]chan time.Time{}
	var others []*daemon
	for _, d := range c.daemons {
		if d != without {
			others = append(others, d)
		}
	}
	for n := range maxStreams {
		r := soundRequest(n)
		done := make(chan time.Time, 1)
		ended[r.ID] = done
		go func() {
			others[n%len(others)].send(r)
			done <- time.Now()
		}()
		time.Sleep(50 * time.Millisecond)
		for _, x := range c.store.Executions() {
			if ch, ok := ended[x.RequestID]; ok && x.EngineID == head {
				return ch, nil
			}
		}
	}
	return nil, fmt.Errorf("no stream ran at %s", head)
}
