package site

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// eraHeader is the header of all answers of a store with eras.
const eraHeader = "Store-Era"

// Snapshot is a copy of the store's topics and consumer groups.
type Snapshot struct {
	topics map[string]*topic
	groups map[string]*consumerGroup
}

// EnableEras makes the store send its era in all answers, beginning with 1. Without it
// the answers have no such header until the first restore.
func (s *Store) EnableEras() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = max(s.era, 1)
}

// Era returns the era of the store; 0 if its answers have no header.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Snapshot returns a copy of the store for Restore.
func (s *Store) Snapshot() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return copyOf(s.topics, s.groups)
}

// Restore replaces the topics and consumer groups by those of an older copy, and begins a
// new era. What was written since the copy is lost, and its offsets are assigned anew.
// Reads that wait for a record are answered. A snapshot may be restored several times.
func (s *Store) Restore(older *Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	restored := copyOf(older.topics, older.groups)
	s.topics, s.groups = restored.topics, restored.groups
	s.era++
	close(s.restored)
	s.restored = make(chan struct{})
}

func copyOf(topics map[string]*topic, groups map[string]*consumerGroup) *Snapshot {
	out := &Snapshot{topics: map[string]*topic{}, groups: map[string]*consumerGroup{}}
	for name, t := range topics {
		out.topics[name] = &topic{
			firstOffset: t.firstOffset, records: slices.Clone(t.records), newestByKey: maps.Clone(t.newestByKey), appended: make(chan struct{}),
		}
	}
	for name, g := range groups {
		out.groups[name] = &consumerGroup{
			generation: g.generation, members: slices.Clone(g.members), renewedAt: maps.Clone(g.renewedAt), ttl: maps.Clone(g.ttl),
		}
	}
	return out
}

// stampEra sets the era's header of an answer. Handlers call it when they take the content
// of the answer, so that both are of one era. s.mu must be held.
func (s *Store) stampEra(w http.ResponseWriter) {
	if s.era > 0 {
		w.Header().Set(eraHeader, strconv.FormatUint(s.era, 10))
	}
}
