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

// swapFaultRequests is the number of requests that are sent to targets that delay,
// swap and send responses after the time-out.
const swapFaultRequests = 10_000

// Services delay some responses beyond the first-byte time-out and swap others
// between requests. No caller may get the response to another request; each response
// carries a digest of its own request.
func TestDelayedAndSwappedResponses(t *testing.T) {
	c := startCluster(t, procs.Options{
		Daemons: 3, Services: serviceArgs("4", "--work", "1ms", "--cold-limit", "64", "--warm-limit", "256"),
		ExtraSettings: "[targets]\nfirst_byte_timeout = \"300ms\"\n",
	})
	applyTables(t, c, testTables{services: 4, limit: 64, coldLimit: 64}.toml())
	sendStock := func(d *procs.Daemon, caller *procs.Caller, id string, body []byte) procs.Result {
		return caller.Do(context.Background(), d.CallersAddr, procs.Call{Kind: "stock", RequestID: id, Path: "/stock", Body: body})
	}
	waitFor(t, "a first response", func() bool {
		return sendStock(c.Daemons[0], procs.NewCaller("shops"), "warm", nil).Status == 200
	})
	setServiceFaults(t, c.Services[0], service.Faults{DelayMS: 1, DelayEvery: 97, DelayEveryMS: 600, SwapResponseEvery: 41}, "svc-0", "svc-1")

	const workers = 32
	var next, succeeded atomic.Int64
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			caller := procs.NewCaller("shops")
			for n := next.Add(1); n <= swapFaultRequests; n = next.Add(1) {
				id := fmt.Sprintf("mixed-%d", n)
				body := fmt.Appendf(nil, "item %d of %d", n, w)
				r := sendStock(c.Daemons[n%3], caller, id, body)
				if r.Status != 200 {
					continue
				}
				var got oracle.ServiceResponse
				if err := json.Unmarshal(r.Body, &got); err != nil {
					t.Errorf("request %s: response can't be decoded: %v", id, err)
					return
				}
				if want := oracle.NewServiceResponse(id, "POST", "/stock", body); got != want || r.RequestID != id {
					t.Errorf("request %s got response %+v with request id %s", id, got, r.RequestID)
					return
				}
				succeeded.Add(1)
			}
		})
	}
	wg.Wait()
	must.Greater(t, int64(swapFaultRequests*9/10), succeeded.Load())
}

// Engines delay some streams and swap others between requests. No caller may get
// tokens of another request, and each request is completed or refused.
func TestDelayedAndSwappedStreams(t *testing.T) {
	c := startCluster(t, procs.Options{
		Daemons: 3, Engines: engineArgs("6", "--cold-limit", "8", "--step", "2ms"),
		ExtraSettings: "[targets]\nfirst_byte_timeout = \"500ms\"\n",
	})
	applyTables(t, c, testTables{vms: 6, limit: 16, coldLimit: 8}.toml())
	waitServed(t, c, c.Daemons[0], "quote")
	setEngineFaults(t, c.Engines[0], engine.Faults{DelayEvery: 13, DelayEveryMS: 800, SwapResponseEvery: 7}, "vm-0", "vm-1")
	tr := startTraffic(t, c, 12, "quote", 15)
	tr.waitForMore(t, 1000)
	all := tr.stop()
	checkResponses(t, all)
	must.Len(t, 0, failures(all), must.Sprint(describe(failures(all))))
}

// Open connections to engines are black-holed several times, while new ones work. The
// silence time-out must detect this, so that each request is completed or refused.
func TestBlackHoledConnections(t *testing.T) {
	c := startCluster(t, procs.Options{
		Daemons: 2, Engines: engineArgs("4", "--cold-limit", "8"),
		ExtraSettings: "[targets]\nsilence_timeout = \"700ms\"\n",
	})
	applyTables(t, c, testTables{vms: 4, limit: 16, coldLimit: 8}.toml())
	waitServed(t, c, c.Daemons[0], "quote")
	tr := startTraffic(t, c, 8, "quote", 20)
	for range 3 {
		tr.waitForMore(t, 100)
		injectAction(t, c.Engines[0], "silence")
	}
	tr.waitForMore(t, 200)
	all := tr.stop()
	checkResponses(t, all)
	must.Len(t, 0, failures(all), must.Sprint(describe(failures(all))))
	checkNoOverload(t, journalEntries(t, c.Engines...))
}
