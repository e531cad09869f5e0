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
	here  = state.Position{Epoch: 1, Offset: 7}
	ahead = state.Position{Epoch: 1, Offset: 8}
)

func names(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("d%d", i))
	}
	return out
}

// reports are of d1 to dN: this daemon is d0.
func reports(n int, age time.Duration) []Report {
	var out []Report
	for _, id := range names(n + 1)[1:] {
		out = append(out, Report{Daemon: id, Started: true, Pos: here, LogAge: age})
	}
	return out
}

func TestDecide(t *testing.T) {
	const fresh, stale = time.Second, time.Minute
	cases := []struct {
		name   string
		joined int
		seen   int // peers that answer
		own    time.Duration
		peers  time.Duration
		edit   func(*Input)
		mode   Mode
		cold   bool
	}{
		{"all well", 5, 4, fresh, fresh, nil, ModeServe, true},
		{"log reached, minority of peers", 5, 1, fresh, fresh, nil, ModeServe, false},
		{"log reached, alone of five", 5, 0, fresh, fresh, nil, ModeServe, false},
		{"log reached, half of four", 4, 1, fresh, fresh, nil, ModeServe, false},
		{"log lost here, majority has it", 5, 2, stale, fresh, nil, ModeServe, true},
		{"log lost here, minority has it", 5, 1, stale, fresh, nil, ModeRefuse, false},
		{"log lost for the majority", 5, 2, stale, stale, nil, ModeServeStale, true},
		{"log lost for a minority", 5, 1, stale, stale, nil, ModeRefuse, false},
		{"log lost, half of four", 4, 1, stale, stale, nil, ModeRefuse, false},
		{"log lost, one of two", 2, 0, stale, stale, nil, ModeRefuse, false},
		{"log lost, one of one", 1, 0, stale, stale, nil, ModeServeStale, true},
		{"new fleet, log lost after catch-up", 0, 0, stale, stale, nil, ModeServeStale, true},
		{"not caught up", 5, 4, fresh, fresh, func(in *Input) { in.CaughtUp = false }, ModeRefuse, false},
		{"new fleet, not caught up", 0, 0, stale, stale, func(in *Input) { in.CaughtUp = false }, ModeRefuse, false},
		{"diverged", 5, 4, fresh, fresh, func(in *Input) { in.Diverged = true }, ModeRefuse, false},
		{"in an epoch that builds on another state", 5, 4, fresh, fresh, func(in *Input) { in.EpochNotOpen = true }, ModeRefuse, false},
		{"superseded", 5, 4, fresh, fresh, func(in *Input) { in.Superseded = true }, ModeRefuse, false},
		{"behind for a moment", 5, 4, fresh, fresh, func(in *Input) { in.BehindFor = fresh }, ModeServeStale, true},
		{"behind for too long", 5, 4, fresh, fresh, func(in *Input) { in.BehindFor = stale }, ModeRefuse, false},
		{"behind for a moment without the log", 5, 2, stale, fresh, func(in *Input) { in.BehindFor = fresh }, ModeServeStale, true},
		{"behind for too long without the log", 5, 4, stale, stale, func(in *Input) { in.BehindFor = stale }, ModeRefuse, false},
		{"not joined, minority of joined seen", 5, 4, stale, stale, func(in *Input) {
			in.Self = "new"
			in.Reports = in.Reports[:2]
		}, ModeRefuse, false},
		{"not joined, majority of joined seen", 5, 4, stale, stale, func(in *Input) { in.Self = "new" }, ModeServeStale, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in := Input{
				Self: "d0", CaughtUp: true, Pos: here, LogAge: c.own, Joined: names(c.joined),
				Reports: reports(c.seen, c.peers), Limits: DefaultLimits(),
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
	const later = 0x1_02
	must.False(t, Diverged(here, mine, nil))
	must.False(t, Diverged(here, mine, at(ahead, other, other)), must.Sprint("another position proves nothing"))
	must.False(t, Diverged(here, mine, at(here, later, later)), must.Sprint("another version proves nothing"))
	must.False(t, Diverged(here, mine, at(here, mine, other)))
	must.True(t, Diverged(here, mine, at(here, other)), must.Sprint("a tie has no right side"))
	must.True(t, Diverged(here, mine, at(here, mine, other, other)))
}

// Whatever a partition looks like, only one side may use cold targets.
func TestOnlyOneSideUsesColdTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		joined := names(rapid.IntRange(1, 12).Draw(t, "joined"))
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
			if sideUsesCold(side, joined) {
				cold++
			}
		}
		must.LessEq(t, 1, cold)
	})
}

func sideUsesCold(side, joined []string) bool {
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
