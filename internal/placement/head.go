package placement

import (
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// EvidenceKind is the kind of an observation of a head.
type EvidenceKind uint8

// The kinds of evidence.
const (
	// Silent means that all queries of the source between Since and At failed. A refused
	// connection counts as a failure, since a network fault may reset connections.
	Silent EvidenceKind = iota
	// Answered means that the engine answered a query or sent data of a request at At.
	Answered
	// Reported means that the engine stated its membership, in answer to a query that
	// was sent at At.
	Reported
	// Replaced means that another engine answered at the engine's address.
	Replaced
	// Announced means that the store lists the engine with the membership. The entry was
	// read at At and may have been written long before.
	Announced
	// Removed means that the store has listed the engine no more since At. It does not
	// tell whether the entry expired, the engine leaves and goes on serving, or the
	// engine has exited.
	Removed
	// CloseAccepted means that the head answered an order to close the group at At.
	CloseAccepted
	// NeverOpened means that the planner that formed the group still plans and has sent
	// no order to open it.
	NeverOpened
	// Unrecorded means that between Since and At neither the store nor this daemon knew
	// which engine leads the group.
	Unrecorded
	// LeaveAccepted means that the engine, a member, had answered an order to leave the
	// group at At.
	LeaveAccepted
)

var evidenceNames = [...]string{
	"silent", "answered", "reported", "replaced", "announced", "removed", "close accepted", "never opened", "unrecorded", "leave accepted",
}

// String returns the name of the kind as it appears in logs.
func (k EvidenceKind) String() string { return evidenceNames[k] }

// Evidence is one observation of an engine of a group.
type Evidence struct {
	Kind EvidenceKind
	// FromPeer is set if another daemon made the observation.
	FromPeer bool
	// StartUnixMS is the start of the observed incarnation, in Unix milliseconds. It is
	// set for Reported, Announced and LeaveAccepted.
	StartUnixMS int64
	// Membership is set for Reported and Announced. For LeaveAccepted it names the group.
	Membership catalog.Membership
	// Since and At are the first and the last time of the observation. Only Silent and
	// Unrecorded have a Since.
	Since, At time.Time
}

// HeadQuestion asks whether the head of a group may still serve, or stands still and is
// not broken yet.
type HeadQuestion struct {
	Group catalog.GroupID
	// StartUnixMS is the start of the incarnation that leads the group, in Unix
	// milliseconds.
	StartUnixMS int64
	// HasPeers is set if there are other daemons, which may reach the head.
	HasPeers bool
	// StallBound is the time after which a head that is cut off from its members is
	// broken. UnwitnessedBound applies in its place while no other daemon has stated
	// that it does not reach the head either, and to a head that is unknown.
	StallBound, UnwitnessedBound time.Duration
	Now                          time.Time
}

// HeadVerdict is the answer to a HeadQuestion.
type HeadVerdict uint8

// The verdicts. Those that are final prove that the head serves the group no more; see
// IsFinal. The others only permit to end the group by its members; see JudgeMember.
const (
	// HeadMayServe means that nothing tells the contrary.
	HeadMayServe HeadVerdict = iota
	// HeadReplaced means that another engine has the head's address.
	HeadReplaced
	// HeadRestarted means that another incarnation of the engine runs.
	HeadRestarted
	// HeadJoinedLater means that the head has joined a group that was formed later.
	HeadJoinedLater
	// HeadLeft means that the head stated lately that it is not in the group.
	HeadLeft
	// HeadBroken means that the head stated lately that the group is broken.
	HeadBroken
	// HeadClosed means that the head stated that it serves no requests, after it had
	// accepted an order to close.
	HeadClosed
	// HeadNeverOpened means that the group has never been ordered to serve.
	HeadNeverOpened
	// HeadSilent means that nobody has heard of the head for longer than it may stand
	// still without being broken. It may serve nevertheless: the daemons observe nothing
	// of the fabric between the head and its members.
	HeadSilent
	// HeadUnknown means that no engine is known to lead the group.
	HeadUnknown
)

var headVerdictNames = [...]string{"may serve", "replaced", "restarted", "joined a later group", "left", "broken", "closed", "never opened", "silent", "unknown"}

// String returns the name of the verdict as it appears in logs.
func (v HeadVerdict) String() string { return headVerdictNames[v] }

// IsFinal reports whether no later event can make the head serve the group: the
// incarnation that led it has ended, has accepted a higher epoch, or is never ordered to
// serve. A state that the head reports can be changed by an order that is executed late,
// and silence is no state at all.
func (v HeadVerdict) IsFinal() bool {
	switch v {
	case HeadReplaced, HeadRestarted, HeadJoinedLater, HeadNeverOpened:
		return true
	default:
		return false
	}
}

const (
	// maxReportAge is the age up to which a report counts as the current state.
	maxReportAge = time.Second
	// maxSilenceGap is the longest time between two failed queries that count as one
	// silence. A daemon that was suspended, or had no free slot, has heard nothing
	// because it did not ask.
	maxSilenceGap = 3 * time.Second
)

// ExtendSilence returns the silence that a query which failed at the given time belongs
// to, after the silence before it.
func ExtendSilence(before Evidence, at time.Time) Evidence {
	if before.Since.IsZero() || at.Sub(before.At) > maxSilenceGap {
		before.Since = at
	}
	before.At = at
	return before
}

// JudgeHead decides from all evidence of a head whether its group has ended, or may be
// ended because nobody can use it. JudgeMember decides what follows for the members.
func JudgeHead(q *HeadQuestion, evidence []Evidence) HeadVerdict {
	var removedAt, closedAt time.Time
	for _, e := range evidence {
		switch e.Kind {
		case Removed:
			removedAt = e.At
		case CloseAccepted:
			closedAt = e.At
		}
	}
	for i := range evidence {
		v := HeadMayServe
		switch e := &evidence[i]; e.Kind {
		case Replaced:
			v = HeadReplaced
		case NeverOpened:
			v = HeadNeverOpened
		case Announced:
			v = q.judgeAnnouncement(e)
		case Reported:
			v = q.judgeReport(e, removedAt, closedAt)
		}
		if v != HeadMayServe {
			return v
		}
	}
	if q.silent(evidence) {
		return HeadSilent
	}
	if q.unrecorded(evidence) {
		return HeadUnknown
	}
	return HeadMayServe
}

// unrecorded reports whether the head has been unknown for longer than the bound.
func (q *HeadQuestion) unrecorded(evidence []Evidence) bool {
	return slices.ContainsFunc(evidence, func(e Evidence) bool {
		return e.Kind == Unrecorded && q.Now.Sub(e.Since) > q.UnwitnessedBound
	})
}

// judgeAnnouncement judges an entry of the store. It may be older than the order that
// made the engine the head, so only a later start or a later group counts.
func (q *HeadQuestion) judgeAnnouncement(e *Evidence) HeadVerdict {
	switch {
	case e.Membership.Group == q.Group:
		return HeadMayServe
	case e.StartUnixMS > q.StartUnixMS:
		return HeadRestarted
	case e.StartUnixMS == q.StartUnixMS && e.Membership.Group.Epoch > q.Group.Epoch:
		return HeadJoinedLater
	default:
		return HeadMayServe
	}
}

// judgeReport judges the engine's own statement. An incarnation that names the group is
// its head, whichever start was recorded for it.
func (q *HeadQuestion) judgeReport(e *Evidence, removedAt, closedAt time.Time) HeadVerdict {
	isCurrent := q.Now.Sub(e.At) <= maxReportAge && !e.At.Before(removedAt)
	inGroup := e.Membership.Group == q.Group && e.Membership.State != catalog.NoGroup
	switch {
	case !inGroup && e.StartUnixMS > q.StartUnixMS:
		return HeadRestarted
	case !inGroup && e.StartUnixMS == q.StartUnixMS && e.Membership.Group.Epoch > q.Group.Epoch:
		return HeadJoinedLater
	case !isCurrent:
		return HeadMayServe
	case !inGroup && e.StartUnixMS < q.StartUnixMS:
		// The engine's clock was set back between its starts.
		return HeadRestarted
	case !inGroup:
		return HeadLeft
	case e.Membership.State == catalog.Broken:
		return HeadBroken
	case e.Membership.State == catalog.Ready && !closedAt.IsZero() && !e.At.Before(closedAt):
		return HeadClosed
	default:
		return HeadMayServe
	}
}

// silent reports whether the head is not listed, neither this daemon nor its peers reach
// it, and that has lasted for longer than the bound. The silence begins with the first
// failed query after the last sign of life, whenever the entry was removed: an engine
// that leaves removes its entry itself and goes on serving.
func (q *HeadQuestion) silent(evidence []Evidence) bool {
	var own, peers Evidence
	var aliveAt time.Time
	for _, e := range evidence {
		switch {
		case e.Kind == Announced:
			return false
		case e.Kind == Answered || e.Kind == Reported:
			aliveAt = latest(aliveAt, e.At)
		case e.Kind == Silent && e.FromPeer:
			peers = e
		case e.Kind == Silent:
			own = e
		}
	}
	if !q.holds(own) {
		return false
	}
	since, bound := latest(own.Since, aliveAt), q.StallBound
	switch {
	case q.holds(peers):
		since = latest(since, peers.Since)
	case q.HasPeers:
		bound = q.UnwitnessedBound
	}
	return q.Now.Sub(since) > bound
}

// holds reports whether a silence has gone on until now.
func (q *HeadQuestion) holds(silence Evidence) bool {
	return !silence.Since.IsZero() && q.Now.Sub(silence.At) <= maxSilenceGap
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
