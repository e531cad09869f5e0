package peer

import (
	"context"
	"net"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// ClientOptions configure a Client. ID and Keys are required; zero values
// elsewhere take defaults.
type ClientOptions struct {
	// ID is this daemon's identity.
	ID   string
	Keys Keys
	// LocalIP is the address that connections come from, on a VM that has
	// several; nil leaves the choice to the system.
	LocalIP net.IP
	// DialTimeout bounds connecting, HandshakeTimeout the handshake,
	// WriteTimeout one write, CallTimeout a call whose context has no deadline.
	DialTimeout      time.Duration
	HandshakeTimeout time.Duration
	WriteTimeout     time.Duration
	CallTimeout      time.Duration
	// IdleTimeout closes a connection without calls.
	IdleTimeout time.Duration
	// PingAfter is how long answers may be awaited without a byte from the peer
	// before it is pinged, Probe how long the ping may take.
	PingAfter   time.Duration
	PingTimeout time.Duration
}

// Client calls other daemons. It keeps one connection per address, makes it
// when it is first needed, and gives it up when it falls silent.
type Client struct {
	opts  ClientOptions
	links *shard.Map[*link]
	meter meter
}

// NewClient returns a client without connections.
func NewClient(o ClientOptions) *Client {
	o.DialTimeout = orDefault(o.DialTimeout, defaultDialTimeout)
	o.HandshakeTimeout = orDefault(o.HandshakeTimeout, defaultHandshakeTimeout)
	o.WriteTimeout = orDefault(o.WriteTimeout, defaultWriteTimeout)
	o.CallTimeout = orDefault(o.CallTimeout, defaultCallTimeout)
	o.IdleTimeout = orDefault(o.IdleTimeout, defaultClientIdle)
	o.PingAfter = orDefault(o.PingAfter, defaultSilence)
	o.PingTimeout = orDefault(o.PingTimeout, defaultProbe)
	return &Client{opts: o, links: shard.NewMap[*link]()}
}

// Counters returns the bytes and connections so far.
func (c *Client) Counters() Counters { return c.meter.snapshot() }

// Call sends req to the daemon at addr and decodes its answer into resp, which
// may be nil. It sends req at most once. An error of the call itself has
// outcome NotRun if req was not sent, else Unknown; an error that the peer
// answered has the outcome that the peer gave it.
func (c *Client) Call(ctx context.Context, addr string, req, resp wire.Message) error {
	body, err := wire.Marshal(req)
	if err != nil {
		return fault.As(err).WithOutcome(fault.NotRun)
	}
	if len(body) > wire.MaxFrameBytes {
		return fault.Refuse(fault.TooLarge, "send less in one message", "message of %d bytes exceeds %d", len(body), wire.MaxFrameBytes)
	}
	ctx, cancel := c.bound(ctx)
	defer cancel()
	answer, err := c.exchange(ctx, addr, wire.Frame{Type: req.WireType(), Body: body})
	if err != nil {
		return err
	}
	return decodeAnswer(answer, resp)
}

func (c *Client) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, c.opts.CallTimeout)
}

// exchange sends the frame on the connection to addr. A connection that ended
// before it took the frame is replaced once.
func (c *Client) exchange(ctx context.Context, addr string, f wire.Frame) (wire.Frame, error) {
	for attempt := 0; ; attempt++ {
		conn, err := c.link(addr).get(ctx)
		if err != nil {
			return wire.Frame{}, err
		}
		answer, err := conn.call(ctx, f)
		if err == nil {
			return answer, nil
		}
		again := attempt == 0 && ctx.Err() == nil && fault.As(err).Outcome == fault.NotRun
		if !again {
			return wire.Frame{}, err
		}
	}
}

func decodeAnswer(f wire.Frame, resp wire.Message) error {
	if f.Flags&wire.FlagError != 0 {
		return decodeError(f.Body)
	}
	if resp == nil {
		return nil
	}
	if f.Type != resp.WireType() {
		return fault.New(fault.BadInput, "run the same release on all daemons", "answer of type %d, want %d", f.Type, resp.WireType())
	}
	return wire.Unmarshal(f.Body, resp)
}

func (c *Client) link(addr string) *link {
	return c.links.GetOrMake(addr, func() *link { return &link{client: c, addr: addr} })
}

// Disconnect closes the connection to addr, for a peer that is gone for good.
func (c *Client) Disconnect(addr string) {
	l, ok := c.links.Get(addr)
	if !ok {
		return
	}
	c.links.Delete(addr)
	l.close()
}

// Close gives up all connections; calls in flight fail.
func (c *Client) Close() {
	var addrs []string
	c.links.Range(func(addr string, _ *link) bool {
		addrs = append(addrs, addr)
		return true
	})
	for _, addr := range addrs {
		c.Disconnect(addr)
	}
}

// connect dials addr and proves both ends to each other.
func (c *Client) connect(addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: c.opts.DialTimeout, LocalAddr: localAddr(c.opts.LocalIP)}
	raw, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, notRun(err, "check that the daemon runs and its port is open", "connect to %s", addr)
	}
	conn := countedConn{Conn: raw, meter: &c.meter}
	_ = conn.SetDeadline(time.Now().Add(c.opts.HandshakeTimeout))
	if _, err := dialHandshake(conn, c.opts.ID, c.opts.Keys); err != nil {
		_ = conn.Close()
		return nil, handshakeFailed(err, addr)
	}
	_ = conn.SetDeadline(time.Time{})
	c.meter.conns.Add(1)
	return conn, nil
}

// localAddr returns the address to connect from; nil leaves it to the system.
func localAddr(ip net.IP) net.Addr {
	if ip == nil || ip.IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: ip}
}

func handshakeFailed(err error, addr string) error {
	if fault.Is(err, fault.Unauthorized) {
		return fault.As(err).WithOutcome(fault.NotRun)
	}
	return notRun(err, "check that a daemon of the same release listens there", "handshake with %s", addr)
}

func notRun(err error, remedy, format string, args ...any) error {
	return fault.Wrap(fault.Unavailable, err, remedy, format, args...).WithOutcome(fault.NotRun)
}
