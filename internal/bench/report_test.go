package bench

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func lineOf(values ...float64) RunResult {
	l := RunResult{Experiment: "x"}
	for i, v := range values {
		l.Figures = append(l.Figures, Figure{Name: string(rune('a' + i)), Unit: "s", Value: v})
	}
	return l
}

func TestSummarize(t *testing.T) {
	got := summarize([]RunResult{lineOf(3, 1), lineOf(1, 1), lineOf(2, 9)})
	must.Len(t, 2, got)
	must.Eq(t, 1.0, got[0].low)
	must.Eq(t, 2.0, got[0].mid)
	must.Eq(t, 3.0, got[0].top)
	must.Eq(t, 1.0, got[1].mid)
	must.Eq(t, 9.0, got[1].top)
}

func TestSummaryHoldsMedianAgainstTarget(t *testing.T) {
	e := Experiment{Name: "x", targets: []goal{atMost("a", 1.5), atLeast("b", 5)}}
	var b strings.Builder
	must.NoError(t, writeSummary(&b, e, []RunResult{lineOf(1, 1), lineOf(1, 4), lineOf(9, 9)}))
	must.StrContains(t, b.String(), "at most 1.5: met")
	must.StrContains(t, b.String(), "at least 5: MISSED")
}

func TestQuantile(t *testing.T) {
	v := []float64{1, 2, 3, 4}
	must.Eq(t, 1.0, quantile(v, 0))
	must.Eq(t, 2.0, quantile(v, 0.5))
	must.Eq(t, 4.0, quantile(v, 1))
	must.Eq(t, 0.0, quantile(nil, 0.5))
}

func TestLine(t *testing.T) {
	slope, base := line([]float64{3, 15, 45}, []float64{7, 31, 91})
	must.InDelta(t, 2, slope, 1e-9)
	must.InDelta(t, 1, base, 1e-9)
}

func TestFind(t *testing.T) {
	for _, e := range Experiments() {
		got, err := Find(e.Name)
		must.NoError(t, err)
		must.Eq(t, e.Summary, got.Summary)
	}
	_, err := Find("nothing")
	must.ErrorContains(t, err, "latency")
}
