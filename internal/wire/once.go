package wire

import (
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/once"
)

// At-most-once message types.
const (
	TypeOnceClaim Type = baseOnce + iota
	TypeOnceDecision
	TypeOnceRecord
	TypeOnceRecorded
)

// OnceClaim asks a shard's home to decide on an intent. If another attempt
// holds the key, the answer waits up to WaitMs for its result.
type OnceClaim struct {
	Shard  int         `msgpack:"s"`
	Shards int         `msgpack:"n"`
	WaitMs int64       `msgpack:"w,omitempty"`
	Intent once.Intent `msgpack:"i"`
}

// WireType returns TypeOnceClaim.
func (*OnceClaim) WireType() Type { return TypeOnceClaim }

// OnceDecision answers OnceClaim with a decision or a refusal.
type OnceDecision struct {
	Decision once.Decision `msgpack:"d"`
	Refused  *Error        `msgpack:"e,omitempty"`
	// Tried means that the refused intent may be in the log.
	Tried bool `msgpack:"t,omitempty"`
}

// WireType returns TypeOnceDecision.
func (*OnceDecision) WireType() Type { return TypeOnceDecision }

// OnceRecord asks a shard's home to record results and withdrawals. The answer,
// OnceRecorded, comes when they have been read back from the log.
type OnceRecord struct {
	Shard   int           `msgpack:"s"`
	Shards  int           `msgpack:"n"`
	Records []once.Record `msgpack:"r"`
}

// WireType returns TypeOnceRecord.
func (*OnceRecord) WireType() Type { return TypeOnceRecord }

// OnceRecorded answers OnceRecord.
type OnceRecorded struct{}

// WireType returns TypeOnceRecorded.
func (*OnceRecorded) WireType() Type { return TypeOnceRecorded }

// EncodeOnce encodes a record of an at-most-once stream.
func EncodeOnce(r *once.Record) ([]byte, error) {
	b, err := encodeCompact(r)
	if err != nil {
		return nil, err
	}
	if len(b) > MaxRecordBytes {
		return nil, fault.Refuse(fault.TooLarge, "send a shorter key", "record of %d bytes exceeds %d", len(b), MaxRecordBytes)
	}
	return b, nil
}

// DecodeOnce decodes a record of an at-most-once stream.
func DecodeOnce(b []byte) (*once.Record, error) {
	var r once.Record
	if err := Unmarshal(b, &r); err != nil {
		return nil, err
	}
	return &r, nil
}
