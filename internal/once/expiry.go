package once

import "time"

// expiryStep is the grain at which keys and attempts are forgotten.
const expiryStep = time.Minute

type entryKind uint8

const (
	entryKey entryKind = iota
	entryAttempt
)

// expiry lists keys and attempts by the step after which they are forgotten.
type expiry map[int64]*bucket

type bucket [2][]Fingerprint

func stepOf(t time.Time) int64 { return t.UnixMilli() / expiryStep.Milliseconds() }

func (x expiry) add(last time.Time, kind entryKind, f Fingerprint) {
	step := stepOf(last) + 1
	b := x[step]
	if b == nil {
		b = &bucket{}
		x[step] = b
	}
	b[kind] = append(b[kind], f)
}

// advance moves the clock, never back, and forgets once per step.
func (s *State) advance(at time.Time) {
	if !at.After(s.clock) {
		return
	}
	before := stepOf(s.clock)
	s.clock = at
	if now := stepOf(at); now != before {
		s.forget(now)
	}
}

// forget drops what no later record can concern.
func (s *State) forget(now int64) {
	for step, b := range s.expiry {
		if step > now {
			continue
		}
		delete(s.expiry, step)
		for _, f := range b[entryKey] {
			s.forgetKey(f)
		}
		for _, f := range b[entryAttempt] {
			delete(s.attempts, f)
		}
	}
}

// forgetKey drops a key unless it was freed and taken again since.
func (s *State) forgetKey(key Fingerprint) {
	h, ok := s.keys[key]
	if !ok {
		return
	}
	if last := time.UnixMilli(h.issued).Add(s.limits.MaxKeyAge + clockStep); s.clock.After(last) {
		delete(s.keys, key)
	}
}

// authors keeps each process's names once.
type authors struct {
	index map[author]uint32
	list  []author
}

type author struct{ id, boot string }

func newAuthors() authors { return authors{index: make(map[author]uint32)} }

func (a *authors) intern(id, boot string) uint32 {
	k := author{id, boot}
	i, ok := a.index[k]
	if !ok {
		i = uint32(len(a.list))
		a.index[k] = i
		a.list = append(a.list, k)
	}
	return i
}

func (a *authors) name(i uint32) (id, boot string) { return a.list[i].id, a.list[i].boot }
