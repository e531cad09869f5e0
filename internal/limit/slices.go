package limit

import "github.com/ragwortquay/ragwortquay/internal/shard"

// MaxReplicasPerSlice is the number of replicas above which a pool is divided.
const MaxReplicasPerSlice = 64

// SliceCount is the number of slices of a pool with so many replicas. It is a
// power of two, so that growth moves half of a slice's replicas at most.
func SliceCount(replicas int) int {
	n := 1
	for n*MaxReplicasPerSlice < replicas {
		n *= 2
	}
	return n
}

// SliceOf returns the slice of a replica.
func SliceOf(id string, count int) int { return int(shard.Hash(id) % uint64(count)) }
