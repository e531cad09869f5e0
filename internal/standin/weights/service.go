// Package weights is a stand-in for the weight store. It limits the number of
// concurrent fetches; further ones wait in order of arrival.
package weights

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/standin/host"
)

// Options configure the store.
type Options struct {
	// Addr is the host:port to listen on.
	Addr string
	// MaxConcurrentFetches is the number of VMs that may fetch at the same time.
	MaxConcurrentFetches int
	// FetchTime is the duration of one fetch, without the wait for a slot.
	FetchTime time.Duration
}

// FetchRequest is the body of POST /v1/fetches. The response is sent once the
// fetch is complete.
type FetchRequest struct {
	VM      string `json:"vm"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// FetchResponse is the response to a complete fetch. ElapsedMS includes the wait
// for a slot.
type FetchResponse struct {
	ElapsedMS int64 `json:"waited_ms"`
}

// Faults are the faults that can be switched on and off.
type Faults struct {
	// Refuse responds with status 503, to fetches as well as to load queries.
	Refuse bool `json:"refuse,omitempty"`
	// Hang leaves fetches and load queries without a response.
	Hang bool `json:"hang,omitempty"`
	// FetchTimeMS replaces the fetch time if it is above zero. The replacement
	// stays when later faults omit it.
	FetchTimeMS int `json:"load_ms,omitempty"`
}

// Service is a running weight store.
type Service struct {
	host  *host.Host
	slots chan struct{} // holds one element per fetch under way

	mu        sync.Mutex
	fetchTime time.Duration
	queued    int // fetches that wait for a slot
	faults    Faults
}

// New starts the service. It serves requests until Run ends.
func New(o Options) (*Service, error) {
	s := &Service{slots: make(chan struct{}, max(o.MaxConcurrentFetches, 1)), fetchTime: o.FetchTime}
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

// SetFaults replaces the active faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.FetchTimeMS > 0 {
		s.fetchTime = time.Duration(f.FetchTimeMS) * time.Millisecond
	}
}

// Loads returns the number of active and queued fetches.
func (s *Service) Loads() platform.LoadsResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return platform.LoadsResponse{Concurrent: cap(s.slots), Active: len(s.slots), Queued: s.queued}
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/v1/loads":
		s.handleLoads(ctx)
	case path == "/v1/fetches" && ctx.IsPost():
		s.handleFetch(ctx)
	case path == "/v1/faults" && ctx.IsPost():
		var f Faults
		if host.ParseJSON(ctx, &f) {
			s.SetFaults(f)
			host.ReplyJSON(ctx, fasthttp.StatusOK, f)
		}
	case path == "/v1/faults":
		f, _ := s.currentSettings()
		host.ReplyJSON(ctx, fasthttp.StatusOK, f)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (s *Service) currentSettings() (Faults, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.fetchTime
}

// handleInjectedFault handles the request itself if an active fault applies to it, and
// reports whether it did.
func (s *Service) handleInjectedFault(ctx *fasthttp.RequestCtx) bool {
	f, _ := s.currentSettings()
	if f.Hang {
		host.HangUntilClosed(ctx)
		return true
	}
	if f.Refuse {
		ctx.Error("refused by an injected fault", fasthttp.StatusServiceUnavailable)
		return true
	}
	return false
}

func (s *Service) handleLoads(ctx *fasthttp.RequestCtx) {
	if !s.handleInjectedFault(ctx) {
		host.ReplyJSON(ctx, fasthttp.StatusOK, s.Loads())
	}
}

func (s *Service) handleFetch(ctx *fasthttp.RequestCtx) {
	var req FetchRequest
	if s.handleInjectedFault(ctx) || !host.ParseJSON(ctx, &req) {
		return
	}
	start := time.Now()
	if !s.acquireSlot(host.ConnOf(ctx)) {
		return
	}
	defer func() { <-s.slots }()
	_, fetchTime := s.currentSettings()
	if !host.Delay(ctx, fetchTime) {
		return
	}
	host.ReplyJSON(ctx, fasthttp.StatusOK, FetchResponse{ElapsedMS: time.Since(start).Milliseconds()})
}

// acquireSlot waits for a slot. It returns false if the caller closes its
// connection before. Slots are granted in order of arrival, as a channel serves
// its blocked senders in that order.
func (s *Service) acquireSlot(c *host.Conn) bool {
	s.addQueued(1)
	defer s.addQueued(-1)
	c.WatchClose()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-c.Closed():
		return false
	}
}

func (s *Service) addQueued(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued += n
}
