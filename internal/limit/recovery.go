package limit

import "time"

// Peer is a daemon that may hold grants, and its failure domain.
type Peer struct {
	ID     string
	Domain string
}

// recovery tracks which holders may have grants of earlier homes that this home
// does not know. The zero value has nothing to recover.
type recovery struct {
	started time.Time
	// waiting has the holders that the pool waits for, until waitUntil, before
	// it grants anything.
	waiting   map[string]struct{}
	waitUntil time.Time
	// domains maps every holder to its failure domain, including holders that
	// are unreachable. answered maps each holder that reported its grants to its
	// boot id.
	domains  map[string]string
	answered map[string]string
	// lastHome and lastTerm are the latest earlier tenure that holders know of.
	lastHome string
	lastTerm string
	// complete is set if the previous home passed on a complete snapshot.
	// afterPartition is set if other homes may have granted concurrently behind
	// a partition, so that one snapshot is not enough.
	complete       bool
	afterPartition bool
	// unresolved is set while there may be grants that nobody has reported.
	unresolved bool
}

// updateUnresolved works out whether some grants may still be unknown. A grant is
// known to its holder and to the home that made it; if both are in one failure
// domain, also to a witness in another domain (see package grant). So the failure
// of one domain leaves no grant unknown once all other holders have answered.
func (r *recovery) updateUnresolved() {
	r.unresolved = !r.complete && len(r.answered) < len(r.domains) && !r.withinOneDomain()
}

// withinOneDomain reports whether all holders that did not answer, and the home
// that may have granted to them, are in one failure domain.
func (r *recovery) withinOneDomain() bool {
	domain, found := "", false
	for id, d := range r.domains {
		if _, ok := r.answered[id]; ok {
			continue
		}
		if found && d != domain {
			return false
		}
		domain, found = d, true
	}
	return !r.afterPartition && (r.lastHome == "" || r.domains[r.lastHome] == domain)
}

// inHoldoff reports whether grants may be unknown that targets' reports cannot
// show yet.
func (r *recovery) inHoldoff(now time.Time) bool {
	return r.unresolved && now.Before(r.started.Add(ColdHoldoff))
}

// awaitingHolders reports whether nothing may be granted yet.
func (r *recovery) awaitingHolders(now time.Time) bool {
	return len(r.waiting) > 0 && now.Before(r.waitUntil)
}

func (r *recovery) mayUseCold(now time.Time) bool { return !r.inHoldoff(now) }

// limitShare returns the warm limit less the share that unresponsive holders may
// be using. Work of theirs beyond that share shows in the targets' reports.
func (r *recovery) limitShare(limit int, now time.Time) int {
	if r.awaitingHolders(now) {
		return 0
	}
	if !r.inHoldoff(now) {
		return limit
	}
	return Visibility{MayUseCold: true, Seen: len(r.answered), Total: len(r.domains)}.limitShare(limit)
}

// nextChange returns when the recovery's restrictions change with time alone.
func (r *recovery) nextChange(now time.Time) (time.Time, bool) {
	if r.awaitingHolders(now) {
		return r.waitUntil, true
	}
	if r.inHoldoff(now) {
		return r.started.Add(ColdHoldoff), true
	}
	return time.Time{}, false
}

// recordAnswer records that a holder has reported its grants.
func (r *recovery) recordAnswer(h *Holdings, term string) {
	delete(r.waiting, h.Holder)
	if _, ok := r.domains[h.Holder]; ok {
		r.answered[h.Holder] = h.BootID
	}
	if h.LastTerm > r.lastTerm && h.LastTerm < term {
		r.lastHome, r.lastTerm = h.LastHome, h.LastTerm
	}
	r.updateUnresolved()
}

// answeredFor reports whether the grant's holder has itself reported its grants.
func (r *recovery) answeredFor(g *Grant) bool {
	boot, ok := r.answered[g.Holder]
	return ok && boot == g.BootID
}

// StartRecovery makes the pool recover the grants of earlier homes. It grants
// nothing until the reachable holders have answered or HoldingsTimeout has passed.
// If grants may then still be unknown, cold replicas are not used for ColdHoldoff,
// after which the grants of unresponsive holders have expired. unreachable lists
// the holders that cannot be asked.
func (p *Pool) StartRecovery(now time.Time, holders, unreachable []Peer) {
	r := recovery{
		started: now, waitUntil: now.Add(HoldingsTimeout),
		waiting: make(map[string]struct{}, len(holders)),
		domains: domainsByID(holders), answered: make(map[string]string, len(holders)),
	}
	for _, h := range holders {
		r.waiting[h.ID] = struct{}{}
	}
	for _, h := range unreachable {
		r.domains[h.ID] = h.Domain
	}
	r.updateUnresolved()
	p.recovery = r
}

func domainsByID(peers []Peer) map[string]string {
	m := make(map[string]string, len(peers))
	for _, p := range peers {
		m[p.ID] = p.Domain
	}
	return m
}

// AddHolders adds the holders in fresh, which became reachable after a partition
// or joined, to the recovery; holders lists all live ones. Until they answer,
// their share of the warm limits stays reserved and cold replicas are not used.
// Grants on warm replicas continue.
func (p *Pool) AddHolders(now time.Time, holders []Peer, fresh []string) {
	r := &p.recovery
	if !r.inHoldoff(now) {
		*r = recovery{domains: domainsByID(holders), answered: make(map[string]string, len(holders))}
		for _, h := range holders {
			r.answered[h.ID] = ""
		}
	}
	r.started, r.complete, r.afterPartition = now, false, true
	for _, id := range fresh {
		if _, ok := r.domains[id]; ok {
			delete(r.answered, id)
		}
	}
	r.updateUnresolved()
	p.tickBy(now.Add(ColdHoldoff))
}

// MarkUnresponsive records that a holder did not answer. Its share of the warm
// limits stays reserved.
func (p *Pool) MarkUnresponsive(now time.Time, holder string) {
	delete(p.recovery.waiting, holder)
	p.grantQueued(now)
}
