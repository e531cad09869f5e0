// Package weights is a stand-in for the rate-limited weight store: a few VMs
// fetch at once, the others wait in order of arrival.
package weights

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/standin/host"
)

// Options set up the store.
type Options struct {
	// Addr is the host:port to listen on.
	Addr string
	// MaxConcurrentFetches is the number of VMs that may fetch at once.
	MaxConcurrentFetches int
	// FetchTime is the time that one fetch takes.
	FetchTime time.Duration
}

// FetchRequest is the body of POST /v1/fetches, which answers once the weights
// are there.
type FetchRequest struct {
	VM      string `json:"vm"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// FetchResponse ends a fetch.
type FetchResponse struct {
	ElapsedMS int64 `json:"waited_ms"`
}

// Faults are the switchable faults.
type Faults struct {
	// Refuse answers 503 to fetches.
	Refuse bool `json:"refuse,omitempty"`
	// Hang never answers.
	Hang bool `json:"hang,omitempty"`
	// FetchTimeMS replaces the time of a fetch if it is above zero.
	FetchTimeMS int `json:"load_ms,omitempty"`
}

// Service is the running stand-in.
type Service struct {
	host  *host.Host
	slots chan struct{} // one token per fetch under way

	mu     sync.Mutex
	load   time.Duration
	queued int
	faults Faults
}

// New starts to listen; requests are served until Run ends.
func New(o Options) (*Service, error) {
	s := &Service{slots: make(chan struct{}, max(o.MaxConcurrentFetches, 1)), load: o.FetchTime}
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

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.FetchTimeMS > 0 {
		s.load = time.Duration(f.FetchTimeMS) * time.Millisecond
	}
}

// Loads returns the store's load.
func (s *Service) Loads() platform.LoadsResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return platform.LoadsResponse{Concurrent: cap(s.slots), Active: len(s.slots), Queued: s.queued}
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/v1/loads":
		s.loads(ctx)
	case path == "/v1/fetches" && ctx.IsPost():
		s.fetch(ctx)
	case path == "/v1/faults" && ctx.IsPost():
		var f Faults
		if host.ParseJSON(ctx, &f) {
			s.SetFaults(f)
			host.ReplyJSON(ctx, fasthttp.StatusOK, f)
		}
	case path == "/v1/faults":
		f, _ := s.settings()
		host.ReplyJSON(ctx, fasthttp.StatusOK, f)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (s *Service) settings() (Faults, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.load
}

// faulty applies the faults and reports whether the request is done with.
func (s *Service) faulty(ctx *fasthttp.RequestCtx) bool {
	f, _ := s.settings()
	if f.Hang {
		host.HangUntilClosed(ctx)
		return true
	}
	if f.Refuse {
		ctx.Error("refused", fasthttp.StatusServiceUnavailable)
		return true
	}
	return false
}

func (s *Service) loads(ctx *fasthttp.RequestCtx) {
	if !s.faulty(ctx) {
		host.ReplyJSON(ctx, fasthttp.StatusOK, s.Loads())
	}
}

func (s *Service) fetch(ctx *fasthttp.RequestCtx) {
	var req FetchRequest
	if s.faulty(ctx) || !host.ParseJSON(ctx, &req) {
		return
	}
	start := time.Now()
	if !s.acquire(host.ConnOf(ctx)) {
		return
	}
	defer func() { <-s.slots }()
	_, load := s.settings()
	if !host.Delay(ctx, load) {
		return
	}
	host.ReplyJSON(ctx, fasthttp.StatusOK, FetchResponse{ElapsedMS: time.Since(start).Milliseconds()})
}

// acquire waits for a slot; it returns false if the caller went away. Waiting
// senders of a channel are served in order of arrival.
func (s *Service) acquire(c *host.Conn) bool {
	s.count(1)
	defer s.count(-1)
	c.WatchClose()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-c.Closed():
		return false
	}
}

func (s *Service) count(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued += n
}
