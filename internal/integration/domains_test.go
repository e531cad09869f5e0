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

// withdrawalGrace is the time during which new work may still reach a target after an
// accepted edit, a VM notice or a report has withdrawn it.
const withdrawalGrace = 3 * time.Second

// startDomainCluster starts a cluster with three failure domains, each with engines
// for two groups and one service.
func startDomainCluster(t *testing.T, daemons int) *procs.Cluster {
	t.Helper()
	c := startCluster(t, procs.Options{
		Daemons: daemons, Engines: engineArgs("12", "--fabric-size", "4", "--cold-limit", "4", "--warm-limit", "64"), Services: serviceArgs("3"),
	})
	applyTables(t, c, threeDomainTables.toml())
	waitServed(t, c, c.Daemons[0], "quote")
	return c
}

var threeDomainTables = testTables{vms: 12, services: 3, limit: 16, coldLimit: 4}

// vmsIn returns the stand-in's VMs in a failure domain, as a set of ids.
func vmsIn(s *procs.Standin, domain string) map[string]bool {
	out := map[string]bool{}
	for _, vm := range s.VMs {
		if vm.FailureDomain == domain {
			out[vm.ID] = true
		}
	}
	return out
}

// checkNoRequestStarted fails if one of the VMs started a request between from and to,
// where from is withdrawalGrace after the VMs were withdrawn.
func checkNoRequestStarted(t *testing.T, es []journal.Entry, vms map[string]bool, from, to time.Time) {
	t.Helper()
	for _, e := range es {
		if e.Event == journal.RequestStarted && vms[e.VM] && e.UnixMS > from.UnixMilli() && e.UnixMS < to.UnixMilli() {
			t.Fatalf("seed %d: VM %s started request %s %s after it was withdrawn", seed, e.VM, e.RequestID, time.UnixMilli(e.UnixMS).Sub(from)+withdrawalGrace)
		}
	}
}

// checkNoOverload fails if a target crashed, or if it started a request that exceeded
// its limit.
func checkNoOverload(t *testing.T, es []journal.Entry) {
	t.Helper()
	for _, e := range es {
		must.True(t, e.Event != journal.VMCrashed, must.Sprintf("seed %d: VM %s crashed: %s", seed, e.VM, e.Reason))
		if e.Event == journal.RequestStarted {
			must.LessEq(t, e.Limit, e.Inflight, must.Sprintf("VM %s ran %d requests at a limit of %d", e.VM, e.Inflight, e.Limit))
		}
	}
}

// An operator withdraws a failure domain and returns it under load. No request may
// start there while it is withdrawn, none may fail, and at most 0.5 % may be refused.
func TestFailureDomainWithdrawnAndReturned(t *testing.T) {
	c := startDomainCluster(t, 3)
	tr := startTraffic(t, c, 12, "quote", 20)
	tr.waitForMore(t, 100)

	reduced := threeDomainTables
	reduced.withdrawn = []string{"almadies"}
	applyTables(t, c, reduced.toml())
	withdrawn := time.Now()
	tr.waitForMore(t, 100)
	waitFor(t, "the end of withdrawalGrace", func() bool { return time.Since(withdrawn) > withdrawalGrace })
	tr.waitForMore(t, 200)
	returned := time.Now()
	applyTables(t, c, threeDomainTables.toml())
	domainVMs := vmsIn(c.Engines[0], "almadies")
	waitFor(t, "a request on the returned failure domain", func() bool {
		for _, e := range journalEntries(t, c.Engines...) {
			if e.Event == journal.RequestStarted && domainVMs[e.VM] && e.UnixMS > returned.UnixMilli() {
				return true
			}
		}
		return false
	})
	tr.waitForMore(t, 200)
	all := tr.stop()

	es := journalEntries(t, c.Engines...)
	checkResponses(t, all)
	checkNoRequestStarted(t, es, domainVMs, withdrawn.Add(withdrawalGrace), returned)
	checkNoOverload(t, es)
	must.Len(t, 0, failures(all), must.Sprint(describe(failures(all))))
	must.LessEq(t, float64(len(all))*0.005, float64(len(refusals(all))), must.Sprint(describe(refusals(all))))
}

// All engines of a failure domain are killed without notice. Each request must be
// completed or refused, and the engines of the other domains must not be overloaded.
func TestFailureDomainLost(t *testing.T) {
	c := startDomainCluster(t, 3)
	tr := startTraffic(t, c, 12, "quote", 20)
	tr.waitForMore(t, 100)
	for vm := range vmsIn(c.Engines[0], "rufisque") {
		injectAction(t, c.Engines[0], "kill", vm)
	}
	tr.waitForMore(t, 300)
	all := tr.stop()
	checkResponses(t, all)
	must.Len(t, 0, failures(all), must.Sprint(describe(failures(all))))
	checkNoOverload(t, entriesWithout(journalEntries(t, c.Engines...), vmsIn(c.Engines[0], "rufisque")))
}

// entriesWithout returns the entries of all VMs but the given ones.
func entriesWithout(es []journal.Entry, vms map[string]bool) []journal.Entry {
	var out []journal.Entry
	for _, e := range es {
		if !vms[e.VM] {
			out = append(out, e)
		}
	}
	return out
}

// A VM that the platform removes, and an engine that reports that it drains, must get
// no new requests after withdrawalGrace.
func TestLeavingAndDrainingTargets(t *testing.T) {
	tests := []struct {
		name  string
		leave func(t *testing.T, c *procs.Cluster, vm string)
	}{
		{"VM leaves", func(t *testing.T, c *procs.Cluster, vm string) {
			edit := vmlist.Edit{StateChanges: []vmlist.StateChange{{ID: vm, State: platform.VMLeaving}}}
			must.NoError(t, c.VMs.Post("/v1/vms", edit))
		}},
		{"engine drains", func(t *testing.T, c *procs.Cluster, vm string) {
			setEngineFaults(t, c.Engines[0], engine.Faults{Draining: true}, vm)
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := startDomainCluster(t, 2)
			tr := startTraffic(t, c, 8, "quote", 10)
			tr.waitForMore(t, 100)
			leavingVM := groupLeaders(journalEntries(t, c.Engines...))[0]
			tc.leave(t, c, leavingVM)
			left := time.Now()
			waitFor(t, "the end of withdrawalGrace", func() bool { return time.Since(left) > withdrawalGrace })
			tr.waitForMore(t, 200)
			all := tr.stop()
			checkResponses(t, all)
			must.Len(t, 0, failures(all), must.Sprint(describe(failures(all))))
			checkNoRequestStarted(t, journalEntries(t, c.Engines...), map[string]bool{leavingVM: true}, left.Add(withdrawalGrace), time.Now())
		})
	}
}

// groupLeaders returns the VMs that have started requests, which only leaders do.
func groupLeaders(es []journal.Entry) []string {
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
