package once

import "time"

// expiryResolution is the length of the time steps at whose ends expired keys and
// attempts are dropped.
const expiryResolution = time.Minute

type entryKind uint8

const (
	entryKey entryKind = iota
	entryAttempt
)

// expiryIndex lists the hashes of keys and attempts by the step in which they
// expire.
type expiryIndex map[int64]*expiryBucket

// expiryBucket holds the hashes that expire in one step, by entryKind.
type expiryBucket [2][]Fingerprint

// expiryStepOf returns the number of the step that t is in.
func expiryStepOf(t time.Time) int64 { return t.UnixMilli() / expiryResolution.Milliseconds() }

// schedule makes f expire in the step after that of last, the latest log time at
// which the entry is needed.
func (x expiryIndex) schedule(last time.Time, kind entryKind, f Fingerprint) {
	step := expiryStepOf(last) + 1
	b := x[step]
	if b == nil {
		b = &expiryBucket{}
		x[step] = b
	}
	b[kind] = append(b[kind], f)
}

// advanceLogTime sets the log time to at unless that would move it back, and drops
// expired entries when a new step begins.
func (s *State) advanceLogTime(at time.Time) {
	if !at.After(s.logTime) {
		return
	}
	before := expiryStepOf(s.logTime)
	s.logTime = at
	if now := expiryStepOf(at); now != before {
		s.dropExpired(now)
	}
}

// dropExpired drops the keys and attempts that expire in step now or earlier. No
// later record can affect them.
func (s *State) dropExpired(now int64) {
	for step, b := range s.expiry {
		if step > now {
			continue
		}
		delete(s.expiry, step)
		for _, f := range b[entryKey] {
			s.dropKeyIfExpired(f)
		}
		for _, f := range b[entryAttempt] {
			delete(s.attempts, f)
		}
	}
}

// dropKeyIfExpired drops a key unless its present holder expires later: the key may
// have been released and acquired again since the entry was scheduled.
func (s *State) dropKeyIfExpired(key Fingerprint) {
	h, ok := s.keys[key]
	if !ok {
		return
	}
	if last := time.UnixMilli(h.issuedMS).Add(s.limits.MaxKeyAge + maxClockStepBack); s.logTime.After(last) {
		delete(s.keys, key)
	}
}

// authorTable stores the id and boot id of each daemon process once, so that keys
// refer to them by a small number.
type authorTable struct {
	index map[author]uint32
	list  []author
}

type author struct{ id, boot string }

func newAuthorTable() authorTable { return authorTable{index: make(map[author]uint32)} }

// intern returns the number of the process, adding it if it is new.
func (a *authorTable) intern(id, boot string) uint32 {
	k := author{id, boot}
	i, ok := a.index[k]
	if !ok {
		i = uint32(len(a.list))
		a.index[k] = i
		a.list = append(a.list, k)
	}
	return i
}

func (a *authorTable) lookup(i uint32) (id, boot string) { return a.list[i].id, a.list[i].boot }
