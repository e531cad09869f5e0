package bench

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Figure is one measured value.
type Figure struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

// RunResult is the result of one run. The load averages tell how busy the machine
// was besides.
type RunResult struct {
	Experiment string   `json:"experiment"`
	Run        int      `json:"run"`
	Seed       uint64   `json:"seed"`
	LoadBefore float64  `json:"load1_before"`
	LoadAfter  float64  `json:"load1_after"`
	Figures    []Figure `json:"figures"`
}

// goal is the bound that a figure's median is held against.
type goal struct {
	figure string
	bound  float64
	atMost bool
}

func atMost(figure string, bound float64) goal { return goal{figure, bound, true} }

func atLeast(figure string, bound float64) goal { return goal{figure, bound, false} }

func (g goal) String() string {
	if g.atMost {
		return fmt.Sprintf("at most %g", g.bound)
	}
	return fmt.Sprintf("at least %g", g.bound)
}

func (g goal) met(v float64) bool {
	if g.atMost {
		return v <= g.bound
	}
	return v >= g.bound
}

// spreadOf is the minimum, median and maximum of a figure over the runs.
type spreadOf struct {
	figure        Figure
	low, mid, top float64
}

func summarize(lines []RunResult) []spreadOf {
	var order []Figure
	values := make(map[string][]float64)
	for _, l := range lines {
		for _, f := range l.Figures {
			if _, seen := values[f.Name]; !seen {
				order = append(order, f)
			}
			values[f.Name] = append(values[f.Name], f.Value)
		}
	}
	out := make([]spreadOf, 0, len(order))
	for _, f := range order {
		v := slices.Sorted(slices.Values(values[f.Name]))
		out = append(out, spreadOf{figure: f, low: v[0], mid: quantile(v, 0.5), top: v[len(v)-1]})
	}
	return out
}

// quantile returns the value at q of a sorted sample, the lower one of two.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

func writeSummary(w io.Writer, e Experiment, lines []RunResult) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "\n%s, %d runs\nfigure\tunit\tmin\tmedian\tmax\ttarget\n", e.Name, len(lines))
	for _, s := range summarize(lines) {
		fmt.Fprintf(t, "%s\t%s\t%.4g\t%.4g\t%.4g\t%s\n", s.figure.Name, s.figure.Unit, s.low, s.mid, s.top, e.verdict(s))
	}
	return t.Flush()
}

// verdict holds the median against the figure's target, if it has one.
func (e Experiment) verdict(s spreadOf) string {
	for _, g := range e.targets {
		if g.figure != s.figure.Name {
			continue
		}
		if g.met(s.mid) {
			return g.String() + ": met"
		}
		return g.String() + ": MISSED"
	}
	return ""
}

// loadAverage returns the machine's load over the last minute, 0 if unknown.
func loadAverage() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(data), " ")
	v, _ := strconv.ParseFloat(first, 64)
	return v
}
