package respcheck

import "fmt"

// Sending is what is known of the writing of the request.
type Sending uint8

// The states of writing a request.
const (
	// Sent means that the whole request was written.
	Sent Sending = iota
	// StillSending means that a part of it is not written yet.
	StillSending
	// SendFailed means that writing it failed.
	SendFailed
)

var sendingNames = [...]string{"sent", "still being sent", "cut"}

// String returns the state in words.
func (s Sending) String() string {
	if int(s) < len(sendingNames) {
		return sendingNames[s]
	}
	return fmt.Sprintf("sending(%d)", uint8(s))
}

// Verdict is whether a response is complete.
type Verdict uint8

// The verdicts.
const (
	// Complete means that the whole body was received.
	Complete Verdict = iota
	// Incomplete means that a part of it may be missing.
	Incomplete
	// Undecided means that it depends on how the writing of the request ends.
	Undecided
)

// BodyEnd is what is known of a response whose reader has come to the end of the body
// without an error.
type BodyEnd struct {
	// ByClose is set if nothing but the end of the connection marks that of the body:
	// neither a length nor a last chunk, nor a status or method without a body.
	ByClose bool
	Request Sending
}

// Verdict returns whether the body is complete.
//
// A reset of a connection is reported once, to whichever of the goroutines that write
// and read meets it first. If that is the writer, the reader sees an end as if the other
// side had closed the connection in order. So an end by close proves nothing unless the
// whole request was written. An end that the body itself marks proves that it is
// complete: a request may be refused before it was read.
func (e BodyEnd) Verdict() Verdict {
	switch {
	case !e.ByClose || e.Request == Sent:
		return Complete
	case e.Request == StillSending:
		return Undecided
	default:
		return Incomplete
	}
}
