// Package ids makes the identifiers of the system and ranks owners of keys.
// Identifiers sort by time; ranks depend only on the key and the candidates.
package ids

import (
	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"
)

// New returns a new identifier: 26 characters, unique, ordered by creation
// time to the millisecond.
func New() string { return ulid.Make().String() }

// Owner returns the candidate with the highest rendezvous weight for key, or
// "" if there is none. Losing a candidate moves only that candidate's keys.
func Owner(key string, candidates []string) string {
	best, owner := uint64(0), ""
	for _, c := range candidates {
		w := weight(key, c)
		if owner == "" || w > best || (w == best && c < owner) {
			best, owner = w, c
		}
	}
	return owner
}

func weight(key, candidate string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}
