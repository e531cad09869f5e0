package edge

import (
	"sync/atomic"

	"github.com/ragwortquay/ragwortquay/internal/relay"
)

// stats counts requests.
type stats struct{ requests atomic.Int64 }

func newStats() *stats { return &stats{} }

// Request takes the outcome of a request.
func (s *stats) Request(relay.Note) { s.requests.Add(1) }

// serving reports whether a request was answered here.
func (s *stats) serving() bool { return s.requests.Load() > 0 }
