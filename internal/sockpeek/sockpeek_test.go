package sockpeek

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

func TestPeek(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			accepted <- c
		}
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	peer := <-accepted
	eventually := func(want State) {
		t.Helper()
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return Peek(c) == want }), wait.Timeout(20*time.Second), wait.Gap(time.Millisecond)))
	}
	eventually(Quiet)
	_, err = peer.Write([]byte("x"))
	must.NoError(t, err)
	eventually(Readable)
	eventually(Readable) // the byte was not consumed
	_, err = c.Read(make([]byte, 1))
	must.NoError(t, err)
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		read <- err
	}()
	eventually(Quiet) // also while another goroutine reads
	must.NoError(t, peer.Close())
	eventually(Closed)
	must.Error(t, <-read)
	must.NoError(t, c.Close())
	must.Eq(t, Closed, Peek(c))
	pipe, _ := net.Pipe()
	must.Eq(t, Unknown, Peek(pipe))
}
