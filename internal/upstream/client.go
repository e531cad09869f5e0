// Package upstream exchanges requests with engines over HTTP/1.1. One request
// is sent once on one connection; nothing is repeated here. A connection is
// kept only after an exchange whose end is beyond doubt.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/shard"
)

const (
	// dialTimeout bounds connecting: the paths take milliseconds, and a lost
	// opening packet is sent again only after a second.
	dialTimeout = 400 * time.Millisecond
	// silenceTimeout is TCP_USER_TIMEOUT: how long sent bytes may stay
	// unacknowledged, which tells a silent path from a slow engine.
	silenceTimeout = 2 * time.Second
	// idleTimeout is how long a connection is kept unused where the engine does
	// not say for how long it keeps it.
	idleTimeout = 4 * time.Second
	// idleMargin is taken off the time that the engine names.
	idleMargin = 500 * time.Millisecond
	// keptPerEngine bounds the unused connections to one engine.
	keptPerEngine = 16
	// readBufferBytes holds an event or a small answer.
	readBufferBytes = 4 << 10
	// asideBytes is the size from which a body is sent beside the reading of
	// the answer, which may come before the engine has read the body.
	asideBytes = 32 << 10
	// surplusAnswers bounds the answers to other requests that are passed over.
	surplusAnswers = 2
)

// Request is one exchange with an engine.
type Request struct {
	Addr   string
	Method string
	// Target is the path with its query, as it is sent.
	Target string
	Header http.Header
	Body   []byte
	// ID must come back in the answer where IDHeader is set.
	ID       string
	IDHeader string
	// NewConn asks for a new connection: a kept one that the engine has just
	// closed can't be told from one whose answer was lost.
	NewConn bool
}

// Response is an engine's answer. The caller must Close it.
type Response struct {
	Status int
	Header http.Header

	conn   *conn
	body   io.ReadCloser
	stop   func() bool
	client *Client
	addr   string
	done   bool
	keep   bool
	sent   chan error
}

type conn struct {
	net.Conn
	br       *bufio.Reader
	lastUsed time.Time
	idle     time.Duration
}

// Client sends requests to engines. It is safe for concurrent use; the
// connections of each engine are kept under the lock of their shard.
type Client struct {
	kept *shard.Map[[]*conn]
	// OnDial is called for each new connection; it may be nil.
	OnDial func()
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{kept: shard.NewMap[[]*conn]()} }

// Do sends the request and returns the head of the answer. An error has
// outcome NotRun if the engine can't have received the whole request. When ctx
// ends the connection is closed.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	cn, err := c.take(ctx, r)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	resp, err := c.exchange(cn, r)
	if err != nil {
		stop()
		_ = cn.Close()
		return nil, err
	}
	resp.stop = stop
	return resp, nil
}

func (c *Client) take(ctx context.Context, r *Request) (*conn, error) {
	for !r.NewConn {
		cn := c.pop(r.Addr)
		if cn == nil {
			break
		}
		if time.Since(cn.lastUsed) < cn.idle && cn.br.Buffered() == 0 && quiet(cn.Conn) {
			return cn, nil
		}
		_ = cn.Close()
	}
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: limitSilence}
	nc, err := d.DialContext(ctx, "tcp", r.Addr)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, "use another engine", "connect to %s", r.Addr).WithOutcome(fault.NotRun)
	}
	if c.OnDial != nil {
		c.OnDial()
	}
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, readBufferBytes), idle: idleTimeout}, nil
}

func limitSilence(_, _ string, rc syscall.RawConn) error {
	var setErr error
	err := rc.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	})
	return errors.Join(err, setErr)
}

// quiet reports whether an unused connection is open and has no bytes to read:
// such bytes belong to no request.
func quiet(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var open bool
	var one [1]byte
	err = rc.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && open
}

func (c *Client) pop(addr string) *conn {
	var out *conn
	c.kept.Update(addr, func(list []*conn, _ bool) ([]*conn, bool) {
		if n := len(list); n > 0 {
			out, list = list[n-1], list[:n-1]
		}
		return list, len(list) > 0
	})
	return out
}

