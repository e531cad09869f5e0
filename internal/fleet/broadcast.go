package fleet

import "sync"

// broadcast wakes all that wait at the moment of a signal.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch == nil {
		b.ch = make(chan struct{})
	}
	return b.ch
}

func (b *broadcast) signal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch != nil {
		close(b.ch)
		b.ch = nil
	}
}

// raise puts a token into a channel of capacity one.
func raise(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
