package wire

import (
	"github.com/cespare/xxhash/v2"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

const (
	// SnapshotChunkBytes is the maximum payload of one chunk. It is well below
	// MaxRecordBytes, so that a few chunks fit into one append.
	SnapshotChunkBytes = 256 << 10
	// MaxSnapshotChunks is the maximum number of chunks of one snapshot, which
	// bounds the memory of a reader.
	MaxSnapshotChunks = 256
)

// SnapshotChunk is a record of the snapshot stream. It contains a part of the
// encoded control state at Pos.
type SnapshotChunk struct {
	// ID is the same in all chunks of one snapshot.
	ID    string         `msgpack:"i"`
	Index int            `msgpack:"n"`
	Total int            `msgpack:"t"`
	Pos   state.Position `msgpack:"p"`
	// Sum is the checksum of the whole encoded state, and Digest the digest of
	// the state.
	Sum    uint64 `msgpack:"c"`
	Digest uint64 `msgpack:"h"`
	Data   []byte `msgpack:"d"`
}

// SplitSnapshot encodes s as the chunks of one snapshot with the given id.
func SplitSnapshot(id string, s *state.State) ([][]byte, error) {
	payload, err := EncodeState(s)
	if err != nil {
		return nil, err
	}
	total := max(1, (len(payload)+SnapshotChunkBytes-1)/SnapshotChunkBytes)
	if total > MaxSnapshotChunks {
		return nil, fault.New(fault.TooLarge, "remove unused routes and pools", "snapshot of %d bytes exceeds the maximum of %d chunks", len(payload), MaxSnapshotChunks)
	}
	chunk := SnapshotChunk{ID: id, Total: total, Pos: s.Pos, Sum: xxhash.Sum64(payload), Digest: s.Digest()}
	out := make([][]byte, 0, total)
	for i := range total {
		chunk.Index = i
		chunk.Data = payload[i*SnapshotChunkBytes : min(len(payload), (i+1)*SnapshotChunkBytes)]
		b, err := Marshal(&chunk)
		if err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	return out, nil
}

// DecodeSnapshotChunk decodes and validates one chunk of a snapshot.
func DecodeSnapshotChunk(b []byte) (*SnapshotChunk, error) {
	var c SnapshotChunk
	if err := Unmarshal(b, &c); err != nil {
		return nil, err
	}
	if c.Total < 1 || c.Total > MaxSnapshotChunks || c.Index < 0 || c.Index >= c.Total {
		return nil, invalidSnapshot("snapshot chunk has index %d of %d", c.Index, c.Total)
	}
	return &c, nil
}

// JoinSnapshot decodes the state from all chunks of one snapshot, in the order of
// their indices, and verifies its checksum, position and digest.
func JoinSnapshot(chunks []*SnapshotChunk) (*state.State, error) {
	if len(chunks) == 0 {
		return nil, invalidSnapshot("snapshot has no chunks")
	}
	head := chunks[0]
	if len(chunks) != head.Total {
		return nil, invalidSnapshot("snapshot %s has %d of %d chunks", head.ID, len(chunks), head.Total)
	}
	var payload []byte
	for i, c := range chunks {
		if c.ID != head.ID || c.Index != i {
			return nil, invalidSnapshot("chunk %d of snapshot %s is out of order", c.Index, c.ID)
		}
		payload = append(payload, c.Data...)
	}
	if xxhash.Sum64(payload) != head.Sum {
		return nil, invalidSnapshot("checksum of snapshot %s does not match", head.ID)
	}
	s, err := DecodeState(payload)
	if err != nil {
		return nil, err
	}
	if s.Pos != head.Pos || state.DigestsDiffer(s.Digest(), head.Digest) {
		return nil, invalidSnapshot("position or digest of snapshot %s does not match its state", head.ID)
	}
	return s, nil
}

func invalidSnapshot(format string, args ...any) error {
	return fault.New(fault.BadInput, "no action is needed: an older snapshot or a peer is used instead", format, args...)
}
