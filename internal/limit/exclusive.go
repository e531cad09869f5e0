package limit

import (
	"slices"
)

// updateReserved keeps one replica free of new work while an exclusive request
// waits, so that the replica becomes idle even under continuous load.
func (p *Pool) updateReserved() {
	if p.queue.firstExclusive == nil {
		p.reserved = ""
		return
	}
	if rs, ok := p.replicas[p.reserved]; ok && p.reservable(rs, p.queue.firstExclusive) {
		return
	}
	p.reserved = p.leastLoaded(p.queue.firstExclusive)
}

func (p *Pool) reservable(rs *replicaState, req *Request) bool {
	return p.available(rs) && !rs.exclusive && !slices.Contains(req.Exclude, rs.replica.ID)
}

// leastLoaded returns the reservable replica with the least work.
func (p *Pool) leastLoaded(req *Request) string {
	best, least := "", 0
	for id, rs := range p.replicas {
		if !p.reservable(rs, req) {
			continue
		}
		if best == "" || rs.used() < least || (rs.used() == least && id < best) {
			best, least = id, rs.used()
		}
	}
	return best
}
