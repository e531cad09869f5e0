package suspect

import (
	"cmp"
	"slices"
	"time"
)

const (
	// SuspectTTL is how long a request that was in flight during a crash runs
	// exclusively on its replica if it is sent again.
	SuspectTTL = 10 * time.Minute
	// QuarantineTTL is how long a request that crashes its targets is refused.
	QuarantineTTL = 30 * time.Minute
	// outageWindow is the maximum interval between crashes in one failure domain
	// that are attributed to the same outage.
	outageWindow = 5 * time.Second
)

// Fingerprint recognises a request that is sent again: a hash of its idempotency
// key, or of its content.
type Fingerprint uint64

// Crash is the end of one incarnation of a replica. Running lists the requests in
// flight on it, each by its fingerprints.
type Crash struct {
	Replica       string
	Incarnation   string
	FailureDomain string
	At            time.Time
	Running       [][]Fingerprint
}

// SameIncarnation reports whether c and o describe the crash of the same
// incarnation of a replica.
func (c *Crash) SameIncarnation(o *Crash) bool {
	return c.Replica == o.Replica && c.Incarnation == o.Incarnation
}

// Verdict is how a request is handled, given the crashes during which it ran.
type Verdict uint8

// The verdicts on a request.
const (
	// Clear means that the request runs without restrictions.
	Clear Verdict = iota
	// Suspected means that the request runs exclusively on a replica.
	Suspected
	// Refused means that the request is rejected.
	Refused
)

// String returns "clear", "suspected" or "refused".
func (v Verdict) String() string {
	switch v {
	case Suspected:
		return "suspected"
	case Refused:
		return "refused"
	default:
		return "clear"
	}
}

// History is the crash history of the request with one fingerprint. The zero
// value is an empty history.
type History struct {
	// Ends lists the ends of incarnations that ran the request, as this daemon knows
	// them, by the time of the end.
	Ends []End
	// Told lists incarnations that ended so according to a daemon that refuses the
	// request.
	Told []Incarnation
	// Crashes lists the ends that count: Told, and the largest number of Ends that can be
	// the ends of runs one after the other.
	Crashes []Incarnation
	// ExpiresAt is when the history is disregarded.
	ExpiresAt time.Time
	// Quarantined means that the request is refused until ExpiresAt.
	Quarantined bool
	// LastCrashAt is the time of the last of Crashes.
	LastCrashAt time.Time
	// Answered lists the latest incarnations that crashed before the request was last
	// answered. Late reports of their crashes are ignored.
	Answered []Incarnation
	// Requests lists up to partRequests requests that ran during Ends, if the history is
	// that of a part of requests.
	Requests []Fingerprint
	// Rivals are other parts that may have caused the crashes of Told, as told by a daemon
	// that knows more of them.
	Rivals []Fingerprint
	// OnProbation means that a quarantine has expired: the next crash renews it.
	OnProbation bool
}

// End is the end of one incarnation that ran the request.
type End struct {
	Incarnation
	// SentAt is when the request was last sent to it; zero if that is not known.
	SentAt time.Time
	// EndedAt is when the end was first seen.
	EndedAt time.Time
	// Announced is set if the replica had announced that it leaves, so that it may have
	// been stopped.
	Announced bool
}

// Incarnation identifies one incarnation of a replica.
type Incarnation struct {
	Replica     string
	Incarnation string
}

// Verdict returns how the request is handled at time now.
func (r *History) Verdict(now time.Time) Verdict {
	switch {
	case !now.Before(r.ExpiresAt):
		return Clear
	case r.Quarantined:
		return Refused
	case len(r.Crashes) > 0:
		return Suspected
	default:
		return Clear
	}
}

