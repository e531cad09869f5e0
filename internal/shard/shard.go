// Package shard provides the one container for live state that several
// goroutines share: a map split into shards, each under its own lock. It holds
// no policy. Callbacks run under a shard's lock and must not perform I/O or
// call back into the same map.
package shard

import (
	"maps"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Count is the number of shards of every map. It is a power of two, well above
// the cores of an entry VM, so that two goroutines seldom meet on a lock.
const Count = 32

// Hash maps a string to a 64-bit value that is the same on every daemon.
func Hash(s string) uint64 { return xxhash.Sum64String(s) }

type part[V any] struct {
	mu      sync.RWMutex
	items   map[string]V
	changed chan struct{} // closed and replaced on each change; nil while nobody waits
}

// Map is a sharded map from string keys to values. The zero value is not
// usable; call NewMap.
type Map[V any] struct {
	parts [Count]part[V]
}

// NewMap returns an empty map.
func NewMap[V any]() *Map[V] {
	m := &Map[V]{}
	for i := range m.parts {
		m.parts[i].items = make(map[string]V)
	}
	return m
}

func (m *Map[V]) part(key string) *part[V] {
	return &m.parts[Hash(key)&(Count-1)]
}

func (p *part[V]) notify() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// Get returns the value under key.
func (m *Map[V]) Get(key string) (V, bool) {
	p := m.part(key)
	p.mu.RLock()
	defer p.mu.RUnlock()
	v, ok := p.items[key]
	return v, ok
}

// Set stores v under key.
func (m *Map[V]) Set(key string, v V) {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.items[key] = v
	p.notify()
}

// Delete removes key and reports whether it was present.
func (m *Map[V]) Delete(key string) bool {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.items[key]
	delete(p.items, key)
	if ok {
		p.notify()
	}
	return ok
}

// Clear removes all items, one shard after the other.
func (m *Map[V]) Clear() {
	for i := range m.parts {
		p := &m.parts[i]
		p.mu.Lock()
		clear(p.items)
		p.notify()
		p.mu.Unlock()
	}
}

// GetOrMake returns the value under key and stores one of fn there first if there
// is none.
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

// DeleteFunc removes the items for which del returns true, shard by shard.
func (m *Map[V]) DeleteFunc(del func(key string, v V) bool) {
	for i := range m.parts {
		m.parts[i].deleteFunc(del)
	}
}

func (p *part[V]) deleteFunc(del func(key string, v V) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := len(p.items)
	maps.DeleteFunc(p.items, del)
	if len(p.items) < before {
		p.notify()
	}
}

// Update replaces the value under key by fn's result. fn receives the current
// value (the zero value when absent) and returns the new value and whether the
// key is kept. It runs under the shard's lock.
func (m *Map[V]) Update(key string, fn func(v V, ok bool) (V, bool)) {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.items[key]
	v, keep := fn(old, ok)
	if keep {
		p.items[key] = v
	} else {
		delete(p.items, key)
	}
	p.notify()
}

// Changed returns a channel that is closed at the next change to key's shard.
// Read it before checking the condition, then wait, then check again.
func (m *Map[V]) Changed(key string) <-chan struct{} {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.changed
}

// Range calls fn for each item until fn returns false. Each shard is locked for
// reading in turn: the iteration is not one consistent view of all shards.
func (m *Map[V]) Range(fn func(key string, v V) bool) {
	for i := range m.parts {
		if !m.parts[i].each(fn) {
			return
		}
	}
}

func (p *part[V]) each(fn func(key string, v V) bool) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for k, v := range p.items {
		if !fn(k, v) {
			return false
		}
	}
	return true
}

// Len returns the number of items.
func (m *Map[V]) Len() int {
	n := 0
	for i := range m.parts {
		m.parts[i].mu.RLock()
		n += len(m.parts[i].items)
		m.parts[i].mu.RUnlock()
	}
	return n
}
