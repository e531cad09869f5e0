package limit

import "time"

// recovery is a home's knowledge of what holders may have from other homes.
// The zero value is a home that has nothing to recover.
type recovery struct {
	started time.Time
	// waiting are the holders whose answers the pool waits for before it
	// grants anything, until gate.
	waiting map[string]struct{}
	gate    time.Time
	// asked are all holders that can be asked, unreachable counts the others;
	// answered are those who have told what they hold.
	asked       map[string]struct{}
	unreachable int
	answered    map[string]struct{}
	// complete means that the home before this one handed over all it knew.
	// merging means that other homes may have served besides, behind a
	// partition: one table is then not enough.
	complete bool
	merging  bool
}

// silent counts the holders that have not answered.
func (r *recovery) silent() int { return len(r.asked) + r.unreachable - len(r.answered) }

// doubtful reports whether some holder never told what it holds.
func (r *recovery) doubtful() bool { return !r.complete && r.silent() > 0 }

// active reports whether some holder's grants may still be unknown.
func (r *recovery) active(now time.Time) bool {
	return r.doubtful() && now.Before(r.started.Add(ColdQuiet))
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
	total := len(r.asked) + r.unreachable
	return Standing{MayUseCold: true, Seen: len(r.answered), Total: total}.share(limit)
}

// next returns when the recovery's rules change by themselves.
func (r *recovery) next(now time.Time) (time.Time, bool) {
	if r.holds(now) {
		return r.gate, true
	}
	if r.active(now) {
		return r.started.Add(ColdQuiet), true
	}
	return time.Time{}, false
}

// answer notes that a holder has told what it holds.
func (r *recovery) answer(holder string) {
	delete(r.waiting, holder)
	if _, ok := r.asked[holder]; ok {
		r.answered[holder] = struct{}{}
	}
}

// Recover puts the pool under recovery: it grants nothing until the reachable
// holders have answered, and leaves cold replicas alone until all have, or
// until whatever the silent ones had must have expired. unreachable counts
// holders that can't even be asked.
func (p *Pool) Recover(now time.Time, holders []string, unreachable int) {
	p.recovery = recovery{
		started: now, gate: now.Add(AnswerWait), unreachable: max(0, unreachable),
		waiting: set(holders), asked: set(holders), answered: set(nil),
	}
}

// Ask adds holders that came into sight, from behind a partition or anew, to
// the others. Until they answer, their part stays reserved and cold replicas
// rest; work on warm ones goes on.
func (p *Pool) Ask(now time.Time, others, fresh []string) {
	r := &p.recovery
	if !r.active(now) {
		*r = recovery{asked: set(others), answered: set(others)}
	}
	r.started, r.complete, r.merging = now, false, true
	for _, h := range fresh {
		r.asked[h] = struct{}{}
		delete(r.answered, h)
	}
	p.dueBy(now.Add(ColdQuiet))
}

func set(names []string) map[string]struct{} {
	s := make(map[string]struct{}, len(names))
	for _, n := range names {
		s[n] = struct{}{}
	}
	return s
}

// Silent notes that a holder did not answer; its part stays reserved.
func (p *Pool) Silent(now time.Time, holder string) {
	delete(p.recovery.waiting, holder)
	p.serve(now)
}
