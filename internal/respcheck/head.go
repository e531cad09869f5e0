// Package respcheck decides what makes an HTTP/1.1 response valid and complete, from
// what its reader knows. HTTP libraries accept responses that it rejects.
package respcheck

import "fmt"

// Bounds of the status.
const (
	minStatus          = 100
	minFinalStatus     = 200
	maxStatus          = 599
	switchingProtocols = 101
)

// Head is what is known of a response whose head has been parsed. HeadScanner checks the
// bytes of it.
type Head struct {
	Status int
	// AnnouncesBody is set if the head states a length, or chunks.
	AnnouncesBody bool
}

// Interim reports whether a final response follows.
func (h Head) Interim() bool { return h.Status >= minStatus && h.Status < minFinalStatus }

// Check returns an error unless the response is a final one, with a status from 200 to
// 599, or an interim one without a body. The body of a response with another status would
// otherwise be read as the next response, or the client would get a status that it cannot
// interpret. A connection is never upgraded, so 101 is invalid as well.
func (h Head) Check() error {
	switch {
	case h.Status < minStatus || h.Status > maxStatus || h.Status == switchingProtocols:
		return fmt.Errorf("status %03d is not that of an HTTP response", h.Status)
	case h.Interim() && h.AnnouncesBody:
		return fmt.Errorf("interim response with status %d announces a body", h.Status)
	}
	return nil
}
