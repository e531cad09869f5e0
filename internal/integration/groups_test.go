package integration

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/procs"
	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/standin/machines"
)

// lossDetectionTime is the time during which a group may still be sent work after it
// has lost a member: the 500 ms report interval, the reports' time-out, and a margin
// for a busy machine.
const lossDetectionTime = 3 * time.Second

// A group member is killed under load. Requests must be completed or refused, the
// incomplete group must get no new requests, and a new group must form with a spare
// VM.
func TestMemberKilledUnderLoad(t *testing.T) {
	c := startCluster(t, procs.Options{Daemons: 3, FailureDomains: []string{"plateau"}, Engines: engineArgs("6", "--fabric-size", "6")})
	applyTables(t, c, testTables{vms: 5}.toml())
	waitServed(t, c, c.Daemons[0], "quote")
	tr := startTraffic(t, c, 8, "quote", 20)
	tr.waitForMore(t, 50)

	victim := groupFollowers(journalEntries(t, c.Engines...))[0]
	injectAction(t, c.Engines[0], machines.Kill, victim)
	killed := time.Now()
	waitFor(t, "a new group without "+victim, func() bool { return groupFormedAfter(journalEntries(t, c.Engines...), killed) })
	tr.waitForMore(t, 100)
	all := tr.stop()

	checkResponses(t, all)
	must.Len(t, 0, failures(all), must.Sprint(describe(failures(all))))
	checkNoWorkOnIncompleteGroup(t, journalEntries(t, c.Engines...), killed)
}

// checkNoWorkOnIncompleteGroup fails if an incomplete group started a request later
// than lossDetectionTime after the loss.
func checkNoWorkOnIncompleteGroup(t *testing.T, es []journal.Entry, lost time.Time) {
	t.Helper()
	for _, e := range es {
		if e.Event != journal.RequestStarted || !e.GroupIncomplete {
			continue
		}
		sinceLoss := time.UnixMilli(e.UnixMS).Sub(lost)
		must.Less(t, lossDetectionTime, sinceLoss, must.Sprintf("VM %s started request %s on incomplete group %d", e.VM, e.RequestID, e.FencingToken))
	}
}

// groupFormedAfter reports whether a VM became ready for a group after the given time.
func groupFormedAfter(es []journal.Entry, after time.Time) bool {
	for _, e := range es {
		if e.Event == journal.VMReady && e.UnixMS > after.UnixMilli() {
			return true
		}
	}
	return false
}

// groupFollowers returns the VMs that are members of a group but not its leader: they
// became ready and never started a request.
func groupFollowers(es []journal.Entry) []string {
	leads := map[string]bool{}
	for _, e := range es {
		if e.Event == journal.RequestStarted {
			leads[e.VM] = true
		}
	}
	var out []string
	for _, e := range es {
		if e.Event == journal.VMReady && !leads[e.VM] {
			out = append(out, e.VM)
		}
	}
	return out
}
