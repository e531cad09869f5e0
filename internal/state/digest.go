package state

import (
	"cmp"
	"fmt"
	"hash"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a hash of the whole state. Two readers at the same position
// must have the same digest. The recent verdicts count: they decide what is
// taken for a duplicate.
func (s *State) Digest() uint64 {
	h := xxhash.New()
	fmt.Fprintf(h, "%v %v\n", s.Pos, s.Started)
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
	for _, v := range s.Recent {
		fmt.Fprintf(h, "t %s %t %v\n", v.RecordID, v.Accepted, v.Pos)
	}
	return h.Sum64()
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