func (c *Client) push(addr string, cn *conn) {
	cn.lastUsed = time.Now()
	var surplus *conn
	c.kept.Update(addr, func(list []*conn, _ bool) ([]*conn, bool) {
		if len(list) >= keptPerEngine {
			surplus, list = list[0], list[1:]
		}
		return append(list, cn), true
	})
	if surplus != nil {
		_ = surplus.Close()
	}
}

// CloseIdle closes the unused connections to an address.
func (c *Client) CloseIdle(addr string) {
	for cn := c.pop(addr); cn != nil; cn = c.pop(addr) {
		_ = cn.Close()
	}
}

func (c *Client) exchange(cn *conn, r *Request) (*Response, error) {
	sent, err := send(cn, r)
	if err != nil {
		return nil, err
	}
	req := &http.Request{Method: r.Method}
	for range surplusAnswers + 1 {
		h, err := http.ReadResponse(cn.br, req)
		if err != nil {
			return nil, fault.Wrap(fault.Interrupted, err, "check the engine", "read the answer of %s", r.Addr)
		}
		if h.StatusCode < http.StatusOK {
			continue
		}
		if r.IDHeader != "" && h.Header.Get(r.IDHeader) != r.ID {
			// An answer to another request; ours may follow it.
			if _, err := io.Copy(io.Discard, h.Body); err != nil || h.Close {
				break
			}
			continue
		}
		return &Response{
			Status: h.StatusCode, Header: h.Header,
			conn: cn, body: h.Body, client: c, addr: r.Addr,
			keep: !h.Close && !r.NewConn, sent: sent,
		}, nil
	}
	return nil, fault.New(fault.Interrupted, "check the engine: its answers are mixed up", "no answer of %s to request %s", r.Addr, r.ID)
}

// send writes the request. A large body is written beside the reading of the
// answer; the channel tells how that ended.
func send(cn *conn, r *Request) (chan error, error) {
	head := make([]byte, 0, 1024)
	head = append(head, r.Method...)
	head = append(head, ' ')
	head = append(head, r.Target...)
	head = append(head, " HTTP/1.1\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			head = append(head, name...)
			head = append(head, ": "...)
			head = append(head, v...)
			head = append(head, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(r.Body)), 10)
		head = append(head, "\r\n"...)
	}
	head = append(head, "\r\n"...)
	if len(r.Body) < asideBytes {
		return nil, write(cn, append(head, r.Body...), r.Addr)
	}
	if err := write(cn, head, r.Addr); err != nil {
		return nil, err
	}
	sent := make(chan error, 1)
	go func() { sent <- write(cn, r.Body, r.Addr) }()
	return sent, nil
}

func write(cn *conn, b []byte, addr string) error {
	n, err := cn.Write(b)
	if err == nil {
		return nil
	}
	e := fault.Wrap(fault.Interrupted, err, "use another engine", "send to %s", addr)
	if n == 0 {
		return e.WithOutcome(fault.NotRun)
	}
	return e
}

// Read reads the body. io.EOF comes only at its proper end.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		r.done = true
	}
	return n, err
}

// SetReadDeadline bounds the next reads.
func (r *Response) SetReadDeadline(t time.Time) error { return r.conn.SetReadDeadline(t) }

// Close ends the exchange. The connection is kept if the answer was read to its
// end and the whole request was sent before it.
func (r *Response) Close() {
	alive := r.stop()
	if !alive || !r.done || !r.keep || !r.wholeSent() || r.conn.SetDeadline(time.Time{}) != nil {
		_ = r.conn.Close()
		return
	}
	r.conn.idle = keepAlive(r.Header.Get("Keep-Alive"))
	r.client.push(r.addr, r.conn)
}

func (r *Response) wholeSent() bool {
	if r.sent == nil {
		return true
	}
	select {
	case err := <-r.sent:
		return err == nil
	default:
		return false
	}
}

// keepAlive returns how long a connection may stay unused, from an answer's header.
func keepAlive(header string) time.Duration {
	const name = "timeout="
	for i := 0; i+len(name) <= len(header); i++ {
		if header[i:i+len(name)] != name {
			continue
		}
		n := 0
		for _, ch := range header[i+len(name):] {
			if ch < '0' || ch > '9' {
				break
			}
			n = n*10 + int(ch-'0')
		}
		return max(0, min(idleTimeout, time.Duration(n)*time.Second-idleMargin))
	}
	return idleTimeout
}
