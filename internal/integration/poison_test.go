package integration

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/procs"
	"github.com/ragwortquay/ragwortquay/internal/standin/engine"
	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
)

// A prompt that crashes its targets must be quarantined: all daemons refuse it after
// the second crash. Other requests that run at the same time must not be refused with 422.
func TestPoisonIsQuarantined(t *testing.T) {
	c := startCluster(t, procs.Options{Daemons: 3, Engines: engineArgs("12", "--fabric-size", "4", "--cold-limit", "8")})
	applyTables(t, c, testTables{vms: 12, limit: 16, coldLimit: 8}.toml())
	waitServed(t, c, c.Daemons[0], "quote")
	setEngineFaults(t, c.Engines[0], engine.Faults{Poison: "venom"})
	tr := startTraffic(t, c, 6, "quote", 10)
	tr.waitForMore(t, 60)

	caller := procs.NewCaller("shops")
	poisoned := func(n int, d *procs.Daemon) procs.Result {
		return caller.Do(t.Context(), d.CallersAddr, procs.NewGenerateCall("quote", fmt.Sprintf("poison-%d", n), "venom in the prompt", 5))
	}
	n := 0
	waitFor(t, "all daemons refuse the poisoned prompt", func() bool {
		refused := 0
		for _, d := range c.Daemons {
			n++
			if r := poisoned(n, d); r.Status == 422 {
				refused++
			}
		}
		return refused == len(c.Daemons)
	})
	crashes := crashesBy(journalEntries(t, c.Engines...), "poison-")
	quarantinedAt := time.Now()
	for i := range 12 {
		must.Eq(t, 422, poisoned(1000+i, c.Daemons[i%3]).Status)
	}
	tr.waitForMore(t, 60)
	all := tr.stop()
	checkResponses(t, all)
	must.Len(t, 0, failures(all), must.Sprint(describe(failures(all))))
	for _, s := range all {
		must.True(t, s.result.Status != 422, must.Sprintf("request %s without the poison was refused with 422", s.id))
	}
	must.Eq(t, crashes, crashesBy(journalEntries(t, c.Engines...), "poison-"), must.Sprintf("crashes after %s, when all daemons refused the prompt", quarantinedAt))
	must.Eq(t, 2, crashes)
}

// crashesBy counts the requests with the id prefix whose poisoned prompt crashed their
// VM.
func crashesBy(es []journal.Entry, prefix string) int {
	n := 0
	for _, e := range es {
		if e.Event == journal.RequestAborted && e.Reason == "poison" && strings.HasPrefix(e.RequestID, prefix) {
			n++
		}
	}
	return n
}
