package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/ragwortquay/ragwortquay/internal/edge"
	"github.com/ragwortquay/ragwortquay/internal/planner"
	"github.com/ragwortquay/ragwortquay/internal/standin/site"
	"github.com/ragwortquay/ragwortquay/platform"
)

const (
	host              = site.RouteHost
	streamPath        = site.StreamPath
	nonIdempotentPath = site.NonIdempotentPath
	goodKey           = "key-1"
	largeName         = site.LargeModel
	smallName         = site.SmallModel
)

// fixture is a store with its engines and daemons.
type fixture struct {
	t       *testing.T
	store   *site.Store
	engines []*site.Engine
	daemons []string // listen addresses for clients
	metrics []string // listen addresses for metrics, by daemon
	stops   []func()
	// grace is the daemons' grace period.
	grace time.Duration
	// wrapEngines, if not nil, wraps the engine client of the daemon with the given
	// number.
	wrapEngines func(n int, c planner.EngineClient) planner.EngineClient
}

// lastDaemonIP numbers the loopback addresses, so that each daemon has its own. Two runs
// of these tests at the same time have different ones, or the daemons of one would
// answer requests of the other.
var lastDaemonIP atomic.Int64

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

// publish publishes a configuration with the given version and keys.
func (f *fixture) publish(version int, keys ...string) { f.store.PublishConfig(version, keys...) }

