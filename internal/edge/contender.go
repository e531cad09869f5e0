package edge

import "github.com/ragwortquay/ragwortquay/internal/shard"

// rankPrefix sets the ranking of daemons apart from other uses of the hash.
const rankPrefix = "rank/"

// contender is a daemon that may do work for all: read the store, or plan.
type contender struct {
	name     string
	capacity float64
}

// before reports whether c should do such work rather than o: the larger
// machine, and among equals the one that a hash of the names puts first, so that
// the work is spread over zones without a word between them.
func (c contender) before(o contender) bool {
	if c.capacity > o.capacity {
		return true
	}
	if c.capacity < o.capacity {
		return false
	}
	return shard.Hash(rankPrefix+c.name) < shard.Hash(rankPrefix+o.name)
}
