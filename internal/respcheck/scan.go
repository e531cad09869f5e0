package respcheck

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

const (
	// statusStart and statusEnd delimit the status in a status line: "HTTP/1.1 200".
	statusStart = 9
	statusEnd   = 12
	// versionEnd is the end of the version that the status line begins with.
	versionEnd = 8
	// maxTextBytes bounds what a HeadScanner holds of a head.
	maxTextBytes = 64
)

// HeadScanner checks the head of a response while its bytes arrive: the names of its
// fields as they were received, and that its version goes with a transfer coding. HTTP
// libraries accept more, and differ in what they take it for. The zero value awaits a
// response.
type HeadScanner struct {
	// FinalOnly is set to reject a status that is not that of a final response, for a
	// client that cannot check it by Head.
	FinalOnly bool

	at headPart
	// text is the status line up to its status, or the name of a field. cut is set if it is
	// only the end of a long name.
	text  []byte
	cut   bool
	lines int
	// noCodings is set unless the response has versionWithCodings.
	noCodings bool
}

// versionWithCodings is the version in which all recipients decode a transfer coding.
const versionWithCodings = "HTTP/1.1"

// codingField is the name of the field of transfer codings.
var codingField = []byte("transfer-encoding")

// headPart is a part of a head.
type headPart uint8

const (
	inStatusLine headPart = iota
	atLineStart
	inEmptyLine // after its carriage return
	inName
	inValue // and what follows the status in its line
	inBody
)

// Reset awaits the next response.
func (s *HeadScanner) Reset() { s.at, s.text, s.lines = inStatusLine, s.text[:0], 0 }

// Lines returns the number of lines of the head that have ended.
func (s *HeadScanner) Lines() int { return s.lines }

// Ended reports whether the empty line after the head was scanned.
func (s *HeadScanner) Ended() bool { return s.at == inBody }

// Scan checks what was received next. It returns an error once the head is known to be
// invalid, and ignores the body.
func (s *HeadScanner) Scan(received []byte) error {
	for _, c := range received {
		if s.at == inBody {
			return nil
		}
		if c == '\n' {
			s.lines++
		}
		if err := s.scanByte(c); err != nil {
			return err
		}
	}
	return nil
}

func (s *HeadScanner) scanByte(c byte) error {
	switch s.at {
	case inStatusLine:
		return s.scanStatus(c)
	case inValue:
		if c == '\n' {
			s.at, s.text, s.cut = atLineStart, s.text[:0], false
		}
	case atLineStart:
		switch c {
		case ' ', '\t': // continues the value of the line before
			s.at = inValue
		case '\r':
			s.at = inEmptyLine
		case '\n':
			s.at = inBody
		default:
			s.at = inName
			return s.scanName(c)
		}
	case inEmptyLine:
		if c != '\n' {
			return errors.New("a line of the head begins with a carriage return")
		}
		s.at = inBody
	case inName:
		return s.scanName(c)
	}
	return nil
}

// scanStatus scans the status line up to its status.
func (s *HeadScanner) scanStatus(c byte) error {
	if c == '\n' {
		return errors.New("the first line of the response has no status")
	}
	if s.text = append(s.text, c); len(s.text) < statusEnd {
		return nil
	}
	s.at = inValue
	s.noCodings = string(s.text[:versionEnd]) != versionWithCodings
	if s.FinalOnly {
		return checkFinalStatus(s.text[statusStart:])
	}
	return nil
}

// scanName scans a line up to its colon.
func (s *HeadScanner) scanName(c byte) error {
	switch c {
	case '\n':
		return fmt.Errorf("%.40q is not a header field", s.text)
	case ':':
		s.at = inValue
		if s.noCodings && !s.cut && bytes.EqualFold(s.text, codingField) {
			return errors.New("the response has a transfer coding and a version other than 1.1, so the end of its body is not known")
		}
		return checkFieldName(s.text)
	default:
		if len(s.text) == maxTextBytes {
			// Each part of a token is one.
			if err := checkFieldName(s.text); err != nil {
				return err
			}
			s.text, s.cut = s.text[:0], true
		}
		s.text = append(s.text, c)
	}
	return nil
}

// checkFinalStatus returns an error unless the text is the status of a final response.
func checkFinalStatus(text []byte) error {
	status, err := strconv.ParseUint(string(text), 10, 16)
	if err != nil || status < minFinalStatus || status > maxStatus {
		return fmt.Errorf("status %q is not that of a final HTTP response", text)
	}
	return nil
}
