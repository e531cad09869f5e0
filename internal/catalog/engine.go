package catalog

import "time"

// GroupState is the state of an engine as a member of a group.
type GroupState uint8

// The states of a group member.
const (
	// NoGroup means that the engine is not a member of a group.
	NoGroup GroupState = iota
	// Joining means that the member is loading weights or connecting.
	Joining
	// Ready means that the member has joined; a ready head does not serve yet.
	Ready
	// Open means that the head serves requests.
	Open
	// Closing means that the head finishes its running requests.
	Closing
	// Broken means that the head has lost a member and no longer serves.
	Broken
)

var groupStateNames = [...]string{"none", "joining", "ready", "open", "closing", "broken"}

// String returns the name of the state as it appears in logs.
func (s GroupState) String() string { return groupStateNames[s] }

// ParseGroupState returns the state with the given name.
func ParseGroupState(name string) (GroupState, bool) {
	for i, n := range groupStateNames {
		if n == name {
			return GroupState(i), true
		}
	}
	return NoGroup, false
}

// GroupID identifies one formation of a group. A name is never reused with
// another epoch, so the pair identifies one list of members.
type GroupID struct {
	Name  string
	Epoch int64
}

// Membership is an engine's position and state in a group.
type Membership struct {
	Group GroupID
	// Rank is the index in the list of members; the head has rank 0.
	Rank  int
	State GroupState
}

// Engine is one incarnation of an engine, as last announced by it.
type Engine struct {
	ID      string
	Service string
	Addr    string
	Zone    string
	// StartUnixMS is the start time in Unix milliseconds. It distinguishes
	// incarnations, since an engine may restart under the same id.
	StartUnixMS int64
	Slots       int
	// Draining engines accept no new requests.
	Draining bool
	// ColdRemaining is how long the engine remains cold, counted from SeenAt.
	ColdRemaining time.Duration
	FabricDomain  string
	// StagedModels are the models whose weights are on the engine's host.
	StagedModels []string
	// Model is the model that the engine has loaded, or empty.
	Model      string
	Membership Membership
	// HeartbeatSeq is the engine's counter of its announcements.
	HeartbeatSeq int64
	// SeenAt is the time at which this daemon read the announcement.
	SeenAt time.Time
}

// HasStaged reports whether the model's weights are on the engine's host.
func (e *Engine) HasStaged(model string) bool {
	for _, m := range e.StagedModels {
		if m == model {
			return true
		}
	}
	return false
}

// ColdRemainingAt returns how long the engine remains cold after now.
func (e *Engine) ColdRemainingAt(now time.Time) time.Duration {
	return max(0, e.ColdRemaining-now.Sub(e.SeenAt))
}
