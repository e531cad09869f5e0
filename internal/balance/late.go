package balance

import "github.com/ragwortquay/ragwortquay/internal/catalog"

// BeginLate records that the request of a preceding Begin is late: its engine starts new
// requests first.
func (t *Tracker) BeginLate(e *catalog.Engine, w Work) {
	s := t.engine(e.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late.own.InFlight++
	s.late.own.PendingTokens += w.PromptTokens
}

// EndLate records the first event of a late request, or its end without one.
func (t *Tracker) EndLate(e *catalog.Engine, w Work) {
	s := t.engine(e.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late.own.InFlight = max(0, s.late.own.InFlight-1)
	s.late.own.PendingTokens = max(0, s.late.own.PendingTokens-w.PromptTokens)
}

// loadAhead returns the load that delays a request at an engine with the given slots.
// Late requests that wait for a slot delay only other late ones. Only as many of them
// wait as there are requests beyond the slots.
func (st *Status) loadAhead(slots int, late bool) Load {
	waiting := min(st.Late.InFlight, st.Load.InFlight-slots)
	if late || waiting <= 0 {
		return st.Load
	}
	tokens := st.Late.PendingTokens * waiting / st.Late.InFlight
	return Load{InFlight: st.Load.InFlight - waiting, PendingTokens: max(0, st.Load.PendingTokens-tokens)}
}

// RangeEngines calls f with the id of each known engine.
func (t *Tracker) RangeEngines(f func(id string)) {
	t.engines.Range(func(id string, _ *engineState) bool {
		f(id)
		return true
	})
}
