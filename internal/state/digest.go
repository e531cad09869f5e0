package state

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// digestVersion is the version of the hashed fields and their format. It is
// stored in the low byte of a digest, so that daemons of two releases that hash
// differently do not report a divergence during a rolling upgrade.
const (
	digestVersion     = 1
	digestVersionMask = 0xff
)

// DigestsDiffer reports whether two digests taken at the same position prove
// that the states differ. Digests of different versions are not comparable.
func DigestsDiffer(a, b uint64) bool {
	return a&digestVersionMask == b&digestVersionMask && a != b
}

// Digest returns a hash of the whole state, which is the same for all daemons at
// the same position. It covers the verdicts through History, because they
// determine which later records are duplicates.
func (s *State) Digest() uint64 {
	h := xxhash.New()
	fmt.Fprintf(h, "%v %v %d %v %d\n", s.Pos, s.Started, s.Opened, s.Base, s.History)
	for _, k := range sortedKeys(s.Routes) {
		r := s.Routes[k]
		fmt.Fprintf(h, "r %+v ", r.Route)
		writeStamp(h, r.Stamp)
	}
	for _, k := range sortedKeys(s.Pools) {
		p := s.Pools[k]
		fmt.Fprintf(h, "p %+v ", p.Pool)
		writeStamp(h, p.Stamp)
	}
	for _, k := range sortedKeys(s.Groups) {
		g := s.Groups[k]
		fmt.Fprintf(h, "g %d %s %s %s %+v\n", g.ID, g.Pool, g.Model, g.Version, g.Members)
	}
	writeMap(h, "v", s.VMs)
	writeMap(h, "d", s.Daemons)
	writeMap(h, "n", s.Revisions)
	return h.Sum64()&^digestVersionMask | digestVersion
}

// chainVerdict returns the hash of the verdict and the previous chain hash.
func chainVerdict(previous uint64, v Verdict) uint64 {
	b := binary.BigEndian.AppendUint64(nil, previous)
	b = binary.BigEndian.AppendUint64(b, v.Pos.Fence())
	b = append(b, v.RecordID...)
	if v.Accepted {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
}

func writeStamp(h hash.Hash, stamp Stamp) {
	fmt.Fprintf(h, "%d %s %d %v\n", stamp.Revision, stamp.Author, stamp.At.UnixNano(), stamp.Pos)
}

func writeMap[V any](h hash.Hash, tag string, m map[string]V) {
	for _, k := range sortedKeys(m) {
		fmt.Fprintf(h, "%s %s %+v\n", tag, k, m[k])
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
