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

// A request that crashes its targets is refused by all daemons after the
// second crash; its neighbours are served.
func TestPoisonIsQuarantined(t *testing.T) {
	c := startCluster(t, procs.Options{Daemons: 3, Engines: engines("12", "--fabric-size", "4", "--cold-limit", "8")})
	apply(t, c, tables{vms: 12, limit: 16, cold: 8}.toml())
	served(t, c, c.Daemons[0], "quote")
	behave(t, c.Engines[0], engine.Faults{Poison: "venom"})
	tr := startTraffic(t, c, 6, "quote", 10)
	tr.more(t, 60)

	caller := procs.NewCaller("shops")
	poisoned := func(n int, d *procs.Daemon) procs.Result {
		return caller.Do(t.Context(), d.CallersAddr, procs.NewGenerateCall("quote", fmt.Sprintf("poison-%d", n), "venom in the prompt", 5))
	}
	n := 0
	eventually(t, "the quarantine on every daemon", func() bool {
		refused := 0
		for _, d := range c.Daemons {
			n++
			if r := poisoned(n, d); r.Status == 422 {
				refused++
			}
		}
		return refused == len(c.Daemons)
	})
	crashes := crashesBy(entries(t, c.Engines...), "poison-")
	settled := time.Now()
	for i := range 12 {
		must.Eq(t, 422, poisoned(1000+i, c.Daemons[i%3]).Status)
	}
	tr.more(t, 60)
	all := tr.stop()
	checkAnswers(t, all)
	must.Len(t, 0, unanswered(all), must.Sprint(describe(unanswered(all))))
	for _, s := range all {
		must.True(t, s.result.Status != 422, must.Sprintf("neighbour %s was blamed", s.id))
	}
	must.Eq(t, crashes, crashesBy(entries(t, c.Engines...), "poison-"), must.Sprintf("crashes after %s", settled))
	must.Eq(t, 2, crashes)
}

// crashesBy counts the runs of poisoned prompts that crashed their VM, of
// requests with the id prefix.
func crashesBy(es []journal.Entry, prefix string) int {
	n := 0
	for _, e := range es {
		if e.Event == journal.RequestAborted && e.Reason == "poison" && strings.HasPrefix(e.RequestID, prefix) {
			n++
		}
	}
	return n
}
