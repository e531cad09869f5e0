package ids

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

func TestOwnerReassignsOnlyKeysOfRemovedCandidate(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e"}
	owned := map[string]int{}
	for i := range 1000 {
		key := fmt.Sprintf("pool/%d", i)
		before := Owner(key, all)
		owned[before]++
		after := Owner(key, []string{"a", "b", "c", "d"})
		if before != "e" {
			must.Eq(t, before, after)
		}
	}
	for _, c := range all {
		must.Between(t, 120, owned[c], 280)
	}
	must.Eq(t, "", Owner("k", nil))
	must.Eq(t, Owner("k", []string{"x", "y"}), Owner("k", []string{"y", "x"}))
}

func TestNewIsUnique(t *testing.T) {
	seen := map[string]bool{}
	for range 1000 {
		id := New()
		must.False(t, seen[id])
		seen[id] = true
	}
}
