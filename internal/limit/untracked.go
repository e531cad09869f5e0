package limit

// UntrackedWork bounds the work on a replica that runs under grants which their
// holders never reported.
type UntrackedWork struct {
	Replica string
	Work    int
}

// updateUntrackedBound bounds the work that unresponsive holders of earlier homes
// may run on a cold replica. After ColdHoldoff they start no new work, so every
// later report counts at least their running work, and the lowest report is the
// bound. The work of live holders is not subtracted, because a report may have
// missed its start or its end.
func (p *Pool) updateUntrackedBound(rs *replicaState) {
	if p.warm(rs) {
		rs.untrackedBound = 0
		return
	}
	rs.untrackedBound = min(rs.untrackedBound, rs.replica.Inflight)
	if !p.untrackedUnbounded(rs) || rs.replica.ReportedAt.Before(p.recovery.started.Add(ColdHoldoff)) {
		return
	}
	rs.untrackedBound = rs.replica.Inflight
	rs.boundedRecovery = p.recovery.started
}

// untrackedUnbounded reports whether the work of unresponsive holders has no bound
// yet.
func (p *Pool) untrackedUnbounded(rs *replicaState) bool {
	return p.recovery.unresolved && !rs.boundedRecovery.Equal(p.recovery.started)
}

// untrackedWork lists the bounds for the next home. It reports false if some cold
// replica has none yet.
func (p *Pool) untrackedWork() ([]UntrackedWork, bool) {
	var list []UntrackedWork
	for id, rs := range p.replicas {
		if !p.warm(rs) && p.untrackedUnbounded(rs) {
			return nil, false
		}
		if rs.untrackedBound > 0 {
			list = append(list, UntrackedWork{Replica: id, Work: rs.untrackedBound})
		}
	}
	return list, true
}

// applyUntrackedWork takes over the bounds of the previous home.
func (p *Pool) applyUntrackedWork(list []UntrackedWork) {
	for _, w := range list {
		rs := p.replica(w.Replica)
		rs.untrackedBound = max(rs.untrackedBound, w.Work)
	}
}
