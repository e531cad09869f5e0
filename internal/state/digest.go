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

// digestVersion changes with what is hashed, or how. It is the low byte of a
// digest, so that releases which hash differently, side by side during an
// upgrade, do not take each other for diverged.
const (
	digestVersion = 1
	versionMask   = 0xff
)

// DigestsDiffer reports whether two digests at the same position prove that
// the states differ. Digests of different versions prove nothing.
func DigestsDiffer(a, b uint64) bool {
	return a&versionMask == b&versionMask && a != b
}

// Digest returns a hash of the whole state. Two readers at the same position
// must have the same digest. The verdicts count, through History: they decide
// what is taken for a duplicate.
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
	return h.Sum64()&^versionMask | digestVersion
}

// chain hashes a verdict onto the hash of those before it.
func chain(before uint64, v Verdict) uint64 {
	b := binary.BigEndian.AppendUint64(nil, before)
	b = binary.BigEndian.AppendUint64(b, v.Pos.Fence())
	b = append(b, v.RecordID...)
	if v.Accepted {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
}

func writeStamp(h hash.Hash, st Stamp) {
	fmt.Fprintf(h, "%d %s %d %v\n", st.Revision, st.Author, st.At.UnixNano(), st.Pos)
}

func writeMap[V any](h hash.Hash, tag string, m map[string]V) {
	for _, k := range sortedKeys(m) {
		fmt.Fprintf(h, "%s %s %+v\n", tag, k, m[k])
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
