package load

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ragwortquay/ragwortquay/internal/tomlfile"
)

// Quantiles holds quantiles of one histogram, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Count is the number of requests with one label.
type Count struct {
	Label string `json:"label"`
	Count int64  `json:"count"`
}

// Breakdown is the result of one kind or one workspace.
type Breakdown struct {
	Name    string `json:"name"`
	Offered int64  `json:"offered"`
	InTime  int64  `json:"in_time"`
	// InTimeRatio is the ratio of offered requests that were answered in time.
	InTimeRatio float64 `json:"in_time_ratio"`
	// FirstTokensInTime is the number of first tokens that arrived in time.
	FirstTokensInTime int64     `json:"first_token_in_time"`
	Classes           []Count   `json:"classes"`
	Reasons           []Count   `json:"reasons"`
	ResponseTime      Quantiles `json:"answer"`
	FirstToken        Quantiles `json:"first_token"`
	BetweenTokens     Quantiles `json:"between_tokens"`
	// ResponseTimeFromSend and FirstTokenFromSend are measured from the time of
	// sending. They allow a comparison of a daemon with its target, but hide delays of
	// the sender.
	ResponseTimeFromSend Quantiles `json:"answer_from_send"`
	FirstTokenFromSend   Quantiles `json:"first_token_from_send"`
}

// EventResult is the outcome of one event.
type EventResult struct {
	Name   string  `json:"name"`
	AtS    float64 `json:"at_s"`
	TookMs float64 `json:"took_ms"`
	// Response summarizes the server's response. Error is set if the event failed.
	Response string `json:"answer,omitempty"`
	Error    string `json:"error,omitempty"`
}

// Result is the result of one run.
type Result struct {
	Plan       string      `json:"plan"`
	Seed       uint64      `json:"seed"`
	DurationS  float64     `json:"duration_s"`
	WarmupS    float64     `json:"warmup_s"`
	Kinds      []Breakdown `json:"kinds"`
	Workspaces []Breakdown `json:"workspaces"`
	// SendLag is the delay between the planned and the actual time of sending. All
	// times that are measured from the arrival include it.
	SendLag Quantiles     `json:"send_lag"`
	Events  []EventResult `json:"events"`
	// Groups is measured from the state of the stand-in engines, ReportedGroups from
	// the status that the daemons report.
	Groups         *GroupResult `json:"groups,omitempty"`
	ReportedGroups *GroupResult `json:"reported_groups,omitempty"`
	Timeline       []Second     `json:"timeline"`
}

// Result returns the aggregates of the observations so far.
func (r *Recorder) Result() Result {
	out := Result{
		Plan: r.plan.Name, Seed: r.plan.Seed,
		DurationS: seconds(r.plan.Duration), WarmupS: seconds(r.plan.Warmup),
		SendLag: r.sendLag.breakdown("").ResponseTime, Timeline: r.timeline.snapshot(),
	}
	for _, k := range r.plan.Kinds {
		out.Kinds = append(out.Kinds, r.kinds[k.Name].breakdown(k.Name))
	}
	for _, w := range r.plan.Workspaces {
		out.Workspaces = append(out.Workspaces, r.workspaces[w.Name].breakdown(w.Name))
	}
	return out
}

func (s *series) breakdown(name string) Breakdown {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Breakdown{
		Name: name, Offered: s.offered, InTime: s.inTime, InTimeRatio: ratio(s.inTime, s.offered), FirstTokensInTime: s.firstTokensInTime,
		Classes: counts(s.classes), Reasons: counts(s.reasons),
		ResponseTime: quantiles(s.responseTime), FirstToken: quantiles(s.firstToken), BetweenTokens: quantiles(s.tokenGaps),
		ResponseTimeFromSend: quantiles(s.responseTimeFromSend), FirstTokenFromSend: quantiles(s.firstTokenFromSend),
	}
}

func ratio(n, of int64) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

func counts[K ~string](m map[K]int64) []Count {
	out := make([]Count, 0, len(m))
	for k, n := range m {
		out = append(out, Count{Label: string(k), Count: n})
	}
	slices.SortFunc(out, func(a, b Count) int { return cmp.Compare(a.Label, b.Label) })
	return out
}

// CountOf returns the number of requests of class c.
func (b Breakdown) CountOf(c Class) int64 {
	for _, n := range b.Classes {
		if n.Label == string(c) {
			return n.Count
		}
	}
	return 0
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return millis(h.ValueAtQuantile(q)) }
	return Quantiles{
		Count: h.TotalCount(), P50: at(50), P90: at(90), P95: at(95), P99: at(99), P999: at(99.9), Max: millis(h.Max()),
	}
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

// WriteSummary writes the result as tables for people.
func (r Result) WriteSummary(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "plan %s, seed %d, %.0f s of arrivals, the first %.0f s not counted\n\n", r.Plan, r.Seed, r.DurationS, r.WarmupS)
	writeBreakdowns(t, "kind", r.Kinds)
	writeBreakdowns(t, "workspace", r.Workspaces)
	fmt.Fprintf(t, "sent late by the tool (ms): p50 %.1f, p99 %.1f, max %.1f\n", r.SendLag.P50, r.SendLag.P99, r.SendLag.Max)
	writeGroups(t, "groups by the engines", r.Groups)
	writeGroups(t, "groups by the daemons", r.ReportedGroups)
	for _, e := range r.Events {
		fmt.Fprintf(t, "event at %.1f s, %.0f ms: %s: %s%s\n", e.AtS, e.TookMs, e.Name, e.Response, e.Error)
	}
	return t.Flush()
}

func writeGroups(w io.Writer, title string, g *GroupResult) {
	if g == nil {
		return
	}
	fmt.Fprintf(w, "%s: %d expected, downtime %.1f group-seconds, stranded %.1f VM-seconds, in %.1f s\n",
		title, g.Expected, g.DowntimeS, g.StrandedS, g.SpanS)
}

func writeBreakdowns(w io.Writer, title string, breakdowns []Breakdown) {
	fmt.Fprintf(w, "%s\toffered\tin time\t%%\treplayed\tnot run\tunknown\tfailed\tcut\tunreachable\twrong\tanswer p50\tp95\tp99\tfirst p50\tp95\tbetween p50\tp95\t\n", title)
	for _, b := range breakdowns {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.2f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t", b.Name, b.Offered, b.InTime, 100*b.InTimeRatio,
			b.CountOf(Replayed), b.CountOf(NotRun), b.CountOf(Unknown), b.CountOf(Failed), b.CountOf(Truncated), b.CountOf(Unreachable), b.CountOf(Wrong))
		fmt.Fprintf(w, "%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", b.ResponseTime.P50, b.ResponseTime.P95, b.ResponseTime.P99,
			b.FirstToken.P50, b.FirstToken.P95, b.BetweenTokens.P50, b.BetweenTokens.P95)
	}
	fmt.Fprintln(w)
}

func seconds(d tomlfile.Duration) float64 { return time.Duration(d).Seconds() }
