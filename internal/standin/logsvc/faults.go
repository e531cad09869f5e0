package logsvc

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Faults are the switchable faults. They apply to the clients listed, or to
// all when none is listed.
type Faults struct {
	Clients []string `json:"clients,omitempty"`
	// Refuse answers 503 before anything is done.
	Refuse bool `json:"refuse,omitempty"`
	// Hang never answers and does nothing.
	Hang bool `json:"hang,omitempty"`
	// DelayMS delays each request before it is carried out.
	DelayMS int `json:"delay_ms,omitempty"`
	// DropNextResponses is the number of further appends whose answer is lost after they
	// took effect.
	DropNextResponses int `json:"lose_next,omitempty"`
	// DropResponseRatio loses this share of the appends' answers, drawn with Seed.
	DropResponseRatio float64 `json:"lose_ratio,omitempty"`
	Seed              uint64  `json:"seed,omitempty"`
}

// FaultsRequest is the body of POST /v1/faults: it replaces the faults in force
// and carries out the one-time actions it names.
type FaultsRequest struct {
	Faults
	// Trim drops records now.
	Trim *TrimRequest `json:"trim,omitempty"`
	// NewEpoch sets the service up anew.
	NewEpoch bool `json:"new_epoch,omitempty"`
}

// TrimRequest drops all but the newest records of a stream.
type TrimRequest struct {
	Stream string `json:"stream"`
	Keep   int    `json:"keep"`
}

type faultState struct {
	mu   sync.Mutex
	now  Faults
	draw *rand.Rand
}

func (f *faultState) set(n Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = n
	f.draw = rand.New(rand.NewPCG(n.Seed, n.Seed))
}

func (f *faultState) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// of returns the faults that apply to client.
func (f *faultState) of(client string) Faults {
	n := f.get()
	if !n.hits(client) {
		return Faults{}
	}
	return n
}

func (n Faults) hits(client string) bool {
	return len(n.Clients) == 0 || slices.Contains(n.Clients, client)
}

func (n Faults) delay() time.Duration { return time.Duration(n.DelayMS) * time.Millisecond }

// loseAnswer says whether the answer of this append is lost.
func (f *faultState) loseAnswer(client string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.now.hits(client) {
		return false
	}
	if f.now.DropNextResponses > 0 {
		f.now.DropNextResponses--
		return true
	}
	return f.now.DropResponseRatio > 0 && f.draw.Float64() < f.now.DropResponseRatio
}

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(n Faults) { s.faults.set(n) }