// addEngines starts n model engines in a fabric domain.
func (f *fixture) addEngines(domain string, n, events int, pause time.Duration) []*site.Engine {
	var out []*site.Engine
	for range n {
		out = append(out, site.StartEngine(f.store, site.EngineConfig{
			ID: fmt.Sprintf("i-%d", len(f.engines)), Service: "llm", Zone: "a", FabricDomain: domain, Slots: 8, EventsPerStream: events, EventInterval: pause,
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
	n := lastDaemonIP.Add(1)
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, n/250, 1+n%250)
	s := edge.Settings{
		Node: "front-" + ip, Zone: "a", IP: ip, FrontAddr: ip + ":8227", ReadyAddr: ip + ":8220", MetricsAddr: ip + ":8229", MeshPort: 7340,
		StoreAddr: f.store.Addr(), FirstStart: true, Heartbeat: 400 * time.Millisecond, GracePeriod: f.grace,
		ConfigBound: 2 * time.Second, StrictRevoke: true, RevokeBound: 3 * time.Second,
		RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 100,
		StallBound: 2 * time.Second, MinLeaseTTL: time.Second,
	}
	must.NoError(f.t, s.Check())
	connected := platform.Connect(s.StoreAddr)
	if f.wrapEngines != nil {
		connected.EngineClient = f.wrapEngines(len(f.daemons), connected.EngineClient)
	}
	d := edge.New(s, connected)
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
	f.daemons, f.metrics = append(f.daemons, s.FrontAddr), append(f.metrics, s.MetricsAddr)
	return stop
}

// metricLines returns the lines of the n-th daemon's metrics.
func (f *fixture) metricLines(n int) []string {
	resp, err := http.Get("http://" + f.metrics[n] + "/metrics")
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	must.NoError(f.t, err)
	return strings.Split(string(text), "\n")
}

// metricSum returns the sum of the n-th daemon's metrics whose lines begin with prefix.
func (f *fixture) metricSum(n int, prefix string) (sum float64) {
	for _, line := range f.metricLines(n) {
		if strings.HasPrefix(line, prefix) {
			value, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
			must.NoError(f.t, err)
			sum += value
		}
	}
	return sum
}

// waitUntilDaemonsHearEachOther waits until each daemon has heard of all others.
func (f *fixture) waitUntilDaemonsHearEachOther() {
	f.t.Helper()
	for n := range f.daemons {
		eventually(f.t, "the daemon hears all others", func() bool {
			return slices.Contains(f.metricLines(n), fmt.Sprintf("ragwortquay_daemons %d", len(f.daemons)))
		})
	}
}

var lastRequestID atomic.Int64

// call sends a request to the n-th daemon.
func (f *fixture) call(n int, method, path, key, model string) (*http.Response, error) {
	r, err := site.NewHTTPRequest(context.Background(), f.daemons[n], site.Request{
		ID: fmt.Sprintf("request-%d", lastRequestID.Add(1)), Method: method, Path: path, APIKey: key, Model: model,
	})
	must.NoError(f.t, err)
	return (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
}

// status sends a request and returns the status of the response, or 0 if it failed.
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

// eventually waits until condition holds. Its timeout only ends a test that would
// hang.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(40*time.Second), wait.Gap(50*time.Millisecond)), must.Sprint(what))
}

func (f *fixture) waitUntilServes(n int, model string) {
	f.t.Helper()
	eventually(f.t, "the daemon serves "+model, func() bool {
		return f.status(n, http.MethodPost, streamPath, goodKey, model) == http.StatusOK
	})
}

func TestServesStreamsFromFormedGroups(t *testing.T) {
	f := newFixture(t)
	f.publish(1, goodKey)
	f.addEngines("d0", 7, 3, time.Millisecond)
	f.addDaemon()
	f.addDaemon()
	for n := range f.daemons {
		f.waitUntilServes(n, largeName)
		f.waitUntilServes(n, smallName)
	}
	resp, err := f.call(1, http.MethodPost, streamPath, goodKey, smallName)
	must.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\n", string(body))
	must.StrHasPrefix(t, "seal-", resp.Header.Get("Response-Seal"))
}

func TestResponsesFollowConfiguration(t *testing.T) {
	f := newFixture(t)
	ledger := f.addLedger()
	f.addDaemon()
	eventually(t, "the daemon answers requests", func() bool { return f.status(0, http.MethodPost, nonIdempotentPath, goodKey, "") != 0 })
	must.Eq(t, http.StatusServiceUnavailable, f.status(0, http.MethodPost, nonIdempotentPath, goodKey, ""))
	must.Len(t, 0, ledger.ExecutedRequests())

	f.publish(1, goodKey)
	eventually(t, "the configuration is applied", func() bool { return f.status(0, http.MethodPost, nonIdempotentPath, goodKey, "") == http.StatusOK })
	must.Eq(t, http.StatusNotFound, f.status(0, http.MethodPost, "/nowhere/", goodKey, ""))
	must.Eq(t, http.StatusUnauthorized, f.status(0, http.MethodPost, nonIdempotentPath, "stolen", ""))

	resp, err := f.call(0, http.MethodPost, nonIdempotentPath, goodKey, "")
	must.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, "tenant=tenant-1", string(body))

	f.publish(2, "key-2")
	eventually(t, "the key is revoked", func() bool {
		return f.status(0, http.MethodPost, nonIdempotentPath, goodKey, "") == http.StatusUnauthorized
	})
	f.publish(1, goodKey)
	eventually(t, "the new key is served", func() bool { return f.status(0, http.MethodPost, nonIdempotentPath, "key-2", "") == http.StatusOK })
	must.Eq(t, http.StatusUnauthorized, f.status(0, http.MethodPost, nonIdempotentPath, goodKey, ""), must.Sprint("an older version replaced a newer one"))
}

func TestKeysAreRefusedWhileStoreIsDown(t *testing.T) {
	f := newFixture(t)
	f.publish(1, goodKey)
	ledger := f.addLedger()
	f.addDaemon()
	eventually(t, "the daemon serves", func() bool { return f.status(0, http.MethodPost, nonIdempotentPath, goodKey, "") == http.StatusOK })
	f.store.SetDown(true)
	eventually(t, "requests with the key are refused", func() bool {
		return f.status(0, http.MethodPost, nonIdempotentPath, goodKey, "") == http.StatusServiceUnavailable
	})
	ran := len(ledger.ExecutedRequests())
	must.Eq(t, http.StatusServiceUnavailable, f.status(0, http.MethodPost, nonIdempotentPath, goodKey, ""))
	must.Eq(t, ran, len(ledger.ExecutedRequests()))
	f.store.SetDown(false)
	eventually(t, "the daemon serves again", func() bool { return f.status(0, http.MethodPost, nonIdempotentPath, goodKey, "") == http.StatusOK })
}

// TestKeyTakenAwayInALargeBacklogIsRefused lets a daemon return to the store after a dozen
// changes of a large configuration, the last of which takes a key away, and read a part of
// them. It guards against a part of a backlog that counts as a confirmation of all of it.
func TestKeyTakenAwayInALargeBacklogIsRefused(t *testing.T) {
	f := newFixture(t)
	f.publish(1, goodKey)
	f.addEngines("d0", 8, 3, time.Millisecond)
	f.addDaemon()
	f.waitUntilServes(0, smallName)
	status := func() int { return f.status(0, http.MethodPost, streamPath, goodKey, smallName) }
	f.store.SetDown(true)
	eventually(t, "the key is not trusted any more", func() bool { return status() == http.StatusServiceUnavailable })
	bytes := 0
	for version := 2; version <= 13; version++ {
		bytes += f.store.PublishLargeConfig(version, 500, goodKey)
	}
	f.store.PublishLargeConfig(14, 500, "another-key")
	must.Greater(t, 1<<20, bytes, must.Sprint("the backlog fits in one read"))
	f.store.RefuseReadsAfter("keyed.op", 1)
	f.store.SetDown(false)
	version := func() float64 { return f.metricSum(0, "ragwortquay_config_version") }
	eventually(t, "a part of the backlog is read", func() bool { return version() > 1 })
	must.Less(t, 14, version())
	for range 20 {
		must.Eq(t, http.StatusServiceUnavailable, status())
	}
	f.store.RefuseReadsAfter("keyed.op", 1000)
	eventually(t, "the key is refused", func() bool { return status() == http.StatusUnauthorized })
}

func TestFollowsTruncatedTopics(t *testing.T) {
	f := newFixture(t)
	f.publish(1, goodKey)
	f.addLedger()
	f.addDaemon()
	eventually(t, "the daemon serves", func() bool { return f.status(0, http.MethodPost, nonIdempotentPath, goodKey, "") == http.StatusOK })
	f.store.SetDown(true)
	f.publish(2, "key-2")
	f.store.Truncate("keyed.op")
	f.store.Truncate("keyed.servers")
	f.store.SetDown(false)
	eventually(t, "the newest configuration is applied", func() bool {
		return f.status(0, http.MethodPost, nonIdempotentPath, "key-2", "") == http.StatusOK
	})
}

// streamFromOneOfTwoGroups forms two groups of the small model and starts a stream. It
// returns its lines after the first one, and the head of the group that serves it.
func (f *fixture) streamFromOneOfTwoGroups(events int) (lines *bufio.Scanner, serving *site.Engine) {
	f.t.Helper()
	f.publish(1, goodKey)
	engines := f.addEngines("d0", 3, events, 20*time.Millisecond)
	engines = append(engines, f.addEngines("d1", 3, events, 20*time.Millisecond)...)
	f.addDaemon()
	f.waitUntilServes(0, smallName)
	eventually(f.t, "both groups are open", func() bool {
		open := 0
		for _, e := range engines {
			if _, state := e.GroupState(); state == "open" {
				open++
			}
		}
		return open == 2
	})
	resp, err := f.call(0, http.MethodPost, streamPath, goodKey, smallName)
	must.NoError(f.t, err)
	f.t.Cleanup(func() { _ = resp.Body.Close() })
	lines = bufio.NewScanner(resp.Body)
	must.True(f.t, lines.Scan())
	id := resp.Request.Header.Get("Request-Id")
	for _, e := range engines {
		if runs := e.ExecutedRequests(); len(runs) > 0 && runs[len(runs)-1] == id {
			serving = e
		}
	}
	must.NotNil(f.t, serving)
	return lines, serving
}

// TestStreamResumesAtAnotherGroup stalls the group that serves a stream. The stream
// must continue from another group without a gap, within the same response.
func TestStreamResumesAtAnotherGroup(t *testing.T) {
	const events = 40
	f := newFixture(t)
	lines, serving := f.streamFromOneOfTwoGroups(events)
	serving.StallStreams()
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

// TestMembersJoinOnlyAfterHeadIsClosed crashes a member of the only group that its
// domain can form and adds a spare. The head must be closed before any member joins
// another group.
func TestMembersJoinOnlyAfterHeadIsClosed(t *testing.T) {
	f := newFixture(t)
	f.publish(1, goodKey)
	engines := f.addEngines("d0", 4, 3, time.Millisecond)
	f.addDaemon()
	f.waitUntilServes(0, largeName)
	var head, crashed *site.Engine
	for _, e := range engines {
		if _, state := e.GroupState(); state == "open" {
			head = e
		} else {
			crashed = e
		}
	}
	old, _ := head.GroupState()
	crashed.Crash()
	crashed.ExpireEntry()
	f.addEngines("d0", 1, 3, time.Millisecond)
	eventually(t, "a new group is formed", func() bool {
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
	f.waitUntilServes(0, smallName)
	resp, err := f.call(0, http.MethodPost, streamPath, goodKey, smallName)
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

// TestNewRequestsAreRefusedLateInShutdown sends requests during a shutdown that a
// stream delays. Late requests must be refused as not run, since they might not
// finish within the grace period.
func TestNewRequestsAreRefusedLateInShutdown(t *testing.T) {
	const events = 150
	f := newFixture(t)
	f.grace = 6 * time.Second
	f.publish(1, goodKey)
	f.addEngines("d0", 3, events, 10*time.Millisecond)
	ledger := f.addLedger()
	stop := f.addDaemon()
	f.waitUntilServes(0, smallName)
	eventually(t, "the ledger is served", func() bool { return f.status(0, http.MethodPost, nonIdempotentPath, goodKey, "") == http.StatusOK })
	resp, err := f.call(0, http.MethodPost, streamPath, goodKey, smallName)
	must.NoError(t, err)
	stopped := make(chan struct{})
	go func() {
		stop()
		close(stopped)
	}()
	refused := false
	eventually(t, "new work is refused", func() bool {
		before := len(ledger.ExecutedRequests())
		status := f.status(0, http.MethodPost, nonIdempotentPath, goodKey, "")
		refused = refused || (status == http.StatusServiceUnavailable && len(ledger.ExecutedRequests()) == before)
		return status != http.StatusOK
	})
	must.True(t, refused)
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.StrContains(t, string(body), fmt.Sprintf("id: %d\n", events))
	<-stopped
}
