// Package shard provides the container for all live state that goroutines share:
// a map split into shards, each with its own lock. It contains no policy.
// Callbacks run under a shard's lock and must not perform I/O or call methods of
// the same map.
package shard

import (
	"maps"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Count is the number of shards of every map. It is a power of two, well above
// the number of cores of a VM that runs a daemon, so that two goroutines seldom
// contend for one lock.
const Count = 32

// Hash maps a string to a 64-bit value that is the same on every daemon.
func Hash(s string) uint64 { return xxhash.Sum64String(s) }

// HashBytes returns the hash of Hash for a byte slice, without a copy.
func HashBytes(b []byte) uint64 { return xxhash.Sum64(b) }

// mapShard is one shard of a Map.
type mapShard[V any] struct {
	mu      sync.RWMutex
	items   map[string]V
	changed chan struct{} // closed on the next change; nil if no caller waits
}

// Map is a sharded map from string keys to values. The zero value is not
// usable; call NewMap.
type Map[V any] struct {
	shards [Count]mapShard[V]
}

// NewMap returns an empty map.
func NewMap[V any]() *Map[V] {
	m := &Map[V]{}
	for i := range m.shards {
		m.shards[i].items = make(map[string]V)
	}
	return m
}

func (m *Map[V]) shardFor(key string) *mapShard[V] {
	return &m.shards[Hash(key)&(Count-1)]
}

// notifyWaiters wakes the callers that wait for a change. The caller holds mu.
func (s *mapShard[V]) notifyWaiters() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Get returns the value stored under key and whether there is one.
func (m *Map[V]) Get(key string) (V, bool) {
	s := m.shardFor(key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.items[key]
	return v, ok
}

// Set stores v under key.
func (m *Map[V]) Set(key string, v V) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items[key] = v
	s.notifyWaiters()
}

// Delete removes key and reports whether it was present.
func (m *Map[V]) Delete(key string) bool {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	delete(s.items, key)
	if ok {
		s.notifyWaiters()
	}
	return ok
}

// Clear removes all items, one shard after the other.
func (m *Map[V]) Clear() {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		clear(s.items)
		s.notifyWaiters()
		s.mu.Unlock()
	}
}

// GetOrMake returns the value stored under key. If there is none, it stores and
// returns the result of fn, which it calls at most once, under the shard's lock.
func (m *Map[V]) GetOrMake(key string, fn func() V) V {
	if v, ok := m.Get(key); ok {
		return v
	}
	var out V
	m.Update(key, func(v V, ok bool) (V, bool) {
		if !ok {
			v = fn()
		}
		out = v
		return v, true
	})
	return out
}

// DeleteFunc removes the items for which del returns true, one shard after the
// other.
func (m *Map[V]) DeleteFunc(del func(key string, v V) bool) {
	for i := range m.shards {
		m.shards[i].deleteFunc(del)
	}
}

func (s *mapShard[V]) deleteFunc(del func(key string, v V) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := len(s.items)
	maps.DeleteFunc(s.items, del)
	if len(s.items) < before {
		s.notifyWaiters()
	}
}

// Update replaces the value under key with the result of fn. fn receives the
// current value, or the zero value and false if there is none, and returns the new
// value and whether to keep the key. It runs under the shard's lock.
func (m *Map[V]) Update(key string, fn func(v V, ok bool) (V, bool)) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.items[key]
	v, keep := fn(old, ok)
	if keep {
		s.items[key] = v
	} else {
		delete(s.items, key)
	}
	s.notifyWaiters()
}

// Changed returns a channel that is closed at the next change to the shard of key.
// To wait for a condition without missing a change, call Changed first, then test
// the condition, then wait, and repeat.
func (m *Map[V]) Changed(key string) <-chan struct{} {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Range calls fn for each item until fn returns false. It read-locks one shard at
// a time, so the items are not a consistent view of the whole map.
func (m *Map[V]) Range(fn func(key string, v V) bool) {
	for i := range m.shards {
		if !m.shards[i].rangeItems(fn) {
			return
		}
	}
}

func (s *mapShard[V]) rangeItems(fn func(key string, v V) bool) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for k, v := range s.items {
		if !fn(k, v) {
			return false
		}
	}
	return true
}

// Len returns the number of items, counted one shard after the other.
func (m *Map[V]) Len() int {
	n := 0
	for i := range m.shards {
		m.shards[i].mu.RLock()
		n += len(m.shards[i].items)
		m.shards[i].mu.RUnlock()
	}
	return n
}
