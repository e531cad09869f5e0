package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/faultproxy"
	"github.com/ragwortquay/ragwortquay/internal/procs"
	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/standin/oracle"
	"github.com/ragwortquay/ragwortquay/internal/standin/service"
)

// keyedOrder is a request with an idempotency key and all responses to it.
type keyedOrder struct {
	key       string
	issued    time.Time
	body      []byte
	responses []procs.Result
}

// startOrderCluster starts a cluster with three services behind the route for orders
// and waits until an order runs.
func startOrderCluster(t *testing.T, daemons int, settings string) *procs.Cluster {
	t.Helper()
	c := startCluster(t, procs.Options{
		Daemons: daemons, Services: serviceArgs("3", "--work", "3ms", "--cold-limit", "32", "--warm-limit", "64"),
		ExtraSettings: settings, EnablePartitions: true,
	})
	applyTables(t, c, testTables{services: 3, limit: 32, coldLimit: 32}.toml())
	n := 0
	waitFor(t, "a first order runs", func() bool {
		n++
		o := newOrder(fmt.Sprintf("first-%d", n))
		return o.send(c.Daemons[0], procs.NewCaller("shops")).Outcome == "ran"
	})
	return c
}

func newOrder(key string) *keyedOrder {
	return &keyedOrder{key: key, issued: time.Now(), body: fmt.Appendf(nil, "40 rolls for %s", key)}
}

// send sends the order once, with a new request id, and records the response.
func (o *keyedOrder) send(d *procs.Daemon, caller *procs.Caller) procs.Result {
	r := caller.Do(context.Background(), d.CallersAddr, procs.Call{
		Kind: "order", Path: "/orders", RequestID: fmt.Sprintf("%s/%d", o.key, len(o.responses)), IdempotencyKey: o.key, IssuedAt: o.issued, Body: o.body,
	})
	o.responses = append(o.responses, r)
	return r
}

// runsPerKey counts the started requests per idempotency key.
func runsPerKey(es []journal.Entry) map[string]int {
	out := map[string]int{}
	for _, e := range es {
		if e.Event == journal.RequestStarted && e.IdempotencyKey != "" {
			out[e.IdempotencyKey]++
		}
	}
	return out
}

// checkOrders compares the outcomes that callers got with the journals. No key may run
// twice; an order with outcome ran must have run once, and one whose last outcome is
// not-run must not have run.
func checkOrders(t *testing.T, orders []*keyedOrder, es []journal.Entry) {
	t.Helper()
	ran := runsPerKey(es)
	outcomes := map[string]int{}
	for _, o := range orders {
		must.LessEq(t, 1, ran[o.key], must.Sprintf("seed %d: order %s ran %d times", seed, o.key, ran[o.key]))
		for i, r := range o.responses {
			outcomes[r.Outcome]++
			switch r.Outcome {
			case "ran":
				must.Eq(t, 1, ran[o.key], must.Sprintf("seed %d: order %s: the outcome is ran, but it did not run once", seed, o.key))
				checkOrderResponse(t, o, r)
			case "not-run":
				last := i == len(o.responses)-1
				must.True(t, !last || ran[o.key] == 0, must.Sprintf("seed %d: order %s: the last outcome is not-run, but it ran: %s", seed, o.key, r.Body))
			}
		}
	}
	t.Logf("seed %d: %d orders, responses by outcome: %v", seed, len(orders), outcomes)
}

// checkOrderResponse fails if a successful response does not belong to the order.
func checkOrderResponse(t *testing.T, o *keyedOrder, r procs.Result) {
	t.Helper()
	if r.Status != 200 {
		return
	}
	var got oracle.ServiceResponse
	must.NoError(t, json.Unmarshal(r.Body, &got))
	want := oracle.NewServiceResponse(got.RequestID, "POST", "/orders", o.body)
	must.Eq(t, want, got)
}

// A retry with the same key must return the recorded result through any daemon, without
// a second run. The same key with another body must be refused with 409.
func TestRetryReturnsRecordedResult(t *testing.T) {
	c := startOrderCluster(t, 3, "")
	caller := procs.NewCaller("shops")
	o := newOrder("order-1")
	first := o.send(c.Daemons[0], caller)
	must.Eq(t, "ran", first.Outcome)
	for _, d := range c.Daemons {
		again := o.send(d, caller)
		must.Eq(t, "ran", again.Outcome)
		must.True(t, again.Replayed)
		must.Eq(t, string(first.Body), string(again.Body))
	}
	other := newOrder("order-1")
	other.body = []byte("41 rolls")
	must.Eq(t, 409, other.send(c.Daemons[1], caller).Status)
	checkOrders(t, []*keyedOrder{o}, journalEntries(t, c.Services...))
}

// faultRunOrders is the number of orders that TestAtMostOnceUnderFaults sends.
const faultRunOrders = 1200

