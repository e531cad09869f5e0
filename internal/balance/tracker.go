package balance

import (
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/shard"
)

const (
	// defaultAnswerTime is the mean answer time assumed for a plain engine that has
	// not answered yet.
	defaultAnswerTime = 50 * time.Millisecond
	// meanWeight is the weight of a new answer in the exponential moving averages.
	meanWeight = 0.15
	// suspicionTTL is how long a suspicion lasts if the engine makes no progress. It
	// exceeds the published time of 5 s within which a stalled group announces
	// itself as broken.
	suspicionTTL = 6 * time.Second
	// engineReportTTL is how long the load reported in an engine's answer is used.
	engineReportTTL = 300 * time.Millisecond
	// coldLimitShare is the share of a cold engine's published rate limit that the
	// daemons use. The rest is left for requests that are in flight when the engine
	// turns cold.
	coldLimitShare = 0.8
)

// Tracker estimates the load of each engine, from the requests of this daemon and
// the reports of other daemons and of the engines. It is safe for concurrent use;
// each engine's state has its own lock.
type Tracker struct {
	engines *shard.Map[*engineState]
	// reportedAll and reportedLate hold the engines in the last report of each other
	// daemon.
	reportedAll, reportedLate *shard.Map[[]string]
	node                      string
	// daemons returns the number of daemons that share a cold engine's rate limit.
	daemons func() int
	// reportAge returns the mean age of what this daemon knows of the loads that other
	// daemons cause.
	reportAge func() time.Duration
}

// engineState is the state of one engine.
type engineState struct {
	mu sync.Mutex
	// all is the load of all requests. late is that of the late ones without a first
	// event.
	all, late sharedLoad
	// engineReport is the load in the engine's last answer that had one,
	// engineReportAt the time of that answer, and ownAtReport own.InFlight then.
	engineReport   Load
	ownAtReport    int
	engineReportAt time.Time

	failureRate    float64
	meanAnswerTime time.Duration

	// suspectUntil is the end of the suspicion, which applies only while the engine
	// is in suspectGroup.
	suspectUntil time.Time
	suspectGroup catalog.GroupID
	lastProgress time.Time
	// unavailableUntil is the end of the wait that the engine's incarnation that
	// started at unavailableStart (Unix milliseconds) has asked this daemon for.
	unavailableUntil time.Time
	unavailableStart int64
	// coldAllowance is a token bucket for requests to the engine while it is cold.
	coldAllowance  float64
	coldRefilledAt time.Time
}

// Status is the state of an engine at one moment, as far as this daemon knows it.
type Status struct {
	// Load is the estimated load of all daemons.
	Load Load
	// Late is the part of it that is late and has no first event.
	Late      Load
	Suspected bool
	// FailureRate is the moving average of failed requests, from 0 to 1.
	FailureRate    float64
	MeanAnswerTime time.Duration
	// UnavailableUntil is the end of the wait that the engine has asked this daemon
	// for, or the zero time.
	UnavailableUntil time.Time
	// ColdAllowed reports whether this daemon may send a request to the engine while
	// it is cold.
	ColdAllowed bool
}

// NewTracker returns an empty Tracker for the daemon with the name node. daemons
// returns the number of daemons that share the rate limit of a cold engine.
func NewTracker(node string, daemons func() int, reportAge func() time.Duration) *Tracker {
	return &Tracker{engines: shard.NewMap[*engineState](), reportedAll: shard.NewMap[[]string](), reportedLate: shard.NewMap[[]string](), node: node, daemons: daemons, reportAge: reportAge}
}

func (t *Tracker) engine(id string) *engineState {
	return t.engines.GetOrMake(id, func() *engineState { return &engineState{all: newSharedLoad(), late: newSharedLoad()} })
}

