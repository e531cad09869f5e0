package wire

import (
	"encoding/binary"
	"hash/fnv"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// LoadSums is the report of a collector to the daemons of a large fleet: its own
// state and the loads of engines, summed over all daemons. The loads are split by
// hash into as many datagrams as needed. The order of the fields is the encoding.
type LoadSums struct {
	// Report is the collector's state, without loads.
	Report LoadReport
	// From and To are the lowest and highest engine hash that this part covers. An
	// engine between them that is not in Loads has no load.
	From, To uint32
	// Loads holds the packed loads; see AppendLoad.
	Loads []byte
}

// HashedLoad is the load of the engine whose id has the given EngineHash.
type HashedLoad struct {
	Hash          uint32
	InFlight      int
	PendingTokens int
}

// EngineHash returns the hash that stands for an engine's id in sums. Loads are
// hints, so a collision between two engines is harmless.
func EngineHash(id string) uint32 {
	h := fnv.New32a()
	// Writes to a hash do not fail.
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

// AppendLoad adds a load to the packed loads: the hash in four bytes and the two
// counts as varints. Negative counts become 0.
func (s *LoadSums) AppendLoad(l HashedLoad) {
	s.Loads = binary.BigEndian.AppendUint32(s.Loads, l.Hash)
	s.Loads = binary.AppendUvarint(s.Loads, uint64(max(0, l.InFlight)))
	s.Loads = binary.AppendUvarint(s.Loads, uint64(max(0, l.PendingTokens)))
}

// maxPackedCount bounds a count in packed loads. It is far above any load.
const maxPackedCount = 1 << 40

// Unpack returns the packed loads.
func (s *LoadSums) Unpack() ([]HashedLoad, error) {
	var out []HashedLoad
	for b := s.Loads; len(b) > 0; {
		if len(b) < 4 {
			return nil, errPackedLoads(len(s.Loads))
		}
		l := HashedLoad{Hash: binary.BigEndian.Uint32(b)}
		b = b[4:]
		for _, count := range []*int{&l.InFlight, &l.PendingTokens} {
			v, n := binary.Uvarint(b)
			if n <= 0 || v > maxPackedCount {
				return nil, errPackedLoads(len(s.Loads))
			}
			*count, b = int(v), b[n:]
		}
		out = append(out, l)
	}
	return out, nil
}

func errPackedLoads(bytes int) error {
	return fault.Invalid("sums", "run one version on all daemons", "%d bytes of packed loads are malformed", bytes)
}

// EncodeLoadSums encodes sums as a datagram.
func EncodeLoadSums(s *LoadSums) ([]byte, error) { return encodeWithEra(sumsDatagram, s) }
