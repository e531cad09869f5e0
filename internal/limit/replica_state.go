package limit

import (
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/replica"
)

// replicaState is a replica and the work on it that the home knows of.
type replicaState struct {
	replica replica.Replica
	ramp    ramp
	// hash is the replica's input to the prefix ranking.
	hash uint64
	// held counts the grants that their holders renew. orphans are the grants that
	// nobody renews although their requests may still run.
	held    int
	orphans map[*grantState]struct{}
	// endedOrphans counts the orphans that have ended according to the newest
	// report, although it does not tell which ones.
	endedOrphans int
	// orphanWork is the work in the newest report that may belong to orphans.
	orphanWork int
	// unattributed is the reported work that no grant accounts for.
	unattributed int
	// untrackedBound is the upper bound on work of holders that never reported
	// their grants, valid for the recovery that started at boundedRecovery.
	untrackedBound  int
	boundedRecovery time.Time
	// lastAtLevel is the last time at which the replica ran as much work as its
	// concurrency level.
	lastAtLevel time.Time
	// exclusive is set while the only grant is an exclusive one.
	exclusive bool
	recent    countWindow
	// unavailableSince is zero while the replica is available.
	unavailableSince time.Time
	// crashedAt is when a holder last released a grant as crashed. The replica
	// gets no new work until a later report.
	crashedAt time.Time
	// wasWithdrawn is set if the failure domain was withdrawn while the replica
	// was unavailable.
	wasWithdrawn bool
}

// coldAfterUnavailable is how long a replica may be unavailable and still count
// as warm afterwards.
const coldAfterUnavailable = 30 * time.Second

// unavailableFor returns how long the replica has been unavailable.
func (rs *replicaState) unavailableFor(now time.Time) time.Duration {
	if rs.unavailableSince.IsZero() {
		return 0
	}
	return now.Sub(rs.unavailableSince)
}

// updateAvailability records when a replica becomes unavailable or available. A
// replica whose domain was withdrawn meanwhile, or that was unavailable for long,
// is cold again.
func (p *Pool) updateAvailability(now time.Time, rs *replicaState) {
	if !p.available(rs) {
		if rs.unavailableSince.IsZero() {
			rs.unavailableSince = now
		}
		rs.wasWithdrawn = rs.wasWithdrawn || slices.Contains(p.cfg.Withdrawn, rs.replica.FailureDomain)
		return
	}
	if rs.wasWithdrawn || rs.unavailableFor(now) > coldAfterUnavailable {
		rs.ramp.setCold(now, p.cfg.ColdLimit)
	}
	rs.unavailableSince, rs.wasWithdrawn = time.Time{}, false
}

// attributed returns the work that grants account for and that may be running.
func (rs *replicaState) attributed() int { return rs.held + len(rs.orphans) - rs.endedOrphans }

// used returns all work that may be running on the replica.
func (rs *replicaState) used() int { return rs.attributed() + max(rs.unattributed, rs.untrackedBound) }

// applyReport takes a report of the replica's work. Reports lag, so work counts
// as unattributed only beyond the most that grants accounted for during the lag.
func (rs *replicaState) applyReport(rep replica.Replica, now time.Time) {
	fresh := rep.ReportedAt.After(rs.replica.ReportedAt)
	rs.replica = rep
	if !fresh {
		return
	}
	rs.unattributed = max(0, rep.Inflight-max(rs.attributed(), rs.recent.maxAttributed(now)))
}

// available reports whether the replica may get new work.
func (p *Pool) available(rs *replicaState) bool {
	if !rs.replica.ReportedAt.After(rs.crashedAt) && !rs.crashedAt.IsZero() {
		return false
	}
	return rs.replica.Status == replica.Serving && !slices.Contains(p.cfg.Withdrawn, rs.replica.FailureDomain)
}

// warm reports whether the replica has reached the pool's full limit.
func (p *Pool) warm(rs *replicaState) bool { return rs.ramp.level >= p.cfg.Limit }

// capacity returns the number of requests that may run on the replica now.
func (p *Pool) capacity(rs *replicaState, now time.Time) int {
	if !p.available(rs) {
		return 0
	}
	warmCapacity := min(p.visibility.limitShare(p.cfg.Limit), p.recovery.limitShare(p.cfg.Limit, now))
	if p.warm(rs) {
		return warmCapacity
	}
	if !p.visibility.MayUseCold || !p.recovery.mayUseCold(now) || p.untrackedUnbounded(rs) {
		return 0
	}
	return min(rs.ramp.level, warmCapacity)
}
