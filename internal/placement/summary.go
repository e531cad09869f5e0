package placement

import (
	"fmt"
	"slices"
	"strings"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

var conditionNames = [...]string{"healthy", "forming", "openable", "draining", "failed", "ending", "abandoned", "unfenced", "over"}

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

// SummarizeModels returns for each model the number of groups that serve, are being
// formed or end, of free engines that have the model loaded or on their host, and
// of loads of it that are running.
func SummarizeModels(s *Snapshot) map[string]map[string]int {
	out := map[string]map[string]int{}
	for _, m := range s.Service.Engine.Models {
		out[m.Name] = map[string]int{"serving": 0, "forming": 0, "ending": 0, "free_with_weights": 0, "loading": 0}
	}
	for i := range s.Groups {
		counts, known := out[s.Groups[i].Model]
		if !known {
			continue
		}
		switch Classify(s, &s.Groups[i]) {
		case Healthy:
			counts["serving"]++
		case Forming, Openable:
			counts["forming"]++
		case Draining, Failed, Ending, Abandoned, Unfenced:
			counts["ending"]++
		case Ended: // its members are free
		}
	}
	for _, e := range s.freeEngines() {
		for _, m := range s.Service.Engine.Models {
			if s.loadDistance(m, e) <= staged {
				out[m.Name]["free_with_weights"]++
			}
		}
	}
	for _, model := range s.Staging {
		if counts, known := out[model]; known {
			counts["loading"]++
		}
	}
	return out
}

// FreeEngines returns the number of engines that a new group could use, and of those
// the number in domains that have too few of them for any group.
func FreeEngines(s *Snapshot) (free, scattered int) {
	byDomain := map[string]int{}
	for _, e := range s.freeEngines() {
		byDomain[e.FabricDomain]++
	}
	smallest := 0
	for _, m := range s.Service.Engine.Models {
		if m.GroupSize > 0 && (smallest == 0 || m.GroupSize < smallest) {
			smallest = m.GroupSize
		}
	}
	for _, n := range byDomain {
		free += n
		if n < smallest {
			scattered += n
		}
	}
	return free, scattered
}

// freeEngines returns the engines that a new group could use, of all domains.
func (s *Snapshot) freeEngines() []*catalog.Engine {
	_, alloc := s.groupSteps()
	var out []*catalog.Engine
	for _, engines := range alloc.free {
		out = append(out, engines...)
	}
	return out
}
