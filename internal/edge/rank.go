package edge

import "github.com/ragwortquay/ragwortquay/internal/shard"

// rankHashPrefix separates the ranking of daemons from other uses of the hash.
const rankHashPrefix = "rank/"

// rankedDaemon is a daemon in the ranking that decides which daemons read the store
// and plan on behalf of all.
type rankedDaemon struct {
	name     string
	capacity float64
}

// ranksBefore reports whether r ranks before o: by larger capacity, and for equal
// capacities by a hash of the name. The hash spreads the work over the zones
// without communication between the daemons.
func (r rankedDaemon) ranksBefore(o rankedDaemon) bool {
	if r.capacity > o.capacity {
		return true
	}
	if r.capacity < o.capacity {
		return false
	}
	return shard.Hash(rankHashPrefix+r.name) < shard.Hash(rankHashPrefix+o.name)
}
