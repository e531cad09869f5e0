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

// order is one keyed request and every answer that its caller got.
type order struct {
	key     string
	issued  time.Time
	body    []byte
	answers []procs.Result
}

// ledgerCluster has three services behind the route for orders.
func ledgerCluster(t *testing.T, daemons int, settings string) *procs.Cluster {
	t.Helper()
	c := startCluster(t, procs.Options{
		Daemons: daemons, Services: services("3", "--work", "3ms", "--cold-limit", "32", "--warm-limit", "64"),
		ExtraSettings: settings, EnablePartitions: true,
	})
	apply(t, c, tables{services: 3, limit: 32, cold: 32}.toml())
	n := 0
	eventually(t, "a first order", func() bool {
		n++
		o := newOrder(fmt.Sprintf("first-%d", n))
		return o.send(c.Daemons[0], procs.NewCaller("shops")).Outcome == "ran"
	})
	return c
}

func newOrder(key string) *order {
	return &order{key: key, issued: time.Now(), body: fmt.Appendf(nil, "40 rolls for %s", key)}
}

// send sends the order once, under a request id of its own.
func (o *order) send(d *procs.Daemon, caller *procs.Caller) procs.Result {
	r := caller.Do(context.Background(), d.CallersAddr, procs.Call{
		Kind: "order", Path: "/orders", RequestID: fmt.Sprintf("%s/%d", o.key, len(o.answers)), IdempotencyKey: o.key, IssuedAt: o.issued, Body: o.body,
	})
	o.answers = append(o.answers, r)
	return r
}

// runs counts the runs per key in the journals.
func runs(es []journal.Entry) map[string]int {
	out := map[string]int{}
	for _, e := range es {
		if e.Event == journal.RequestStarted && e.IdempotencyKey != "" {
			out[e.IdempotencyKey]++
		}
	}
	return out
}

// checkOrders compares what callers were told with what really ran.
func checkOrders(t *testing.T, orders []*order, es []journal.Entry) {
	t.Helper()
	ran := runs(es)
	told := map[string]int{}
	for _, o := range orders {
		must.LessEq(t, 1, ran[o.key], must.Sprintf("seed %d: %s ran %d times", seed, o.key, ran[o.key]))
		for i, a := range o.answers {
			told[a.Outcome]++
			switch a.Outcome {
			case "ran":
				must.Eq(t, 1, ran[o.key], must.Sprintf("seed %d: %s was said to have run", seed, o.key))
				checkReceipt(t, o, a)
			case "not-run":
				last := i == len(o.answers)-1
				must.True(t, !last || ran[o.key] == 0, must.Sprintf("seed %d: %s: the last answer is not-run, but it ran: %s", seed, o.key, a.Body))
			}
		}
	}
	t.Logf("seed %d: %d orders, answers by outcome %v", seed, len(orders), told)
}

// checkReceipt fails if an answer is not the one to the order.
func checkReceipt(t *testing.T, o *order, a procs.Result) {
	t.Helper()
	if a.Status != 200 {
		return
	}
	var got oracle.ServiceResponse
	must.NoError(t, json.Unmarshal(a.Body, &got))
	want := oracle.NewServiceResponse(got.RequestID, "POST", "/orders", o.body)
	must.Eq(t, want, got)
}

// A retry through another daemon gets the recorded result, not a second run.
func TestRetryGetsTheRecordedResult(t *testing.T) {
	c := ledgerCluster(t, 3, "")
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
	checkOrders(t, []*order{o}, entries(t, c.Services...))
}

// faultMix is the number of keyed requests that are sent over the fault mix.
const faultMix = 1200

