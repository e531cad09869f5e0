package member

import "time"

// Kind is what a message asks or answers.
type Kind uint8

// The message kinds.
const (
	// Ping asks for an Ack.
	Ping Kind = iota + 1
	// PingRequest asks the receiver to ping Target on the sender's behalf.
	PingRequest
	// Ack answers a Ping; relayed, it names the member that answered in Target.
	Ack
	// Nack says that the relay is well but Target did not answer it.
	Nack
	// Sync only carries updates.
	Sync
)

// Update is a fact about a member, spread from member to member.
type Update struct {
	Node Node
	// ReportedBy is the accuser of a suspect.
	ReportedBy string
}

// MetaUpdate is another member's meta, passed on.
type MetaUpdate struct {
	ID string
	// Age is the time since the member said it, as far as the sender knows.
	Age  time.Duration
	Meta Meta
}

// Message is one datagram.
type Message struct {
	Kind Kind
	// Seq pairs answers with questions.
	Seq uint64
	// Sender is the sender's own record.
	Sender Node
	Meta   Meta
	// FullSync asks for all members.
	FullSync bool
	// Target and TargetAddr name the member of an indirect probe.
	Target     string
	TargetAddr string
	Updates    []Update
	Metas      []MetaUpdate
}

// EventKind is what happened to a member.
type EventKind uint8

// The events.
const (
	// Joined means that an unknown member, or one that had left, is live.
	Joined EventKind = iota + 1
	// Restarted means that a new process took the member's place.
	Restarted
	// Suspected means that the member may be dead.
	Suspected
	// Refuted means that a suspect is well.
	Refuted
	// Died means that the member is taken for dead.
	Died
	// Rejoined means that a member taken for dead is well.
	Rejoined
	// Departed means that the member said that it ends.
	Departed
	// Resumed means that this daemon was not run for a while.
	Resumed
	// Duplicate means that another process uses this daemon's identity.
	Duplicate
)

var eventNames = [...]string{"", "joined", "restarted", "suspected", "refuted", "died", "rejoined", "departed", "resumed", "duplicate"}

// String returns the event's name.
func (k EventKind) String() string {
	if int(k) < len(eventNames) {
		return eventNames[k]
	}
	return "unknown"
}

// Event tells of a change to a member.
type Event struct {
	Kind EventKind
	Node Node
	// ReportedBy is the accuser of a suspect.
	ReportedBy string
	// Gap is how long this daemon was not run, for Resumed.
	Gap time.Duration
}

// Action is what the caller of a Detector must do. Exactly one pointer is set.
type Action struct {
	Send  *Send
	Event *Event
}

// Send is a message on its way to an address.
type Send struct {
	To      string
	Message Message
}
