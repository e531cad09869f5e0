package fleet

import "sync"

// broadcast wakes all goroutines that wait at the time of a signal.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that is closed at the next signal.
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

// notify puts a token into a channel of capacity one, unless it holds one
// already.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
