// Package respcheck decides what makes an HTTP/1.1 response valid and complete, from
// what its reader knows. HTTP libraries accept responses that it rejects.
package respcheck

import (
	"fmt"
	"iter"
)

// Bounds of the status.
const (
	minStatus          = 100
	minFinalStatus     = 200
	maxStatus          = 599
	switchingProtocols = 101
)

// Head is what is known of a response when its head has been read.
type Head struct {
	Status int
	// AnnouncesBody is set if the head states a length, or chunks.
	AnnouncesBody bool
	// FieldNames are the names of the fields as received. Nil stands for none.
	FieldNames iter.Seq[string]
}

// Interim reports whether a final response follows.
func (h Head) Interim() bool { return h.Status >= minStatus && h.Status < minFinalStatus }

// Check returns an error unless the response is a final one, with a status from 200 to
// 599, or an interim one without a body, and the names of its fields are valid. The body
// of a response with another status would otherwise be read as the next response, or the
// client would get a status that it cannot interpret. A connection is never upgraded, so
// 101 is invalid as well.
func (h Head) Check() error {
	switch {
	case h.Status < minStatus || h.Status > maxStatus || h.Status == switchingProtocols:
		return fmt.Errorf("status %03d is not that of an HTTP response", h.Status)
	case h.Interim() && h.AnnouncesBody:
		return fmt.Errorf("interim response with status %d announces a body", h.Status)
	case h.FieldNames == nil:
		return nil
	}
	for name := range h.FieldNames {
		if err := FieldName(name); err != nil {
			return err
		}
	}
	return nil
}