// Keyed requests under kills, pauses, cuts, lost append answers, an outage of
// the log, targets that close kept connections, lose answers or refuse, and
// callers that send again through other daemons: no key runs twice.
func TestAtMostOnceUnderFaults(t *testing.T) {
	c := ledgerCluster(t, 4, "")
	behaveService(t, c.Services[0], service.Faults{CloseOnNth: 2, CloseAfterRun: true, DropResponseEvery: 61, RefuseEvery: 37}, "svc-0")
	behaveService(t, c.Services[0], service.Faults{CloseOnNth: 3}, "svc-1")

	const workers = 16
	var mu sync.Mutex
	var orders []*order
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
			for n := range faultMix / workers {
				o := newOrder(fmt.Sprintf("order-%d-%d", w, n))
				o.insist(c, caller, rnd)
				mu.Lock()
				orders = append(orders, o)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	close(stopFaults)
	<-faultsDone
	must.Len(t, faultMix, orders)
	checkOrders(t, orders, entries(t, c.Services...))
}

// insist sends the order through daemon after daemon until it is told that it
// ran, or gives up as a person would.
func (o *order) insist(c *procs.Cluster, caller *procs.Caller, rnd *rand.Rand) {
	const tries = 4
	for range tries {
		if o.send(c.Daemons[rnd.IntN(len(c.Daemons))], caller).Outcome == "ran" {
			return
		}
		time.Sleep(time.Duration(rnd.IntN(100)) * time.Millisecond)
	}
}

// injectFaults goes through the faults in turn until it is told to stop, and
// heals each before the next.
func injectFaults(t *testing.T, c *procs.Cluster, stop <-chan struct{}) {
	rnd := rand.New(rand.NewPCG(seed, 99))
	victim := func() *procs.Daemon { return c.Daemons[rnd.IntN(len(c.Daemons))] }
	hold := func() { pauseUnless(stop, 1200*time.Millisecond) }
	faults := []func(){
		func() { d := victim(); d.Pause(); hold(); d.Resume() },
		func() { d := victim(); d.Kill(); hold(); _ = c.Restart(d) },
		func() {
			d := victim()
			_ = d.LogLink.SetFaults(faultproxy.Faults{DropResponses: 20})
			hold()
			_ = d.LogLink.Heal()
		},
		func() { d := victim(); _ = c.Partition([]*procs.Daemon{d}); hold(); _ = c.HealPartition() },
		func() { c.Log.Pause(); hold(); c.Log.Resume() },
		func() {
			d := victim()
			d.LogLink.ResetConnections()
			_ = d.LogLink.SetFaults(faultproxy.Faults{Refuse: true})
			hold()
			_ = d.LogLink.Heal()
		},
		func() { act(t, c.Services[0], "silence") },
		func() { act(t, c.Services[0], "kill", "svc-2"); hold(); act(t, c.Services[0], "revive", "svc-2") },
	}
	for {
		for _, i := range rnd.Perm(len(faults)) {
			select {
			case <-stop:
				return
			default:
			}
			faults[i]()
			pauseUnless(stop, 300*time.Millisecond)
		}
	}
}

func pauseUnless(stop <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-stop:
	}
}

// The log is down: keyed work is refused at once as not run, and idempotent
// work goes on.
func TestLogOutage(t *testing.T) {
	c := ledgerCluster(t, 3, "")
	caller := procs.NewCaller("shops")
	c.Log.Pause()
	defer c.Log.Resume()
	var orders []*order
	refused := func() bool {
		o := newOrder(fmt.Sprintf("outage-%d", len(orders)))
		orders = append(orders, o)
		r := o.send(c.Daemons[len(orders)%3], caller)
		return r.Outcome == "not-run"
	}
	eventually(t, "a refusal", refused)
	for range 10 {
		must.True(t, refused())
	}
	for i := range 30 {
		r := caller.Do(t.Context(), c.Daemons[i%3].CallersAddr, procs.Call{Kind: "stock", Path: "/stock", RequestID: fmt.Sprintf("stock-%d", i)})
		must.Eq(t, 200, r.Status, must.Sprint(string(r.Body)))
	}
	c.Log.Resume()
	eventually(t, "an order after the outage", func() bool {
		o := newOrder(fmt.Sprintf("after-%d", len(orders)))
		orders = append(orders, o)
		return o.send(c.Daemons[0], caller).Outcome == "ran"
	})
	checkOrders(t, orders, entries(t, c.Services...))
	must.True(t, slices.ContainsFunc(orders, func(o *order) bool { return o.answers[0].Outcome == "ran" }))
}
