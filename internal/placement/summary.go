package placement

import (
	"fmt"
	"slices"
	"strings"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

var conditionNames = [...]string{"healthy", "forming", "openable", "draining", "failed", "ending", "unfenced", "over"}

// String returns the condition's name for logs.
func (c Condition) String() string { return conditionNames[c] }

// Summarize returns the snapshot as one line: per domain the groups with their
// model's size and condition, and the engines in no group. It changes only if
// the state does.
func Summarize(s *Snapshot) string {
	byDomain := map[string][]string{}
	add := func(domain, what string) { byDomain[domain] = append(byDomain[domain], what) }
	for i := range s.Groups {
		g := &s.Groups[i]
		present := g.PresentMembers()
		add(present[0].FabricDomain, fmt.Sprintf("%s %s %d/%d", g.ID.Name, Classify(s, g), len(present), len(g.Members)))
	}
	idle := map[string]int{}
	for _, e := range s.Engines {
		if e.Membership.State == catalog.NoGroup {
			idle[e.FabricDomain]++
		}
	}
	for domain, n := range idle {
		add(domain, fmt.Sprintf("idle %d", n))
	}
	out := make([]string, 0, len(byDomain))
	for domain, list := range byDomain {
		slices.Sort(list)
		out = append(out, domain+": "+strings.Join(list, ", "))
	}
	slices.Sort(out)
	return strings.Join(out, "; ")
}
