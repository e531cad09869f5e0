package wire

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

// Message types by which daemons keep their views of the control stream level.
const (
	TypePositionUpdate Type = baseSync + iota
	TypePositionRequest
	TypePositionResponse
	TypeRecordsRequest
	TypeRecordsResponse
	TypeStateRequest
	TypeStateResponse
	TypeReplicasRequest
	TypeReplicasResponse
)

// PositionUpdate says that the control stream has reached Pos. The answer is a
// PositionResponse.
type PositionUpdate struct {
	Pos state.Position `msgpack:"p"`
	// Addr is where the sender answers questions about the stream.
	Addr string `msgpack:"a"`
}

// WireType returns TypePositionUpdate.
func (*PositionUpdate) WireType() Type { return TypePositionUpdate }

// PositionRequest asks how far a daemon has folded the stream.
type PositionRequest struct{}

// WireType returns TypePositionRequest.
func (*PositionRequest) WireType() Type { return TypePositionRequest }

// PositionResponse is what a daemon says of its view.
type PositionResponse struct {
	Daemon string `msgpack:"d"`
	// Started is false while the view is empty; Pos then means nothing.
	Started bool           `msgpack:"s"`
	Pos     state.Position `msgpack:"p"`
	Digest  uint64         `msgpack:"h"`
	// LogAge is the time since the daemon last reached the log's tail.
	LogAge time.Duration `msgpack:"l"`
}

// WireType returns TypePositionResponse.
func (*PositionResponse) WireType() Type { return TypePositionResponse }

// RecordsRequest asks for the records that follow After, or for those from the
// stream's start if Started is false.
type RecordsRequest struct {
	Started bool           `msgpack:"s"`
	After   state.Position `msgpack:"a"`
}

// WireType returns TypeRecordsRequest.
func (*RecordsRequest) WireType() Type { return TypeRecordsRequest }

// RawRecord is a record of the control stream as the log gave it.
type RawRecord struct {
	Pos  state.Position `msgpack:"p"`
	Data []byte         `msgpack:"d"`
}

// RecordsResponse gives records in order, without a gap after the asked position.
type RecordsResponse struct {
	Records []RawRecord `msgpack:"r"`
	// Gap means that the asked position lies before what the daemon keeps;
	// only its whole state helps.
	Gap bool `msgpack:"g"`
}

// WireType returns TypeRecordsResponse.
func (*RecordsResponse) WireType() Type { return TypeRecordsResponse }

// StateRequest asks for the whole state.
type StateRequest struct{}

// WireType returns TypeStateRequest.
func (*StateRequest) WireType() Type { return TypeStateRequest }

// StateResponse is an encoded state with its digest.
type StateResponse struct {
	State  []byte `msgpack:"s"`
	Digest uint64 `msgpack:"h"`
}

// WireType returns TypeStateResponse.
func (*StateResponse) WireType() Type { return TypeStateResponse }

// ReplicasRequest asks a pool's home for the pool's replicas, to show them to
// operators.
type ReplicasRequest struct {
	Pool string `msgpack:"p"`
}

// WireType returns TypeReplicasRequest.
func (*ReplicasRequest) WireType() Type { return TypeReplicasRequest }

// ReplicasResponse gives a pool's replicas as its home sees them.
type ReplicasResponse struct {
	Replicas []replica.Replica `msgpack:"r"`
}

// WireType returns TypeReplicasResponse.
func (*ReplicasResponse) WireType() Type { return TypeReplicasResponse }
