// Package logsvc is a stand-in for the platform's log service. It keeps streams
// in memory, with append, read by offset, limited retention and injectable
// faults. Like the platform's log it has no compare-and-set, and it offers no
// other operation that the platform lacks.
package logsvc

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/standin/host"
)

// Options configure the service.
type Options struct {
	// Addr is the host:port to listen on.
	Addr string
	// MaxRecords bounds the number of records of a stream; 0 means no bound.
	MaxRecords int
	// MaxAge bounds the age of records; 0 means no bound.
	MaxAge time.Duration
	// AppendsPerSecond limits the rate of appends of all callers together; appends
	// above it are delayed. 0 means no limit.
	AppendsPerSecond int
}

// Service is a running log service.
type Service struct {
	opts              Options
	host              *host.Host
	currentGeneration atomic.Pointer[generation]
	limiter           *rate.Limiter
	faults            faultState
	stats             counters
}

// generation is the state of one epoch, which the next epoch replaces.
type generation struct {
	epoch   uint32
	streams *shard.Map[*stream]
}

// counters are the fields of Stats, updated atomically.
type counters struct {
	appends, reads, recordsIn, recordsOut, bytesIn, bytesOut atomic.Int64
}

// Stats are counters since the start of the service.
type Stats struct {
	Appends    int64 `json:"appends"`
	Reads      int64 `json:"reads"`
	RecordsIn  int64 `json:"records_in"`
	RecordsOut int64 `json:"records_out"`
	BytesIn    int64 `json:"bytes_in"`
	BytesOut   int64 `json:"bytes_out"`
}

// New starts the service. It serves requests until Run ends.
func New(o Options) (*Service, error) {
	s := &Service{opts: o, limiter: rate.NewLimiter(rate.Inf, 1)}
	if o.AppendsPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(o.AppendsPerSecond), o.AppendsPerSecond)
	}
	s.currentGeneration.Store(&generation{epoch: 1, streams: shard.NewMap[*stream]()})
	h, err := host.New(o.Addr)
	if err != nil {
		return nil, err
	}
	s.host = h
	h.Start(s.handle)
	return s, nil
}

// Addr returns the bound host:port.
func (s *Service) Addr() string { return s.host.Addr() }

// URL returns the base URL for clients.
func (s *Service) URL() string { return "http://" + s.Addr() }

// Run serves until ctx ends.
func (s *Service) Run(ctx context.Context) error { return s.host.Run(ctx) }

// Stats returns the counters.
func (s *Service) Stats() Stats {
	return Stats{
		Appends: s.stats.appends.Load(), Reads: s.stats.reads.Load(),
		RecordsIn: s.stats.recordsIn.Load(), RecordsOut: s.stats.recordsOut.Load(),
		BytesIn: s.stats.bytesIn.Load(), BytesOut: s.stats.bytesOut.Load(),
	}
}

// StartNewEpoch deletes all records and increments the epoch, as a new setup of
// the platform's service does.
func (s *Service) StartNewEpoch() {
	old := s.currentGeneration.Load()
	s.currentGeneration.Store(&generation{epoch: old.epoch + 1, streams: shard.NewMap[*stream]()})
}

// Trim deletes all but the newest keep records of a stream.
func (s *Service) Trim(name string, keep int) {
	if st, ok := s.currentGeneration.Load().streams.Get(name); ok {
		st.trim(keep)
	}
}

func (g *generation) stream(name string) *stream {
	return g.streams.GetOrMake(name, func() *stream { return &stream{} })
}
