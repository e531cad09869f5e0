package logsvc

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Faults are the faults that can be switched on and off. They apply to the listed
// clients, or to all if none is listed.
type Faults struct {
	Clients []string `json:"clients,omitempty"`
	// Refuse responds with status 503 without executing the request.
	Refuse bool `json:"refuse,omitempty"`
	// Hang neither executes nor answers requests.
	Hang bool `json:"hang,omitempty"`
	// DelayMS delays the execution of each request.
	DelayMS int `json:"delay_ms,omitempty"`
	// DropNextResponses is the number of further appends that take effect but get
	// no response.
	DropNextResponses int `json:"lose_next,omitempty"`
	// DropResponseRatio is the share of appends that take effect but get no
	// response. They are drawn by a random generator with the given Seed.
	DropResponseRatio float64 `json:"lose_ratio,omitempty"`
	Seed              uint64  `json:"seed,omitempty"`
}

// FaultsRequest is the body of POST /v1/faults. It replaces the active faults and
// executes the given one-time actions.
type FaultsRequest struct {
	Faults
	// Trim deletes records of a stream at once.
	Trim *TrimRequest `json:"trim,omitempty"`
	// NewEpoch deletes all records and starts a new epoch.
	NewEpoch bool `json:"new_epoch,omitempty"`
}

// TrimRequest deletes all but the newest Keep records of a stream.
type TrimRequest struct {
	Stream string `json:"stream"`
	Keep   int    `json:"keep"`
}

// faultState holds the active faults.
type faultState struct {
	mu      sync.Mutex
	current Faults
	rng     *rand.Rand
}

func (f *faultState) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = faults
	f.rng = rand.New(rand.NewPCG(faults.Seed, faults.Seed))
}

func (f *faultState) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// forClient returns the active faults that apply to client.
func (f *faultState) forClient(client string) Faults {
	faults := f.get()
	if !faults.appliesTo(client) {
		return Faults{}
	}
	return faults
}

func (f Faults) appliesTo(client string) bool {
	return len(f.Clients) == 0 || slices.Contains(f.Clients, client)
}

func (f Faults) delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

// dropsResponse reports whether the response to this append is to be dropped.
func (f *faultState) dropsResponse(client string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.current.appliesTo(client) {
		return false
	}
	if f.current.DropNextResponses > 0 {
		f.current.DropNextResponses--
		return true
	}
	return f.current.DropResponseRatio > 0 && f.rng.Float64() < f.current.DropResponseRatio
}

// SetFaults replaces the active faults.
func (s *Service) SetFaults(faults Faults) { s.faults.set(faults) }