// Context holds possible other causes of a crash.
type Context struct {
	// OtherSuspects is the number of other requests in flight that were already
	// suspected because of an earlier crash.
	OtherSuspects int
	// Outage means that other replicas of the failure domain, which did not run
	// the request, went down at about the same time.
	Outage bool
	// Shared means that suspects run beside other requests, so that more crashes are
	// needed to tell them apart.
	Shared bool
	// SentAt is when the request was sent to the replica; zero if that is not known.
	SentAt time.Time
	// Announced is set if the replica had announced that it leaves.
	Announced bool
	// Request is set if the fingerprint is that of a part of requests: the fingerprint
	// of the request that ran.
	Request Fingerprint
}

const (
	// exclusiveCrashes and SharedCrashes are the numbers of crashes under which a
	// request is quarantined, where suspects run exclusively and where they do not.
	exclusiveCrashes = 2
	SharedCrashes    = 3
	// partRequests is the number of different requests under which a part of them is
	// quarantined. With fewer the request itself is.
	partRequests = 2
	// maxAnnounced is how many of the crashes under which a request is quarantined may be
	// of replicas that had announced that they leave.
	maxAnnounced = 1
	// maxEnds and maxAnswered bound History.Ends and Answered.
	maxEnds     = 32
	maxAnswered = 32
)

// WithCrash returns the history with crash c added. The request is quarantined after
// exclusiveCrashes or SharedCrashes, unless another suspect was in flight or the
// failure domain had an outage, either of which may have caused the crash. Requests
// that merely shared a batch with the one that causes the crashes become suspects and
// are cleared when they are answered.
//
// Runs at the same time count once, since replicas that go down together may have one
// cause. What counts does not depend on the order in which crashes become known.
func (r History) WithCrash(now time.Time, c *Crash, ctx Context) History {
	if !now.Before(r.ExpiresAt) {
		r = r.afterExpiry(now)
	}
	s := Incarnation{Replica: c.Replica, Incarnation: c.Incarnation}
	if slices.Contains(r.Told, s) || slices.Contains(r.Answered, s) {
		return r
	}
	before := r
	r.addEnd(End{Incarnation: s, SentAt: ctx.SentAt, EndedAt: c.At, Announced: ctx.Announced})
	if len(r.Requests) < partRequests && !slices.Contains(r.Requests, ctx.Request) {
		r.Requests = append(slices.Clone(r.Requests), ctx.Request)
	}
	if r.Quarantined {
		return r
	}
	if len(r.Ends) > len(before.Ends) {
		r.ExpiresAt = now.Add(SuspectTTL)
	}
	if len(r.Crashes) <= len(before.Crashes) && len(r.Requests) <= len(before.Requests) {
		return r
	}
	unlike := ctx.Request == 0 || r.OnProbation || len(r.Requests) >= partRequests
	if r.evidence() >= r.neededCrashes(ctx) && unlike && ctx.OtherSuspects == 0 && !ctx.Outage {
		r.Quarantined, r.ExpiresAt = true, now.Add(QuarantineTTL)
	}
	return r
}

// addEnd adds an end, or what is new of a known one, and counts again.
func (r *History) addEnd(e End) {
	r.Ends = slices.Clone(r.Ends)
	if i := slices.IndexFunc(r.Ends, func(o End) bool { return o.Incarnation == e.Incarnation }); i >= 0 {
		known := &r.Ends[i]
		if e.SentAt.After(known.SentAt) {
			known.SentAt = e.SentAt
		}
		if e.EndedAt.Before(known.EndedAt) {
			known.EndedAt = e.EndedAt
		}
		known.Announced = known.Announced || e.Announced
	} else {
		r.Ends = append(r.Ends, e)
	}
	slices.SortFunc(r.Ends, func(a, b End) int {
		return cmp.Or(a.EndedAt.Compare(b.EndedAt), cmp.Compare(a.Replica, b.Replica), cmp.Compare(a.Incarnation.Incarnation, b.Incarnation.Incarnation))
	})
	if len(r.Ends) > maxEnds {
		r.Ends = withoutRedundant(r.Ends)
	}
	r.count()
}

// count sets Crashes and LastCrashAt.
func (r *History) count() {
	r.Crashes = slices.Clone(r.Told)
	for _, e := range consecutive(r.Ends) {
		r.Crashes, r.LastCrashAt = append(r.Crashes, e.Incarnation), e.EndedAt
	}
}

