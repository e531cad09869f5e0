package relay

import (
	"bytes"
	"strconv"
)

// maxEventBytes is the size at which an incomplete event is treated as a malformed
// stream.
const maxEventBytes = 256 << 10

// eventEndBytes is the length of the longest byte sequence that ends an event.
const eventEndBytes = len("\r\n\r\n")

// eventFilter splits a stream of server-sent events into complete events. It drops
// events that the client already has. It rejects a gap in the event ids, because
// the events after it do not continue the stream that the client has.
type eventFilter struct {
	buf []byte
	// searched is the length of the prefix of buf in which no event ends.
	searched int
	// attemptID is the highest event id of the current attempt, valid if
	// hasAttemptID is set. progressed is set if the last feed had an event that the
	// attempt had not sent before.
	attemptID    int64
	hasAttemptID bool
	progressed   bool
	// resumed is set if the attempt continues a stream of which the client has a part.
	resumed bool
	// lastSentID is the id of the last forwarded event; valid if hasSentID is set.
	lastSentID int64
	hasSentID  bool
}

// resumeAt sets the id of the last event that the client already has. It ignores an
// id that is not a number.
func (ev *eventFilter) resumeAt(id string) {
	if n, err := strconv.ParseInt(id, 10, 64); err == nil {
		ev.lastSentID, ev.hasSentID = n, true
	}
}

// lastID returns the id after which to resume, or "" if no event with an id was
// forwarded.
func (ev *eventFilter) lastID() string {
	if !ev.hasSentID {
		return ""
	}
	return strconv.FormatInt(ev.lastSentID, 10)
}

// discardPartial discards the bytes of an incomplete event, and the progress of the
// attempt, before the stream is resumed.
func (ev *eventFilter) discardPartial() {
	ev.buf, ev.searched, ev.hasAttemptID, ev.resumed = ev.buf[:0], 0, false, ev.hasSentID
}

// hasPartial reports whether the bytes so far end within an event.
func (ev *eventFilter) hasPartial() bool { return len(bytes.TrimSpace(ev.buf)) > 0 }

// feed appends p and returns the complete events to forward. ok is false if an
// event id is missing from the sequence, or an event is malformed or too long.
func (ev *eventFilter) feed(p []byte) (out []byte, ok bool) {
	ev.progressed = false
	ev.buf = append(ev.buf, p...)
	pos := 0
	for {
		n := ev.nextEventLen(pos)
		if n == 0 {
			break
		}
		event := ev.buf[pos : pos+n]
		pos += n
		ev.searched = pos
		forward, ok := ev.accept(event)
		if !ok {
			return out, false
		}
		if forward {
			out = append(out, event...)
		}
	}
	ev.buf = append(ev.buf[:0], ev.buf[pos:]...)
	ev.searched = len(ev.buf)
	return out, len(ev.buf) <= maxEventBytes
}

// nextEventLen returns the length of the complete event at pos, or 0. It searches
// only the bytes that were not searched before.
func (ev *eventFilter) nextEventLen(pos int) int {
	from := max(pos, ev.searched-eventEndBytes+1)
	if n := firstEventLen(ev.buf[from:]); n > 0 {
		return from + n - pos
	}
	return 0
}

// accept checks an event's form, and its id against the sequence. forward is false
// for an event that the client already has, ok is false for a malformed event and
// after a gap.
func (ev *eventFilter) accept(event []byte) (forward, ok bool) {
	if !wellFormed(event) {
		return false, false
	}
	id, found := eventID(event)
	if !found && ev.resumed && !ev.hasAttemptID {
		// Nothing shows that the event continues the stream: it may be an error in
		// place of it.
		return false, isComment(event)
	}
	if !found {
		// An event without an id is no progress of a stream that has ids: it can be
		// repeated without end.
		ev.progressed = ev.progressed || !ev.hasSentID
		return true, true
	}
	if !ev.hasAttemptID || id > ev.attemptID {
		ev.attemptID, ev.hasAttemptID, ev.progressed = id, true, true
	}
	if ev.hasSentID && id <= ev.lastSentID {
		return false, true
	}
	if ev.hasSentID && id != ev.lastSentID+1 {
		return false, false
	}
	ev.lastSentID, ev.hasSentID = id, true
	return true, true
}

// wellFormed reports whether each line of the event is empty, a comment, or a field
// whose name consists of letters, digits, hyphens and underscores.
func wellFormed(event []byte) bool {
	for line := range bytes.Lines(event) {
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		for _, c := range name {
			letter := c|0x20 >= 'a' && c|0x20 <= 'z'
			if !letter && (c < '0' || c > '9') && c != '-' && c != '_' {
				return false
			}
		}
	}
	return true
}

// isComment reports whether the event has comments only.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// firstEventLen returns the length of the first complete event in b, or 0.
func firstEventLen(b []byte) int {
	lf := bytes.Index(b, []byte("\n\n"))
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return 0
	case crlf < 0 || (lf >= 0 && lf < crlf):
		return lf + 2
	default:
		return crlf + 4
	}
}

// eventID returns the number in the id field of an event.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return n, err == nil
	}
	return 0, false
}
