package relay

import (
	"bytes"
	"strconv"

	"github.com/ragwortquay/ragwortquay/internal/handover"
)

// maxEventBytes is the size at which an incomplete event is treated as a malformed
// stream.
const maxEventBytes = 256 << 10

// eventEndBytes is the length of the longest byte sequence that ends an event.
const eventEndBytes = len("\r\n\r\n")

// eventFilter splits the stream of one attempt into complete events, and drops those that
// are not the next ones for the client.
type eventFilter struct {
	buf []byte
	// searched is the length of the prefix of buf in which no event ends.
	searched int
	// seq is what the client has, by all attempts; run is what this one has sent.
	seq *handover.Sequence
	run handover.Run
	// progressed is set if the last feed had an event that the attempt had not sent
	// before, and advanced if such an event was new to the client.
	progressed, advanced bool
}

// newEventFilter returns the filter of an attempt that begins now.
func newEventFilter(seq *handover.Sequence) *eventFilter {
	return &eventFilter{seq: seq, run: seq.NewRun()}
}

// hasPartial reports whether the bytes so far end within an event.
func (ev *eventFilter) hasPartial() bool { return len(bytes.TrimSpace(ev.buf)) > 0 }

// feed appends p and returns the complete events to forward. ok is false if an event does
// not continue what the client has, or is malformed or too long.
func (ev *eventFilter) feed(p []byte) (out []byte, ok bool) {
	ev.progressed, ev.advanced = false, false
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

// accept decides about a complete event. forward is false for one that the client has
// already, ok is false for one that is malformed or does not continue the stream.
func (ev *eventFilter) accept(event []byte) (forward, ok bool) {
	if !wellFormed(event) {
		return false, false
	}
	id, found := eventID(event)
	verdict, progress := ev.seq.Judge(&ev.run, handover.Event{ID: id, HasID: found, Comment: !found && isComment(event)})
	ev.progressed = ev.progressed || progress
	ev.advanced = ev.advanced || (progress && verdict == handover.Pass)
	return verdict == handover.Pass, verdict != handover.Break
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
