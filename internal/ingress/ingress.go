// Package ingress is the HTTP server for clients on platforms with a load balancer
// in front. It uses net/http rather than fasthttp, because a handler must be
// notified at once when its client disconnects, which fasthttp does not do.
package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/pause"
	"github.com/ragwortquay/ragwortquay/internal/relay"
)

const (
	// idleTimeout is longer than any published idle timeout of clients (15 s),
	// since a request may be sent just as the connection is closed.
	idleTimeout = 60 * time.Second
	// headerTimeout bounds reading the header of a request.
	headerTimeout = 20 * time.Second
	// defaultMaxBodyBytes bounds a request body until a configuration sets the
	// limit.
	defaultMaxBodyBytes = 4 << 20
	// maxHeaderBytes bounds the header of a request; published limits are 16 KiB. With
	// 64 KiB, 870 incomplete headers took 196 MB on a machine of 136 MB.
	maxHeaderBytes = 24 << 10
	// connDrainPeriod is how long connections are kept open after the request to
	// stop. By then the balancer has seen two failed readiness probes, which are
	// a second apart.
	connDrainPeriod = 3500 * time.Millisecond
	// acceptPeriod is how long after the request to stop new requests are accepted.
	// Later ones might not finish within the grace period (8 s in published
	// settings), and by then the balancer has stopped sending connections.
	acceptPeriod = 2500 * time.Millisecond
	// stoppingRetryAfter is the RetryAfter of requests refused after acceptPeriod.
	// It is short because any other daemon can serve them.
	stoppingRetryAfter = 50 * time.Millisecond
	// exitMargin is the part of the grace period reserved for the exit of the
	// process.
	exitMargin = 400 * time.Millisecond
	// answerMargin is the time before the end of the grace period, beyond exitMargin,
	// at which requests still under way are given up, so that they get an answer.
	answerMargin = 250 * time.Millisecond
)

// Codec translates clients' requests from the platform's HTTP conventions.
type Codec interface {
	// DecodeRequest decodes a request. body is nil if it has not been read yet.
	DecodeRequest(r *http.Request, body []byte, arrived time.Time) *relay.Request
}

// Options configure a Server. All fields but the bounds are required.
type Options struct {
	Addr      string
	ReadyAddr string
	Codec     Codec
	Relay     *relay.Relay
	// IsReady reports whether the daemon may be sent new requests.
	IsReady func() bool
	// MaxBodyBytes returns the configured limit of request bodies, or 0 if it is
	// not known yet.
	MaxBodyBytes func() int
	// GracePeriod is the time from the request to stop until the process is killed.
	GracePeriod time.Duration
	// MemoryBytes is the memory of the machine; 0 if unknown.
	MemoryBytes int64
	// MaxConnections bounds the connections of callers; 0 for no bound.
	MaxConnections int
	Observer       Observer
}

// Observer counts the bodies and connections that the limits affect. The causes are
// listed in docs/OPERATIONS.md.
type Observer interface {
	RecordBodyWait(class string)
	RecordBodyRefusal(cause, class string)
	RecordClosedConnection(cause string)
}

// Server is the HTTP server for clients and for readiness probes.
type Server struct {
	opts     Options
	front    *http.Server
	ready    *http.Server
	stopping atomic.Bool
	// rejecting is set during shutdown when new requests are refused.
	rejecting atomic.Bool
	inFlight  atomic.Int64
	room      *bodyRoom
	conns     *connTable
}

// New returns a Server; Run starts it.
func New(o Options) *Server {
	s := &Server{opts: o, room: newBodyRoom(o.MemoryBytes, o.Observer), conns: newConnTable(o.MaxConnections, o.Observer.RecordClosedConnection)}
	s.front = &http.Server{
		Handler:           http.HandlerFunc(s.serve),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          nil,
		ConnState:         s.conns.connState,
		ConnContext:       s.conns.connContext,
	}
	s.ready = &http.Server{Handler: http.HandlerFunc(s.serveReady), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	return s
}

// Run serves until ctx ends, then finishes the requests in flight within the grace
// period.
func (s *Server) Run(ctx context.Context) error {
	front, err := net.Listen("tcp", s.opts.Addr)
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "free the callers' address", "listen on %s", s.opts.Addr)
	}
	ready, err := net.Listen("tcp", s.opts.ReadyAddr)
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "free the address for readiness probes", "listen on %s", s.opts.ReadyAddr)
	}
	failed := make(chan error, 2)
	go func() { failed <- s.front.Serve(boundedListener{front, s.conns}) }()
	go func() { failed <- s.ready.Serve(ready) }()
	select {
	case <-ctx.Done():
		return s.shutDown()
	case err := <-failed:
		return fault.Wrap(fault.Internal, err, "restart the process", "serve callers")
	}
}

// shutDown reports not ready, closes the connection of each further request after
// its response, refuses new requests after acceptPeriod, and returns when no
// request is in flight or the grace period is nearly over.
func (s *Server) shutDown() error {
	start := time.Now()
	s.stopping.Store(true)
	klog.InfoS("stopping", "in_flight", s.inFlight.Load(), "grace_ms", s.opts.GracePeriod.Milliseconds())
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(s.opts.GracePeriod-exitMargin))
	defer cancel()
	giveUp := time.AfterFunc(max(s.opts.GracePeriod-exitMargin-answerMargin, s.opts.GracePeriod/2), s.opts.Relay.GiveUp)
	defer giveUp.Stop()
	accepting := min(acceptPeriod, s.opts.GracePeriod/3)
	pause.For(ctx, accepting)
	s.rejecting.Store(true)
	s.room.stopIncomplete()
	pause.For(ctx, min(connDrainPeriod, s.opts.GracePeriod/2)-accepting)
	s.front.SetKeepAlivesEnabled(false)
	err := s.front.Shutdown(ctx)
	klog.InfoS("stopped", "in_flight", s.inFlight.Load(), "took_ms", time.Since(start).Milliseconds())
	if errors.Is(err, context.DeadlineExceeded) {
		return s.front.Close()
	}
	return err
}

// serveReady answers the balancer's readiness probe.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() || !s.opts.IsReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serve decodes a client's request and passes it to the relay.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	out := &writer{w: w, rc: http.NewResponseController(w), closing: s.stopping.Load()}
	req := s.opts.Codec.DecodeRequest(r, nil, arrived)
	if r.ContentLength == 0 {
		s.serveComplete(r, out, req)
	} else {
		s.serveWithBody(r, out, req)
	}
	if out.aborted {
		panic(http.ErrAbortHandler)
	}
}

// serveComplete serves a request that has been read to its end.
func (s *Server) serveComplete(r *http.Request, out *writer, req *relay.Request) {
	if !setComplete(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	if !s.refuseStopping(out) {
		s.opts.Relay.Serve(r.Context(), req, out)
	}
}

// RoomUsed returns the bytes that request bodies hold. It has to be called each second,
// since it logs when there is room again; the same holds for Connections.
func (s *Server) RoomUsed() int64 { return s.room.used(time.Now()) }

// Connections returns the number of callers' connections.
func (s *Server) Connections() int { return s.conns.count(time.Now()) }
