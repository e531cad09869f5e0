package limit

import (
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/replica"
)

// unit is one replica with all that runs on it as far as the home knows.
type unit struct {
	rep  replica.Replica
	ramp ramp
	// hash is the replica's part in the ranking for a prefix.
	hash uint64
	// held counts grants that their holders renew, orphans are those that
	// expired while the request may still run.
	held    int
	orphans map[*hold]struct{}
	// excused counts the orphans that a report leaves no room for.
	excused int
	// room is the work that the newest report leaves for orphans.
	room int
	// unknown is reported work that no grant explains.
	unknown int
	// strangers bounds the work that silent holders may still run; it stands
	// for the recovery that soundedFor names by its start.
	strangers  int
	soundedFor time.Time
	// lastFull is the last time at which the replica was at its level.
	lastFull time.Time
	// alone means that the only grant forbids others beside it.
	alone bool
	spans spans
	// closedAt is when the replica last ceased to be open; zero while it is.
	closedAt time.Time
	// doubted is when a holder last said that the target is gone: until a later
	// report the replica gets no new work.
	doubted time.Time
	// withdrawn means that operators took its failure domain out meanwhile.
	withdrawn bool
}

// coolAfter is how long a replica stays warm without work while it is closed.
const coolAfter = 30 * time.Second

// closedFor is how long the replica has been closed.
func (u *unit) closedFor(now time.Time) time.Duration {
	if u.closedAt.IsZero() {
		return 0
	}
	return now.Sub(u.closedAt)
}

// watchOpen notes when a replica closes or opens. One that comes back with its
// failure domain, or after a long time, is cold.
func (p *Pool) watchOpen(now time.Time, u *unit) {
	if !p.open(u) {
		if u.closedAt.IsZero() {
			u.closedAt = now
		}
		u.withdrawn = u.withdrawn || slices.Contains(p.cfg.Withdrawn, u.rep.FailureDomain)
		return
	}
	if u.withdrawn || u.closedFor(now) > coolAfter {
		u.ramp.chill(now, p.cfg.ColdLimit)
	}
	u.closedAt, u.withdrawn = time.Time{}, false
}

// known is the work that grants account for, as far as it may be running.
func (u *unit) known() int { return u.held + len(u.orphans) - u.excused }

// used is all work that may be running on the replica.
func (u *unit) used() int { return u.known() + max(u.unknown, u.strangers) }

// report takes a newer report of the replica's work. Reports lag, so the work
// is unexplained only if it exceeds everything held during the lag.
func (u *unit) report(rep replica.Replica, now time.Time) {
	fresh := rep.ReportedAt.After(u.rep.ReportedAt)
	u.rep = rep
	if !fresh {
		return
	}
	u.unknown = max(0, rep.Inflight-max(u.known(), u.spans.most(now)))
}

// open reports whether the replica may get new work at all.
func (p *Pool) open(u *unit) bool {
	if !u.rep.ReportedAt.After(u.doubted) && !u.doubted.IsZero() {
		return false
	}
	return u.rep.Status == replica.Serving && !slices.Contains(p.cfg.Withdrawn, u.rep.FailureDomain)
}

// warm reports whether the replica bears its full limit.
func (p *Pool) warm(u *unit) bool { return u.ramp.level >= p.cfg.Limit }

// allowed is the number of requests that may run on the replica now.
func (p *Pool) allowed(u *unit, now time.Time) int {
	if !p.open(u) {
		return 0
	}
	top := min(p.standing.share(p.cfg.Limit), p.recovery.share(p.cfg.Limit, now))
	if p.warm(u) {
		return top
	}
	if !p.standing.MayUseCold || !p.recovery.mayUseCold(now) || p.unsounded(u) {
		return 0
	}
	return min(u.ramp.level, top)
}
