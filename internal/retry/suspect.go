package retry

import (
	"slices"
	"time"
)

// Times of suspicion.
const (
	// SuspectTTL is how long a request that was in flight at a crash is run
	// alone when it comes again.
	SuspectTTL = 10 * time.Minute
	// QuarantineTTL is how long a request that crashes its targets is refused.
	QuarantineTTL = 30 * time.Minute
	// outageWindow is the time within which crashes in one failure domain are
	// taken for one outage.
	outageWindow = 5 * time.Second
)

// Fingerprint identifies a request that may come again: a hash of its idempotency
// key, or of its content.
type Fingerprint uint64

// Crash is the end of one incarnation of a replica and the requests that it
// was running, each with its prints.
type Crash struct {
	Replica       string
	Incarnation   string
	FailureDomain string
	At            time.Time
	Running       [][]Fingerprint
}

// SameIncarnation reports whether two reports tell of the same crash.
func (c *Crash) SameIncarnation(o *Crash) bool {
	return c.Replica == o.Replica && c.Incarnation == o.Incarnation
}

// Verdict is how a request is to be treated.
type Verdict uint8

// The verdicts.
const (
	// Clear requests run like any other.
	Clear Verdict = iota
	// Suspected requests run alone on a replica.
	Suspected
	// Refused requests do not run.
	Refused
)

// String returns the verdict's name.
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

// CrashHistory is what is known of one print. Its zero value is a clear one.
type CrashHistory struct {
	// Crashes are those that the request was in flight at, one per incarnation.
	Crashes []ReplicaIncarnation
	// ExpiresAt is when the record expires.
	ExpiresAt time.Time
	// Quarantined means that the request is refused until then.
	Quarantined bool
}

// ReplicaIncarnation is one crash that a request was in flight at.
type ReplicaIncarnation struct {
	Replica     string
	Incarnation string
}

// Verdict returns how the request is to be treated.
func (r *CrashHistory) Verdict(now time.Time) Verdict {
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

// CrashContext are what else is known of a crash.
type CrashContext struct {
	// OtherSuspects counts the other requests in flight that were suspected before.
	OtherSuspects int
	// Outage means that other replicas of the failure domain went down at the
	// same time without this request.
	Outage bool
}

// WithCrash returns the record after one more crash. The request is blamed at its
// second one if nothing else explains it: no other suspect was in flight, and
// the failure domain was not going down. Neighbours in a batch are suspected
// once and cleared when they have run alone.
func (r CrashHistory) WithCrash(now time.Time, c *Crash, with CrashContext) CrashHistory {
	if !now.Before(r.ExpiresAt) {
		r = CrashHistory{}
	}
	s := ReplicaIncarnation{Replica: c.Replica, Incarnation: c.Incarnation}
	if slices.Contains(r.Crashes, s) {
		return r
	}
	r.Crashes = append(slices.Clone(r.Crashes), s)
	if r.Quarantined {
		return r
	}
	r.ExpiresAt = now.Add(SuspectTTL)
	if len(r.Crashes) >= 2 && with.OtherSuspects == 0 && !with.Outage {
		r.Quarantined, r.ExpiresAt = true, now.Add(QuarantineTTL)
	}
	return r
}

// IsOutage reports whether other replicas of the crash's failure domain went
// down at about the same time without any of the prints in flight.
func IsOutage(c *Crash, recent []Crash, prints []Fingerprint) bool {
	return slices.ContainsFunc(recent, func(o Crash) bool {
		near := c.At.Sub(o.At).Abs() <= outageWindow
		return near && o.FailureDomain == c.FailureDomain && o.Replica != c.Replica && !o.ran(prints)
	})
}

// ran reports whether a request with one of the prints was in flight.
func (c *Crash) ran(prints []Fingerprint) bool {
	return slices.ContainsFunc(c.Running, func(r []Fingerprint) bool { return Overlap(r, prints) })
}

// Overlap reports whether two requests have a print in common.
func Overlap(a, b []Fingerprint) bool {
	return slices.ContainsFunc(a, func(p Fingerprint) bool { return slices.Contains(b, p) })
}

// WithoutCrash returns the record without one crash.
func (r CrashHistory) WithoutCrash(c *Crash) *CrashHistory {
	s := ReplicaIncarnation{Replica: c.Replica, Incarnation: c.Incarnation}
	r.Crashes = slices.DeleteFunc(slices.Clone(r.Crashes), func(o ReplicaIncarnation) bool { return o == s })
	return &r
}
