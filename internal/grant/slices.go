package grant

import (
	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/replica"
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