// No idempotency key may run twice while daemons are killed, paused and partitioned,
// append responses are dropped, the log is unavailable, targets close keep-alive
// connections, drop responses or refuse, and callers retry through other daemons.
func TestAtMostOnceUnderFaults(t *testing.T) {
	c := startOrderCluster(t, 4, "")
	setServiceFaults(t, c.Services[0], service.Faults{CloseOnNth: 2, CloseAfterRun: true, DropResponseEvery: 61, RefuseEvery: 37}, "svc-0")
	setServiceFaults(t, c.Services[0], service.Faults{CloseOnNth: 3}, "svc-1")

	const workers = 16
	var mu sync.Mutex
	var orders []*keyedOrder
	var wg sync.WaitGroup
	stopFaults := make(chan struct{})
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		injectFaults(t, c, stopFaults)
	}()
	for w := range workers {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(seed, uint64(w)))
			caller := procs.NewCaller("shops")
			for n := range faultRunOrders / workers {
				o := newOrder(fmt.Sprintf("order-%d-%d", w, n))
				o.sendWithRetries(c, caller, rnd)
				mu.Lock()
				orders = append(orders, o)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	close(stopFaults)
	<-faultsDone
	must.Len(t, faultRunOrders, orders)
	checkOrders(t, orders, journalEntries(t, c.Services...))
}

// sendWithRetries sends the order through random daemons until its outcome is ran, at
// most four times.
func (o *keyedOrder) sendWithRetries(c *procs.Cluster, caller *procs.Caller, rnd *rand.Rand) {
	const maxAttempts = 4
	for range maxAttempts {
		if o.send(c.Daemons[rnd.IntN(len(c.Daemons))], caller).Outcome == "ran" {
			return
		}
		time.Sleep(time.Duration(rnd.IntN(100)) * time.Millisecond)
	}
}

// injectFaults injects the faults one at a time in random order until stop is closed,
// and clears each before the next.
func injectFaults(t *testing.T, c *procs.Cluster, stop <-chan struct{}) {
	rnd := rand.New(rand.NewPCG(seed, 99))
	victim := func() *procs.Daemon { return c.Daemons[rnd.IntN(len(c.Daemons))] }
	waitFault := func() { sleepUnlessStopped(stop, 1200*time.Millisecond) }
	faults := []func(){
		func() { d := victim(); d.Pause(); waitFault(); d.Resume() },
		func() { d := victim(); d.Kill(); waitFault(); _ = c.Restart(d) },
		func() {
			d := victim()
			_ = d.LogLink.SetFaults(faultproxy.Faults{DropResponses: 20})
			waitFault()
			_ = d.LogLink.Heal()
		},
		func() { d := victim(); _ = c.Partition([]*procs.Daemon{d}); waitFault(); _ = c.HealPartition() },
		func() { c.Log.Pause(); waitFault(); c.Log.Resume() },
		func() {
			d := victim()
			d.LogLink.ResetConnections()
			_ = d.LogLink.SetFaults(faultproxy.Faults{Refuse: true})
			waitFault()
			_ = d.LogLink.Heal()
		},
		func() { injectAction(t, c.Services[0], "silence") },
		func() {
			injectAction(t, c.Services[0], "kill", "svc-2")
			waitFault()
			injectAction(t, c.Services[0], "revive", "svc-2")
		},
	}
	for {
		for _, i := range rnd.Perm(len(faults)) {
			select {
			case <-stop:
				return
			default:
			}
			faults[i]()
			sleepUnlessStopped(stop, 300*time.Millisecond)
		}
	}
}

// sleepUnlessStopped waits for d or until stop is closed.
func sleepUnlessStopped(stop <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-stop:
	}
}

// While the log is unavailable, orders must be refused as not run and idempotent
// requests must be served. Orders must run again after the outage.
func TestLogOutage(t *testing.T) {
	c := startOrderCluster(t, 3, "")
	caller := procs.NewCaller("shops")
	c.Log.Pause()
	defer c.Log.Resume()
	var orders []*keyedOrder
	refused := func() bool {
		o := newOrder(fmt.Sprintf("outage-%d", len(orders)))
		orders = append(orders, o)
		r := o.send(c.Daemons[len(orders)%3], caller)
		return r.Outcome == "not-run"
	}
	waitFor(t, "an order is refused as not run", refused)
	for range 10 {
		must.True(t, refused())
	}
	for i := range 30 {
		r := caller.Do(t.Context(), c.Daemons[i%3].CallersAddr, procs.Call{Kind: "stock", Path: "/stock", RequestID: fmt.Sprintf("stock-%d", i)})
		must.Eq(t, 200, r.Status, must.Sprint(string(r.Body)))
	}
	c.Log.Resume()
	waitFor(t, "an order runs after the outage", func() bool {
		o := newOrder(fmt.Sprintf("after-%d", len(orders)))
		orders = append(orders, o)
		return o.send(c.Daemons[0], caller).Outcome == "ran"
	})
	checkOrders(t, orders, journalEntries(t, c.Services...))
	must.True(t, slices.ContainsFunc(orders, func(o *keyedOrder) bool { return o.responses[0].Outcome == "ran" }))
}
