// Package ids generates unique identifiers and assigns keys to
// owners by rendezvous hashing. Identifiers sort by creation time; the owner of
// a key depends only on the key and the set of candidates.
package ids

import (
	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"
)

// New returns a new identifier: 26 characters, unique, ordered by creation
// time to the millisecond.
func New() string { return ulid.Make().String() }

// Owner returns the candidate with the highest rendezvous weight for key, or ""
// if there are no candidates. Equal weights go to the smallest candidate id.
// Removing a candidate reassigns only the keys that it owned.
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

// weight hashes key and candidate. The zero byte between them keeps different
// pairs whose concatenation is equal from having the same weight.
func weight(key, candidate string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}
