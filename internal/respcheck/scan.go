package respcheck

import (
	"fmt"
	"strconv"
)

const (
	// statusStart and statusEnd delimit the status in a status line: "HTTP/1.1 200".
	statusStart = 9
	statusEnd   = 12
)

// HeadScanner checks the head of a final response while its bytes arrive, for a client
// whose library parses it without these checks. The zero value awaits a response.
type HeadScanner struct {
	at headPart
	// text is the status line up to its status, or the name of the current field.
	text []byte
}

// headPart is a part of a head.
type headPart uint8

const (
	inStatusLine headPart = iota
	atLineStart
	inName
	inValue // and what follows the status in its line
	inBody
)

// Reset awaits the next response.
func (s *HeadScanner) Reset() { s.at, s.text = inStatusLine, s.text[:0] }

// Scan checks what was received next. It returns an error once the head is known to be
// invalid, and ignores the body.
func (s *HeadScanner) Scan(received []byte) error {
	for _, c := range received {
		if s.at == inBody {
			return nil
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
		if s.text = append(s.text, c); len(s.text) == statusEnd {
			s.at = inValue
			return checkFinalStatus(s.text[statusStart:])
		}
	case inValue:
		if c == '\n' {
			s.at, s.text = atLineStart, s.text[:0]
		}
	case atLineStart:
		switch c {
		case ' ', '\t': // continues the value of the line before
			s.at = inValue
		case '\n':
			s.at = inBody
		default:
			s.at, s.text = inName, append(s.text, c)
		}
	case inName:
		switch {
		case c == '\n' && string(s.text) == "\r":
			s.at = inBody
		case c == '\n':
			return fmt.Errorf("%.40q is not a header field", s.text)
		case c == ':':
			s.at = inValue
			return FieldName(string(s.text))
		default:
			s.text = append(s.text, c)
		}
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