// evidence returns the number of Crashes, of those of replicas that had announced that
// they leave at most maxAnnounced.
func (r *History) evidence() int {
	announced := 0
	for _, e := range consecutive(r.Ends) {
		if e.Announced {
			announced++
		}
	}
	return len(r.Crashes) - max(0, announced-maxAnnounced)
}

// consecutive returns the largest number of ends, by time, of runs that followed one
// after the other: the request was sent when the end before had been seen.
func consecutive(ends []End) []End {
	var out []End
	for _, e := range ends {
		if len(out) == 0 || e.SentAt.IsZero() || !e.SentAt.Before(out[len(out)-1].EndedAt) {
			out = append(out, e)
		}
	}
	return out
}

// withoutRedundant returns the ends without the first one that does not count, or
// without the oldest.
func withoutRedundant(ends []End) []End {
	counted := consecutive(ends)
	for i, e := range ends {
		if !slices.Contains(counted, e) {
			return slices.Delete(ends, i, i+1)
		}
	}
	return ends[1:]
}

// Engines returns the number of incarnations that ended while they ran the request,
// whether or not they count.
func (r *History) Engines() int { return len(r.Told) + len(r.Ends) }

func (r *History) neededCrashes(ctx Context) int {
	switch {
	case r.OnProbation:
		return 1
	case ctx.Shared:
		return SharedCrashes
	default:
		return exclusiveCrashes
	}
}

// afterExpiry returns what an expired history leaves: a quarantine is followed by a
// probation of the same length.
func (r *History) afterExpiry(now time.Time) History {
	return History{
		Answered:    r.Answered,
		OnProbation: r.Quarantined && now.Before(r.ExpiresAt.Add(QuarantineTTL)),
	}
}

// WithAnswer returns the history of a request that has been answered: none of the
// crashes so far is its doing.
func (r History) WithAnswer() History {
	answered := append(slices.Clone(r.Answered), r.Told...)
	for _, e := range r.Ends {
		answered = append(answered, e.Incarnation)
	}
	r.Answered = answered[max(0, len(answered)-maxAnswered):]
	r.Ends, r.Told, r.Crashes, r.Requests, r.Rivals = nil, nil, nil, nil, nil
	r.Quarantined, r.OnProbation = false, false
	return r
}

// AnsweredSince reports whether the request has been answered after the last of the
// crashes.
func (r *History) AnsweredSince(crashes []Incarnation) bool {
	return len(crashes) > 0 && slices.Contains(r.Answered, crashes[len(crashes)-1])
}

// IsOutage reports whether, according to the recent crashes, another replica of
// c's failure domain went down within outageWindow of c without running a request
// with one of the fingerprints.
func IsOutage(c *Crash, recent []Crash, fingerprints []Fingerprint) bool {
	return slices.ContainsFunc(recent, func(o Crash) bool {
		near := c.At.Sub(o.At).Abs() <= outageWindow
		return near && o.FailureDomain == c.FailureDomain && o.Replica != c.Replica && !o.wasRunning(fingerprints)
	})
}

// wasRunning reports whether a request with one of the fingerprints was in flight
// when the replica crashed.
func (c *Crash) wasRunning(fingerprints []Fingerprint) bool {
	return slices.ContainsFunc(c.Running, func(r []Fingerprint) bool { return Overlap(r, fingerprints) })
}

// Overlap reports whether a and b have a fingerprint in common.
func Overlap(a, b []Fingerprint) bool {
	return slices.ContainsFunc(a, func(p Fingerprint) bool { return slices.Contains(b, p) })
}

// WithoutCrash returns a copy of the history without crash c.
func (r History) WithoutCrash(c *Crash) *History {
	s := Incarnation{Replica: c.Replica, Incarnation: c.Incarnation}
	r.Ends = slices.DeleteFunc(slices.Clone(r.Ends), func(o End) bool { return o.Incarnation == s })
	r.count()
	return &r
}
