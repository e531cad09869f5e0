// Package logsvc is a stand-in for the platform's log service: append and
// read-by-offset in memory, with limited retention and switchable faults. It
// offers no compare-and-set and nothing else that the platform does not have.
package logsvc

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/standin/host"
)

// Options set up the service.
type Options struct {
	// Addr is the host:port to listen on.
	Addr string
	// MaxRecords bounds the records of a stream; 0 keeps all.
	MaxRecords int
	// MaxAge bounds the age of a record; 0 keeps all.
	MaxAge time.Duration
	// AppendsPerSecond bounds the appends of all callers; the rest wait. 0 is
	// without bound.
	AppendsPerSecond int
}

// Service is the running stand-in.
type Service struct {
	opts    Options
	host    *host.Host
	current atomic.Pointer[generation]
	limiter *rate.Limiter
	faults  faultState
	stats   counters
}

// generation is everything that a new epoch makes vanish.
type generation struct {
	epoch   uint32
	streams *shard.Map[*stream]
}

type counters struct {
	appends, reads, recordsIn, recordsOut, bytesIn, bytesOut atomic.Int64
}

// Stats are the service's counters since its start.
type Stats struct {
	Appends    int64 `json:"appends"`
	Reads      int64 `json:"reads"`
	RecordsIn  int64 `json:"records_in"`
	RecordsOut int64 `json:"records_out"`
	BytesIn    int64 `json:"bytes_in"`
	BytesOut   int64 `json:"bytes_out"`
}

// New starts to listen; requests are served until Run ends.
func New(o Options) (*Service, error) {
	s := &Service{opts: o, limiter: rate.NewLimiter(rate.Inf, 1)}
	if o.AppendsPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(o.AppendsPerSecond), o.AppendsPerSecond)
	}
	s.current.Store(&generation{epoch: 1, streams: shard.NewMap[*stream]()})
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

// StartNewEpoch sets the service up anew: all records are lost.
func (s *Service) StartNewEpoch() {
	old := s.current.Load()
	s.current.Store(&generation{epoch: old.epoch + 1, streams: shard.NewMap[*stream]()})
}

// Trim drops all but the newest keep records of a stream.
func (s *Service) Trim(name string, keep int) {
	if st, ok := s.current.Load().streams.Get(name); ok {
		st.trim(keep)
	}
}

func (g *generation) stream(name string) *stream {
	return g.streams.GetOrMake(name, func() *stream { return &stream{} })
}
