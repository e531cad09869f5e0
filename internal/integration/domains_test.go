package integration

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/procs"
	"github.com/ragwortquay/ragwortquay/internal/standin/engine"
	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/standin/vmlist"
)

// settle is how long after an accepted edit, a VM's notice or a report new work
// may still reach what it withdraws.
const settle = 3 * time.Second

// domainCluster has three failure domains of two groups each, and a service in
// each domain.
func domainCluster(t *testing.T, daemons int) *procs.Cluster {
	t.Helper()
	c := startCluster(t, procs.Options{
		Daemons: daemons, Engines: engines("12", "--fabric-size", "4", "--cold-limit", "4", "--warm-limit", "64"), Services: services("3"),
	})
	apply(t, c, domainTables.toml())
	served(t, c, c.Daemons[0], "quote")
	return c
}

var domainTables = tables{vms: 12, services: 3, limit: 16, cold: 4}

// vmsIn returns the VMs of a failure domain.
func vmsIn(s *procs.Standin, domain string) map[string]bool {
	out := map[string]bool{}
	for _, vm := range s.VMs {
		if vm.FailureDomain == domain {
			out[vm.ID] = true
		}
	}
	return out
}

// checkNoStart fails if one of the VMs began work in the given time.
func checkNoStart(t *testing.T, es []journal.Entry, vms map[string]bool, from, to time.Time) {
	t.Helper()
	for _, e := range es {
		if e.Event == journal.RequestStarted && vms[e.VM] && e.UnixMS > from.UnixMilli() && e.UnixMS < to.UnixMilli() {
			t.Fatalf("seed %d: %s began %s %s after it was withdrawn", seed, e.VM, e.RequestID, time.UnixMilli(e.UnixMS).Sub(from)+settle)
		}
	}
}

// checkNeverOver fails if a target was pushed beyond what it bears.
func checkNeverOver(t *testing.T, es []journal.Entry) {
	t.Helper()
	for _, e := range es {
		must.True(t, e.Event != journal.VMCrashed, must.Sprintf("seed %d: %s fell over: %s", seed, e.VM, e.Reason))
		if e.Event == journal.RequestStarted {
			must.LessEq(t, e.Limit, e.Inflight, must.Sprintf("%s ran %d of %d", e.VM, e.Inflight, e.Limit))
		}
	}
}

// An operator takes a failure domain out and brings it back under load.
func TestDomainLeavesAndReturns(t *testing.T) {
	c := domainCluster(t, 3)
	tr := startTraffic(t, c, 12, "quote", 20)
	tr.more(t, 100)

	out := domainTables
	out.withdrawn = []string{"almadies"}
	apply(t, c, out.toml())
	withdrawn := time.Now()
	tr.more(t, 100)
	eventually(t, "the settling time", func() bool { return time.Since(withdrawn) > settle })
	tr.more(t, 200)
	returned := time.Now()
	apply(t, c, domainTables.toml())
	back := vmsIn(c.Engines[0], "almadies")
	eventually(t, "work on the returned domain", func() bool {
		for _, e := range entries(t, c.Engines...) {
			if e.Event == journal.RequestStarted && back[e.VM] && e.UnixMS > returned.UnixMilli() {
				return true
			}
		}
		return false
	})
	tr.more(t, 200)
	all := tr.stop()

	es := entries(t, c.Engines...)
	checkAnswers(t, all)
	checkNoStart(t, es, back, withdrawn.Add(settle), returned)
	checkNeverOver(t, es)
	must.Len(t, 0, unanswered(all), must.Sprint(describe(unanswered(all))))
	must.LessEq(t, float64(len(all))*0.005, float64(len(refusals(all))), must.Sprint(describe(refusals(all))))
}

// A whole failure domain goes dark without notice.
func TestDomainGoesDark(t *testing.T) {
	c := domainCluster(t, 3)
	tr := startTraffic(t, c, 12, "quote", 20)
	tr.more(t, 100)
	for vm := range vmsIn(c.Engines[0], "rufisque") {
		act(t, c.Engines[0], "kill", vm)
	}
	tr.more(t, 300)
	all := tr.stop()
	checkAnswers(t, all)
	must.Len(t, 0, unanswered(all), must.Sprint(describe(unanswered(all))))
	checkNeverOver(t, without(entries(t, c.Engines...), vmsIn(c.Engines[0], "rufisque")))
}

// without leaves out the entries of some VMs.
func without(es []journal.Entry, vms map[string]bool) []journal.Entry {
	var out []journal.Entry
	for _, e := range es {
		if !vms[e.VM] {
			out = append(out, e)
		}
	}
	return out
}

// A VM that the platform takes away, and one that asks for no new work, receive
// none after a few seconds.
func TestLeavingTargets(t *testing.T) {
	tests := []struct {
		name  string
		leave func(t *testing.T, c *procs.Cluster, vm string)
	}{
		{"VM leaves", func(t *testing.T, c *procs.Cluster, vm string) {
			edit := vmlist.Edit{StateChanges: []vmlist.StateChange{{ID: vm, State: platform.VMLeaving}}}
			must.NoError(t, c.VMs.Post("/v1/vms", edit))
		}},
		{"engine drains", func(t *testing.T, c *procs.Cluster, vm string) {
			behave(t, c.Engines[0], engine.Faults{Draining: true}, vm)
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := domainCluster(t, 2)
			tr := startTraffic(t, c, 8, "quote", 10)
			tr.more(t, 100)
			leaver := leaders(entries(t, c.Engines...))[0]
			tc.leave(t, c, leaver)
			left := time.Now()
			eventually(t, "the settling time", func() bool { return time.Since(left) > settle })
			tr.more(t, 200)
			all := tr.stop()
			checkAnswers(t, all)
			must.Len(t, 0, unanswered(all), must.Sprint(describe(unanswered(all))))
			checkNoStart(t, entries(t, c.Engines...), map[string]bool{leaver: true}, left.Add(settle), time.Now())
		})
	}
}

// leaders returns the VMs that have started requests.
func leaders(es []journal.Entry) []string {
	seen := map[string]bool{}
	var out []string
	for _, e := range es {
		if e.Event == journal.RequestStarted && !seen[e.VM] {
			seen[e.VM] = true
			out = append(out, e.VM)
		}
	}
	return out
}
