package balance

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/shard"
)

// sharedLoad is the load of all daemons at an engine, of which each knows its own part
// and the others' from reports. Its engineState's mu guards it.
type sharedLoad struct {
	// own is the load of this daemon, and remote that of each other daemon.
	own    Load
	remote map[string]remoteLoad
	// ownReported is own as last reported to the other daemons.
	ownReported Load
	// collected is the load of all daemons as summed by a collector, which is valid
	// until collectedUntil. It includes ownReported or an earlier report of own.
	collected      Load
	collectedUntil time.Time
}

// remoteLoad is the load reported by another daemon.
type remoteLoad struct {
	load  Load
	until time.Time
}

func newSharedLoad() sharedLoad { return sharedLoad{remote: map[string]remoteLoad{}} }

// total returns the load of all daemons: a collector's sum, corrected by the change of
// this daemon's load since its last report, or without a valid sum the load of this
// daemon plus the loads that the others reported.
func (s *sharedLoad) total(now time.Time) Load {
	if now.Before(s.collectedUntil) {
		return Load{
			InFlight:      max(s.own.InFlight, s.collected.InFlight+s.own.InFlight-s.ownReported.InFlight),
			PendingTokens: max(s.own.PendingTokens, s.collected.PendingTokens+s.own.PendingTokens-s.ownReported.PendingTokens),
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

// loadOf selects one of the loads of an engine.
type loadOf func(*engineState) *sharedLoad

func allLoad(s *engineState) *sharedLoad  { return &s.all }
func lateLoad(s *engineState) *sharedLoad { return &s.late }

// SetRemoteLoads sets the load that another daemon has at all engines. It is valid
// until the given time or the daemon's next report. Its cost depends on the number
// of engines in this report and the last one, not on that of all engines.
func (t *Tracker) SetRemoteLoads(from string, loads map[string]Load, until, now time.Time) {
	t.setRemote(allLoad, t.reportedAll, from, loads, until)
}

// SetRemoteLate is like SetRemoteLoads, for late requests without a first event.
func (t *Tracker) SetRemoteLate(from string, loads map[string]Load, until time.Time) {
	t.setRemote(lateLoad, t.reportedLate, from, loads, until)
}

func (t *Tracker) setRemote(of loadOf, reported *shard.Map[[]string], from string, loads map[string]Load, until time.Time) {
	ids := make([]string, 0, len(loads))
	for id, l := range loads {
		ids = append(ids, id)
		t.engine(id).setRemote(of, from, remoteLoad{l, until})
	}
	var before []string
	reported.Update(from, func(old []string, _ bool) ([]string, bool) {
		before = old
		return ids, len(ids) > 0
	})
	for _, id := range before {
		if _, ok := loads[id]; !ok {
			t.engine(id).deleteRemote(of, from)
		}
	}
}

func (s *engineState) setRemote(of loadOf, from string, r remoteLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	of(s).remote[from] = r
}

func (s *engineState) deleteRemote(of loadOf, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(of(s).remote, from)
}

// SetLoadSums sets the load of all daemons, as reported by a collector, at the known
// engines for which sum reports a load. It is valid until the given time or the next
// report that covers the engine.
func (t *Tracker) SetLoadSums(sum func(id string) (l Load, covered bool), until time.Time) {
	t.setSums(allLoad, sum, until)
}

// SetLateSums is like SetLoadSums, for late requests without a first event.
func (t *Tracker) SetLateSums(sum func(id string) (l Load, covered bool), until time.Time) {
	t.setSums(lateLoad, sum, until)
}

func (t *Tracker) setSums(of loadOf, sum func(id string) (l Load, covered bool), until time.Time) {
	t.engines.Range(func(id string, s *engineState) bool {
		if l, covered := sum(id); covered {
			s.mu.Lock()
			defer s.mu.Unlock()
			of(s).collected, of(s).collectedUntil = l, until
		}
		return true
	})
}

// ReportOwnLoads returns this daemon's load by engine, without idle engines, for a
// report to the other daemons, and records it as reported.
func (t *Tracker) ReportOwnLoads() map[string]Load { return t.reportOwn(allLoad) }

// ReportOwnLate is like ReportOwnLoads, for late requests without a first event.
func (t *Tracker) ReportOwnLate() map[string]Load { return t.reportOwn(lateLoad) }

func (t *Tracker) reportOwn(of loadOf) map[string]Load {
	out := map[string]Load{}
	t.engines.Range(func(id string, s *engineState) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		l := of(s)
		l.ownReported = l.own
		if l.own.InFlight > 0 {
			out[id] = l.own
		}
		return true
	})
	return out
}

// LoadSums returns the load of all daemons by engine, without idle engines.
func (t *Tracker) LoadSums(now time.Time) map[string]Load { return t.sums(allLoad, now) }

// LateSums is like LoadSums, for late requests without a first event.
func (t *Tracker) LateSums(now time.Time) map[string]Load { return t.sums(lateLoad, now) }

func (t *Tracker) sums(of loadOf, now time.Time) map[string]Load {
	out := map[string]Load{}
	t.engines.Range(func(id string, s *engineState) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		if l := of(s).total(now); l.InFlight > 0 {
			out[id] = l
		}
		return true
	})
	return out
}
