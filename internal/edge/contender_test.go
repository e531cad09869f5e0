package edge

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

// From a run in which a daemon on a link of 14 Mbit/s passed all announcements
// on to 116 others: its requests to engines waited for seconds behind them.
func TestLargeMachinesWorkForOthersFirst(t *testing.T) {
	small := contender{"a", 0.134 * 14}
	large := contender{"b", 0.8 * 200}
	must.True(t, large.before(small))
	must.False(t, small.before(large))
}

func TestEqualMachinesAreOrderedWithoutTies(t *testing.T) {
	equal := []contender{{"a", 1}, {"b", 1}, {"c", 1}, {"d", 0}}
	for _, x := range equal {
		for _, y := range equal {
			must.Eq(t, x != y, x.before(y) || y.before(x))
			must.False(t, x.before(y) && y.before(x))
		}
	}
	slices.SortFunc(equal, func(x, y contender) int {
		if x.before(y) {
			return -1
		}
		return 1
	})
	must.Eq(t, "d", equal[3].name)
}
