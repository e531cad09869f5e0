package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/ragwortquay/ragwortquay/internal/edge"
	"github.com/ragwortquay/ragwortquay/internal/standin/site"
	"github.com/ragwortquay/ragwortquay/platform"
)

const (
	host      = site.RouteHost
	streamURL = site.StreamPath
	plainURL  = site.NonIdempotentPath
	goodKey   = "key-1"
	largeName = site.LargeModel
	smallName = site.SmallModel
)

// fixture is one store, its engines and daemons.
type fixture struct {
	t       *testing.T
	store   *site.Store
	engines []*site.Engine
	daemons []string // the callers' addresses
	stops   []func()
	// grace is the daemons' time to stop.
	grace time.Duration
}

// loopback numbers the daemons' addresses: each gets one of its own.
var loopback atomic.Int64

func newFixture(t *testing.T) *fixture {
	t.Helper()
	t.Parallel()
	f := &fixture{t: t, store: site.NewStore(), grace: time.Second}
	t.Cleanup(func() {
		for _, stop := range f.stops {
			stop()
		}
		for _, e := range f.engines {
			e.Close()
		}
		f.store.Close()
	})
	return f
}

// publish puts a configuration with the given version and keys in force.
func (f *fixture) publish(version int, keys ...string) { f.store.PublishConfig(version, keys...) }

// addEngines starts n model engines in a fabric domain.
func (f *fixture) addEngines(domain string, n, events int, pause time.Duration) []*site.Engine {
	var out []*site.Engine
	for range n {
		out = append(out, site.StartEngine(f.store, site.EngineConfig{
			ID: fmt.Sprintf("i-%d", len(f.engines)), Service: "llm", Zone: "a", FailureDomain: domain, Slots: 8, EventsPerStream: events, EventInterval: pause,
		}))
		f.engines = append(f.engines, out[len(out)-1])
	}
	return out
}

func (f *fixture) addLedger() *site.Engine {
	e := site.StartEngine(f.store, site.EngineConfig{ID: "ledger-0", Service: "ledger", Zone: "a", Slots: 4})
	f.engines = append(f.engines, e)
	return e
}

// addDaemon starts a daemon and returns the function that stops it gracefully.
func (f *fixture) addDaemon() (stop func()) {
	n := loopback.Add(1)
	ip := fmt.Sprintf("127.7.%d.%d", n/250, 1+n%250)
	s := edge.Settings{
		Node: "front-" + ip, Zone: "a", IP: ip, FrontAddr: ip + ":8227", ReadyAddr: ip + ":8220", MeshPort: 7340,
		StoreAddr: f.store.Addr(), FirstStart: true, Heartbeat: 400 * time.Millisecond, GracePeriod: f.grace,
		ConfigBound: 2 * time.Second, StrictRevoke: true, RevokeBound: 3 * time.Second,
		RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 100,
		StallBound: 2 * time.Second, MinLeaseTTL: time.Second,
	}
	must.NoError(f.t, s.Check())
	d := edge.New(s, platform.Connect(s.StoreAddr))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	stopped := false
	stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		must.NoError(f.t, <-done)
	}
	f.stops = append(f.stops, stop)
	f.daemons = append(f.daemons, s.FrontAddr)
	return stop
}

var requests atomic.Int64

