package limit

// UntrackedWork bounds the work on a replica whose holders never told of it.
type UntrackedWork struct {
	Replica string
	Work    int
}

// sound bounds what silent holders of earlier homes may run on a cold replica.
// After the quiet time they start nothing new, so no later report can count
// less than what they run: the smallest one is the bound. What live holders
// run is not taken off, for a report may have missed its start or its end.
func (p *Pool) sound(u *unit) {
	if p.warm(u) {
		u.strangers = 0
		return
	}
	u.strangers = min(u.strangers, u.rep.Inflight)
	if !p.unsounded(u) || u.rep.ReportedAt.Before(p.recovery.started.Add(ColdHoldoff)) {
		return
	}
	u.strangers = u.rep.Inflight
	u.soundedFor = p.recovery.started
}

// unsounded reports whether the work of silent holders has no bound yet.
func (p *Pool) unsounded(u *unit) bool {
	return p.recovery.doubt && !u.soundedFor.Equal(p.recovery.started)
}

// strangers lists the bounds for the next home. It reports false if some cold
// replica has none yet.
func (p *Pool) strangers() ([]UntrackedWork, bool) {
	var list []UntrackedWork
	for id, u := range p.units {
		if !p.warm(u) && p.unsounded(u) {
			return nil, false
		}
		if u.strangers > 0 {
			list = append(list, UntrackedWork{Replica: id, Work: u.strangers})
		}
	}
	return list, true
}

// inherit takes the bounds of the home before this one.
func (p *Pool) inherit(list []UntrackedWork) {
	for _, s := range list {
		u := p.unit(s.Replica)
		u.strangers = max(u.strangers, s.Work)
	}
}
