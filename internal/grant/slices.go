package grant

import (
	"math/rand/v2"

	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// sliceReplicas lists the replicas of the tenure's slice.
func (h *Home) sliceReplicas(t *tenure) []replica.Replica {
	all := h.opt.Replicas.Replicas(t.id.Pool)
	n := limit.SliceCount(len(all))
	if n == 1 {
		return all
	}
	var own []replica.Replica
	for _, r := range all {
		if limit.SliceOf(r.ID, n) == t.id.Slice {
			own = append(own, r)
		}
	}
	return own
}

// sliceCount returns the number of slices of a pool; 0 if this daemon knows no
// replicas of it.
func (h *Home) sliceCount(pool string) int {
	n := len(h.opt.Replicas.Replicas(pool))
	if n == 0 {
		return 0
	}
	return limit.SliceCount(n)
}

// sliceQueueLengths has the last known queue length of each slice of a pool.
type sliceQueueLengths []int

// maxQueueExcess is how much longer than another slice's queue the queue of a
// prefix's slice may be before a request goes to the other slice.
const maxQueueExcess = 8

// chooseSlice returns the slice for a request: the slice of its prefix unless that
// queue is much longer, otherwise the shorter queue of two random slices.
func (c *Client) chooseSlice(req *limit.Request) int {
	lengths, _ := c.queueLengths.Get(req.Pool)
	if len(lengths) <= 1 {
		return 0
	}
	return lengths.choose(req.Prefix, rand.IntN(len(lengths)), rand.IntN(len(lengths)))
}

func (l sliceQueueLengths) choose(prefix uint64, a, b int) int {
	other := a
	if l[b] < l[a] {
		other = b
	}
	if prefix == 0 {
		return other
	}
	own := int(prefix % uint64(len(l)))
	if l[own] > l[other]+maxQueueExcess {
		return other
	}
	return own
}

// recordQueueLength records the queue length that a home has reported for a slice.
func (c *Client) recordQueueLength(pool string, slice int, m *wire.AcquireResponse) {
	if m.Slices <= 0 {
		return
	}
	old, _ := c.queueLengths.Get(pool)
	if m.Slices == 1 && len(old) <= 1 {
		return
	}
	c.queueLengths.Update(pool, func(old sliceQueueLengths, _ bool) (sliceQueueLengths, bool) {
		l := make(sliceQueueLengths, m.Slices)
		copy(l, old)
		if slice < len(l) {
			l[slice] = m.QueueLength
		}
		return l, true
	})
}
