package balance

import (
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/shard"
)

const (
	// defaultAnswer is assumed of a plain engine before its first answer.
	defaultAnswer = 50 * time.Millisecond
	// meanWeight is the weight of a new answer in the running means.
	meanWeight = 0.15
	// suspectFor bounds a suspicion that nothing confirms or lifts. A stalled
	// group announces itself as broken within the stall bound (5 s on the sheets).
	suspectFor = 6 * time.Second
	// reportedFor is how long the load in an engine's answer counts.
	reportedFor = 300 * time.Millisecond
	// coldUse is the part of a cold engine's published bound that is used; the
	// rest is left for requests under way when an engine turns cold.
	coldUse = 0.8
)

// Tracker knows the load of each engine as far as this daemon sees it or was
// told. It is safe for concurrent use; each engine's state has its own lock.
type Tracker struct {
	engines *shard.Map[*engineState]
	node    string
	// daemons is the number of daemons that share allowances.
	daemons func() int
}

type engineState struct {
	mu     sync.Mutex
	own    Load
	remote map[string]remoteLoad
	// told is the own load as it was last told, sum the load of all daemons that
	// a collector told of, which holds told or an earlier one.
	told     Load
	sum      Load
	sumUntil time.Time
	reported Load
	ownThen  int
	repAt    time.Time

	failures float64
	answer   time.Duration

	suspect   time.Time // until
	group     catalog.GroupID
	progress  time.Time
	allowance float64
	allowedAt time.Time
}

type remoteLoad struct {
	load  Load
	until time.Time
}

// Status is what is known of an engine at one moment.
type Status struct {
	Load           Load
	Suspected      bool
	FailureRate    float64
	MeanAnswerTime time.Duration
	// ColdAllowed reports whether a cold engine bears one more request of this daemon.
	ColdAllowed bool
}

// NewTracker returns an empty tracker of the daemon named node; daemons tells
// how many daemons share the allowance of a cold engine.
func NewTracker(node string, daemons func() int) *Tracker {
	return &Tracker{engines: shard.NewMap[*engineState](), node: node, daemons: daemons}
}

func (t *Tracker) state(id string) *engineState {
	return t.engines.GetOrMake(id, func() *engineState { return &engineState{remote: map[string]remoteLoad{}} })
}

