package engine

import (
	"container/list"
	"sync"
)

// prefixCache remembers the prefixes of recent prompts, the least recently used
// one goes first.
type prefixCache struct {
	mu    sync.Mutex
	limit int
	order *list.List // front: most recent; values are keys
	items map[string]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), items: make(map[string]*list.Element)}
}

// touch notes the prompt's prefix and reports whether it was cached.
func (c *prefixCache) touch(prompt string) bool {
	key := prompt[:min(len(prompt), PrefixBytes)]
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.items[key]; ok {
		c.order.MoveToFront(e)
		return true
	}
	c.items[key] = c.order.PushFront(key)
	if c.order.Len() > c.limit {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.items, oldest.Value.(string))
	}
	return false
}
