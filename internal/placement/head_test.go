package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// TestJudgeHead lists which evidence proves that a head serves no more. Only then may the
// members of its group join another one (TWO).
func TestJudgeHead(t *testing.T) {
	const bound, unwitnessed = 5 * time.Second, 20 * time.Second
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	group := catalog.GroupID{Name: "g5", Epoch: 5}
	earlier, later := catalog.GroupID{Name: "g4", Epoch: 4}, catalog.GroupID{Name: "g6", Epoch: 6}
	const start = 1000
	in := func(id catalog.GroupID, state catalog.GroupState) catalog.Membership {
		return catalog.Membership{Group: id, State: state}
	}
	report := func(m catalog.Membership, age time.Duration) Evidence {
		return Evidence{Kind: Reported, StartUnixMS: start, Membership: m, At: ago(age)}
	}
	reportOf := func(startMS int64, m catalog.Membership, age time.Duration) Evidence {
		return Evidence{Kind: Reported, StartUnixMS: startMS, Membership: m, At: ago(age)}
	}
	listed := func(startMS int64, m catalog.Membership) Evidence {
		return Evidence{Kind: Announced, StartUnixMS: startMS, Membership: m, At: ago(time.Minute)}
	}
	removed := func(age time.Duration) Evidence { return Evidence{Kind: Removed, At: ago(age)} }
	heard := func(age time.Duration) Evidence { return Evidence{Kind: Answered, At: ago(age)} }
	silent := func(since time.Duration) Evidence { return Evidence{Kind: Silent, Since: ago(since), At: now} }
	peers := func(since time.Duration) Evidence {
		return Evidence{Kind: Silent, FromPeer: true, Since: ago(since), At: now}
	}
	paused := func(e Evidence) Evidence {
		e.At = ago(maxSilenceGap + time.Second)
		return e
	}
	closed := func(age time.Duration) Evidence { return Evidence{Kind: CloseAccepted, At: ago(age)} }
	s := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

	for _, c := range []struct {
		name     string
		evidence []Evidence
		alone    bool
		want     HeadVerdict
	}{
		{"nothing is known", nil, false, HeadMayServe},
		{"its entry was removed an hour ago, nobody has asked it", []Evidence{removed(time.Hour)}, false, HeadMayServe},

		// An entry that lapsed, one that the engine removed to leave, and one of an engine
		// that has exited look the same; the silence counts from the first query.
		{"removed longer ago than the bound, silent to all for less", []Evidence{removed(s(9)), silent(4), peers(4)}, false, HeadMayServe},
		{"removed just now, silent to all for longer than the bound", []Evidence{removed(s(1)), silent(s(5.5)), peers(s(5.2))}, false, HeadSilent},
		{"removed and silent to all for longer than the bound", []Evidence{removed(s(6)), silent(s(5.5)), peers(s(5.2))}, false, HeadSilent},
		{"silent to the peers for less than the bound", []Evidence{removed(s(9)), silent(s(9)), peers(s(4))}, false, HeadMayServe},
		{"silent to this daemon for less than the bound", []Evidence{removed(s(9)), silent(s(4)), peers(s(9))}, false, HeadMayServe},
		{"answers a peer now and then", []Evidence{removed(s(19)), silent(s(19)), peers(s(19)), heard(s(4))}, false, HeadMayServe},
		{"was heard before the bound", []Evidence{removed(s(19)), silent(s(19)), peers(s(19)), heard(s(5.2))}, false, HeadSilent},
		{"reported open to a peer lately", []Evidence{removed(s(19)), silent(s(19)), peers(s(19)), report(in(group, catalog.Open), s(4))}, false, HeadMayServe},
		{"no peer has stated anything", []Evidence{removed(s(19)), silent(s(19))}, false, HeadMayServe},
		{"no peer has stated anything for very long", []Evidence{removed(s(21)), silent(s(21))}, false, HeadSilent},
		{"there are no peers", []Evidence{removed(s(6)), silent(s(5.5))}, true, HeadSilent},
		{"there are no peers, for less than the bound", []Evidence{removed(s(9)), silent(s(4))}, true, HeadMayServe},
		{"this daemon was suspended and has not asked since", []Evidence{removed(s(19)), paused(silent(s(19))), peers(s(19))}, false, HeadMayServe},
		{"the peers' statements have ceased", []Evidence{removed(s(19)), silent(s(19)), paused(peers(s(19)))}, false, HeadMayServe},
		{"silent to all, but it reaches the store", []Evidence{listed(start, in(group, catalog.Open)), silent(time.Hour), peers(time.Hour)}, false, HeadMayServe},

		{"reports open", []Evidence{removed(s(1)), report(in(group, catalog.Open), 0)}, false, HeadMayServe},
		{"reports closing", []Evidence{removed(s(1)), report(in(group, catalog.Closing), 0), closed(s(0.5))}, false, HeadMayServe},
		{"reports broken", []Evidence{removed(s(1)), report(in(group, catalog.Broken), 0)}, false, HeadBroken},
		{"reported broken before its entry was removed", []Evidence{removed(s(0.5)), report(in(group, catalog.Broken), s(0.9))}, false, HeadMayServe},
		{"reported broken long ago", []Evidence{removed(s(60)), report(in(group, catalog.Broken), s(5))}, false, HeadMayServe},
		{"stands still: it neither answers nor is it broken", []Evidence{removed(s(3)), silent(s(3)), peers(s(3))}, false, HeadMayServe},
		{"reports ready, but may be ordered to open", []Evidence{removed(s(1)), report(in(group, catalog.Ready), 0)}, false, HeadMayServe},
		{"reports ready after it accepted the close", []Evidence{removed(s(1)), report(in(group, catalog.Ready), 0), closed(s(0.2))}, false, HeadClosed},
		{"reported ready before it accepted the close", []Evidence{removed(s(1)), report(in(group, catalog.Ready), s(0.5)), closed(s(0.2))}, false, HeadMayServe},
		{"accepted the close, but did not report since", []Evidence{removed(s(1)), closed(s(0.2))}, false, HeadMayServe},

		// A head was cut off 9 s after a report that named its previous group.
		{"reported an earlier group before its entry was removed", []Evidence{removed(s(0.5)), report(in(earlier, catalog.Open), s(1.5))}, false, HeadMayServe},
		{"reports an earlier group now", []Evidence{removed(s(1)), report(in(earlier, catalog.Ready), 0)}, false, HeadLeft},
		{"reports no group now", []Evidence{removed(s(1)), report(catalog.Membership{}, 0)}, false, HeadLeft},
		{"reported a later group at any time", []Evidence{removed(s(1)), report(in(later, catalog.Joining), s(9))}, false, HeadJoinedLater},
		{"announces a later group", []Evidence{listed(start, in(later, catalog.Joining))}, false, HeadJoinedLater},
		// An announcement may be older than the join that made the engine the head.
		{"announces an earlier group", []Evidence{listed(start, in(earlier, catalog.Open))}, false, HeadMayServe},
		{"announces no group", []Evidence{listed(start, catalog.Membership{})}, false, HeadMayServe},
		{"announces an earlier group and reports it too", []Evidence{listed(start, in(earlier, catalog.Open)), report(in(earlier, catalog.Open), 0)}, false, HeadLeft},

		{"announces a later start", []Evidence{listed(start+1, catalog.Membership{})}, false, HeadRestarted},
		{"announces an earlier start", []Evidence{listed(start-1, in(later, catalog.Open))}, false, HeadMayServe},
		{"reports a later start", []Evidence{removed(s(1)), reportOf(start+1, catalog.Membership{}, s(9))}, false, HeadRestarted},
		{"reports an earlier start now", []Evidence{removed(s(1)), reportOf(start-1, catalog.Membership{}, 0)}, false, HeadRestarted},
		{"reported an earlier start before it was ordered to lead", []Evidence{removed(s(1)), reportOf(start-1, in(earlier, catalog.Open), s(9))}, false, HeadMayServe},
		{"is back under its start", []Evidence{listed(start, in(group, catalog.Open)), heard(0)}, false, HeadMayServe},
		// The engine started again between its announcement and the join.
		{"a later start than recorded leads the group", []Evidence{removed(s(1)), reportOf(start+1, in(group, catalog.Open), 0)}, false, HeadMayServe},
		{"another engine answers at its address", []Evidence{removed(s(1)), {Kind: Replaced}}, false, HeadReplaced},
		{"nobody has known its head for less than the bound", []Evidence{{Kind: Unrecorded, Since: ago(s(19)), At: now}}, false, HeadMayServe},
		{"nobody has known its head for longer than the bound", []Evidence{{Kind: Unrecorded, Since: ago(s(21)), At: now}}, false, HeadUnknown},
		{"was never ordered to open", []Evidence{listed(start, in(earlier, catalog.Open)), {Kind: NeverOpened}}, false, HeadNeverOpened},
	} {
		q := HeadQuestion{Group: group, StartUnixMS: start, HasPeers: !c.alone, StallBound: bound, UnwitnessedBound: unwitnessed, Now: now}
		must.Eq(t, c.want, JudgeHead(&q, c.evidence), must.Sprint(c.name))
	}
}

// TestFinalVerdicts lists the verdicts after which no late order and no path that returns can
// make the head serve the group.
func TestFinalVerdicts(t *testing.T) {
	final := map[HeadVerdict]bool{HeadReplaced: true, HeadRestarted: true, HeadJoinedLater: true, HeadNeverOpened: true}
	for v := range headVerdictNames {
		must.Eq(t, final[HeadVerdict(v)], HeadVerdict(v).IsFinal(), must.Sprint(HeadVerdict(v)))
	}
}

// TestExtendSilence checks that a silence does not span a time without queries.
func TestExtendSilence(t *testing.T) {
	begun := time.Now()
	e := ExtendSilence(Evidence{}, begun)
	e = ExtendSilence(e, begun.Add(maxSilenceGap))
	must.Eq(t, begun, e.Since)
	resumed := e.At.Add(maxSilenceGap + time.Millisecond)
	e = ExtendSilence(e, resumed)
	must.Eq(t, resumed, e.Since)
}
