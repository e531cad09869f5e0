package grant

import (
	"math/rand/v2"

	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// replicas lists the replicas of the tenure's slice.
func (h *Home) replicas(t *tenure) []replica.Replica {
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

// sliceCount is the number of slices of a pool; 0 if it has no replicas here.
func (h *Home) sliceCount(pool string) int {
	n := len(h.opt.Replicas.Replicas(pool))
	if n == 0 {
		return 0
	}
	return limit.SliceCount(n)
}

// poolLoad is what homes last said of a pool: the length of each slice's
// queue. Its length is the number of slices.
type poolLoad []int

// crowded is how much longer than another's a slice's queue must be before a
// request leaves the slice of its prefix.
const crowded = 8

// slice chooses the slice for a request: that of its prefix while its queue is
// not much longer than another's, otherwise the shorter queue of two.
func (c *Client) slice(req *limit.Request) int {
	loads, _ := c.loads.Get(req.Pool)
	if len(loads) <= 1 {
		return 0
	}
	return loads.choose(req.Prefix, rand.IntN(len(loads)), rand.IntN(len(loads)))
}

func (l poolLoad) choose(prefix uint64, a, b int) int {
	other := a
	if l[b] < l[a] {
		other = b
	}
	if prefix == 0 {
		return other
	}
	own := int(prefix % uint64(len(l)))
	if l[own] > l[other]+crowded {
		return other
	}
	return own
}

// noteLoad remembers what a home said of a slice.
func (c *Client) noteLoad(pool string, slice int, m *wire.AcquireResponse) {
	if m.Slices <= 0 {
		return
	}
	old, _ := c.loads.Get(pool)
	if m.Slices == 1 && len(old) <= 1 {
		return
	}
	c.loads.Update(pool, func(old poolLoad, _ bool) (poolLoad, bool) {
		l := make(poolLoad, m.Slices)
		copy(l, old)
		if slice < len(l) {
			l[slice] = m.QueueLength
		}
		return l, true
	})
}
