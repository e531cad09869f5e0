// Package quorum decides whether a daemon may serve under the partition that
// it sees. It is a pure function of what the daemon knows: how old its own
// reading of the log is, which daemons have joined by record, and what those
// that answer say of themselves. It never counts a daemon out by silence: only
// a Leave record makes the number of joined daemons smaller, so no minority
// that lost the log can declare itself a majority.
package quorum

import (
	"fmt"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/state"
)

// Defaults of Limits.
const (
	// DefaultMaxLogAge is the age up to which a reading of the log counts.
	DefaultMaxLogAge = 3 * time.Second
	// DefaultMaxLag is the time for which a view may be behind a known position.
	DefaultMaxLag = 3 * time.Second
)

// Mode is what a daemon may do.
type Mode uint8

// The modes.
const (
	// ModeRefuse means that nothing may be served: requests get "not run".
	ModeRefuse Mode = iota
	// ModeServeStale means that the log is out of reach for all who are heard, or
	// that the view is about to catch up: service goes on.
	ModeServeStale
	// ModeServe means that the configuration in force is known.
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

// Report is what a live daemon last said of itself.
type Report struct {
	Daemon  string
	Started bool
	Pos     state.Position
	Digest  uint64
	LogAge  time.Duration
}

// Limits are the times that bound the modes.
type Limits struct {
	// MaxLogAge is the age up to which a reading of the log counts.
	MaxLogAge time.Duration
	// MaxLag is the time for which the view may be behind a known position.
	MaxLag time.Duration
}

// DefaultLimits returns the limits that settings start from.
func DefaultLimits() Limits { return Limits{MaxLogAge: DefaultMaxLogAge, MaxLag: DefaultMaxLag} }

// Input is what a daemon knows.
type Input struct {
	Self string
	// CaughtUp means that the view was once as far as could be known.
	CaughtUp bool
	// Diverged means that most daemons hold another state at the same position.
	Diverged bool
	// EpochNotOpen means that the view has entered an epoch of the log which was not
	// opened on its state.
	EpochNotOpen bool
	// Superseded means that another incarnation joined under this daemon's id.
	Superseded bool
	Pos        state.Position
	LogAge     time.Duration
	// BehindFor is the time since the view first lagged behind the highest
	// known position; zero if it does not.
	BehindFor time.Duration
	// Joined are the ids of the daemons joined by record.
	Joined []string
	// Reports are of live daemons other than this one.
	Reports []Report
	Limits  Limits
}

// ServingStatus is what the daemon may do, and why.
type ServingStatus struct {
	Mode   Mode
	Reason string
	// Majority means that this side sees most of the joined daemons. Only that
	// side takes operators' edits.
	Majority bool
	// MayUseCold means that this side may place work on cold targets.
	MayUseCold bool
}

// MayServe reports whether requests may be served.
func (s ServingStatus) MayServe() bool { return s.Mode != ModeRefuse }

// Decide returns the daemon's standing.
func Decide(in Input) ServingStatus {
	most := in.seesMajority()
	s := in.decide(most)
	s.Majority = most
	s.MayUseCold = most && s.MayServe()
	return s
}

func (in Input) decide(most bool) ServingStatus {
	switch {
	case in.Superseded:
		return refuse("another daemon has joined with the id %q: give each its own", in.Self)
	case in.Diverged:
		return refuse("most daemons hold another state at position %s: restart this daemon", in.Pos)
	case in.EpochNotOpen:
		return refuse("the view at %s is not what the log's epoch builds on: restart this daemon", in.Pos)
	case !in.CaughtUp:
		return refuse("the configuration in force has not been reached yet")
	case in.BehindFor > in.Limits.MaxLag:
		return refuse("the view has been behind a known position for %s", in.BehindFor.Round(time.Millisecond))
	case in.LogAge <= in.Limits.MaxLogAge:
		return in.level("the log was read %s ago", in.LogAge.Round(time.Millisecond))
	case !most:
		return refuse("neither the log nor a majority of the %d joined daemons can be reached", len(in.Joined))
	case in.freshPeer():
		return in.level("a peer has read the log")
	default:
		return ServingStatus{Mode: ModeServeStale, Reason: "no daemon of the majority reaches the log: no edit can have been accepted"}
	}
}

// level serves, with the reservation that the view may be about to catch up.
func (in Input) level(format string, args ...any) ServingStatus {
	if in.BehindFor > 0 {
		return ServingStatus{Mode: ModeServeStale, Reason: "the view is catching up"}
	}
	return ServingStatus{Mode: ModeServe, Reason: fmt.Sprintf(format, args...)}
}

func refuse(format string, args ...any) ServingStatus {
	return ServingStatus{Mode: ModeRefuse, Reason: fmt.Sprintf(format, args...)}
}

// seesMajority counts joined daemons only: one that has not joined counts
// neither among the seen nor among all, or two sides could both reach a
// majority by starting daemons. With nobody joined the fleet is new.
func (in Input) seesMajority() bool {
	if len(in.Joined) == 0 {
		return true
	}
	seen := make(map[string]struct{}, len(in.Reports)+1)
	seen[in.Self] = struct{}{}
	for _, r := range in.Reports {
		seen[r.Daemon] = struct{}{}
	}
	n := 0
	for _, id := range in.Joined {
		if _, ok := seen[id]; ok {
			n++
		}
	}
	return 2*n > len(in.Joined)
}

func (in Input) freshPeer() bool {
	for _, r := range in.Reports {
		if r.Started && r.LogAge <= in.Limits.MaxLogAge {
			return true
		}
	}
	return false
}

// HighestPosition returns the highest position among the reports.
func HighestPosition(reports []Report) (state.Position, bool) {
	var best state.Position
	found := false
	for _, r := range reports {
		if r.Started && (!found || best.Before(r.Pos)) {
			best, found = r.Pos, true
		}
	}
	return best, found
}

// Diverged reports whether most of those who stand at pos, this daemon among
// them, provably hold another state. A tie counts as diverged: neither side can
// know that it is the right one.
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
