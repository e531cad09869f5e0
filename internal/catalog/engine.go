package catalog

import "time"

// GroupState is what an engine says of its part in a group.
type GroupState uint8

// The states of a group member.
const (
	// NoGroup means that the engine is in no group.
	NoGroup GroupState = iota
	// Joining members load weights or connect.
	Joining
	// Ready members have joined; a ready head does not serve yet.
	Ready
	// Open heads serve.
	Open
	// Closing heads finish their requests.
	Closing
	// Broken heads lost a member and serve no more.
	Broken
)

var groupStates = [...]string{"none", "joining", "ready", "open", "closing", "broken"}

// String returns the state's name for logs.
func (s GroupState) String() string { return groupStates[s] }

// ParseGroupState returns the state with the given name.
func ParseGroupState(name string) (GroupState, bool) {
	for i, n := range groupStates {
		if n == name {
			return GroupState(i), true
		}
	}
	return NoGroup, false
}

// GroupID names one formation of a group. A name is never used twice with
// another epoch, so the pair stands for one list of members.
type GroupID struct {
	Name  string
	Epoch int64
}

// Membership is an engine's part in a group.
type Membership struct {
	Group GroupID
	// Rank is the position in the list of members; 0 is the head.
	Rank  int
	State GroupState
}

// Engine is one incarnation of an engine as it announced itself.
type Engine struct {
	ID      string
	Service string
	Addr    string
	Zone    string
	// StartUnixMS is the Unix millisecond of its start; an engine may start again
	// under the same id.
	StartUnixMS int64
	Slots       int
	// Draining engines take no new work.
	Draining bool
	// ColdRemaining is how long the engine stays cold, from SeenAt on.
	ColdRemaining time.Duration
	// FabricDomain is the fabric domain.
	FabricDomain string
	// StagedModels are the models on the engine's host.
	StagedModels []string
	// Model is what the engine has loaded; empty if nothing.
	Model      string
	Membership Membership
	// HeartbeatSeq is the engine's own count of its announcements.
	HeartbeatSeq int64
	// SeenAt is when this daemon read the announcement.
	SeenAt time.Time
}

// HasStaged reports whether the model is on the engine's host.
func (e *Engine) HasStaged(model string) bool {
	for _, m := range e.StagedModels {
		if m == model {
			return true
		}
	}
	return false
}

// ColdRemainingAt returns how much longer the engine is cold at the given time.
func (e *Engine) ColdRemainingAt(now time.Time) time.Duration {
	return max(0, e.ColdRemaining-now.Sub(e.SeenAt))
}
