package edge

import "github.com/ragwortquay/ragwortquay/internal/relay"

// stats counts requests.
type stats struct{}

func newStats() *stats { return &stats{} }

// Request takes the outcome of a request.
func (s *stats) Request(relay.Note) {}
