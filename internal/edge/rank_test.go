package edge

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestLargerMachineRanksFirst guards against a small machine taking on work for all
// daemons: a daemon on a link of 14 Mbit/s once pushed all announcements to 116
// others, and its requests to engines were queued behind them for seconds.
func TestLargerMachineRanksFirst(t *testing.T) {
	small := rankedDaemon{"a", 0.134 * 14}
	large := rankedDaemon{"b", 0.8 * 200}
	must.True(t, large.ranksBefore(small))
	must.False(t, small.ranksBefore(large))
}

func TestRankingIsTotalForEqualMachines(t *testing.T) {
	equal := []rankedDaemon{{"a", 1}, {"b", 1}, {"c", 1}, {"d", 0}}
	for _, x := range equal {
		for _, y := range equal {
			must.Eq(t, x != y, x.ranksBefore(y) || y.ranksBefore(x))
			must.False(t, x.ranksBefore(y) && y.ranksBefore(x))
		}
	}
	slices.SortFunc(equal, func(x, y rankedDaemon) int {
		if x.ranksBefore(y) {
			return -1
		}
		return 1
	})
	must.Eq(t, "d", equal[3].name)
}

// TestCandidateDelay checks that a daemon has heard of those that rank before it when it
// may compete for the planners' lease: it learns their addresses in the discovery
// period, and their presence reports come twice a second.
func TestCandidateDelay(t *testing.T) {
	must.LessEq(t, 600*time.Millisecond, candidateDelay(15))
	must.GreaterEq(t, 2*500*time.Millisecond, candidateDelay(117))
	must.GreaterEq(t, 3*500*time.Millisecond, candidateDelay(295))
	must.LessEq(t, 2500*time.Millisecond, candidateDelay(350))
}

// TestReadiness guards against a daemon that keeps taking requests while it knows of a
// configuration that it can't get.
func TestReadiness(t *testing.T) {
	strict := Settings{ConfigBound: 2 * time.Second, StrictRevoke: true, RevokeBound: 5 * time.Second}
	lax := Settings{ConfigBound: 2 * time.Second, RevokeBound: 5 * time.Second}
	must.True(t, strict.readyWith(2*time.Second, 0))
	must.False(t, strict.readyWith(4*time.Second, 0))
	must.True(t, lax.readyWith(time.Hour, time.Second))
	must.False(t, lax.readyWith(0, 2*time.Second))
}
