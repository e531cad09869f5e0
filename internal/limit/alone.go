package limit

import (
	"slices"
)

// updateReserve keeps one replica free of new work while some request waits to
// run alone, so that the replica becomes idle under a load that never pauses.
func (p *Pool) updateReserve() {
	if p.queue.alone == nil {
		p.reserved = ""
		return
	}
	if u, ok := p.units[p.reserved]; ok && p.suits(u, p.queue.alone) {
		return
	}
	p.reserved = p.idlest(p.queue.alone)
}

func (p *Pool) suits(u *unit, req *Request) bool {
	return p.open(u) && !u.alone && !slices.Contains(req.Exclude, u.rep.ID)
}

// idlest returns the suitable replica with the least work.
func (p *Pool) idlest(req *Request) string {
	best, least := "", 0
	for id, u := range p.units {
		if !p.suits(u, req) {
			continue
		}
		if best == "" || u.used() < least || (u.used() == least && id < best) {
			best, least = id, u.used()
		}
	}
	return best
}
