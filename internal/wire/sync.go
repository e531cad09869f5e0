package wire

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

// Message types by which daemons keep their views of the control stream level.
const (
	TypeNudge Type = baseSync + iota
	TypePositionAsk
	TypePositionAnswer
	TypeRecordsAsk
	TypeRecordsAnswer
	TypeStateAsk
	TypeStateAnswer
	TypeReplicasAsk
	TypeReplicasAnswer
)

// Nudge says that the control stream has reached Pos. The answer is a
// PositionAnswer.
type Nudge struct {
	Pos state.Position `msgpack:"p"`
	// Addr is where the sender answers questions about the stream.
	Addr string `msgpack:"a"`
}

// WireType returns TypeNudge.
func (*Nudge) WireType() Type { return TypeNudge }

// PositionAsk asks how far a daemon has folded the stream.
type PositionAsk struct{}

// WireType returns TypePositionAsk.
func (*PositionAsk) WireType() Type { return TypePositionAsk }

// PositionAnswer is what a daemon says of its view.
type PositionAnswer struct {
	Daemon string `msgpack:"d"`
	// Started is false while the view is empty; Pos then means nothing.
	Started bool           `msgpack:"s"`
	Pos     state.Position `msgpack:"p"`
	Digest  uint64         `msgpack:"h"`
	// LogAge is the time since the daemon last reached the log's tail.
	LogAge time.Duration `msgpack:"l"`
}

// WireType returns TypePositionAnswer.
func (*PositionAnswer) WireType() Type { return TypePositionAnswer }

// RecordsAsk asks for the records that follow After, or for those from the
// stream's start if Started is false.
type RecordsAsk struct {
	Started bool           `msgpack:"s"`
	After   state.Position `msgpack:"a"`
}

// WireType returns TypeRecordsAsk.
func (*RecordsAsk) WireType() Type { return TypeRecordsAsk }

// RawRecord is a record of the control stream as the log gave it.
type RawRecord struct {
	Pos  state.Position `msgpack:"p"`
	Data []byte         `msgpack:"d"`
}

// RecordsAnswer gives records in order, without a gap after the asked position.
type RecordsAnswer struct {
	Records []RawRecord `msgpack:"r"`
	// Gap means that the asked position lies before what the daemon keeps;
	// only its whole state helps.
	Gap bool `msgpack:"g"`
}

// WireType returns TypeRecordsAnswer.
func (*RecordsAnswer) WireType() Type { return TypeRecordsAnswer }

// StateAsk asks for the whole state.
type StateAsk struct{}

// WireType returns TypeStateAsk.
func (*StateAsk) WireType() Type { return TypeStateAsk }

// StateAnswer is an encoded state with its digest.
type StateAnswer struct {
	State  []byte `msgpack:"s"`
	Digest uint64 `msgpack:"h"`
}

// WireType returns TypeStateAnswer.
func (*StateAnswer) WireType() Type { return TypeStateAnswer }

// ReplicasAsk asks a pool's home for the pool's replicas, to show them to
// operators.
type ReplicasAsk struct {
	Pool string `msgpack:"p"`
}

// WireType returns TypeReplicasAsk.
func (*ReplicasAsk) WireType() Type { return TypeReplicasAsk }

// ReplicasAnswer gives a pool's replicas as its home sees them.
type ReplicasAnswer struct {
	Replicas []replica.Replica `msgpack:"r"`
}

// WireType returns TypeReplicasAnswer.
func (*ReplicasAnswer) WireType() Type { return TypeReplicasAnswer }
