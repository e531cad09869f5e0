package limit

import "time"

// Peer is a daemon that may hold grants, and the failure domain it is in.
type Peer struct {
	ID     string
	Domain string
}

// recovery is a home's knowledge of what holders may have from other homes.
// The zero value is a home that has nothing to recover.
type recovery struct {
	started time.Time
	// waiting are the holders whose answers the pool waits for before it
	// grants anything, until gate.
	waiting map[string]struct{}
	gate    time.Time
	// asked has the failure domain of every holder, of those too that can't be
	// asked; answered has the boot id of each that told what it holds.
	asked    map[string]string
	answered map[string]string
	// lastHome and lastTerm are the latest earlier tenure that holders know.
	lastHome string
	lastTerm string
	// complete means that the home before this one handed over all it knew.
	// merging means that other homes may have served besides, behind a
	// partition: one table is then not enough.
	complete bool
	merging  bool
	// doubt means that holders may have grants that nobody has told of.
	doubt bool
}

// judge works out whether some grants may still be unknown. A holder's grants
// are known to it and to the home that made them; if those two share a failure
// domain, also to a daemon outside (see package grant). So whatever happens
// within one domain leaves no doubt once everybody else has answered.
func (r *recovery) judge() {
	r.doubt = !r.complete && len(r.answered) < len(r.asked) && !r.contained()
}

// contained reports whether all silent holders, and the home that may have
// granted to them, are in one failure domain.
func (r *recovery) contained() bool {
	domain, found := "", false
	for id, d := range r.asked {
		if _, ok := r.answered[id]; ok {
			continue
		}
		if found && d != domain {
			return false
		}
		domain, found = d, true
	}
	return !r.merging && (r.lastHome == "" || r.asked[r.lastHome] == domain)
}

// active reports whether the doubt is too young for reports to settle it.
func (r *recovery) active(now time.Time) bool {
	return r.doubt && now.Before(r.started.Add(ColdHoldoff))
}

// holds reports whether nothing at all may be granted yet.
func (r *recovery) holds(now time.Time) bool {
	return len(r.waiting) > 0 && now.Before(r.gate)
}

func (r *recovery) mayUseCold(now time.Time) bool { return !r.active(now) }

// share leaves the part of a warm limit that silent holders may be using. What
// they use beyond it shows in the targets' reports.
func (r *recovery) share(limit int, now time.Time) int {
	if r.holds(now) {
		return 0
	}
	if !r.active(now) {
		return limit
	}
	return Visibility{MayUseCold: true, Seen: len(r.answered), Total: len(r.asked)}.share(limit)
}

// next returns when the recovery's rules change by themselves.
func (r *recovery) next(now time.Time) (time.Time, bool) {
	if r.holds(now) {
		return r.gate, true
	}
	if r.active(now) {
		return r.started.Add(ColdHoldoff), true
	}
	return time.Time{}, false
}

// answer notes that a holder has told what it holds.
func (r *recovery) answer(h *Holdings, term string) {
	delete(r.waiting, h.Holder)
	if _, ok := r.asked[h.Holder]; ok {
		r.answered[h.Holder] = h.Boot
	}
	if h.LastTerm > r.lastTerm && h.LastTerm < term {
		r.lastHome, r.lastTerm = h.LastHome, h.LastTerm
	}
	r.judge()
}

// speaks reports whether the grant's holder has itself told what it holds.
func (r *recovery) speaks(g *Grant) bool {
	boot, ok := r.answered[g.Holder]
	return ok && boot == g.Boot
}

// StartRecovery puts the pool under recovery: it grants nothing until the reachable
// holders have answered. If grants may then still be unknown it leaves cold
// replicas alone until whatever the silent holders had must have expired. Gone
// are the holders that can't even be asked.
func (p *Pool) StartRecovery(now time.Time, holders, gone []Peer) {
	r := recovery{
		started: now, gate: now.Add(HoldingsTimeout),
		waiting: make(map[string]struct{}, len(holders)),
		asked:   domains(holders), answered: make(map[string]string, len(holders)),
	}
	for _, h := range holders {
		r.waiting[h.ID] = struct{}{}
	}
	for _, h := range gone {
		r.asked[h.ID] = h.Domain
	}
	r.judge()
	p.recovery = r
}

func domains(peers []Peer) map[string]string {
	m := make(map[string]string, len(peers))
	for _, p := range peers {
		m[p.ID] = p.Domain
	}
	return m
}

// AddHolders adds holders that came into sight, from behind a partition or anew, to
// the others. Until they answer, their part stays reserved and cold replicas
// rest; work on warm ones goes on.
func (p *Pool) AddHolders(now time.Time, holders []Peer, fresh []string) {
	r := &p.recovery
	if !r.active(now) {
		*r = recovery{asked: domains(holders), answered: make(map[string]string, len(holders))}
		for _, h := range holders {
			r.answered[h.ID] = ""
		}
	}
	r.started, r.complete, r.merging = now, false, true
	for _, id := range fresh {
		if _, ok := r.asked[id]; ok {
			delete(r.answered, id)
		}
	}
	r.judge()
	p.dueBy(now.Add(ColdHoldoff))
}

// MarkUnresponsive notes that a holder did not answer; its part stays reserved.
func (p *Pool) MarkUnresponsive(now time.Time, holder string) {
	delete(p.recovery.waiting, holder)
	p.serve(now)
}
