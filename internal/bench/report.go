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

// RunResult is the result of one run. The load averages show how busy the machine was
// with other work.
type RunResult struct {
	Experiment string   `json:"experiment"`
	Run        int      `json:"run"`
	Seed       uint64   `json:"seed"`
	LoadBefore float64  `json:"load1_before"`
	LoadAfter  float64  `json:"load1_after"`
	Figures    []Figure `json:"figures"`
}

// goal is the bound that the median of a figure must meet.
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

// figureSummary holds the minimum, median and maximum of a figure over the runs.
type figureSummary struct {
	figure                   Figure
	minimum, median, maximum float64
}

func summarize(results []RunResult) []figureSummary {
	var order []Figure
	values := make(map[string][]float64)
	for _, r := range results {
		for _, f := range r.Figures {
			if _, seen := values[f.Name]; !seen {
				order = append(order, f)
			}
			values[f.Name] = append(values[f.Name], f.Value)
		}
	}
	out := make([]figureSummary, 0, len(order))
	for _, f := range order {
		sorted := slices.Sorted(slices.Values(values[f.Name]))
		out = append(out, figureSummary{figure: f, minimum: sorted[0], median: quantile(sorted, 0.5), maximum: sorted[len(sorted)-1]})
	}
	return out
}

// quantile returns the q-quantile of a sorted sample; between two values it returns the
// lower one.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

func writeSummary(w io.Writer, e Experiment, results []RunResult) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "\n%s, %d runs\nfigure\tunit\tmin\tmedian\tmax\ttarget\n", e.Name, len(results))
	for _, s := range summarize(results) {
		fmt.Fprintf(t, "%s\t%s\t%.4g\t%.4g\t%.4g\t%s\n", s.figure.Name, s.figure.Unit, s.minimum, s.median, s.maximum, e.verdict(s))
	}
	return t.Flush()
}

// verdict compares the median with the figure's goal. It returns "" if the figure has
// none.
func (e Experiment) verdict(s figureSummary) string {
	for _, g := range e.goals {
		if g.figure != s.figure.Name {
			continue
		}
		if g.met(s.median) {
			return g.String() + ": met"
		}
		return g.String() + ": MISSED"
	}
	return ""
}

// loadAverage returns the machine's load average over one minute, or 0 if it cannot be
// read.
func loadAverage() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(data), " ")
	v, _ := strconv.ParseFloat(first, 64)
	return v
}
