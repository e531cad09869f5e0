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
	// LocalIP is the source address of outgoing connections, for VMs with
	// several addresses; if nil the operating system chooses.
	LocalIP net.IP
	// DialTimeout limits connection establishment, HandshakeTimeout the
	// handshake, WriteTimeout a single write, and CallTimeout a call whose
	// context has no deadline.
	DialTimeout      time.Duration
	HandshakeTimeout time.Duration
	WriteTimeout     time.Duration
	CallTimeout      time.Duration
	// IdleTimeout is the time without calls or received frames after which a
	// connection is closed.
	IdleTimeout time.Duration
	// PingAfter is the time without received frames, while calls are pending,
	// after which the client pings the peer. PingTimeout is the time within
	// which the peer has to send a frame after the ping.
	PingAfter   time.Duration
	PingTimeout time.Duration
}

// Client calls other daemons. It keeps one connection per address, which it
// opens on the first call and closes when the peer stops responding.
type Client struct {
	opts      ClientOptions
	addrConns *shard.Map[*addrConn]
	counters  connCounters
}

// NewClient returns a Client that has no open connections.
func NewClient(o ClientOptions) *Client {
	o.DialTimeout = orDefault(o.DialTimeout, defaultDialTimeout)
	o.HandshakeTimeout = orDefault(o.HandshakeTimeout, defaultHandshakeTimeout)
	o.WriteTimeout = orDefault(o.WriteTimeout, defaultWriteTimeout)
	o.CallTimeout = orDefault(o.CallTimeout, defaultCallTimeout)
	o.IdleTimeout = orDefault(o.IdleTimeout, defaultClientIdleTimeout)
	o.PingAfter = orDefault(o.PingAfter, defaultPingAfter)
	o.PingTimeout = orDefault(o.PingTimeout, defaultPingTimeout)
	return &Client{opts: o, addrConns: shard.NewMap[*addrConn]()}
}

// Counters returns the client's traffic and connection counts.
func (c *Client) Counters() Counters { return c.counters.snapshot() }

// Call sends req to the daemon at addr and decodes the response into resp, which
// may be nil. It sends req at most once. A transport error has outcome NotRun if
// req was not sent and Unknown otherwise; an error response keeps the outcome
// that the peer set.
func (c *Client) Call(ctx context.Context, addr string, req, resp wire.Message) error {
	body, err := wire.Marshal(req)
	if err != nil {
		return fault.As(err).WithOutcome(fault.NotRun)
	}
	if len(body) > wire.MaxFrameBytes {
		return fault.Refuse(fault.TooLarge, "send less in one message", "message of %d bytes exceeds the limit of %d", len(body), wire.MaxFrameBytes)
	}
	ctx, cancel := c.withDefaultTimeout(ctx)
	defer cancel()
	f, err := c.callWithRedial(ctx, addr, wire.Frame{Type: req.WireType(), Body: body})
	if err != nil {
		return err
	}
	return decodeResponse(f, resp)
}

func (c *Client) withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, c.opts.CallTimeout)
}

// callWithRedial sends f to addr and returns the response. If the connection
// ended before f was written, it repeats the call once on a new connection.
func (c *Client) callWithRedial(ctx context.Context, addr string, f wire.Frame) (wire.Frame, error) {
	for attempt := 0; ; attempt++ {
		conn, err := c.addrConn(addr).get(ctx)
		if err != nil {
			return wire.Frame{}, err
		}
		response, err := conn.call(ctx, f)
		if err == nil {
			return response, nil
		}
		retry := attempt == 0 && ctx.Err() == nil && fault.As(err).Outcome == fault.NotRun
		if !retry {
			return wire.Frame{}, err
		}
	}
}

func decodeResponse(f wire.Frame, resp wire.Message) error {
	if f.Flags&wire.FlagError != 0 {
		return decodeError(f.Body)
	}
	if resp == nil {
		return nil
	}
	if f.Type != resp.WireType() {
		return fault.New(fault.BadInput, "run the same release on all daemons", "response has message type %d, want %d", f.Type, resp.WireType())
	}
	return wire.Unmarshal(f.Body, resp)
}

func (c *Client) addrConn(addr string) *addrConn {
	return c.addrConns.GetOrMake(addr, func() *addrConn { return &addrConn{client: c, addr: addr} })
}

// Disconnect closes the connection to addr and discards its state. It is meant
// for peers that were removed.
func (c *Client) Disconnect(addr string) {
	a, ok := c.addrConns.Get(addr)
	if !ok {
		return
	}
	c.addrConns.Delete(addr)
	a.close()
}

// Close closes all connections; calls in flight fail.
func (c *Client) Close() {
	var addrs []string
	c.addrConns.Range(func(addr string, _ *addrConn) bool {
		addrs = append(addrs, addr)
		return true
	})
	for _, addr := range addrs {
		c.Disconnect(addr)
	}
}

// connect dials addr and performs the handshake.
func (c *Client) connect(addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: c.opts.DialTimeout, LocalAddr: localAddr(c.opts.LocalIP)}
	raw, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, unavailableNotRun(err, "check that the daemon runs and its port is open", "connect to %s", addr)
	}
	conn := countedConn{Conn: raw, counters: &c.counters}
	_ = conn.SetDeadline(time.Now().Add(c.opts.HandshakeTimeout))
	if _, err := clientHandshake(conn, c.opts.ID, c.opts.Keys); err != nil {
		_ = conn.Close()
		return nil, handshakeError(err, addr)
	}
	_ = conn.SetDeadline(time.Time{})
	c.counters.conns.Add(1)
	return conn, nil
}

// localAddr returns the source address for a dialer, or nil if the operating
// system is to choose it.
func localAddr(ip net.IP) net.Addr {
	if ip == nil || ip.IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: ip}
}

func handshakeError(err error, addr string) error {
	if fault.Is(err, fault.Unauthorized) {
		return fault.As(err).WithOutcome(fault.NotRun)
	}
	return unavailableNotRun(err, "check that a daemon of the same release listens there", "handshake with %s", addr)
}

func unavailableNotRun(err error, remedy, format string, args ...any) error {
	return fault.Wrap(fault.Unavailable, err, remedy, format, args...).WithOutcome(fault.NotRun)
}
