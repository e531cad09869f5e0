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

// Print identifies a request that may come again: a hash of its idempotency
// key, or of its content.
type Print uint64

// Crash is the end of one incarnation of a replica and the requests that it
// was running, each with its prints.
type Crash struct {
	Replica       string
	Incarnation   string
	FailureDomain string
	At            time.Time
	Running       [][]Print
}

// Same reports whether two reports tell of the same crash.
func (c *Crash) Same(o *Crash) bool {
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

// Record is what is known of one print. Its zero value is a clear one.
type Record struct {
	// Crashes are those that the request was in flight at, one per incarnation.
	Crashes []Sighting
	// Until is when the record expires.
	Until time.Time
	// Blamed means that the request is refused until then.
	Blamed bool
}

// Sighting is one crash that a request was in flight at.
type Sighting struct {
	Replica     string
	Incarnation string
}

// Verdict returns how the request is to be treated.
func (r *Record) Verdict(now time.Time) Verdict {
	switch {
	case !now.Before(r.Until):
		return Clear
	case r.Blamed:
		return Refused
	case len(r.Crashes) > 0:
		return Suspected
	default:
		return Clear
	}
}

// Circumstances are what else is known of a crash.
type Circumstances struct {
	// Others counts the other requests in flight that were suspected before.
	Others int
	// Outage means that other replicas of the failure domain went down at the
	// same time without this request.
	Outage bool
}

// Add returns the record after one more crash. The request is blamed at its
// second one if nothing else explains it: no other suspect was in flight, and
// the failure domain was not going down. Neighbours in a batch are suspected
// once and cleared when they have run alone.
func (r Record) Add(now time.Time, c *Crash, with Circumstances) Record {
	if !now.Before(r.Until) {
		r = Record{}
	}
	s := Sighting{Replica: c.Replica, Incarnation: c.Incarnation}
	if slices.Contains(r.Crashes, s) {
		return r
	}
	r.Crashes = append(slices.Clone(r.Crashes), s)
	if r.Blamed {
		return r
	}
	r.Until = now.Add(SuspectTTL)
	if len(r.Crashes) >= 2 && with.Others == 0 && !with.Outage {
		r.Blamed, r.Until = true, now.Add(QuarantineTTL)
	}
	return r
}

// IsOutage reports whether other replicas of the crash's failure domain went
// down at about the same time without any of the prints in flight.
func IsOutage(c *Crash, recent []Crash, prints []Print) bool {
	return slices.ContainsFunc(recent, func(o Crash) bool {
		near := c.At.Sub(o.At).Abs() <= outageWindow
		return near && o.FailureDomain == c.FailureDomain && o.Replica != c.Replica && !o.ran(prints)
	})
}

// ran reports whether a request with one of the prints was in flight.
func (c *Crash) ran(prints []Print) bool {
	return slices.ContainsFunc(c.Running, func(r []Print) bool { return Shares(r, prints) })
}

// Shares reports whether two requests have a print in common.
func Shares(a, b []Print) bool {
	return slices.ContainsFunc(a, func(p Print) bool { return slices.Contains(b, p) })
}

// Before returns the record without one crash.
func (r Record) Before(c *Crash) *Record {
	s := Sighting{Replica: c.Replica, Incarnation: c.Incarnation}
	r.Crashes = slices.DeleteFunc(slices.Clone(r.Crashes), func(o Sighting) bool { return o == s })
	return &r
}
