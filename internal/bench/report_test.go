package bench

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func resultOf(values ...float64) RunResult {
	r := RunResult{Experiment: "x"}
	for i, v := range values {
		r.Figures = append(r.Figures, Figure{Name: string(rune('a' + i)), Unit: "s", Value: v})
	}
	return r
}

func TestSummarize(t *testing.T) {
	got := summarize([]RunResult{resultOf(3, 1), resultOf(1, 1), resultOf(2, 9)})
	must.Len(t, 2, got)
	must.Eq(t, 1.0, got[0].minimum)
	must.Eq(t, 2.0, got[0].median)
	must.Eq(t, 3.0, got[0].maximum)
	must.Eq(t, 1.0, got[1].median)
	must.Eq(t, 9.0, got[1].maximum)
}

func TestSummaryComparesMedianWithGoal(t *testing.T) {
	e := Experiment{Name: "x", goals: []goal{atMost("a", 1.5), atLeast("b", 5)}}
	var b strings.Builder
	must.NoError(t, writeSummary(&b, e, []RunResult{resultOf(1, 1), resultOf(1, 4), resultOf(9, 9)}))
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

func TestFitLine(t *testing.T) {
	slope, intercept := fitLine([]float64{3, 15, 45}, []float64{7, 31, 91})
	must.InDelta(t, 2, slope, 1e-9)
	must.InDelta(t, 1, intercept, 1e-9)
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
