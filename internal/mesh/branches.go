package mesh

import (
	"cmp"
	"slices"

	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

const (
	// maxFanOutSeconds is the time within which a daemon's share of its link carries a push
	// to those that it sends it to itself, unless they are fewer than minBranches.
	maxFanOutSeconds = 0.1
	minBranches      = 2
)

// branchCount returns to how many of a number of receivers a daemon sends a push itself;
// those pass it on to the others. It addresses pushes from a small link to a large fleet,
// which one sender can't carry to all within the time for a change of the configuration. A
// rate of 0 is not known, and counts as large.
func branchCount(receivers, pushBytes int, bytesPerSecond float64) int {
	if bytesPerSecond <= 0 || pushBytes <= 0 {
		return receivers
	}
	n := int(maxFanOutSeconds * pushLinkShare * bytesPerSecond / float64(pushBytes))
	// Each of them can be named MaxForward others.
	least := (receivers + wire.MaxForward) / (wire.MaxForward + 1)
	return min(receivers, max(n, minBranches, least))
}

// divide divides a list into n parts of about the same size that keep its order.
func divide[T any](list []T, n int) [][]T {
	out := make([][]T, 0, n)
	for i := range n {
		out = append(out, list[len(list)*i/n:len(list)*(i+1)/n])
	}
	return out
}

// receiver is a daemon that a push is meant for.
type receiver struct {
	name, addr, zone string
	// alive is set if the daemon was heard lately.
	alive bool
}

// planBranches divides the receivers of a push into branches. The first of each branch is
// sent the push, and passes it on to the rest. Daemons that were not heard lately come last
// in their branches, where no other daemon depends on them, and those of a zone mostly in
// the same branch. The order differs between roots, so that a daemon that fails cuts off
// different ones from the pushes of two roots.
func planBranches(root string, receivers []receiver, n int) [][]receiver {
	order := func(r *receiver) uint64 { return shard.Hash(root + "/" + r.name) }
	sorted := slices.Clone(receivers)
	slices.SortFunc(sorted, func(a, b receiver) int {
		return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(order(&a), order(&b)), cmp.Compare(a.name, b.name))
	})
	var alive, unheard []receiver
	for _, r := range sorted {
		if r.alive {
			alive = append(alive, r)
		} else {
			unheard = append(unheard, r)
		}
	}
	if n > len(alive) {
		return divide(append(alive, unheard...), n)
	}
	branches := divide(alive, n)
	for i, rest := range divide(unheard, n) {
		branches[i] = slices.Concat(branches[i], rest)
	}
	return branches
}
