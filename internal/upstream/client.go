// Package upstream exchanges requests with engines over HTTP/1.1. Each request is
// sent once on one connection; the package does not retry. A connection is reused
// only if the previous exchange on it ended cleanly.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/respcheck"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/sockpeek"
)

const (
	// dialTimeout bounds connecting. Connections take milliseconds; a lost SYN is
	// retransmitted only after 1 s.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is the TCP_USER_TIMEOUT: how long sent data may stay
	// unacknowledged. It distinguishes a dead network path from a slow engine.
	userTimeout = 2 * time.Second
	// idleTimeout is how long a connection is kept idle if the engine sends no
	// Keep-Alive header.
	idleTimeout = 4 * time.Second
	// idleMargin is subtracted from the timeout of the engine's Keep-Alive header.
	idleMargin = 500 * time.Millisecond
	// maxIdlePerEngine bounds the idle connections to one engine.
	maxIdlePerEngine = 16
	// readBufferBytes is large enough for an event or a small response.
	readBufferBytes = 4 << 10
	// concurrentSendBytes is the body size from which a body is written
	// concurrently with reading the response, since the engine may respond before
	// it has read the body.
	concurrentSendBytes = 32 << 10
	// maxMismatchedResponses bounds the responses to other requests that are
	// skipped.
	maxMismatchedResponses = 2
	// maxHeadBytes and maxHeadLines bound the head of a response. A parsed line takes
	// over a hundred bytes, however short it is.
	maxHeadBytes = 64 << 10
	maxHeadLines = 256
	// maxSkippedBytes bounds the body of a response that is skipped.
	maxSkippedBytes = 1 << 20
)

// errTooLong is returned for a response that exceeds maxHeadBytes, maxHeadLines or
// maxSkippedBytes.
var errTooLong = errors.New("response has a head over 64 KiB or 256 lines, or is for another request and over 1 MiB")

// Request is one request to an engine.
type Request struct {
	Addr   string
	Method string
	// Target is the request target: the path with its query.
	Target string
	Header http.Header
	Body   []byte
	// ID is the request id. If IDHeader is set, the response must carry ID in it.
	ID       string
	IDHeader string
	// OnTransfer, if not nil, is called with the bytes of each write to and each read
	// from the connection. It may be called by several goroutines.
	OnTransfer func(sent, received int)
	// NewConn asks for a new connection. On a reused connection, an engine that
	// has just closed it cannot be told from one whose response was lost.
	NewConn bool
}

// Client sends requests to engines. It is safe for concurrent use: the idle
// connections are sharded by engine address, each shard under its own lock.
type Client struct {
	idle *shard.Map[[]*conn]
	// OnDial, if set, is called for each new connection.
	OnDial func()
}

// NewClient returns a Client without connections.
func NewClient() *Client { return &Client{idle: shard.NewMap[[]*conn]()} }

// Do sends the request and returns the response after reading its header. An error
// has outcome NotRun only if the engine cannot have received the whole request. The
// connection is closed when ctx ends.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	cn, err := c.acquireConn(ctx, r)
	if err != nil {
		return nil, err
	}
	cn.limit.onTransfer = r.OnTransfer
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	resp, err := c.roundTrip(cn, r)
	if err != nil {
		stop()
		_ = cn.Close()
		return nil, err
	}
	resp.cancelWatch = stop
	return resp, nil
}

// acquireConn returns an idle connection that is still usable, or dials a new one.
func (c *Client) acquireConn(ctx context.Context, r *Request) (*conn, error) {
	for !r.NewConn {
		cn := c.popIdle(r.Addr)
		if cn == nil {
			break
		}
		// Unread bytes belong to no request, so the connection cannot be reused.
		if time.Since(cn.lastUsed) < cn.maxIdle && cn.br.Buffered() == 0 && sockpeek.Peek(cn.Conn) == sockpeek.Quiet {
			return cn, nil
		}
		_ = cn.Close()
	}
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	nc, err := d.DialContext(ctx, "tcp", r.Addr)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "use another engine", "connect to engine %s", r.Addr).WithOutcome(fault.NotRun)
	}
	if c.OnDial != nil {
		c.OnDial()
	}
	limit := &limitedReader{r: nc}
	return &conn{Conn: nc, br: bufio.NewReaderSize(limit, readBufferBytes), limit: limit, maxIdle: idleTimeout}, nil
}

// Refuses reports whether no process listens at addr: the host refuses a connection.
// It reports false if the host accepts one, or does not answer before ctx ends.
func (c *Client) Refuses(ctx context.Context, addr string) bool {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = nc.Close()
	return false
}

// roundTrip writes the request and reads the header of the response that carries
// the request's id.
func (c *Client) roundTrip(cn *conn, r *Request) (*Response, error) {
	upload, err := writeRequest(cn, r)
	if err != nil {
		return nil, err
	}
	req := &http.Request{Method: r.Method}
	for range maxMismatchedResponses + 1 {
		resp, head, err := readHead(cn, req)
		if err != nil {
			return nil, fault.Wrap(fault.Interrupted, err, "check the engine", "read the response of %s", r.Addr)
		}
		if head.Interim() {
			continue
		}
		if r.IDHeader != "" && resp.Header.Get(r.IDHeader) != r.ID {
			// A response to another request; the expected one may follow.
			cn.limit.left = maxSkippedBytes
			if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
				break
			}
			continue
		}
		cn.limit.left = math.MaxInt64
		return &Response{
			Status: resp.StatusCode, Header: resp.Header,
			conn: cn, body: resp.Body, endsByClose: endsByClose(resp), upload: upload, client: c, addr: r.Addr,
			reusable: !resp.Close && !r.NewConn,
		}, nil
	}
	return nil, fault.New(fault.Interrupted, "check the engine: it sends responses to other requests", "no response of %s carries the id of request %s", r.Addr, r.ID)
}

// readHead reads the head of a response and checks it.
func readHead(cn *conn, req *http.Request) (*http.Response, respcheck.Head, error) {
	if err := cn.beginHead(); err != nil {
		return nil, respcheck.Head{}, err
	}
	resp, err := http.ReadResponse(cn.br, req)
	if err != nil {
		return nil, respcheck.Head{}, err
	}
	head := respcheck.Head{
		Status:        resp.StatusCode,
		AnnouncesBody: resp.Header.Get("Content-Length") != "" || len(resp.TransferEncoding) > 0,
	}
	return resp, head, head.Check()
}
