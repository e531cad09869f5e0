// Package ingress is the callers' HTTP server on machines with a platform's
// balancer in front. It uses net/http rather than fasthttp, because a handler
// must learn at once that its caller has left, which fasthttp does not tell.
package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/pause"
	"github.com/ragwortquay/ragwortquay/internal/relay"
)

const (
	// idleTimeout is longer than any published bound for idle callers (15 s on
	// the sheets), since closing a connection may cross a request.
	idleTimeout = 60 * time.Second
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 20 * time.Second
	// defaultBodyBytes bounds a body while no configuration says otherwise.
	defaultBodyBytes = 4 << 20
	// headerBytes bounds a request's head; published bounds are 16 KiB.
	headerBytes = 64 << 10
	// lingering is how long connections stay open after the request to stop, so
	// that the balancer has noticed it by two missed questions a second apart.
	lingering = 3500 * time.Millisecond
	// takesFor is how long after the request to stop new work is taken: what comes
	// later might not end within the grace time (8 s on the sheets), and the
	// balancer has stopped sending connections.
	takesFor = 2500 * time.Millisecond
	// goElsewhere is the time to return of a request that comes after that; any
	// other daemon can take it.
	goElsewhere = 50 * time.Millisecond
	// stopMargin is left of the grace time for the end of the process.
	stopMargin = 400 * time.Millisecond
)

// Codec translates the callers' requests.
type Codec interface {
	DecodeRequest(r *http.Request, body []byte, arrived time.Time) *relay.Request
}

// Options configure a Server. All fields are required.
type Options struct {
	Addr      string
	ReadyAddr string
	Codec     Codec
	Relay     *relay.Relay
	// IsReady tells whether the daemon may get new callers.
	IsReady func() bool
	// MaxBodyBytes returns the published bound of a request's body; 0 if unknown.
	MaxBodyBytes func() int
	// GracePeriod is the time between the request to stop and the kill.
	GracePeriod time.Duration
}

// Server takes callers.
type Server struct {
	o        Options
	front    *http.Server
	ready    *http.Server
	stopping atomic.Bool
	// full is set when a daemon that stops takes no more work.
	full     atomic.Bool
	inFlight atomic.Int64
}

// New returns a server that Run starts.
func New(o Options) *Server {
	s := &Server{o: o}
	s.front = &http.Server{
		Handler:           http.HandlerFunc(s.serve),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
		ErrorLog:          nil,
	}
	s.ready = &http.Server{Handler: http.HandlerFunc(s.answerReady), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	return s
}

// Run serves until ctx ends, then finishes what is under way within the grace time.
func (s *Server) Run(ctx context.Context) error {
	front, err := net.Listen("tcp", s.o.Addr)
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "free the callers' address", "listen on %s", s.o.Addr)
	}
	ready, err := net.Listen("tcp", s.o.ReadyAddr)
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "free the address for readiness", "listen on %s", s.o.ReadyAddr)
	}
	failed := make(chan error, 2)
	go func() { failed <- s.front.Serve(front) }()
	go func() { failed <- s.ready.Serve(ready) }()
	select {
	case <-ctx.Done():
		return s.stop()
	case err := <-failed:
		return fault.Wrap(fault.Internal, err, "start the process again", "serve callers")
	}
}

// stop says that the daemon is not ready, answers what still arrives with the
// close of its connection, and ends when nothing is under way.
func (s *Server) stop() error {
	began := time.Now()
	s.stopping.Store(true)
	klog.InfoS("stopping", "in_flight", s.inFlight.Load(), "grace_ms", s.o.GracePeriod.Milliseconds())
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(s.o.GracePeriod-stopMargin))
	defer cancel()
	takes := min(takesFor, s.o.GracePeriod/3)
	pause.For(ctx, takes)
	s.full.Store(true)
	pause.For(ctx, min(lingering, s.o.GracePeriod/2)-takes)
	s.front.SetKeepAlivesEnabled(false)
	err := s.front.Shutdown(ctx)
	klog.InfoS("stopped", "in_flight", s.inFlight.Load(), "took_ms", time.Since(began).Milliseconds())
	if errors.Is(err, context.DeadlineExceeded) {
		return s.front.Close()
	}
	return err
}

func (s *Server) answerReady(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() || !s.o.IsReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	out := &writer{w: w, rc: http.NewResponseController(w), closing: s.stopping.Load()}
	limit := s.o.MaxBodyBytes()
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		out.plain(http.StatusRequestEntityTooLarge, "the body is larger than "+strconv.Itoa(limit)+" bytes; send less")
		return
	case err != nil:
		// The caller broke off within its request; there is nobody to answer.
		panic(http.ErrAbortHandler)
	}
	if s.full.Load() {
		out.Refuse(relay.Refusal{Cause: relay.NotReady, RetryAfter: goElsewhere, Reason: "this daemon stops"})
		return
	}
	s.o.Relay.Serve(r.Context(), s.o.Codec.DecodeRequest(r, body, arrived), out)
	if out.aborted {
		panic(http.ErrAbortHandler)
	}
}
