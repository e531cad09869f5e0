package storepace

import "time"

// readers is the number of daemons that read the store on behalf of all. With two of
// them, one may fail or be partitioned without delaying updates.
const readers = 2

// Role is a daemon's part in reading the store.
type Role uint8

// The roles.
const (
	// Following daemons apply what readers read.
	Following Role = iota
	// Probing daemons rank as readers, but the store turns them away while it serves
	// others. They call it now and then, to become readers again.
	Probing
	// Reading daemons read the store on behalf of all.
	Reading
)

// String returns the name of the role in logs.
func (r Role) String() string { return [...]string{"follower", "prober", "reader"}[r] }

// PeerState is what a live peer has last reported.
type PeerState struct {
	// Before is set if the peer ranks before this daemon.
	Before bool
	// Reader is set if the peer says that it is a reader.
	Reader bool
	// Age is the age of its configuration's confirmation when it sent the report;
	// negative if it has none. Since is the time since then.
	Age, Since time.Duration
}

// Fresh reports whether the peer's confirmation is within the trusted age.
func (p *PeerState) Fresh(trusted time.Duration) bool {
	return p.Age >= 0 && p.Age+p.Since < trusted
}

// served reports whether the peer is a reader whom the store serves. A reader that it
// turns away reports a higher age soon.
func (p *PeerState) served(trusted time.Duration) bool {
	return p.Reader && p.Age >= 0 && p.Age < trusted*6/10
}

// ChooseRole returns the role of a daemon whose confirmation has the given age. It
// addresses a store that serves only a part of the machines: a daemon that is stale, or
// turned away, is no reader while another reader is served, though it ranks first and is
// kept fresh by that reader. If no reader is fresh, those that rank first are readers. The ranking is of all live daemons, fresh or not: when a new reader
// has confirmed the position of all, each still counts the others as stale until their
// next report.
func ChooseRole(now, age, trusted time.Duration, path *Path, peers []PeerState) Role {
	var liveBefore, readingBefore int
	var anyFreshReader, anyServed bool
	// Where the store is slow, the confirmations of those that it serves become stale
	// between two reads.
	relied := trusted
	if path.Slow {
		relied = trusted * 3 / 2
	}
	for i := range peers {
		p := &peers[i]
		anyFreshReader = anyFreshReader || p.Reader && p.Fresh(trusted)
		anyServed = anyServed || p.served(trusted)
		if !p.Before {
			continue
		}
		liveBefore++
		if p.Reader && p.Fresh(relied) {
			readingBefore++
		}
	}
	servedItself := path.Failures == 0 && path.ServedAt > 0 && now-path.ServedAt < trusted
	reading := func(before int) Role {
		if before < readers {
			return Reading
		}
		return Following
	}
	switch {
	case path.Failing(trusted) && anyServed && liveBefore < readers:
		return Probing
	case path.Failing(trusted) && anyServed:
		return Following
	case servedItself:
		return reading(readingBefore)
	case age >= trusted && anyFreshReader:
		return Following
	default:
		return reading(liveBefore)
	}
}
