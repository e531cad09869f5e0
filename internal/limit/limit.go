// Package limit implements admission control for the replicas of a pool:
// concurrency limits for cold and warm replicas, a queue with priorities and
// fair sharing between workspaces, replica choice by load and prefix affinity,
// leases (grants) with expiry, and recovery when another daemon becomes the
// pool's home. The home is the daemon that decides on a pool's grants; package
// grant chooses it by rendezvous hashing among the live daemons. A tenure is the
// period during which a daemon is the home, and a term is the id of a tenure.
//
// A replica starts cold, at the pool's cold limit. Its concurrency level rises as
// responses confirm that it sustains the load, and it is warm once the level has
// reached the pool's full limit.
//
// The package does no I/O and reads no clock: callers pass the time, and
// decisions are returned as values. A Pool is not safe for concurrent use; its
// home guards it with one lock.
package limit

import "time"

// Timing of the grant protocol.
const (
	// GrantTTL is the lifetime of a grant that is not renewed.
	GrantTTL = 3 * time.Second
	// MaxClockSkew is the largest difference between two daemons' clocks that
	// expiry allows for: a holder stops using a grant this long before its
	// home lets it expire.
	MaxClockSkew = 500 * time.Millisecond
	// MaxReportLag is the largest age of a target's report on arrival.
	MaxReportLag = 2 * time.Second
	// ColdHoldoff is how long a new home does not use cold replicas while
	// some holder has not reported its grants: the lifetime of a grant, the
	// lag of reports, and the time by which two sides may differ in detecting
	// a partition.
	ColdHoldoff = GrantTTL + MaxReportLag + 3*time.Second
	// HoldingsTimeout is how long a new home waits for the holders' answers
	// before it grants on warm replicas without them.
	HoldingsTimeout = 500 * time.Millisecond
)

// Request asks for permission to send one attempt to a replica of a pool.
type Request struct {
	// ID is the attempt's id. A repeated request with the same ID and Holder
	// returns the grant that was already made.
	ID        string
	Pool      string
	Workspace string
	// Priority orders the queue; 0 is served first.
	Priority int
	// Prefix is the hash of the start of the prompt; 0 means no preference
	// for a replica.
	Prefix   uint64
	Deadline time.Time
	// Holder is the daemon that requests the grant, BootID identifies its
	// process.
	Holder string
	BootID string `msgpack:"Boot"`
	// Seq numbers the holder's requests to this pool, so that a renewal can
	// state the last request that it covers.
	Seq uint64
	// Exclude lists replicas that must not be chosen.
	Exclude []string
	// AvoidDomains lists failure domains in which a target failed while it ran
	// this request. They are not used while another domain is available: the
	// whole domain may be failing, and a second failure there would not show
	// that the request causes it.
	AvoidDomains []string `msgpack:"Avoid"`
	// NeedFresh requires a replica whose report is recent.
	NeedFresh bool
	// Exclusive requires a replica that runs no other work at the same time.
	Exclusive bool `msgpack:"Alone"`
}

// Grant is a lease that permits one attempt to run on one replica.
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
	BootID        string `msgpack:"Boot"`
	Seq           uint64
	// Expires is when the home stops relying on the holder to renew the
	// grant.
	Expires time.Time
	// Deadline is when the request must have ended.
	Deadline time.Time
	// Cold is set if the replica's concurrency level was below the pool's
	// limit.
	Cold bool
	// Level is the replica's concurrency level at the time GrantedAt. Holders
	// report both to the next home.
	Level     int
	GrantedAt time.Time `msgpack:"At"`
	Exclusive bool      `msgpack:"Alone"`
	// Home is the daemon that made the grant, Term its tenure as the pool's
	// home. Later tenures have greater terms.
	Home string
	Term string
}

// Usable reports whether the holder may still start work under the grant.
func (g *Grant) Usable(now time.Time) bool {
	return now.Add(MaxClockSkew).Before(g.Expires) && now.Before(g.Deadline)
}

// Outcome is how an attempt under a grant ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	// OK means that the target sent a complete response.
	OK Outcome = iota
	// Failed means that the target returned an error caused by the request.
	Failed
	// Crashed means that the target died or closed the connection early.
	Crashed
	// Overloaded means that the target rejected the work.
	Overloaded
	// Cancelled means that the attempt was aborted, or was never sent.
	Cancelled
)

// Result is what the holder observed of the replica, reported when it
// releases the grant.
type Result struct {
	Outcome Outcome
	// FirstToken is the time from sending to the first token; 0 if none came.
	FirstToken time.Duration
	// TokenInterval is the mean time between tokens; 0 if there were none.
	TokenInterval time.Duration `msgpack:"Step"`
	// Duration is the time from sending to the end; 0 if never sent.
	Duration time.Duration
}

// Release ends one grant.
type Release struct {
	Grant  string
	Result Result
}

// Decision is the outcome of a request that was queued.
type Decision struct {
	Request Request
	Grant   *Grant
	// Err is set if the request was refused.
	Err error
}

// Config holds the limits of a pool's configuration row.
type Config struct {
	Limit     int
	ColdLimit int
	// Withdrawn lists failure domains that get no new work.
	Withdrawn []string
}

// Visibility describes the home's side of a network partition.
type Visibility struct {
	// MayUseCold is set on the side that sees the majority of the daemons.
	MayUseCold bool
	// Seen is the number of daemons on this side, Total that of all daemons.
	Seen  int
	Total int
}

// limitShare returns this side's share of a warm limit. The remainder goes to
// the majority, so the shares of disjoint sides never add up to more than the
// limit.
func (v Visibility) limitShare(limit int) int {
	if v.Total <= 0 || v.Seen >= v.Total {
		return limit
	}
	if v.MayUseCold {
		return limit - limit*(v.Total-v.Seen)/v.Total
	}
	return limit * v.Seen / v.Total
}