// call sends a request to the n-th daemon.
func (f *fixture) call(n int, method, path, key, model string) (*http.Response, error) {
	r, err := site.NewHTTPRequest(context.Background(), f.daemons[n], site.Request{
		ID: fmt.Sprintf("request-%d", requests.Add(1)), Method: method, Path: path, APIKey: key, Model: model,
	})
	must.NoError(f.t, err)
	return (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
}

// status returns the status of a request's answer, or 0 without one.
func (f *fixture) status(n int, method, path, key, model string) int {
	resp, err := f.call(n, method, path, key, model)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// eventually waits for a condition; the bound only ends a test that hangs.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(40*time.Second), wait.Gap(50*time.Millisecond)), must.Sprint(what))
}

func (f *fixture) serves(n int, model string) {
	f.t.Helper()
	eventually(f.t, "the daemon serves "+model, func() bool {
		return f.status(n, http.MethodPost, streamURL, goodKey, model) == http.StatusOK
	})
}

func TestFormsGroupsAndServesStreams(t *testing.T) {
	f := newFixture(t)
	f.publish(1, goodKey)
	f.addEngines("d0", 7, 3, time.Millisecond)
	f.addDaemon()
	f.addDaemon()
	for n := range f.daemons {
		f.serves(n, largeName)
		f.serves(n, smallName)
	}
	resp, err := f.call(1, http.MethodPost, streamURL, goodKey, smallName)
	must.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\n", string(body))
	must.StrHasPrefix(t, "seal-", resp.Header.Get("Response-Seal"))
}

func TestAnswersByConfiguration(t *testing.T) {
	f := newFixture(t)
	ledger := f.addLedger()
	f.addDaemon()
	eventually(t, "the daemon answers", func() bool { return f.status(0, http.MethodPost, plainURL, goodKey, "") != 0 })
	must.Eq(t, http.StatusServiceUnavailable, f.status(0, http.MethodPost, plainURL, goodKey, ""))
	must.Len(t, 0, ledger.ExecutedRequests())

	f.publish(1, goodKey)
	eventually(t, "the configuration is in force", func() bool { return f.status(0, http.MethodPost, plainURL, goodKey, "") == http.StatusOK })
	must.Eq(t, http.StatusNotFound, f.status(0, http.MethodPost, "/nowhere/", goodKey, ""))
	must.Eq(t, http.StatusUnauthorized, f.status(0, http.MethodPost, plainURL, "stolen", ""))

	resp, err := f.call(0, http.MethodPost, plainURL, goodKey, "")
	must.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, "tenant=tenant-1", string(body))

	f.publish(2, "key-2")
	eventually(t, "the key is revoked", func() bool { return f.status(0, http.MethodPost, plainURL, goodKey, "") == http.StatusUnauthorized })
	f.publish(1, goodKey)
	eventually(t, "the new key is served", func() bool { return f.status(0, http.MethodPost, plainURL, "key-2", "") == http.StatusOK })
	must.Eq(t, http.StatusUnauthorized, f.status(0, http.MethodPost, plainURL, goodKey, ""), must.Sprint("an older version came back"))
}

func TestKeysAreNotTrustedWithoutTheStore(t *testing.T) {
	f := newFixture(t)
	f.publish(1, goodKey)
	ledger := f.addLedger()
	f.addDaemon()
	eventually(t, "the daemon serves", func() bool { return f.status(0, http.MethodPost, plainURL, goodKey, "") == http.StatusOK })
	f.store.SetDown(true)
	eventually(t, "the key is not trusted any more", func() bool {
		return f.status(0, http.MethodPost, plainURL, goodKey, "") == http.StatusServiceUnavailable
	})
	ran := len(ledger.ExecutedRequests())
	must.Eq(t, http.StatusServiceUnavailable, f.status(0, http.MethodPost, plainURL, goodKey, ""))
	must.Eq(t, ran, len(ledger.ExecutedRequests()))
	f.store.SetDown(false)
	eventually(t, "the daemon serves again", func() bool { return f.status(0, http.MethodPost, plainURL, goodKey, "") == http.StatusOK })
}

func TestFollowsTruncatedTopics(t *testing.T) {
	f := newFixture(t)
	f.publish(1, goodKey)
	f.addLedger()
	f.addDaemon()
	eventually(t, "the daemon serves", func() bool { return f.status(0, http.MethodPost, plainURL, goodKey, "") == http.StatusOK })
	f.store.SetDown(true)
	f.publish(2, "key-2")
	f.store.Truncate("keyed.op")
	f.store.Truncate("keyed.servers")
	f.store.SetDown(false)
	eventually(t, "the newest configuration is in force", func() bool {
		return f.status(0, http.MethodPost, plainURL, "key-2", "") == http.StatusOK
	})
}

