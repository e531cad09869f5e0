package limit

import (
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/replica"
)

// Windows over which a report is compared with what was held.
const (
	peakBuckets = 8
	peakBucket  = ReportLag / (peakBuckets - 1)
)

// unit is one replica with all that runs on it as far as the home knows.
type unit struct {
	rep  replica.Replica
	ramp ramp
	// held counts grants that their holders renew, orphans those that expired
	// while the request may still run.
	held    int
	orphans int
	// unknown is reported work that no grant explains.
	unknown int
	// lastFull is the last time at which the replica was at its level.
	lastFull time.Time
	// alone means that the only grant forbids others beside it.
	alone bool
	peaks peaks
}

// known is the work that grants account for.
func (u *unit) known() int { return u.held + u.orphans }

// used is all work that may be running on the replica.
func (u *unit) used() int { return u.known() + u.unknown }

// report takes a newer report of the replica's work. Reports lag, so the work
// is unexplained only if it exceeds everything held during the lag.
func (u *unit) report(rep replica.Replica, now time.Time) {
	fresh := rep.ReportedAt.After(u.rep.ReportedAt)
	u.rep = rep
	if !fresh {
		return
	}
	u.unknown = max(0, rep.Inflight-max(u.known(), u.peaks.max(now)))
}

// peaks remembers the most work held in each of the last few spans.
type peaks struct {
	at  [peakBuckets]int64
	top [peakBuckets]int
}

func (p *peaks) note(now time.Time, n int) {
	span := now.UnixNano() / int64(peakBucket)
	i := span % peakBuckets
	if p.at[i] != span {
		p.at[i], p.top[i] = span, 0
	}
	p.top[i] = max(p.top[i], n)
}

func (p *peaks) max(now time.Time) int {
	oldest := now.UnixNano()/int64(peakBucket) - peakBuckets
	top := 0
	for i, span := range p.at {
		if span > oldest {
			top = max(top, p.top[i])
		}
	}
	return top
}

// open reports whether the replica may get new work at all.
func (p *Pool) open(u *unit) bool {
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
	if !p.standing.MayUseCold || !p.recovery.mayUseCold(now) {
		return 0
	}
	return min(u.ramp.level, top)
}
