package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Class classifies the outcome of one request.
type Class string

// The classes of outcomes.
const (
	// Answered is a complete and correct response.
	Answered Class = "answered"
	// Replayed is a complete and correct response that was recorded for an earlier
	// attempt.
	Replayed Class = "replayed"
	// NotRun is a refusal that states that the request did not run.
	NotRun Class = "refused_not_run"
	// Unknown is an error after which the request may have run: the response states so,
	// or there is no response that rules it out.
	Unknown Class = "unknown"
	// Failed is an error response that states that the request ran.
	Failed Class = "failed"
	// Truncated is a response that ended early in a way that the caller can detect.
	Truncated Class = "cut"
	// Unreachable is a request for which no daemon accepted a connection.
	Unreachable Class = "unreachable"
	// Wrong is a response that looked complete but was not the correct one.
	Wrong Class = "wrong"
)

// Observation is the outcome of a request as the caller saw it. Times are relative to
// the start of the run.
type Observation struct {
	Arrival Arrival
	Class   Class
	// Reason is the kind of the error; "" if the request was answered.
	Reason string
	// SentAt is when the request was sent. It is later than Arrival.At if the sender
	// was delayed.
	SentAt time.Duration
	// FirstTokenAt is when the first token arrived; 0 means that none did.
	FirstTokenAt time.Duration
	DoneAt       time.Duration
	// TokenGaps are the times between consecutive tokens.
	TokenGaps []time.Duration
}

// Range and precision of the histograms.
const (
	lowestMicros      = 1
	highestMicros     = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Recorder aggregates observations. Each kind and each workspace has its own lock.
type Recorder struct {
	plan       *Plan
	kinds      map[string]*series // fixed after NewRecorder
	workspaces map[string]*series // fixed after NewRecorder
	sendLag    *series            // only responseTime is used
	timeline   *timeline
}

// series aggregates the observations of one kind or workspace, under its own lock.
type series struct {
	mu                sync.Mutex
	offered           int64
	inTime            int64
	firstTokensInTime int64 // first tokens within Kind.FirstTokenLimit
	classes           map[Class]int64
	reasons           map[string]int64
	responseTime      *hdrhistogram.Histogram
	firstToken        *hdrhistogram.Histogram
	tokenGaps         *hdrhistogram.Histogram
	// responseTimeFromSend and firstTokenFromSend are measured from the time of
	// sending; the histograms above from the planned arrival.
	responseTimeFromSend *hdrhistogram.Histogram
	firstTokenFromSend   *hdrhistogram.Histogram
}

func newSeries() *series {
	return &series{
		classes: map[Class]int64{}, reasons: map[string]int64{},
		responseTime: newHistogram(), firstToken: newHistogram(), tokenGaps: newHistogram(),
		responseTimeFromSend: newHistogram(), firstTokenFromSend: newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

// NewRecorder returns an empty recorder for the plan.
func NewRecorder(p *Plan) *Recorder {
	r := &Recorder{
		plan: p, kinds: map[string]*series{}, workspaces: map[string]*series{}, sendLag: newSeries(),
		timeline: newTimeline(time.Duration(p.Duration)),
	}
	for _, k := range p.Kinds {
		r.kinds[k.Name] = newSeries()
	}
	for _, w := range p.Workspaces {
		r.workspaces[w.Name] = newSeries()
	}
	return r
}

// Record adds an observation. Requests of the warm-up only count in the timeline.
//
// Times are measured from the planned arrival, not from the time of sending, so that a
// delayed sender does not hide latency (coordinated omission).
func (r *Recorder) Record(o Observation) {
	r.timeline.add(o)
	if o.Arrival.At < time.Duration(r.plan.Warmup) {
		return
	}
	r.kinds[o.Arrival.Kind.Name].add(o)
	r.workspaces[o.Arrival.Workspace.Name].add(o)
	r.sendLag.addSendLag(o.SentAt - o.Arrival.At)
}

// Timeline returns the counts for each second of arrival, including the warm-up.
func (r *Recorder) Timeline() []Second { return r.timeline.snapshot() }

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
		s.addFirstToken(o)
	}
	if !o.answered() {
		return
	}
	recordDuration(s.responseTime, o.DoneAt-o.Arrival.At)
	recordDuration(s.responseTimeFromSend, o.DoneAt-o.SentAt)
	for _, g := range o.TokenGaps {
		recordDuration(s.tokenGaps, g)
	}
}

func (s *series) addFirstToken(o Observation) {
	d := o.FirstTokenAt - o.Arrival.At
	recordDuration(s.firstToken, d)
	recordDuration(s.firstTokenFromSend, o.FirstTokenAt-o.SentAt)
	if d <= time.Duration(o.Arrival.Kind.FirstTokenLimit) {
		s.firstTokensInTime++
	}
}

func (s *series) addSendLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	recordDuration(s.responseTime, d)
}

// recordDuration records d, clamped to the histogram's range, within which RecordValue
// cannot fail.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}
