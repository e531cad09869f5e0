package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Class is what became of one request.
type Class string

// The classes.
const (
	// Answered is a whole and right answer.
	Answered Class = "answered"
	// Replayed is a whole and right answer recorded from an earlier attempt.
	Replayed Class = "replayed"
	// NotRun is a refusal that says the request did not run.
	NotRun Class = "refused_not_run"
	// Unknown is an error that says, or leaves open, that it may have run.
	Unknown Class = "unknown"
	// Failed is an error that says that the request ran.
	Failed Class = "failed"
	// Truncated is an answer that visibly broke off.
	Truncated Class = "cut"
	// Unreachable is a request that no daemon accepted a connection for.
	Unreachable Class = "unreachable"
	// Wrong is an answer that looked whole and was not the right one.
	Wrong Class = "wrong"
)

// Observation is what a caller saw. Times count from the start of the run.
type Observation struct {
	Arrival Arrival
	Class   Class
	// Reason is the error's kind, "" for an answer.
	Reason string
	// SentAt is when the request was written; it is later than the arrival if the
	// sender was late.
	SentAt time.Duration
	// FirstTokenAt is when the first token came; zero is none.
	FirstTokenAt time.Duration
	DoneAt  time.Duration
	// TokenGaps are the times between tokens.
	TokenGaps []time.Duration
}

// Bounds of the histograms.
const (
	lowestMicros  = 1
	highestMicros = int64(time.Hour / time.Microsecond)
	digits        = 3
)

// Recorder gathers observations; kinds and workspaces each have a lock of their own.
type Recorder struct {
	plan       *Plan
	kinds      map[string]*series // fixed after NewRecorder
	workspaces map[string]*series // fixed after NewRecorder
	lag        *series
	seconds    *timeline
}

// series is the record of one kind or workspace.
type series struct {
	mu      sync.Mutex
	offered int64
	inTime  int64
	early   int64 // first tokens within their bound
	classes map[Class]int64
	reasons map[string]int64
	whole   *hdrhistogram.Histogram
	first   *hdrhistogram.Histogram
	gaps    *hdrhistogram.Histogram
	// exchange and onset count from the moment of sending.
	exchange *hdrhistogram.Histogram
	onset    *hdrhistogram.Histogram
}

func newSeries() *series {
	return &series{
		classes: map[Class]int64{}, reasons: map[string]int64{},
		whole: newHistogram(), first: newHistogram(), gaps: newHistogram(),
		exchange: newHistogram(), onset: newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

// NewRecorder returns an empty recorder for the plan.
func NewRecorder(p *Plan) *Recorder {
	r := &Recorder{
		plan: p, kinds: map[string]*series{}, workspaces: map[string]*series{}, lag: newSeries(),
		seconds: newTimeline(time.Duration(p.Duration)),
	}
	for _, k := range p.Kinds {
		r.kinds[k.Name] = newSeries()
	}
	for _, w := range p.Workspaces {
		r.workspaces[w.Name] = newSeries()
	}
	return r
}

// Record adds an observation, unless its arrival is part of the warm-up. All
// times are measured from the arrival that the plan asked for, not from the
// moment of sending: a sender that is held up does not hide the wait.
func (r *Recorder) Record(o Observation) {
	r.seconds.add(o)
	if o.Arrival.At < time.Duration(r.plan.Warmup) {
		return
	}
	r.kinds[o.Arrival.Kind.Name].add(o)
	r.workspaces[o.Arrival.Workspace.Name].add(o)
	r.lag.addLag(o.SentAt - o.Arrival.At)
}

// Timeline returns the counts by second of arrival, the warm-up included.
func (r *Recorder) Timeline() []Second { return r.seconds.snapshot() }

func (o Observation) answered() bool { return o.Class == Answered || o.Class == Replayed }

func (o Observation) inTime() bool {
	return o.answered() && o.DoneAt-o.Arrival.At <= time.Duration(o.Arrival.Kind.InTimeLimit)
}

func (s *series) add(o Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.offered++
	s.classes[o.Class]++
	if o.Reason != "" {
		s.reasons[o.Reason]++
	}
	if o.inTime() {
		s.inTime++
	}
	if o.FirstTokenAt > 0 {
		s.addFirst(o)
	}
	if !o.answered() {
		return
	}
	record(s.whole, o.DoneAt-o.Arrival.At)
	record(s.exchange, o.DoneAt-o.SentAt)
	for _, g := range o.TokenGaps {
		record(s.gaps, g)
	}
}

func (s *series) addFirst(o Observation) {
	d := o.FirstTokenAt - o.Arrival.At
	record(s.first, d)
	record(s.onset, o.FirstTokenAt-o.SentAt)
	if d <= time.Duration(o.Arrival.Kind.FirstTokenLimit) {
		s.early++
	}
}

func (s *series) addLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record(s.whole, d)
}

// record clamps to the histogram's bounds, within which recording can't fail.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}
