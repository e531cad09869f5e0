package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/wire"
)

func peerNames(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprint("front-", i))
	}
	return out
}

func TestPlanRound(t *testing.T) {
	two := map[string]bool{"front-0": true, "front-1": true}
	cases := []struct {
		name                 string
		fleet                fleetView
		full, sums, presence int
		interval             time.Duration
	}{
		{"a small fleet", fleetView{names: peerNames(14), collectors: two}, 14, 0, 0, minReportInterval},
		{"a small fleet, a collector", fleetView{names: peerNames(39), isCollector: true, collectors: two}, 39, 0, 0, 200 * time.Millisecond},
		{"a large fleet, no collector known", fleetView{names: peerNames(116)}, 116, 0, 0, 585 * time.Millisecond},
		{"a large fleet", fleetView{names: peerNames(116), collectors: two}, 2, 0, 0, collectorInterval},
		{"a large fleet, presence is due", fleetView{names: peerNames(116), collectors: two, presenceDue: true}, 2, 0, 114, collectorInterval},
		{"a large fleet, a collector", fleetView{names: peerNames(116), isCollector: true, collectors: map[string]bool{"front-0": true}}, 1, 115, 0, collectorInterval},
		{"a large fleet, the only collector", fleetView{names: peerNames(116), isCollector: true, presenceDue: true}, 0, 116, 0, collectorInterval},
	}
	for _, c := range cases {
		round := c.fleet.planRound()
		must.Eq(t, []int{c.full, c.sums, c.presence}, []int{len(round.full), len(round.sums), len(round.presence)}, must.Sprint(c.name))
		must.Eq(t, c.interval, round.interval, must.Sprint(c.name))
	}
}

// TestDatagramRateOfLargeFleets checks that the datagram rate of a large fleet
// grows linearly with its size, not with the square.
func TestDatagramRateOfLargeFleets(t *testing.T) {
	perSecond := func(n int) float64 {
		plain := fleetView{names: peerNames(n - 1), collectors: map[string]bool{"front-0": true, "front-1": true}}
		collector := fleetView{names: peerNames(n - 1), isCollector: true, collectors: map[string]bool{"front-0": true}}
		rate := func(f fleetView) float64 {
			round := f.planRound()
			return float64(len(round.full)+len(round.sums)) / round.interval.Seconds()
		}
		withPresence := plain
		withPresence.presenceDue = true
		presenceRate := float64(len(withPresence.planRound().presence)) / presenceInterval.Seconds()
		return float64(n-2)*(rate(plain)+presenceRate) + 2*rate(collector)
	}
	// Presence reports still go from all to all, once per presenceInterval, and are
	// left out of the comparison.
	must.Less(t, 4*perSecond(100), perSecond(300)-300*300/presenceInterval.Seconds())
	must.Less(t, 300*300/minReportInterval.Seconds()/10, perSecond(300), must.Sprint("at most a tenth of the datagrams of direct reports"))
}

func TestSplitSumsCoversEachEngineOnce(t *testing.T) {
	var loads []wire.EngineLoad
	for i := range 120 {
		loads = append(loads, wire.EngineLoad{Engine: fmt.Sprint("i-", i), InFlight: i})
	}
	seen := map[string]int{}
	reports := splitSums(&wire.LoadReport{Sender: "a", Loads: loads[:3]}, loads)
	for _, r := range reports {
		must.Eq(t, len(reports), r.SumParts)
		for _, l := range r.Loads {
			seen[l.Engine]++
			must.Eq(t, r.SumPart, SumPartIndex(l.Engine, r.SumParts))
		}
	}
	must.MapLen(t, 120, seen)
	for id, n := range seen {
		must.Eq(t, 1, n, must.Sprint(id))
	}
}