// Status returns the status of an engine. coldLimit is the service's published rate
// limit of a cold engine, in requests per second.
func (t *Tracker) Status(e *catalog.Engine, coldLimit float64, now time.Time) Status {
	rate := t.coldRate(e.ID, coldLimit)
	s := t.engine(e.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refillColdAllowance(now, rate)
	return Status{
		Load:           s.estimatedLoad(now),
		Late:           s.late.total(now),
		Suspected:      now.Before(s.suspectUntil) && s.suspectGroup == e.Membership.Group,
		FailureRate:    s.failureRate,
		MeanAnswerTime: s.meanAnswerTime,
		ColdAllowed:    s.coldAllowance >= 1,

		UnavailableUntil: s.unavailable(e.StartUnixMS),
	}
}

// estimatedLoad returns totalLoad, or the number of requests that the engine has
// recently reported if that is higher. The caller holds mu.
func (s *engineState) estimatedLoad(now time.Time) Load {
	sum := s.all.total(now)
	if now.Sub(s.engineReportAt) < engineReportTTL {
		sum.InFlight = max(sum.InFlight, s.engineReport.InFlight+s.all.own.InFlight-s.ownAtReport)
	}
	return sum
}

// coldRate returns this daemon's rate limit for a cold engine, in requests per
// second. Each daemon may also send one request at once; together the daemons stay
// within coldLimitShare of the published limit. If there are too many daemons for
// that, only some of them, selected by hash, use a given cold engine.
func (t *Tracker) coldRate(id string, coldLimit float64) float64 {
	n := max(1, t.daemons())
	limit := coldLimit * coldLimitShare
	users := min(float64(n), limit/2)
	if users < 1 || shard.Hash(t.node+"/"+id)%uint64(n) >= uint64(users) {
		return 0
	}
	return limit/users - 1
}

// refillColdAllowance adds to the cold allowance what has accrued since the last
// call, up to one request. The caller holds mu.
func (s *engineState) refillColdAllowance(now time.Time, rate float64) {
	if s.coldRefilledAt.IsZero() && rate > 0 {
		s.coldAllowance = 1
	}
	s.coldAllowance = min(1, s.coldAllowance+now.Sub(s.coldRefilledAt).Seconds()*rate)
	s.coldRefilledAt = now
}

// Begin records that a request is sent to the engine.
func (t *Tracker) Begin(e *catalog.Engine, w Work, now time.Time) {
	s := t.engine(e.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all.own.InFlight++
	s.all.own.PendingTokens += w.PromptTokens
	s.coldAllowance = max(0, s.coldAllowance-1)
}

// FirstEvent records the first event of a request.
func (t *Tracker) FirstEvent(e *catalog.Engine, w Work) {
	s := t.engine(e.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all.own.PendingTokens = max(0, s.all.own.PendingTokens-w.PromptTokens)
}

// End records the end of a request.
func (t *Tracker) End(e *catalog.Engine) {
	s := t.engine(e.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all.own.InFlight = max(0, s.all.own.InFlight-1)
	if s.all.own.InFlight == 0 {
		s.all.own.PendingTokens = 0
	}
}

// Progress records that the engine sent data, which ends a suspicion.
func (t *Tracker) Progress(e *catalog.Engine, now time.Time) {
	s := t.engine(e.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastProgress = now
	s.suspectUntil = time.Time{}
}

// LastProgress returns when the engine last sent data to this daemon.
func (t *Tracker) LastProgress(e *catalog.Engine) time.Time {
	s := t.engine(e.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastProgress
}

// Suspect marks the engine as suspected until it makes progress, joins another
// group, or suspicionTTL has passed. It reports whether the suspicion is new.
func (t *Tracker) Suspect(id string, group catalog.GroupID, now time.Time) bool {
	s := t.engine(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	isNew := !now.Before(s.suspectUntil) || s.suspectGroup != group
	s.suspectUntil, s.suspectGroup = now.Add(suspicionTTL), group
	return isNew
}

// RecordOutcome records whether an exchange succeeded, how long it took, and the
// load that the engine reported with the answer, if any.
func (t *Tracker) RecordOutcome(e *catalog.Engine, ok bool, took time.Duration, reported *Load, now time.Time) {
	s := t.engine(e.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := 1.0
	if ok {
		failed = 0
		if s.meanAnswerTime == 0 {
			s.meanAnswerTime = took
		}
		s.meanAnswerTime += time.Duration(meanWeight * float64(took-s.meanAnswerTime))
	}
	s.failureRate += meanWeight * (failed - s.failureRate)
	if reported != nil {
		s.engineReport, s.engineReportAt, s.ownAtReport = *reported, now, s.all.own.InFlight
	}
}
