package limit

import (
	"math"
	"slices"
	"time"
)

// Parameters of the replica choice.
const (
	// affinityLoadFactor is the multiple of the mean relative load up to which
	// prefix affinity selects a replica.
	affinityLoadFactor = 1.25
	// minAffinityLoad is the relative load up to which prefix affinity selects a
	// replica whatever the mean.
	minAffinityLoad = 0.5
	// maxFreshReportAge is the age up to which a report satisfies NeedFresh.
	maxFreshReportAge = 2 * time.Second
)

// tryGrant grants the request on the best eligible replica, or returns nil if
// there is none.
func (p *Pool) tryGrant(now time.Time, req *Request) *Grant {
	rs := p.choose(now, req)
	if rs == nil {
		return nil
	}
	gs := &grantState{replica: rs, addedAt: now, grant: p.newGrant(now, rs, req)}
	p.addGrant(now, gs)
	g := gs.grant
	return &g
}

func (p *Pool) newGrant(now time.Time, rs *replicaState, req *Request) Grant {
	return Grant{
		ID: p.nextGrantID(), Request: req.ID, Pool: p.name, Slice: p.slice,
		Replica: rs.replica.ID, Group: rs.replica.Group, Incarnation: rs.replica.Incarnation,
		Leader: rs.replica.Leader, Addr: rs.replica.Addr, FailureDomain: rs.replica.FailureDomain,
		Holder: req.Holder, BootID: req.BootID, Seq: req.Seq, Exclusive: req.Exclusive,
		Expires: now.Add(GrantTTL), Deadline: req.Deadline,
		Cold: !p.warm(rs), Level: rs.ramp.level, GrantedAt: now,
		Home: p.home, Term: p.term,
	}
}

// choose returns the replica for the request, or nil. A request with a prefix
// goes to the first replica in the prefix's ranking whose load is not far above
// the mean (rendezvous hashing with bounded loads). A request without a prefix,
// or whose ranked replicas are all too loaded, goes to the replica with the
// lowest relative load; ties go to the failure domain with the lowest load.
func (p *Pool) choose(now time.Time, req *Request) *replicaState {
	candidates := p.eligibleReplicas(now, req)
	if len(candidates) == 0 {
		return nil
	}
	if req.Prefix != 0 {
		if rs := p.chooseByPrefix(now, req.Prefix, candidates); rs != nil {
			return rs
		}
	}
	return p.chooseByLoad(now, candidates)
}

// eligibleReplicas lists the replicas that may run the request now.
func (p *Pool) eligibleReplicas(now time.Time, req *Request) []*replicaState {
	var candidates []*replicaState
	for _, rs := range p.replicas {
		if p.eligible(now, rs, req) {
			candidates = append(candidates, rs)
		}
	}
	return p.applyAvoidDomains(req, candidates)
}

// applyAvoidDomains removes replicas in the failure domains that the request
// avoids. If the other domains are available but full it returns none, so that
// the request waits for them; if none is available it returns the list unchanged.
func (p *Pool) applyAvoidDomains(req *Request, candidates []*replicaState) []*replicaState {
	avoided := func(rs *replicaState) bool { return slices.Contains(req.AvoidDomains, rs.replica.FailureDomain) }
	if !slices.ContainsFunc(candidates, avoided) {
		return candidates
	}
	for _, rs := range p.replicas {
		if p.available(rs) && !avoided(rs) && !slices.Contains(req.Exclude, rs.replica.ID) {
			return slices.DeleteFunc(candidates, avoided)
		}
	}
	return candidates
}

func (p *Pool) eligible(now time.Time, rs *replicaState, req *Request) bool {
	if rs.exclusive || rs.used() >= p.capacity(rs, now) {
		return false
	}
	if req.Exclusive && rs.used() > 0 {
		return false
	}
	if !req.Exclusive && p.reserved == rs.replica.ID {
		return false
	}
	if req.NeedFresh && now.Sub(rs.replica.ReportedAt) > maxFreshReportAge {
		return false
	}
	return !slices.Contains(req.Exclude, rs.replica.ID)
}

func (p *Pool) chooseByPrefix(now time.Time, prefix uint64, candidates []*replicaState) *replicaState {
	bound := max(minAffinityLoad, affinityLoadFactor*p.meanLoad(now))
	var best *replicaState
	var bestRank uint64
	for _, rs := range candidates {
		capacity := float64(p.capacity(rs, now))
		if float64(rs.used()+1) > math.Ceil(bound*capacity) {
			continue
		}
		if rank := affinityRank(prefix, rs.hash); best == nil || rank > bestRank {
			best, bestRank = rs, rank
		}
	}
	return best
}

// meanLoad returns the relative load of all available replicas with one more
// request.
func (p *Pool) meanLoad(now time.Time) float64 {
	used, capacity := 1, 0
	for _, rs := range p.replicas {
		if c := p.capacity(rs, now); c > 0 {
			used += rs.used()
			capacity += c
		}
	}
	return float64(used) / float64(max(1, capacity))
}

// affinityRank ranks a replica for a prefix by the finalizer of splitmix64, which
// gives each prefix its own order of the replicas.
func affinityRank(prefix, replica uint64) uint64 {
	z := prefix ^ replica
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

func (p *Pool) chooseByLoad(now time.Time, candidates []*replicaState) *replicaState {
	domains := p.domainLoads(now)
	return slices.MinFunc(candidates, func(a, b *replicaState) int {
		if c := compareLoad(a.used(), p.capacity(a, now), b.used(), p.capacity(b, now)); c != 0 {
			return c
		}
		da, db := domains[a.replica.FailureDomain], domains[b.replica.FailureDomain]
		if c := compareLoad(da.used, da.capacity, db.used, db.capacity); c != 0 {
			return c
		}
		if a.replica.ID < b.replica.ID {
			return -1
		}
		return 1
	})
}

// compareLoad compares the ratios used/capacity by cross-multiplication.
func compareLoad(usedA, capacityA, usedB, capacityB int) int {
	return usedA*capacityB - usedB*capacityA
}

type domainLoad struct{ used, capacity int }

func (p *Pool) domainLoads(now time.Time) map[string]domainLoad {
	loads := make(map[string]domainLoad)
	for _, rs := range p.replicas {
		d := loads[rs.replica.FailureDomain]
		d.used += rs.used()
		d.capacity += p.capacity(rs, now)
		loads[rs.replica.FailureDomain] = d
	}
	return loads
}
