package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/ragwortquay/ragwortquay/internal/respcheck"
)

// conn is a connection to an engine with its read buffer.
type conn struct {
	net.Conn
	br *bufio.Reader
	// limit is the source of br.
	limit    *limitedReader
	lastUsed time.Time
	maxIdle  time.Duration
}

// limitedReader fails with errTooLong after left bytes, or maxHeadLines lines of a head,
// and as soon as a head proves invalid. Unlike io.LimitedReader it does not report the
// limit as the end of the input, which would end a body without a length.
type limitedReader struct {
	r    io.Reader
	left int64
	head respcheck.HeadScanner
	// onTransfer is that of the request that uses the connection.
	onTransfer func(sent, received int)
}

// beginHead sets the limits for the head of a response and scans the part of it that has
// been read already.
func (l *limitedReader) beginHead(read []byte) error {
	l.left = maxHeadBytes
	l.head.Reset()
	return l.head.Scan(read)
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 || !l.head.Ended() && l.head.Lines() >= maxHeadLines {
		return 0, errTooLong
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	if l.onTransfer != nil && n > 0 {
		l.onTransfer(0, n)
	}
	if invalid := l.head.Scan(p[:n]); invalid != nil {
		// Without its bytes, the parser cannot take the head for a valid one.
		return 0, invalid
	}
	return n, err
}

// beginHead prepares the connection for the head of a response.
func (c *conn) beginHead() error {
	read, err := c.br.Peek(c.br.Buffered())
	if err != nil {
		return err
	}
	return c.limit.beginHead(read)
}

// setUserTimeout sets TCP_USER_TIMEOUT on a connection that is being dialed.
func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	var setErr error
	err := rc.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, setErr)
}

// popIdle removes and returns the most recently used idle connection to addr, or
// nil.
func (c *Client) popIdle(addr string) *conn {
	var out *conn
	c.idle.Update(addr, func(list []*conn, _ bool) ([]*conn, bool) {
		if n := len(list); n > 0 {
			out, list = list[n-1], list[:n-1]
		}
		return list, len(list) > 0
	})
	return out
}

// putIdle keeps a connection for reuse and closes the oldest one above
// maxIdlePerEngine.
func (c *Client) putIdle(addr string, cn *conn) {
	cn.lastUsed = time.Now()
	var evicted *conn
	c.idle.Update(addr, func(list []*conn, _ bool) ([]*conn, bool) {
		if len(list) >= maxIdlePerEngine {
			evicted, list = list[0], list[1:]
		}
		return append(list, cn), true
	})
	if evicted != nil {
		_ = evicted.Close()
	}
}

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(addr string) {
	for cn := c.popIdle(addr); cn != nil; cn = c.popIdle(addr) {
		_ = cn.Close()
	}
}

// keepAliveTimeout returns how long a connection may stay idle, given the
// Keep-Alive header of a response.
func keepAliveTimeout(header string) time.Duration {
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
