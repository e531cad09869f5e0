package engine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/standin/capacity"
)

// session is the state of a VM's requests under one boot id and one group. Its end
// aborts all requests that run in it.
type session struct {
	limiter *capacity.Limiter
	ended   chan struct{} // closed when the session ends; aborts its streams
	batch   *batch
	crashed atomic.Bool // set by a crash, so that there is at most one per session

	mu            sync.Mutex
	isEnded       bool
	completeCh    chan struct{} // closed while no member is missing
	memberMissing bool
}

func newSession(v *vm) *session {
	completeCh := make(chan struct{})
	close(completeCh)
	s := &session{limiter: capacity.New(v.opts.Capacity), ended: make(chan struct{}), completeCh: completeCh}
	s.batch = &batch{stepTime: v.stepTime, awaitRunnable: func() bool { return s.awaitRunnable(v) }, ended: s.ended}
	return s
}

// end aborts all running and queued requests.
func (s *session) end() {
	s.mu.Lock()
	if s.isEnded {
		s.mu.Unlock()
		return
	}
	s.isEnded = true
	close(s.ended)
	s.mu.Unlock()
	s.limiter.Close()
}

// setMemberMissing stores whether a member is missing and reports whether that
// changed.
func (s *session) setMemberMissing(missing bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.memberMissing == missing {
		return false
	}
	s.memberMissing = missing
	if missing {
		s.completeCh = make(chan struct{})
	} else {
		close(s.completeCh)
	}
	return true
}

// groupComplete returns a channel that is closed while no member is missing.
func (s *session) groupComplete() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.completeCh
}

// awaitRunnable waits until the VM isn't paused and no member of its group is
// missing. It returns false if the session ends before.
func (s *session) awaitRunnable(v *vm) bool {
	for _, gate := range []<-chan struct{}{v.host.Unpaused(), s.groupComplete()} {
		select {
		case <-gate:
		case <-s.ended:
			return false
		}
	}
	return true
}

// batch models continuous batching: each decoding step gives every request in the
// batch one token.
type batch struct {
	stepTime      func(active int) time.Duration
	awaitRunnable func() bool
	ended         <-chan struct{}

	mu           sync.Mutex
	active       int
	stepEnd      chan struct{} // closed at the end of the current step
	lastStepTime time.Duration
}

// join adds a request to the batch.
func (b *batch) join() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active++
	if b.active == 1 && b.stepEnd == nil {
		b.stepEnd = make(chan struct{})
		go b.run()
	}
}

// leave removes a request from the batch.
func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active--
}

// stepEnded returns a channel that is closed at the end of the current step. The
// caller must have joined the batch.
func (b *batch) stepEnded() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stepEnd
}

// recentStepTime returns the duration of the current or last step, 0 if the batch is
// empty.
func (b *batch) recentStepTime() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.active == 0 {
		return 0
	}
	return b.lastStepTime
}

// run executes steps until the batch is empty or the session ends.
func (b *batch) run() {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		t.Reset(b.beginStep())
		select {
		case <-t.C:
		case <-b.ended:
			return
		}
		if !b.awaitRunnable() || !b.finishStep() {
			return
		}
	}
}

// beginStep returns the duration of the step that starts now.
func (b *batch) beginStep() time.Duration {
	b.mu.Lock()
	n := b.active
	b.mu.Unlock()
	d := b.stepTime(n)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastStepTime = d
	return d
}

// finishStep ends the current step and starts the next one. It returns false if the
// batch is empty.
func (b *batch) finishStep() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.stepEnd)
	b.stepEnd = nil
	if b.active == 0 {
		return false
	}
	b.stepEnd = make(chan struct{})
	return true
}
