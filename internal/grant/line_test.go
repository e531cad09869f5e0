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

func TestLineKeepsToTheLatestTenure(t *testing.T) {
	one, two := nextTerm("", "a"), nextTerm(nextTerm("", "a"), "b")
	l := newLine("p", 0)
	must.True(t, l.accept(limit.Grant{ID: "g1", Home: "a", Term: one}))

	// Asked once or twice, it names the tenure before the one that asks.
	for range 2 {
		held, later, _ := l.takeover("b", two)
		must.Eq(t, "", later)
		must.Eq(t, "a", held.LastHome)
		must.Eq(t, one, held.LastTerm)
		must.SliceLen(t, 1, held.Grants)
	}

	// Whatever the earlier home still sends comes too late.
	must.False(t, l.accept(limit.Grant{ID: "g2", Home: "a", Term: one}))
	must.False(t, l.note(time.Now(), &wire.WitnessUpdate{Home: "a", Term: one}))
	_, later, term := l.takeover("a", one)
	must.Eq(t, "b", later)
	must.Eq(t, two, term)
}

func TestLineRemembersACrash(t *testing.T) {
	now := time.Now()
	l := newLine("p", 0)
	l.accept(limit.Grant{ID: "g", Replica: "r", Incarnation: "i", Level: 8, GrantedAt: now})
	must.True(t, l.release(now.Add(time.Second), limit.Release{Grant: "g", Result: limit.Result{Outcome: limit.Crashed}}))
	held, _, _ := l.takeover("b", nextTerm("", "b"))
	must.Eq(t, []limit.ReplicaLevel{{Replica: "r", Incarnation: "i", ObservedAt: now.Add(time.Second)}}, held.Levels)
}

func TestNotes(t *testing.T) {
	l := newLine("p", 0)
	term := nextTerm("", "a")
	must.True(t, l.note(time.Now(), &wire.WitnessUpdate{Home: "a", Term: term, Grants: []limit.Grant{{ID: "g1"}, {ID: "g2"}}}))
	must.True(t, l.note(time.Now(), &wire.WitnessUpdate{Home: "a", Term: term, Ended: []string{"g1"}}))
	held, _, _ := l.takeover("b", nextTerm(term, "b"))
	must.Eq(t, []limit.Grant{{ID: "g2"}}, held.Witnessed)
}

func TestSliceChoice(t *testing.T) {
	cases := []struct {
		name   string
		loads  poolLoad
		prefix uint64
		want   int
	}{
		{"the shorter of two without a prefix", poolLoad{5, 1}, 0, 1},
		{"that of the prefix", poolLoad{5, 1}, 2, 0},
		{"unless its queue is much longer", poolLoad{50, 1}, 2, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, c.loads.choose(c.prefix, 0, 1))
		})
	}
}
