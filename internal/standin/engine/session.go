package engine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/standin/capacity"
)

// session is the time that a VM spends under one boot id and one group. All
// that runs in it ends with it.
type session struct {
	gauge *capacity.Limiter
	over  chan struct{} // closed when the session ends: streams are cut
	clock *clock
	fell  atomic.Bool // the VM fell over in this session

	mu      sync.Mutex
	ended   bool
	whole   chan struct{} // closed while no member is missing
	missing bool
}

func newSession(v *vm) *session {
	whole := make(chan struct{})
	close(whole)
	s := &session{gauge: capacity.New(v.opts.Capacity), over: make(chan struct{}), whole: whole}
	s.clock = &clock{step: v.step, pass: func() bool { return s.pass(v) }, over: s.over}
	return s
}

// end cuts all that runs.
func (s *session) end() {
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return
	}
	s.ended = true
	close(s.over)
	s.mu.Unlock()
	s.gauge.Close()
}

// setMissing notes whether a member is missing and reports a change.
func (s *session) setMissing(missing bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.missing == missing {
		return false
	}
	s.missing = missing
	if missing {
		s.whole = make(chan struct{})
	} else {
		close(s.whole)
	}
	return true
}

func (s *session) wholeGate() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.whole
}

// pass waits until the VM runs and its group is whole; false if the session
// ended first.
func (s *session) pass(v *vm) bool {
	for _, gate := range []<-chan struct{}{v.host.Unpaused(), s.wholeGate()} {
		select {
		case <-gate:
		case <-s.over:
			return false
		}
	}
	return true
}

// clock is the batch: each step gives every running request one token.
type clock struct {
	step func(active int) time.Duration
	pass func() bool
	over <-chan struct{}

	mu     sync.Mutex
	active int
	tick   chan struct{} // closed at the end of the step under way
	last   time.Duration
}

// join adds a request to the batch.
func (c *clock) join() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active++
	if c.active == 1 && c.tick == nil {
		c.tick = make(chan struct{})
		go c.run()
	}
}

// leave takes a request out of the batch.
func (c *clock) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active--
}

// next returns a channel that is closed at the end of the step under way. The
// caller has joined.
func (c *clock) next() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tick
}

// recent returns the length of the last step, 0 if nothing runs.
func (c *clock) recent() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active == 0 {
		return 0
	}
	return c.last
}

func (c *clock) run() {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		t.Reset(c.begin())
		select {
		case <-t.C:
		case <-c.over:
			return
		}
		if !c.pass() || !c.finish() {
			return
		}
	}
}

func (c *clock) begin() time.Duration {
	c.mu.Lock()
	n := c.active
	c.mu.Unlock()
	d := c.step(n)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = d
	return d
}

// finish ends the step; it returns false when the batch is empty.
func (c *clock) finish() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.tick)
	c.tick = nil
	if c.active == 0 {
		return false
	}
	c.tick = make(chan struct{})
	return true
}