// TestStreamGoesOnAtAnotherGroup stalls the group that serves a stream: the
// rest comes from another one, without a gap, under the first one's seal.
func TestStreamGoesOnAtAnotherGroup(t *testing.T) {
	const events = 40
	f := newFixture(t)
	f.publish(1, goodKey)
	engines := f.addEngines("d0", 3, events, 20*time.Millisecond)
	engines = append(engines, f.addEngines("d1", 3, events, 20*time.Millisecond)...)
	f.addDaemon()
	f.serves(0, smallName)
	eventually(t, "both groups are open", func() bool {
		open := 0
		for _, e := range engines {
			if _, state := e.GroupState(); state == "open" {
				open++
			}
		}
		return open == 2
	})
	resp, err := f.call(0, http.MethodPost, streamURL, goodKey, smallName)
	must.NoError(t, err)
	lines := bufio.NewScanner(resp.Body)
	must.True(t, lines.Scan())
	id := resp.Request.Header.Get("Request-Id")
	for _, e := range engines {
		runs := e.ExecutedRequests()
		if len(runs) > 0 && runs[len(runs)-1] == id {
			e.StallStreams()
		}
	}
	got := 1
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			got++
			must.Eq(t, fmt.Sprintf("id: %d", got), lines.Text())
		}
	}
	must.NoError(t, lines.Err())
	must.Eq(t, events, got)
}

// TestMembersAreTakenAfterTheClose ends a member of the only group that its
// domain can form and adds a spare: the head must be closed before any member
// joins another group.
func TestMembersAreTakenAfterTheClose(t *testing.T) {
	f := newFixture(t)
	f.publish(1, goodKey)
	engines := f.addEngines("d0", 4, 3, time.Millisecond)
	f.addDaemon()
	f.serves(0, largeName)
	var head, lost *site.Engine
	for _, e := range engines {
		if _, state := e.GroupState(); state == "open" {
			head = e
		} else {
			lost = e
		}
	}
	old, _ := head.GroupState()
	lost.Crash()
	lost.ExpireEntry()
	f.addEngines("d0", 1, 3, time.Millisecond)
	eventually(t, "the group is formed anew", func() bool {
		name, state := head.GroupState()
		return name != old && state != ""
	})
	closed := site.FirstOrderSeq(head, "close "+old)
	must.Positive(t, closed, must.Sprint("the head was not closed"))
	for _, e := range f.engines {
		for _, o := range e.Orders() {
			if strings.HasPrefix(o.Action, "join ") && !strings.HasPrefix(o.Action, "join p") && o.Action != "join "+old {
				must.Greater(t, closed, o.Seq, must.Sprintf("%s before the close of %s", o.Action, old))
			}
		}
	}
}

func TestGracefulStopFinishesStreams(t *testing.T) {
	const events = 100
	f := newFixture(t)
	f.grace = 8 * time.Second
	f.publish(1, goodKey)
	f.addEngines("d0", 3, events, 10*time.Millisecond)
	stop := f.addDaemon()
	f.serves(0, smallName)
	resp, err := f.call(0, http.MethodPost, streamURL, goodKey, smallName)
	must.NoError(t, err)
	stopped := make(chan struct{})
	go func() {
		stop()
		close(stopped)
	}()
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.StrContains(t, string(body), fmt.Sprintf("id: %d\n", events))
	<-stopped
}

// TestNoNewWorkLateInAStop keeps a connection open over a stop: what comes late
// is refused as not run, since it might not end within the grace time.
func TestNoNewWorkLateInAStop(t *testing.T) {
	const events = 150
	f := newFixture(t)
	f.grace = 6 * time.Second
	f.publish(1, goodKey)
	f.addEngines("d0", 3, events, 10*time.Millisecond)
	ledger := f.addLedger()
	stop := f.addDaemon()
	f.serves(0, smallName)
	eventually(t, "the ledger is served", func() bool { return f.status(0, http.MethodPost, plainURL, goodKey, "") == http.StatusOK })
	resp, err := f.call(0, http.MethodPost, streamURL, goodKey, smallName)
	must.NoError(t, err)
	stopped := make(chan struct{})
	go func() {
		stop()
		close(stopped)
	}()
	refused := false
	eventually(t, "new work is refused", func() bool {
		before := len(ledger.ExecutedRequests())
		status := f.status(0, http.MethodPost, plainURL, goodKey, "")
		refused = refused || (status == http.StatusServiceUnavailable && len(ledger.ExecutedRequests()) == before)
		return status != http.StatusOK
	})
	must.True(t, refused)
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.StrContains(t, string(body), fmt.Sprintf("id: %d\n", events))
	<-stopped
}
