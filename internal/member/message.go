package member

import "time"

// Kind is the kind of a message.
type Kind uint8

// The message kinds.
const (
	// Ping requests an Ack.
	Ping Kind = iota + 1
	// PingRequest asks the receiver to ping Target on the sender's behalf.
	PingRequest
	// Ack is the response to a Ping. A relayed Ack names the member that responded
	// in Target.
	Ack
	// Nack is the response to a PingRequest whose Target did not respond to the
	// relay in time.
	Nack
	// Sync carries updates and needs no response.
	Sync
)

// Update is a member's record as it is disseminated from member to member.
type Update struct {
	Node Node
	// ReportedBy is the id of the member that suspected the node or declared
	// it dead.
	ReportedBy string
}

// MetaUpdate is the Meta of another member, forwarded by the sender.
type MetaUpdate struct {
	ID string
	// Age is the time since the member published the Meta, by the sender's estimate.
	Age  time.Duration
	Meta Meta
}

// Message is the content of one datagram.
type Message struct {
	Kind Kind
	// Seq matches an Ack or Nack with its Ping or PingRequest.
	Seq uint64
	// Sender is the sender's own record.
	Sender Node
	Meta   Meta
	// FullSync requests the records of all members.
	FullSync bool
	// Target and TargetAddr are the id and address of the member to probe
	// indirectly.
	Target     string
	TargetAddr string
	Updates    []Update
	Metas      []MetaUpdate
}

// EventKind is the kind of a membership event.
type EventKind uint8

// The event kinds.
const (
	// Joined means that a member became live that was unknown or had left, or that
	// is a new process of a dead member.
	Joined EventKind = iota + 1
	// Restarted means that a new process replaced that of a live member.
	Restarted
	// Suspected means that the member failed a probe by this or another member.
	Suspected
	// Refuted means that a suspected member proved to be alive.
	Refuted
	// Died means that the member was declared dead.
	Died
	// Rejoined means that a member declared dead proved to be alive.
	Rejoined
	// Departed means that the member announced its shutdown.
	Departed
	// Resumed means that this process was not scheduled for a while, for example
	// because it was suspended.
	Resumed
	// Duplicate means that another process uses this daemon's id.
	Duplicate
)

var eventNames = [...]string{"", "joined", "restarted", "suspected", "refuted", "died", "rejoined", "departed", "resumed", "duplicate"}

// String returns the name of the event kind.
func (k EventKind) String() string {
	if int(k) < len(eventNames) {
		return eventNames[k]
	}
	return "unknown"
}

// Event is a change of a member's status or process.
type Event struct {
	Kind EventKind
	Node Node
	// ReportedBy is the id of the member that suspected the node or declared
	// it dead.
	ReportedBy string
	// Gap is how long this process was not scheduled; set for Resumed only.
	Gap time.Duration
}

// Action is an instruction to the caller of a Detector. Exactly one field is
// set.
type Action struct {
	Send  *Send
	Event *Event
}

// Send is a message to be sent to an address.
type Send struct {
	To      string
	Message Message
}
