package integration

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/procs"
	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/standin/machines"
)

// detection is how long a group may still be sent work after it has lost a
// member: reports at 500 ms, their timeout, and a margin for a busy machine.
const detection = 3 * time.Second

// A member is killed under load: requests go on elsewhere or resume, the group
// is sent nothing while it lacks the member, and it serves again with a spare.
func TestMemberKilledUnderLoad(t *testing.T) {
	c := startCluster(t, procs.Options{Daemons: 3, FailureDomains: []string{"plateau"}, Engines: engines("6", "--fabric-size", "6")})
	apply(t, c, tables{vms: 5}.toml())
	served(t, c, c.Daemons[0], "quote")
	tr := startTraffic(t, c, 8, "quote", 20)
	tr.more(t, 50)

	victim := followers(entries(t, c.Engines...))[0]
	act(t, c.Engines[0], machines.Kill, victim)
	killed := time.Now()
	eventually(t, "a new group without "+victim, func() bool { return regrouped(entries(t, c.Engines...), killed) })
	tr.more(t, 100)
	all := tr.stop()

	checkAnswers(t, all)
	must.Len(t, 0, unanswered(all), must.Sprint(describe(unanswered(all))))
	checkIncomplete(t, entries(t, c.Engines...), killed)
}

// checkIncomplete fails if an incomplete group began work later than detection
// allows after the loss.
func checkIncomplete(t *testing.T, es []journal.Entry, lost time.Time) {
	t.Helper()
	for _, e := range es {
		if e.Event != journal.RequestStarted || !e.GroupIncomplete {
			continue
		}
		late := time.UnixMilli(e.UnixMS).Sub(lost)
		must.Less(t, detection, late, must.Sprintf("%s began %s on incomplete group %d", e.VM, e.RequestID, e.FencingToken))
	}
}

// regrouped reports whether a VM became ready for a group after the time.
func regrouped(es []journal.Entry, after time.Time) bool {
	for _, e := range es {
		if e.Event == journal.VMReady && e.UnixMS > after.UnixMilli() {
			return true
		}
	}
	return false
}

// followers returns VMs that are members of a group but do not lead it: they
// took an order and never started a request.
func followers(es []journal.Entry) []string {
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
