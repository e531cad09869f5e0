package relay

import (
	"bytes"
	"strconv"
)

// maxEventBytes bounds a single event; a longer one is taken for garbage.
const maxEventBytes = 1 << 20

// events splits a stream into whole events. Events that the client already has
// are dropped, and a gap in the ids ends the stream: what follows is not its
// continuation.
type events struct {
	buf []byte
	// last is the id of the last event passed on, if numbered.
	last     int64
	numbered bool
}

// resumeAt starts after the event with the given id.
func (ev *events) resumeAt(id string) {
	if n, err := strconv.ParseInt(id, 10, 64); err == nil {
		ev.last, ev.numbered = n, true
	}
}

// lastID returns the id from which to go on; empty before the first event.
func (ev *events) lastID() string {
	if !ev.numbered {
		return ""
	}
	return strconv.FormatInt(ev.last, 10)
}

// restart drops an event that was cut in the middle.
func (ev *events) restart() { ev.buf = ev.buf[:0] }

// partial reports whether the stream stands in the middle of an event.
func (ev *events) partial() bool { return len(bytes.TrimSpace(ev.buf)) > 0 }

// add takes bytes in and returns the whole events to pass on. It returns false
// if an event is missing or too long.
func (ev *events) add(p []byte) (out []byte, ok bool) {
	ev.buf = append(ev.buf, p...)
	at := 0
	for {
		n := eventEnd(ev.buf[at:])
		if n == 0 {
			break
		}
		one := ev.buf[at : at+n]
		at += n
		pass, ok := ev.next(one)
		if !ok {
			return out, false
		}
		if pass {
			out = append(out, one...)
		}
	}
	ev.buf = append(ev.buf[:0], ev.buf[at:]...)
	return out, len(ev.buf) <= maxEventBytes
}

// next judges one event by its id.
func (ev *events) next(one []byte) (pass, ok bool) {
	id, has := eventID(one)
	if !has {
		return true, true
	}
	if ev.numbered && id <= ev.last {
		return false, true
	}
	if ev.numbered && id != ev.last+1 {
		return false, false
	}
	ev.last, ev.numbered = id, true
	return true, true
}

// eventEnd returns the length of the first whole event, or 0.
func eventEnd(b []byte) int {
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

// eventID returns the number in an event's id line.
func eventID(one []byte) (int64, bool) {
	for line := range bytes.Lines(one) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return n, err == nil
	}
	return 0, false
}
