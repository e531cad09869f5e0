package wire

import (
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/once"
)

// Message types of at-most-once requests. Keys are spread over Shards streams of
// the log, and Shard is the number of one of them. The home of a stream is the
// daemon that decides on the claims to its keys.
const (
	TypeOnceClaim Type = baseOnce + iota
	TypeOnceClaimResponse
	TypeOnceRecord
	TypeOnceRecordResponse
)

// OnceClaim asks the home of a stream to decide on an intent. If another attempt
// holds the key, the home waits up to WaitMs for its result before it replies.
type OnceClaim struct {
	Shard  int         `msgpack:"s"`
	Shards int         `msgpack:"n"`
	WaitMs int64       `msgpack:"w,omitempty"`
	Intent once.Intent `msgpack:"i"`
}

// WireType returns TypeOnceClaim.
func (*OnceClaim) WireType() Type { return TypeOnceClaim }

// OnceClaimResponse answers OnceClaim with a decision or a refusal.
type OnceClaimResponse struct {
	Decision once.Decision `msgpack:"d"`
	Refused  *Error        `msgpack:"e,omitempty"`
	// MayBeLogged means that the intent may be in the log although it was refused.
	MayBeLogged bool `msgpack:"t,omitempty"`
}

// WireType returns TypeOnceClaimResponse.
func (*OnceClaimResponse) WireType() Type { return TypeOnceClaimResponse }

// OnceRecord asks the home of a stream to append results and withdrawals to the
// log. The reply, OnceRecordResponse, is sent once they have been read back.
type OnceRecord struct {
	Shard   int           `msgpack:"s"`
	Shards  int           `msgpack:"n"`
	Records []once.Record `msgpack:"r"`
}

// WireType returns TypeOnceRecord.
func (*OnceRecord) WireType() Type { return TypeOnceRecord }

// OnceRecordResponse answers OnceRecord.
type OnceRecordResponse struct{}

// WireType returns TypeOnceRecordResponse.
func (*OnceRecordResponse) WireType() Type { return TypeOnceRecordResponse }

// EncodeOnceRecord encodes a record of an at-most-once stream.
func EncodeOnceRecord(r *once.Record) ([]byte, error) {
	b, err := encodeCompact(r)
	if err != nil {
		return nil, err
	}
	if len(b) > MaxRecordBytes {
		return nil, fault.Refuse(fault.TooLarge, "send a shorter key", "encoded record has %d bytes; the limit is %d", len(b), MaxRecordBytes)
	}
	return b, nil
}

// DecodeOnceRecord decodes a record of an at-most-once stream.
func DecodeOnceRecord(b []byte) (*once.Record, error) {
	var r once.Record
	if err := Unmarshal(b, &r); err != nil {
		return nil, err
	}
	return &r, nil
}
