package placement

import (
	"fmt"
	"slices"
	"strings"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

var conditionNames = [...]string{"healthy", "forming", "openable", "draining", "failed", "ending", "unfenced", "over"}

func (c Condition) String() string { return conditionNames[c] }

// Summarize returns a summary of the snapshot in one line: for each domain its
// groups, with their condition and the number of members present, and the number
// of engines in no group. Equal states give equal lines.
func Summarize(s *Snapshot) string {
	byDomain := map[string][]string{}
	add := func(domain, item string) { byDomain[domain] = append(byDomain[domain], item) }
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
	for domain, items := range byDomain {
		slices.Sort(items)
		out = append(out, domain+": "+strings.Join(items, ", "))
	}
	slices.Sort(out)
	return strings.Join(out, "; ")
}