// Status returns what is known of an engine whose service publishes coldBound
// requests per second as what a cold engine bears.
func (t *Tracker) Status(e *catalog.Engine, coldBound float64, now time.Time) Status {
	rate := t.coldRate(e.ID, coldBound)
	s := t.state(e.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refill(now, rate)
	return Status{
		Load:           s.load(now),
		Suspected:      now.Before(s.suspect) && s.group == e.Membership.Group,
		FailureRate:    s.failures,
		MeanAnswerTime: s.answer,
		ColdAllowed:    s.allowance >= 1,
	}
}

// load returns the load of all daemons as far as it is known, or the engine's
// own fresh word where that is more.
func (s *engineState) load(now time.Time) Load {
	sum := s.ofAll(now)
	if now.Sub(s.repAt) < reportedFor {
		sum.InFlight = max(sum.InFlight, s.reported.InFlight+s.own.InFlight-s.ownThen)
	}
	return sum
}

// ofAll takes a collector's sum, with what changed here since, or adds up what
// this daemon has under way and what each other one told.
func (s *engineState) ofAll(now time.Time) Load {
	if now.Before(s.sumUntil) {
		return Load{
			InFlight:      max(s.own.InFlight, s.sum.InFlight+s.own.InFlight-s.told.InFlight),
			PendingTokens: max(s.own.PendingTokens, s.sum.PendingTokens+s.own.PendingTokens-s.told.PendingTokens),
		}
	}
	sum := s.own
	for from, r := range s.remote {
		if now.After(r.until) {
			delete(s.remote, from)
			continue
		}
		sum.InFlight += r.load.InFlight
		sum.PendingTokens += r.load.PendingTokens
	}
	return sum
}

// coldRate returns this daemon's rate to a cold engine, in requests per second.
// Together with one request that each may send at once, the daemons stay
// within coldUse of the published bound. With more daemons than that, only
// some use a given cold engine, chosen by hash.
func (t *Tracker) coldRate(id string, bound float64) float64 {
	n := max(1, t.daemons())
	limit := bound * coldUse
	users := min(float64(n), limit/2)
	if users < 1 || shard.Hash(t.node+"/"+id)%uint64(n) >= uint64(users) {
		return 0
	}
	return limit/users - 1
}

// refill adds what the allowance gained since the last look; it holds one
// request at most.
func (s *engineState) refill(now time.Time, rate float64) {
	if s.allowedAt.IsZero() && rate > 0 {
		s.allowance = 1
	}
	s.allowance = min(1, s.allowance+now.Sub(s.allowedAt).Seconds()*rate)
	s.allowedAt = now
}

// near returns the relative difference of predicted times that means nothing.
func (t *Tracker) near() float64 { return min(nearMost, nearEnough*float64(t.daemons())) }

// Begin notes that a request is sent to the engine.
func (t *Tracker) Begin(e *catalog.Engine, w Work, now time.Time) {
	s := t.state(e.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.InFlight++
	s.own.PendingTokens += w.PromptTokens
	s.allowance = max(0, s.allowance-1)
}

// FirstEvent notes the first event of a request.
func (t *Tracker) FirstEvent(e *catalog.Engine, w Work) {
	s := t.state(e.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.PendingTokens = max(0, s.own.PendingTokens-w.PromptTokens)
}

// End notes the end of a request.
func (t *Tracker) End(e *catalog.Engine) {
	s := t.state(e.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.InFlight = max(0, s.own.InFlight-1)
	if s.own.InFlight == 0 {
		s.own.PendingTokens = 0
	}
}

// Progress notes that the engine sent something; it lifts a suspicion.
func (t *Tracker) Progress(e *catalog.Engine, now time.Time) {
	s := t.state(e.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.progress = now
	s.suspect = time.Time{}
}

// LastProgress returns when the engine last sent something to this daemon.
func (t *Tracker) LastProgress(e *catalog.Engine) time.Time {
	s := t.state(e.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.progress
}

// Suspect takes the engine out of choice until it makes progress, forms
// another group, or the suspicion ends. It reports whether that is news.
func (t *Tracker) Suspect(id string, group catalog.GroupID, now time.Time) bool {
	s := t.state(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	news := !now.Before(s.suspect) || s.group != group
	s.suspect, s.group = now.Add(suspectFor), group
	return news
}

// RecordOutcome notes how an exchange ended, how long it took, and what load the
// engine told of, if any.
func (t *Tracker) RecordOutcome(e *catalog.Engine, ok bool, took time.Duration, reported *Load, now time.Time) {
	s := t.state(e.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := 1.0
	if ok {
		failed = 0
		if s.answer == 0 {
			s.answer = took
		}
		s.answer += time.Duration(meanWeight * float64(took-s.answer))
	}
	s.failures += meanWeight * (failed - s.failures)
	if reported != nil {
		s.reported, s.repAt, s.ownThen = *reported, now, s.own.InFlight
	}
}

// SetRemoteLoads notes the load that another daemon has under way, at all engines;
// it counts until the given time or its next word.
func (t *Tracker) SetRemoteLoads(from string, loads map[string]Load, until, now time.Time) {
	for id := range loads {
		t.state(id)
	}
	t.engines.Range(func(id string, s *engineState) bool {
		l, has := loads[id]
		s.mu.Lock()
		defer s.mu.Unlock()
		if has {
			s.remote[from] = remoteLoad{l, until}
		} else {
			delete(s.remote, from)
		}
		return true
	})
}

// SetLoadSums notes the load of all daemons, as a collector told of it, at the engines
// that concern it; it counts until the given time or the next such word.
func (t *Tracker) SetLoadSums(loads map[string]Load, concerns func(id string) bool, until time.Time) {
	for id := range loads {
		t.state(id)
	}
	t.engines.Range(func(id string, s *engineState) bool {
		if concerns(id) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.sum, s.sumUntil = loads[id], until
		}
		return true
	})
}

// ReportOwnLoads returns this daemon's load by engine, without idle ones, and remembers
// that it was told.
func (t *Tracker) ReportOwnLoads() map[string]Load {
	out := map[string]Load{}
	t.engines.Range(func(id string, s *engineState) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.told = s.own
		if s.own.InFlight > 0 {
			out[id] = s.own
		}
		return true
	})
	return out
}

// LoadSums returns the load of all daemons by engine, without idle ones.
func (t *Tracker) LoadSums(now time.Time) map[string]Load {
	out := map[string]Load{}
	t.engines.Range(func(id string, s *engineState) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		if l := s.ofAll(now); l.InFlight > 0 {
			out[id] = l
		}
		return true
	})
	return out
}
