package relay

import (
	"bytes"
	"strconv"
)

// maxEventBytes is the size at which an incomplete event is treated as a malformed
// stream.
const maxEventBytes = 1 << 20

// eventFilter splits a stream of server-sent events into complete events. It drops
// events that the client already has. It rejects a gap in the event ids, because
// the events after it do not continue the stream that the client has.
type eventFilter struct {
	buf []byte
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

// discardPartial discards the bytes of an incomplete event before the stream is
// resumed.
func (ev *eventFilter) discardPartial() { ev.buf = ev.buf[:0] }

// hasPartial reports whether the bytes so far end within an event.
func (ev *eventFilter) hasPartial() bool { return len(bytes.TrimSpace(ev.buf)) > 0 }

// feed appends p and returns the complete events to forward. ok is false if an
// event id is missing from the sequence or an event is too long.
func (ev *eventFilter) feed(p []byte) (out []byte, ok bool) {
	ev.buf = append(ev.buf, p...)
	pos := 0
	for {
		n := firstEventLen(ev.buf[pos:])
		if n == 0 {
			break
		}
		event := ev.buf[pos : pos+n]
		pos += n
		forward, ok := ev.accept(event)
		if !ok {
			return out, false
		}
		if forward {
			out = append(out, event...)
		}
	}
	ev.buf = append(ev.buf[:0], ev.buf[pos:]...)
	return out, len(ev.buf) <= maxEventBytes
}

// accept checks an event id against the sequence. forward is false for an event
// that the client already has, ok is false after a gap.
func (ev *eventFilter) accept(event []byte) (forward, ok bool) {
	id, found := eventID(event)
	if !found {
		return true, true
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
