package quorum

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/ragwortquay/ragwortquay/internal/state"
)

var (
	ownPos   = state.Position{Epoch: 1, Offset: 7}
	laterPos = state.Position{Epoch: 1, Offset: 8}
)

func daemonIDs(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("d%d", i))
	}
	return out
}

// peerReports returns reports of the daemons d1 to dN; d0 is the daemon under
// test.
func peerReports(n int, age time.Duration) []Report {
	var out []Report
	for _, id := range daemonIDs(n + 1)[1:] {
		out = append(out, Report{Daemon: id, Started: true, Pos: ownPos, LogAge: age})
	}
	return out
}

func TestDecide(t *testing.T) {
	const fresh, stale = time.Second, time.Minute
	cases := []struct {
		name   string
		joined int
		seen   int           // number of reachable peers
		own    time.Duration // age of the daemon's own read of the log
		peers  time.Duration // age of the peers' reads of the log
		edit   func(*Input)
		mode   Mode
		cold   bool
	}{
		{"no fault", 5, 4, fresh, fresh, nil, ModeServe, true},
		{"log reached, minority of peers", 5, 1, fresh, fresh, nil, ModeServe, false},
		{"log reached, alone of five", 5, 0, fresh, fresh, nil, ModeServe, false},
		{"log reached, half of four", 4, 1, fresh, fresh, nil, ModeServe, false},
		{"own log access lost, majority has it", 5, 2, stale, fresh, nil, ModeServe, true},
		{"own log access lost, minority has it", 5, 1, stale, fresh, nil, ModeRefuse, false},
		{"log lost for the majority", 5, 2, stale, stale, nil, ModeServeStale, true},
		{"log lost for a minority", 5, 1, stale, stale, nil, ModeRefuse, false},
		{"log lost, half of four", 4, 1, stale, stale, nil, ModeRefuse, false},
		{"log lost, one of two", 2, 0, stale, stale, nil, ModeRefuse, false},
		{"log lost, one of one", 1, 0, stale, stale, nil, ModeServeStale, true},
		{"new fleet, log lost after catch-up", 0, 0, stale, stale, nil, ModeServeStale, true},
		{"not caught up", 5, 4, fresh, fresh, func(in *Input) { in.CaughtUp = false }, ModeRefuse, false},
		{"new fleet, not caught up", 0, 0, stale, stale, func(in *Input) { in.CaughtUp = false }, ModeRefuse, false},
		{"diverged", 5, 4, fresh, fresh, func(in *Input) { in.Diverged = true }, ModeRefuse, false},
		{"epoch based on another state", 5, 4, fresh, fresh, func(in *Input) { in.EpochNotOpen = true }, ModeRefuse, false},
		{"superseded", 5, 4, fresh, fresh, func(in *Input) { in.Superseded = true }, ModeRefuse, false},
		{"behind within the limit", 5, 4, fresh, fresh, func(in *Input) { in.BehindFor = fresh }, ModeServeStale, true},
		{"behind beyond the limit", 5, 4, fresh, fresh, func(in *Input) { in.BehindFor = stale }, ModeRefuse, false},
		{"behind within the limit without the log", 5, 2, stale, fresh, func(in *Input) { in.BehindFor = fresh }, ModeServeStale, true},
		{"behind beyond the limit without the log", 5, 4, stale, stale, func(in *Input) { in.BehindFor = stale }, ModeRefuse, false},
		{"not joined, minority of joined seen", 5, 4, stale, stale, func(in *Input) {
			in.Self = "new"
			in.Reports = in.Reports[:2]
		}, ModeRefuse, false},
		{"not joined, majority of joined seen", 5, 4, stale, stale, func(in *Input) { in.Self = "new" }, ModeServeStale, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in := Input{
				Self: "d0", CaughtUp: true, Pos: ownPos, LogAge: c.own, Joined: daemonIDs(c.joined),
				Reports: peerReports(c.seen, c.peers), Limits: DefaultLimits(),
			}
			if c.edit != nil {
				c.edit(&in)
			}
			got := Decide(in)
			must.Eq(t, c.mode, got.Mode, must.Sprint(got.Reason))
			must.Eq(t, c.cold, got.MayUseCold)
			must.NotEq(t, "", got.Reason)
		})
	}
}

func TestDiverged(t *testing.T) {
	at := func(pos state.Position, digests ...uint64) []Report {
		var out []Report
		for _, d := range digests {
			out = append(out, Report{Started: true, Pos: pos, Digest: d})
		}
		return out
	}
	const mine, other = 0x1_01, 0x2_01 // the low byte is the digest's version
	const otherVersion = 0x1_02
	must.False(t, Diverged(ownPos, mine, nil))
	must.False(t, Diverged(ownPos, mine, at(laterPos, other, other)), must.Sprint("digests at different positions are not comparable"))
	must.False(t, Diverged(ownPos, mine, at(ownPos, otherVersion, otherVersion)), must.Sprint("digests of different versions are not comparable"))
	must.False(t, Diverged(ownPos, mine, at(ownPos, mine, other)))
	must.True(t, Diverged(ownPos, mine, at(ownPos, other)), must.Sprint("a tie counts as diverged"))
	must.True(t, Diverged(ownPos, mine, at(ownPos, mine, other, other)))
}

// TestAtMostOneSideMayUseCold guards against two sides of a partition that both
// send requests to cold targets and so exceed their limits. Daemons that have
// not joined are on both sides and must not tip the majority.
func TestAtMostOneSideMayUseCold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		joined := daemonIDs(rapid.IntRange(1, 12).Draw(t, "joined"))
		newcomers := rapid.IntRange(0, 6).Draw(t, "newcomers")
		all := append([]string(nil), joined...)
		for i := range newcomers {
			all = append(all, fmt.Sprintf("new%d", i))
		}
		sides := map[bool][]string{}
		for _, id := range all {
			side := rapid.Bool().Draw(t, id)
			sides[side] = append(sides[side], id)
		}
		cold := 0
		for _, side := range sides {
			if sideMayUseCold(side, joined) {
				cold++
			}
		}
		must.LessEq(t, 1, cold)
	})
}

func sideMayUseCold(side, joined []string) bool {
	for _, self := range side {
		in := Input{Self: self, CaughtUp: true, LogAge: time.Hour, Joined: joined, Limits: DefaultLimits()}
		for _, peer := range side {
			if peer != self {
				in.Reports = append(in.Reports, Report{Daemon: peer, Started: true, LogAge: time.Hour})
			}
		}
		if Decide(in).MayUseCold {
			return true
		}
	}
	return false
}
