// Package quorum decides whether a daemon may serve during a network partition.
// The decision is a pure function of the age of the daemon's last read of the
// log, the daemons that have joined by a record, and the reports of those that
// are reachable. An unreachable daemon still counts as joined: only a Leave
// record reduces the number of joined daemons, so a minority without access to
// the log cannot declare itself a majority.
package quorum

import (
	"fmt"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/state"
)

// Default limits.
const (
	// DefaultMaxLogAge is the age up to which a read of the log is current.
	DefaultMaxLogAge = 3 * time.Second
	// DefaultMaxLag is the time for which a view may lag behind the highest
	// known position.
	DefaultMaxLag = 3 * time.Second
)

// Mode tells whether a daemon may serve requests.
type Mode uint8

// Serving modes.
const (
	// ModeRefuse means that no request may be served: the outcome is "not run".
	ModeRefuse Mode = iota
	// ModeServeStale means that requests are served although the log is
	// unreachable from all reachable daemons, or the view is still catching up.
	ModeServeStale
	// ModeServe means that the current configuration is known.
	ModeServe
)

var modeNames = [...]string{"refuse", "serve-stale", "serve"}

// String returns the mode's name.
func (m Mode) String() string {
	if int(m) < len(modeNames) {
		return modeNames[m]
	}
	return fmt.Sprintf("mode(%d)", uint8(m))
}

// Report is the last report of a live daemon about its view of the control
// stream.
type Report struct {
	Daemon string
	// Started is false while the view is empty; Pos is meaningless then.
	Started bool
	Pos     state.Position
	// Digest is the digest of the state at Pos.
	Digest uint64
	// LogAge is the time since the daemon last read the log to its end.
	LogAge time.Duration
}

// Limits are the maximum ages of the data that a daemon serves from.
type Limits struct {
	// MaxLogAge is the age up to which a read of the log is current.
	MaxLogAge time.Duration
	// MaxLag is the time for which the view may lag behind the highest known
	// position.
	MaxLag time.Duration
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits { return Limits{MaxLogAge: DefaultMaxLogAge, MaxLag: DefaultMaxLag} }

// Input is what a daemon knows when it decides on its serving status.
type Input struct {
	// Self is the id of this daemon.
	Self string
	// CaughtUp means that the view has reached the end of the log, or the highest
	// position of a majority of daemons, at least once.
	CaughtUp bool
	// Diverged means that half or more of the daemons at the same position have
	// another state.
	Diverged bool
	// EpochNotOpen means that the view has entered an epoch of the log that has
	// not been opened with its state as the base.
	EpochNotOpen bool
	// Superseded means that another incarnation has joined with this daemon's id.
	Superseded bool
	Pos        state.Position
	// LogAge is the time since this daemon last read the log to its end.
	LogAge time.Duration
	// BehindFor is the time for which the view has been lagging behind the
	// highest known position; zero if it is not.
	BehindFor time.Duration
	// Joined holds the ids of the daemons that have joined by a record.
	Joined []string
	// Reports holds the reports of live daemons other than this one.
	Reports []Report
	Limits  Limits
}

// ServingStatus tells what a daemon may do, and the reason.
type ServingStatus struct {
	Mode   Mode
	Reason string
	// Majority means that this side of a partition contains a majority of the
	// joined daemons. Only that side accepts operators' edits.
	Majority bool
	// MayUseCold means that this side may send requests to cold targets.
	MayUseCold bool
}

// MayServe reports whether requests may be served.
func (s ServingStatus) MayServe() bool { return s.Mode != ModeRefuse }

// Decide returns the daemon's serving status.
func Decide(in Input) ServingStatus {
	majority := in.seesMajority()
	s := in.status(majority)
	s.Majority = majority
	s.MayUseCold = majority && s.MayServe()
	return s
}

// status applies the rules in order of precedence.
func (in Input) status(majority bool) ServingStatus {
	switch {
	case in.Superseded:
		return refused("another daemon has joined with the id %q: give each daemon its own id", in.Self)
	case in.Diverged:
		return refused("at least half of the daemons at position %s have another state: restart this daemon", in.Pos)
	case in.EpochNotOpen:
		return refused("the log's epoch is not based on the state of this daemon at %s: restart this daemon", in.Pos)
	case !in.CaughtUp:
		return refused("the current configuration has not been read yet")
	case in.BehindFor > in.Limits.MaxLag:
		return refused("the view has lagged behind the highest known position for %s", in.BehindFor.Round(time.Millisecond))
	case in.LogAge <= in.Limits.MaxLogAge:
		return in.serving("the log was read %s ago", in.LogAge.Round(time.Millisecond))
	case !majority:
		return refused("neither the log nor a majority of the %d joined daemons is reachable", len(in.Joined))
	case in.peerReadLog():
		return in.serving("a peer has read the log")
	default:
		return ServingStatus{Mode: ModeServeStale, Reason: "no daemon of the majority can read the log, so no edit can have been accepted"}
	}
}

// serving returns ModeServe with the given reason, or ModeServeStale if the view
// still lags behind a known position.
func (in Input) serving(format string, args ...any) ServingStatus {
	if in.BehindFor > 0 {
		return ServingStatus{Mode: ModeServeStale, Reason: "the view is catching up"}
	}
	return ServingStatus{Mode: ModeServe, Reason: fmt.Sprintf(format, args...)}
}

func refused(format string, args ...any) ServingStatus {
	return ServingStatus{Mode: ModeRefuse, Reason: fmt.Sprintf(format, args...)}
}

// seesMajority reports whether this daemon and the live ones contain a majority
// of the joined daemons. A daemon that has not joined is not counted on either
// side of the comparison, otherwise both sides of a partition could reach a
// majority by starting daemons. If no daemon has joined, the fleet is new and
// the result is true.
func (in Input) seesMajority() bool {
	if len(in.Joined) == 0 {
		return true
	}
	reachable := make(map[string]struct{}, len(in.Reports)+1)
	reachable[in.Self] = struct{}{}
	for _, r := range in.Reports {
		reachable[r.Daemon] = struct{}{}
	}
	count := 0
	for _, id := range in.Joined {
		if _, ok := reachable[id]; ok {
			count++
		}
	}
	return 2*count > len(in.Joined)
}

// peerReadLog reports whether a peer's last read of the log is current.
func (in Input) peerReadLog() bool {
	for _, r := range in.Reports {
		if r.Started && r.LogAge <= in.Limits.MaxLogAge {
			return true
		}
	}
	return false
}

// HighestPosition returns the highest position among the reports, and false if
// no reporting daemon has a position yet.
func HighestPosition(reports []Report) (state.Position, bool) {
	var highest state.Position
	found := false
	for _, r := range reports {
		if r.Started && (!found || highest.Before(r.Pos)) {
			highest, found = r.Pos, true
		}
	}
	return highest, found
}

// Diverged reports whether at least half of the daemons at position pos,
// including this one, provably have another state than this one. A tie counts as
// diverged, because neither half can know that its state is the correct one.
func Diverged(pos state.Position, digest uint64, reports []Report) bool {
	same, other := 1, 0
	for _, r := range reports {
		switch {
		case !r.Started || r.Pos != pos:
		case state.DigestsDiffer(r.Digest, digest):
			other++
		default:
			same++
		}
	}
	return other >= same
}
