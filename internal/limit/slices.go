package limit

import "github.com/ragwortquay/ragwortquay/internal/shard"

// MaxReplicasPerSlice is the number of replicas above which a pool is divided
// into slices.
const MaxReplicasPerSlice = 64

// SliceCount returns the number of slices of a pool with this many replicas. It
// is a power of two, so that a change of it moves at most half of the replicas of
// a slice.
func SliceCount(replicas int) int {
	n := 1
	for n*MaxReplicasPerSlice < replicas {
		n *= 2
	}
	return n
}

// SliceOf returns the slice of a replica.
func SliceOf(id string, count int) int { return int(shard.Hash(id) % uint64(count)) }
