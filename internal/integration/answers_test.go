package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/procs"
	"github.com/ragwortquay/ragwortquay/internal/standin/engine"
	"github.com/ragwortquay/ragwortquay/internal/standin/oracle"
	"github.com/ragwortquay/ragwortquay/internal/standin/service"
)

// mixedRequests is the number of requests that are sent over targets that
// delay, mix up and answer late.
const mixedRequests = 10_000

// Late and mixed-up answers never reach another caller: each answer carries the
// digest of its own request.
func TestLateAndMixedAnswers(t *testing.T) {
	c := startCluster(t, procs.Options{
		Daemons: 3, Services: services("4", "--work", "1ms", "--cold-limit", "64", "--warm-limit", "256"),
		ExtraSettings: "[targets]\nfirst_byte_timeout = \"300ms\"\n",
	})
	apply(t, c, tables{services: 4, limit: 64, cold: 64}.toml())
	look := func(d *procs.Daemon, caller *procs.Caller, id string, body []byte) procs.Result {
		return caller.Do(context.Background(), d.CallersAddr, procs.Call{Kind: "stock", RequestID: id, Path: "/stock", Body: body})
	}
	eventually(t, "a first answer", func() bool {
		return look(c.Daemons[0], procs.NewCaller("shops"), "warm", nil).Status == 200
	})
	behaveService(t, c.Services[0], service.Faults{DelayMS: 1, DelayEvery: 97, DelayEveryMS: 600, SwapResponseEvery: 41}, "svc-0", "svc-1")

	const workers = 32
	var next, good atomic.Int64
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			caller := procs.NewCaller("shops")
			for n := next.Add(1); n <= mixedRequests; n = next.Add(1) {
				id := fmt.Sprintf("mixed-%d", n)
				body := fmt.Appendf(nil, "item %d of %d", n, w)
				r := look(c.Daemons[n%3], caller, id, body)
				if r.Status != 200 {
					continue
				}
				var got oracle.ServiceResponse
				if err := json.Unmarshal(r.Body, &got); err != nil {
					t.Errorf("%s: %v", id, err)
					return
				}
				if want := oracle.NewServiceResponse(id, "POST", "/stock", body); got != want || r.RequestID != id {
					t.Errorf("%s got the answer %+v under id %s", id, got, r.RequestID)
					return
				}
				good.Add(1)
			}
		})
	}
	wg.Wait()
	must.Greater(t, int64(mixedRequests*9/10), good.Load())
}

// Engines that mix up and delay streams: every token belongs to its request.
func TestMixedStreams(t *testing.T) {
	c := startCluster(t, procs.Options{
		Daemons: 3, Engines: engines("6", "--cold-limit", "8", "--step", "2ms"),
		ExtraSettings: "[targets]\nfirst_byte_timeout = \"500ms\"\n",
	})
	apply(t, c, tables{vms: 6, limit: 16, cold: 8}.toml())
	served(t, c, c.Daemons[0], "quote")
	behave(t, c.Engines[0], engine.Faults{DelayEvery: 13, DelayEveryMS: 800, SwapResponseEvery: 7}, "vm-0", "vm-1")
	tr := startTraffic(t, c, 12, "quote", 15)
	tr.more(t, 1000)
	all := tr.stop()
	checkAnswers(t, all)
	must.Len(t, 0, unanswered(all), must.Sprint(describe(unanswered(all))))
}

// Connections that go silent for good while new ones work cost no answer.
func TestSilentConnections(t *testing.T) {
	c := startCluster(t, procs.Options{
		Daemons: 2, Engines: engines("4", "--cold-limit", "8"),
		ExtraSettings: "[targets]\nsilence_timeout = \"700ms\"\n",
	})
	apply(t, c, tables{vms: 4, limit: 16, cold: 8}.toml())
	served(t, c, c.Daemons[0], "quote")
	tr := startTraffic(t, c, 8, "quote", 20)
	for range 3 {
		tr.more(t, 100)
		act(t, c.Engines[0], "silence")
	}
	tr.more(t, 200)
	all := tr.stop()
	checkAnswers(t, all)
	must.Len(t, 0, unanswered(all), must.Sprint(describe(unanswered(all))))
	checkNeverOver(t, entries(t, c.Engines...))
}
