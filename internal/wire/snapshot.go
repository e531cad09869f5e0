package wire

import (
	"github.com/cespare/xxhash/v2"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

const (
	// SnapshotChunkBytes bounds the payload of one chunk, well below
	// MaxRecordBytes, so that a few chunks fit one append.
	SnapshotChunkBytes = 256 << 10
	// MaxSnapshotChunks bounds what a reader collects for one snapshot.
	MaxSnapshotChunks = 256
)

// SnapshotChunk is one record of the snapshot stream: a part of an encoded
// state that was folded up to and including Pos.
type SnapshotChunk struct {
	// ID is the same in all chunks of one snapshot.
	ID    string         `msgpack:"i"`
	Index int            `msgpack:"n"`
	Total int            `msgpack:"t"`
	Pos   state.Position `msgpack:"p"`
	// Sum is the checksum of the whole encoded state, Digest the state's own.
	Sum    uint64 `msgpack:"c"`
	Digest uint64 `msgpack:"h"`
	Data   []byte `msgpack:"d"`
}

// SplitSnapshot encodes s as the records of one snapshot.
func SplitSnapshot(id string, s *state.State) ([][]byte, error) {
	payload, err := EncodeState(s)
	if err != nil {
		return nil, err
	}
	total := max(1, (len(payload)+SnapshotChunkBytes-1)/SnapshotChunkBytes)
	if total > MaxSnapshotChunks {
		return nil, fault.New(fault.TooLarge, "remove rows that are not in use", "snapshot of %d bytes exceeds %d chunks", len(payload), MaxSnapshotChunks)
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

// DecodeSnapshotChunk decodes one record of the snapshot stream.
func DecodeSnapshotChunk(b []byte) (*SnapshotChunk, error) {
	var c SnapshotChunk
	if err := Unmarshal(b, &c); err != nil {
		return nil, err
	}
	if c.Total < 1 || c.Total > MaxSnapshotChunks || c.Index < 0 || c.Index >= c.Total {
		return nil, badSnapshot("chunk %d of %d", c.Index, c.Total)
	}
	return &c, nil
}

// JoinSnapshot decodes the state from all chunks of one snapshot, in order of
// their index, and checks it against checksum, position and digest.
func JoinSnapshot(chunks []*SnapshotChunk) (*state.State, error) {
	if len(chunks) == 0 {
		return nil, badSnapshot("snapshot has no chunks")
	}
	head := chunks[0]
	if len(chunks) != head.Total {
		return nil, badSnapshot("snapshot %s has %d of %d chunks", head.ID, len(chunks), head.Total)
	}
	var payload []byte
	for i, c := range chunks {
		if c.ID != head.ID || c.Index != i {
			return nil, badSnapshot("chunk %d of snapshot %s is out of place", c.Index, c.ID)
		}
		payload = append(payload, c.Data...)
	}
	if xxhash.Sum64(payload) != head.Sum {
		return nil, badSnapshot("snapshot %s has a wrong checksum", head.ID)
	}
	s, err := DecodeState(payload)
	if err != nil {
		return nil, err
	}
	if s.Pos != head.Pos || state.DigestsDiffer(s.Digest(), head.Digest) {
		return nil, badSnapshot("snapshot %s does not hold the state that it names", head.ID)
	}
	return s, nil
}

func badSnapshot(format string, args ...any) error {
	return fault.New(fault.BadInput, "an older snapshot or a peer is used instead", format, args...)
}
