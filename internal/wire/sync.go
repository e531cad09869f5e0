package wire

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/replica"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

// Message types for the synchronisation of the daemons' views of the control
// stream.
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

// PositionUpdate announces that the control stream has reached Pos. The response
// is a PositionResponse.
type PositionUpdate struct {
	Pos state.Position `msgpack:"p"`
	// Addr is the address at which the sender answers requests for its records.
	Addr string `msgpack:"a"`
}

// WireType returns TypePositionUpdate.
func (*PositionUpdate) WireType() Type { return TypePositionUpdate }

// PositionRequest requests the position up to which a daemon has applied the
// control stream.
type PositionRequest struct{}

// WireType returns TypePositionRequest.
func (*PositionRequest) WireType() Type { return TypePositionRequest }

// PositionResponse describes the view of a daemon.
type PositionResponse struct {
	Daemon string `msgpack:"d"`
	// Started is false while the view is empty; Pos is meaningless then.
	Started bool           `msgpack:"s"`
	Pos     state.Position `msgpack:"p"`
	Digest  uint64         `msgpack:"h"`
	// LogAge is the time since the daemon last read the log to its end.
	LogAge time.Duration `msgpack:"l"`
}

// WireType returns TypePositionResponse.
func (*PositionResponse) WireType() Type { return TypePositionResponse }

// RecordsRequest requests the records that follow the position After, or those
// from the start of the stream if Started is false.
type RecordsRequest struct {
	Started bool           `msgpack:"s"`
	After   state.Position `msgpack:"a"`
}

// WireType returns TypeRecordsRequest.
func (*RecordsRequest) WireType() Type { return TypeRecordsRequest }

// RawRecord is an encoded record of the control stream, as read from the log.
type RawRecord struct {
	Pos  state.Position `msgpack:"p"`
	Data []byte         `msgpack:"d"`
}

// RecordsResponse contains records in order, without a gap after the requested
// position.
type RecordsResponse struct {
	Records []RawRecord `msgpack:"r"`
	// Gap means that the daemon does not keep the records after the requested
	// position any more; the requester must load the whole state instead.
	Gap bool `msgpack:"g"`
}

// WireType returns TypeRecordsResponse.
func (*RecordsResponse) WireType() Type { return TypeRecordsResponse }

// StateRequest requests the whole control state.
type StateRequest struct{}

// WireType returns TypeStateRequest.
func (*StateRequest) WireType() Type { return TypeStateRequest }

// StateResponse contains the encoded control state and its digest.
type StateResponse struct {
	State  []byte `msgpack:"s"`
	Digest uint64 `msgpack:"h"`
}

// WireType returns TypeStateResponse.
func (*StateResponse) WireType() Type { return TypeStateResponse }

// ReplicasRequest requests the replicas of a pool from the pool's home, for
// display to operators.
type ReplicasRequest struct {
	Pool string `msgpack:"p"`
}

// WireType returns TypeReplicasRequest.
func (*ReplicasRequest) WireType() Type { return TypeReplicasRequest }

// ReplicasResponse contains the replicas of a pool as its home sees them.
type ReplicasResponse struct {
	Replicas []replica.Replica `msgpack:"r"`
}

// WireType returns TypeReplicasResponse.
func (*ReplicasResponse) WireType() Type { return TypeReplicasResponse }
