package grant

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

func TestNextTerm(t *testing.T) {
	first := nextTerm("", "b")
	must.Less(t, nextTerm(first, "a"), first)
	must.Less(t, nextTerm(first, "b"), nextTerm(first, "a"))
}

func TestHolderStateRejectsEarlierTenures(t *testing.T) {
	term1, term2 := nextTerm("", "a"), nextTerm(nextTerm("", "a"), "b")
	hs := newHolderState("p", 0)
	must.True(t, hs.accept(limit.Grant{ID: "g1", Home: "a", Term: term1}))

	// A repeated Takeover returns the same previous tenure as the first.
	for range 2 {
		held, later, _ := hs.recordTakeover("b", term2)
		must.Eq(t, "", later)
		must.Eq(t, "a", held.LastHome)
		must.Eq(t, term1, held.LastTerm)
		must.SliceLen(t, 1, held.Grants)
	}

	// Messages of the earlier home that arrive later are rejected.
	must.False(t, hs.accept(limit.Grant{ID: "g2", Home: "a", Term: term1}))
	must.False(t, hs.recordWitnessed(time.Now(), &wire.WitnessUpdate{Home: "a", Term: term1}))
	_, later, term := hs.recordTakeover("a", term1)
	must.Eq(t, "b", later)
	must.Eq(t, term2, term)
}

func TestHolderStateRecordsCrash(t *testing.T) {
	now := time.Now()
	hs := newHolderState("p", 0)
	hs.accept(limit.Grant{ID: "g", Replica: "r", Incarnation: "i", Level: 8, GrantedAt: now})
	must.True(t, hs.queueRelease(now.Add(time.Second), limit.Release{Grant: "g", Result: limit.Result{Outcome: limit.Crashed}}))
	held, _, _ := hs.recordTakeover("b", nextTerm("", "b"))
	must.Eq(t, []limit.ReplicaLevel{{Replica: "r", Incarnation: "i", ObservedAt: now.Add(time.Second)}}, held.Levels)
}

func TestWitnessedGrants(t *testing.T) {
	hs := newHolderState("p", 0)
	term := nextTerm("", "a")
	must.True(t, hs.recordWitnessed(time.Now(), &wire.WitnessUpdate{Home: "a", Term: term, Grants: []limit.Grant{{ID: "g1"}, {ID: "g2"}}}))
	must.True(t, hs.recordWitnessed(time.Now(), &wire.WitnessUpdate{Home: "a", Term: term, Ended: []string{"g1"}}))
	held, _, _ := hs.recordTakeover("b", nextTerm(term, "b"))
	must.Eq(t, []limit.Grant{{ID: "g2"}}, held.Witnessed)
}

func TestSliceChoice(t *testing.T) {
	cases := []struct {
		name    string
		lengths sliceQueueLengths
		prefix  uint64
		want    int
	}{
		{"no prefix: shorter queue", sliceQueueLengths{5, 1}, 0, 1},
		{"prefix: its own slice", sliceQueueLengths{5, 1}, 2, 0},
		{"prefix: shorter queue if its own is much longer", sliceQueueLengths{50, 1}, 2, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, c.lengths.choose(c.prefix, 0, 1))
		})
	}
}
