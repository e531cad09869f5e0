package host

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// slowClose is a connection whose close takes until it is released.
type slowClose struct {
	net.Conn
	release chan struct{}
	written int
}

func (s *slowClose) Write(p []byte) (int, error) {
	s.written += len(p)
	return len(p), nil
}

func (s *slowClose) Close() error {
	<-s.release
	return nil
}

// TestNothingIsWrittenOnceACutHasBegun is the cause of streams that ended
// properly although their engine had fallen over: one goroutine was cutting the
// connection while another wrote the end of the body.
func TestNothingIsWrittenOnceACutHasBegun(t *testing.T) {
	for range 100 {
		raw := &slowClose{release: make(chan struct{})}
		h := &Host{conns: map[*Conn]struct{}{}, gate: make(chan struct{})}
		close(h.gate)
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
		must.Zero(t, raw.written)
		close(raw.release)
		<-done
	}
}
