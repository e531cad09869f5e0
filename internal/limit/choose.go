package limit

import (
	"math"
	"slices"
	"time"
)

// Bounds of the choice.
const (
	// affinityFactor is how far above the mean relative load a replica may be
	// and still attract its prefixes.
	affinityFactor = 1.25
	// affinityFloor is the relative load up to which it does so in any case.
	affinityFloor = 0.5
	// freshReport is the age up to which a report counts as recent.
	freshReport = 2 * time.Second
)

// place grants the request on the best replica that has room, or returns nil.
func (p *Pool) place(now time.Time, req *Request) *Grant {
	u := p.choose(now, req)
	if u == nil {
		return nil
	}
	h := &hold{unit: u, at: now, grant: p.grantOn(now, u, req)}
	p.add(now, h)
	g := h.grant
	return &g
}

func (p *Pool) grantOn(now time.Time, u *unit, req *Request) Grant {
	return Grant{
		ID: p.nextID(), Request: req.ID, Pool: p.name, Slice: p.slice,
		Replica: u.rep.ID, Group: u.rep.Group, Incarnation: u.rep.Incarnation,
		Leader: u.rep.Leader, Addr: u.rep.Addr, FailureDomain: u.rep.FailureDomain,
		Holder: req.Holder, Boot: req.Boot, Seq: req.Seq, Exclusive: req.Exclusive,
		Expires: now.Add(GrantTTL), Deadline: req.Deadline,
		Cold: !p.warm(u), Level: u.ramp.level, GrantedAt: now,
		Home: p.home, Term: p.term,
	}
}

// choose returns the replica for the request. A prefix goes to the first in
// its own order of replicas whose load is not far above the mean; a request
// without one, or whose replicas are all loaded, goes where the relative load
// is least, between equals to the failure domain with the least load.
func (p *Pool) choose(now time.Time, req *Request) *unit {
	fit := p.fitting(now, req)
	if len(fit) == 0 {
		return nil
	}
	if req.Prefix != 0 {
		if u := p.byPrefix(now, req.Prefix, fit); u != nil {
			return u
		}
	}
	return p.byLoad(now, fit)
}

// fitting lists the replicas that may run the request now.
func (p *Pool) fitting(now time.Time, req *Request) []*unit {
	var fit []*unit
	for _, u := range p.units {
		if p.fits(now, u, req) {
			fit = append(fit, u)
		}
	}
	return p.elsewhere(req, fit)
}

// elsewhere leaves out the failure domains that the request avoids. If the
// others are only full it returns none, so that the request waits for them; if
// none is open it returns all.
func (p *Pool) elsewhere(req *Request, fit []*unit) []*unit {
	avoided := func(u *unit) bool { return slices.Contains(req.AvoidDomains, u.rep.FailureDomain) }
	if !slices.ContainsFunc(fit, avoided) {
		return fit
	}
	for _, u := range p.units {
		if p.open(u) && !avoided(u) && !slices.Contains(req.Exclude, u.rep.ID) {
			return slices.DeleteFunc(fit, avoided)
		}
	}
	return fit
}

func (p *Pool) fits(now time.Time, u *unit, req *Request) bool {
	if u.alone || u.used() >= p.allowed(u, now) {
		return false
	}
	if req.Exclusive && u.used() > 0 {
		return false
	}
	if !req.Exclusive && p.reserved == u.rep.ID {
		return false
	}
	if req.NeedFresh && now.Sub(u.rep.ReportedAt) > freshReport {
		return false
	}
	return !slices.Contains(req.Exclude, u.rep.ID)
}

func (p *Pool) byPrefix(now time.Time, prefix uint64, fit []*unit) *unit {
	bound := max(affinityFloor, affinityFactor*p.meanLoad(now))
	var best *unit
	var top uint64
	for _, u := range fit {
		allowed := float64(p.allowed(u, now))
		if float64(u.used()+1) > math.Ceil(bound*allowed) {
			continue
		}
		if w := affinity(prefix, u.hash); best == nil || w > top {
			best, top = u, w
		}
	}
	return best
}

// meanLoad is the relative load of all open replicas with one request more.
func (p *Pool) meanLoad(now time.Time) float64 {
	used, allowed := 1, 0
	for _, u := range p.units {
		if a := p.allowed(u, now); a > 0 {
			used += u.used()
			allowed += a
		}
	}
	return float64(used) / float64(max(1, allowed))
}

// affinity ranks a replica for a prefix. It mixes both so that each prefix has
// an order of replicas of its own (the finalizer of splitmix64).
func affinity(prefix, replica uint64) uint64 {
	z := prefix ^ replica
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

func (p *Pool) byLoad(now time.Time, fit []*unit) *unit {
	domains := p.domainLoads(now)
	return slices.MinFunc(fit, func(a, b *unit) int {
		if c := compareLoad(a.used(), p.allowed(a, now), b.used(), p.allowed(b, now)); c != 0 {
			return c
		}
		da, db := domains[a.rep.FailureDomain], domains[b.rep.FailureDomain]
		if c := compareLoad(da.used, da.allowed, db.used, db.allowed); c != 0 {
			return c
		}
		if a.rep.ID < b.rep.ID {
			return -1
		}
		return 1
	})
}

// compareLoad compares used/allowed without division.
func compareLoad(usedA, allowedA, usedB, allowedB int) int {
	return usedA*allowedB - usedB*allowedA
}

type domainLoad struct{ used, allowed int }

func (p *Pool) domainLoads(now time.Time) map[string]domainLoad {
	loads := make(map[string]domainLoad)
	for _, u := range p.units {
		d := loads[u.rep.FailureDomain]
		d.used += u.used()
		d.allowed += p.allowed(u, now)
		loads[u.rep.FailureDomain] = d
	}
	return loads
}
