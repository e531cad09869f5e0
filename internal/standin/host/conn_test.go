package host

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// blockingCloseConn is a connection whose Close blocks until allowClose is closed.
type blockingCloseConn struct {
	net.Conn
	allowClose   chan struct{}
	bytesWritten int
}

func (s *blockingCloseConn) Write(p []byte) (int, error) {
	s.bytesWritten += len(p)
	return len(p), nil
}

func (s *blockingCloseConn) Close() error {
	<-s.allowClose
	return nil
}

// TestNoWriteAfterReset guards against streams that end properly although their
// engine has crashed. This happened when one goroutine was resetting the
// connection while another one wrote the end of the body.
func TestNoWriteAfterReset(t *testing.T) {
	for range 100 {
		raw := &blockingCloseConn{allowClose: make(chan struct{})}
		h := &Host{conns: map[*Conn]struct{}{}, unpausedCh: make(chan struct{})}
		close(h.unpausedCh)
		c := newConn(raw, h)
		done := make(chan struct{})
		go func() {
			c.Reset()
			close(done)
		}()
		<-c.Closed()
		c.Reset()
		_, err := c.Write([]byte("0\r\n\r\n"))
		must.ErrorIs(t, err, net.ErrClosed)
		must.Zero(t, raw.bytesWritten)
		close(raw.allowClose)
		<-done
	}
}
