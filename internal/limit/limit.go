// Package limit decides who may send work to which replica: admission under
// cold and warm limits, queues with priorities and fairness, choice by load and
// prefix, grants and their expiry, and the take-over by a new home. It is pure:
// every call brings the time, and answers come back as values. A Pool is not
// safe for concurrent use; its home holds one lock around it.
package limit

import "time"

// Times of the grant protocol.
const (
	// GrantTTL is the life of a grant that is not renewed.
	GrantTTL = 3 * time.Second
	// MaxClockSkew is the largest difference between two daemons' clocks that
	// expiries allow for: a holder stops that long before the home does.
	MaxClockSkew = 500 * time.Millisecond
	// MaxReportLag is the age that a target's report may have when it arrives.
	MaxReportLag = 2 * time.Second
	// ColdHoldoff is how long a new home leaves cold replicas alone while some
	// holder has not answered: a grant's life, the lag of reports, and the time
	// by which two sides may notice a partition apart from each other.
	ColdHoldoff = GrantTTL + MaxReportLag + 3*time.Second
	// HoldingsTimeout is how long a new home waits for holders before it shares
	// out warm replicas without them.
	HoldingsTimeout = 500 * time.Millisecond
)

// Request asks for permission to send one attempt to a replica of a pool.
type Request struct {
	// ID is the attempt's id; a repeated request with the same id and holder
	// gets the grant that it already has.
	ID        string
	Pool      string
	Workspace string
	// Priority orders the queue, 0 first.
	Priority int
	// Prefix hashes the prompt's beginning; 0 means that any replica will do.
	Prefix   uint64
	Deadline time.Time
	// Holder is the daemon that asks, Boot its process's incarnation.
	Holder string
	Boot   string
	// Seq numbers the holder's requests to this pool, so that a renewal can say
	// which of them it speaks of.
	Seq uint64
	// Exclude are replicas that must not be chosen.
	Exclude []string
	// AvoidDomains are failure domains in which a target died under the request: they
	// are left alone while another one is open, since the whole domain may be
	// going, and a second death there would prove nothing against the request.
	AvoidDomains []string `msgpack:"Avoid"`
	// NeedFresh asks for a replica whose report is recent.
	NeedFresh bool
	// Exclusive asks for a replica that runs nothing else meanwhile.
	Exclusive bool `msgpack:"Alone"`
}

// Grant is the permission to run one attempt on one replica.
type Grant struct {
	ID            string
	Request       string
	Pool          string
	Slice         int
	Replica       string
	Group         uint64
	Incarnation   string
	Leader        string
	Addr          string
	FailureDomain string
	Holder        string
	Boot          string
	Seq           uint64
	// Expires is when the home stops to rely on the holder's renewal.
	Expires time.Time
	// Deadline is the longest time for which the request may run.
	Deadline time.Time
	// Cold means that the replica was below its warm limit.
	Cold bool
	// Level is the replica's concurrency limit when the grant was made, At the
	// time; holders remember both for the next home.
	Level     int
	GrantedAt time.Time `msgpack:"At"`
	Exclusive bool      `msgpack:"Alone"`
	// Home is the daemon that granted, Term its tenure as the pool's home.
	// Later tenures have greater terms.
	Home string
	Term string
}

// Usable reports whether the holder may still start work under the grant.
func (g *Grant) Usable(now time.Time) bool {
	return now.Add(MaxClockSkew).Before(g.Expires) && now.Before(g.Deadline)
}

// Outcome is how an attempt under a grant ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// OK means that the whole answer came.
	OK Outcome = iota
	// Failed means that the target answered with an error of the request's own.
	Failed
	// Crashed means that the target died or cut the connection.
	Crashed
	// Overloaded means that the target refused the work.
	Overloaded
	// Cancelled means that the attempt ended early or was never sent.
	Cancelled
)

// Result is what a holder learned of the replica when it gives a grant back.
type Result struct {
	Outcome Outcome
	// FirstToken is the time from sending to the first token; 0 if none came.
	FirstToken time.Duration
	// TokenInterval is the mean time between tokens; 0 if there were none.
	TokenInterval time.Duration `msgpack:"Step"`
	// Duration is the time from sending to the end; 0 if never sent.
	Duration time.Duration
}

// Release gives one grant back.
type Release struct {
	Grant  string
	Result Result
}

// Decision is the decision on a request that was queued.
type Decision struct {
	Request Request
	Grant   *Grant
	// Err is set when the request was refused.
	Err error
}

// Config is what a pool's row says of limits.
type Config struct {
	Limit     int
	ColdLimit int
	// Withdrawn are failure domains that get no new work.
	Withdrawn []string
}

// Visibility is what the home's side of a partition may use.
type Visibility struct {
	// MayUseCold is true on the side that sees most daemons.
	MayUseCold bool
	// Seen and Total count the daemons on this side and in all.
	Seen  int
	Total int
}

// share returns this side's part of a warm limit. Roundings fall to the side
// with the majority, so the parts of disjoint sides never exceed the limit.
func (s Visibility) share(limit int) int {
	if s.Total <= 0 || s.Seen >= s.Total {
		return limit
	}
	if s.MayUseCold {
		return limit - limit*(s.Total-s.Seen)/s.Total
	}
	return limit * s.Seen / s.Total
}
