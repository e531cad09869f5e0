package intake

import (
	"slices"
	"time"
)

// StallTime is how long the client of an incomplete body must have sent nothing before
// the body gives up its room to one that waits. A client that sends at all sends
// something each few milliseconds also over a link of 14 Mbit/s; one lost segment is sent
// again within 200 ms or so.
const StallTime = 250 * time.Millisecond

// Verdict is the decision about a body that needs room.
type Verdict uint8

// The verdicts.
const (
	// Admit means that the body has the room.
	Admit Verdict = iota
	// Wait means that the body stays unread until Grant gives it the room or Leave
	// takes it out of the line.
	Wait
	// Refuse means that the body can't have the room, and that too many wait already.
	Refuse
)

// Account holds how much room the bodies of a daemon take. It is not safe for concurrent
// use.
type Account struct {
	limits  Limits
	held    [classes]int64
	waiting [classes]int
}

// NewAccount returns an account without bodies.
func NewAccount(l Limits) Account { return Account{limits: l} }

// Request decides about a body, or a growth, that needs n bytes. Large bodies beyond
// their part of the room wait or are refused, so that a crowd of them leaves the reserve
// to small ones. Bodies are admitted in the order in which they arrived.
func (a *Account) Request(c Class, n int64) Verdict {
	switch {
	case a.waiting[c] == 0 && a.fits(c, n):
		a.held[c] += n
		return Admit
	case a.waiting[c] < a.limits.Waiting:
		a.waiting[c]++
		return Wait
	}
	return Refuse
}

// fits reports whether there are n bytes for a body of the class. A large body that is
// larger than the part of large ones is admitted if it is the only one, so that each body
// of legal size can be served on a small machine.
func (a *Account) fits(c Class, n int64) bool {
	if c == Small {
		return a.Used()+n <= a.limits.Bytes
	}
	part := a.limits.Bytes - a.limits.Reserved
	return a.held[Large] == 0 && n > part || a.held[Large]+n <= part && a.Used()+n <= a.limits.Bytes
}

// Grant gives n bytes to the waiting body that is first in the line of its class, and
// reports whether there were as many.
func (a *Account) Grant(c Class, n int64) bool {
	if !a.fits(c, n) {
		return false
	}
	a.waiting[c]--
	a.held[c] += n
	return true
}

// Leave takes a waiting body out of the line.
func (a *Account) Leave(c Class) { a.waiting[c]-- }

// Release returns n bytes.
func (a *Account) Release(c Class, n int64) { a.held[c] -= n }

// Used returns the bytes that bodies hold.
func (a *Account) Used() int64 { return a.held[Small] + a.held[Large] }

// Incomplete is a body that has room and is being read.
type Incomplete struct {
	Class Class
	Bytes int64
	// LastRead is when the last bytes of it, or its room, were received.
	LastRead time.Time
}

// Stalled returns the indexes of the bodies that have to give up their room for one of
// class c that waits for n bytes: those whose clients have sent nothing for StallTime or
// longer, the longest first, until there is enough. Small bodies do not make room for
// large ones. It addresses clients that stop short of the end of a body and stay
// connected, which would hold the room until their deadlines.
func Stalled(bodies []Incomplete, c Class, n int64, now time.Time) []int {
	var out []int
	for i := range bodies {
		if now.Sub(bodies[i].LastRead) >= StallTime && (c == Small || bodies[i].Class == Large) {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(i, j int) int { return bodies[i].LastRead.Compare(bodies[j].LastRead) })
	for k, i := range out {
		if n -= bodies[i].Bytes; n <= 0 {
			return out[:k+1]
		}
	}
	return out
}
