package engine

import (
	"container/list"
	"sync"
)

// prefixCache is an LRU cache of the prefixes of prompts.
type prefixCache struct {
	mu          sync.Mutex
	maxPrefixes int
	recency     *list.List // keys, most recently used first
	elements    map[string]*list.Element
}

func newPrefixCache(maxPrefixes int) *prefixCache {
	return &prefixCache{maxPrefixes: maxPrefixes, recency: list.New(), elements: make(map[string]*list.Element)}
}

// lookup reports whether the prompt's prefix was cached, and caches it.
func (c *prefixCache) lookup(prompt string) bool {
	key := prompt[:min(len(prompt), PrefixBytes)]
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.elements[key]; ok {
		c.recency.MoveToFront(e)
		return true
	}
	c.elements[key] = c.recency.PushFront(key)
	if c.recency.Len() > c.maxPrefixes {
		oldest := c.recency.Back()
		c.recency.Remove(oldest)
		delete(c.elements, oldest.Value.(string))
	}
	return false
}
