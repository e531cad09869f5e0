// Package rawhttp answers HTTP requests with bytes that are sent as they are, valid or
// not, and then ends the connection in a given way.
package rawhttp

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// IDPlaceholder is replaced by the id of the request in the text of an answer.
	IDPlaceholder = "{id}"
	// EndDelay is the time between the bytes of an answer and the end of its
	// connection, in which the client reads them. A reset discards the rest.
	EndDelay = 50 * time.Millisecond
	// repeatedBlockBytes is the size of one write of repeated text.
	repeatedBlockBytes = 4 << 10
)

// End is what happens to the connection after an answer.
type End uint8

// The ends. A connection that is closed with unread bytes of the request is reset by
// the operating system, so Close is orderly only after the whole request was read.
const (
	// Close closes the connection.
	Close End = iota
	// Reset resets it after EndDelay.
	Reset
	// CloseSending ends the sending direction and reads until the client closes.
	CloseSending
	// StopReading ends the sending direction and reads nothing until the server closes.
	StopReading
	// Keep leaves the connection open for the next request.
	Keep
)

// Answer is what is sent in answer to a request.
type Answer struct {
	// Text is sent as it is. The zero value of Answer sends nothing and closes.
	Text string
	// Repeated, if not empty, is sent after Text until the client closes the connection.
	Repeated string
	// WholeRequest is set if the answer is sent after the whole request was read, instead
	// of after its head.
	WholeRequest bool
	End          End
}

// ForRequest returns the answer with the id of a request in place of IDPlaceholder.
func (a Answer) ForRequest(id string) Answer {
	a.Text = strings.ReplaceAll(a.Text, IDPlaceholder, id)
	return a
}

// Send sends the answer and ends the connection, unless End is Keep. StopReading lasts
// until stop is closed.
func (a Answer) Send(conn net.Conn, stop <-chan struct{}) {
	_, err := io.WriteString(conn, a.Text)
	if a.Repeated != "" {
		block := bytes.Repeat([]byte(a.Repeated), repeatedBlockBytes/len(a.Repeated))
		for err == nil {
			_, err = conn.Write(block)
		}
	}
	tcp, isTCP := conn.(*net.TCPConn)
	switch {
	case a.End == Keep && err == nil:
		return
	case a.End == Reset && isTCP:
		time.Sleep(EndDelay)
		_ = tcp.SetLinger(0)
	case a.End == CloseSending && isTCP:
		_ = tcp.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	case a.End == StopReading && isTCP:
		_ = tcp.CloseWrite()
		<-stop
	}
	_ = conn.Close()
}

// Server answers each request on a loopback address by a script.
type Server struct {
	listener net.Listener
	script   func(*http.Request) Answer
	accepted atomic.Int64
	stop     chan struct{}
}

// Start starts a server. It calls script with each request; the body is not read yet.
func Start(script func(*http.Request) Answer) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, script: script, stop: make(chan struct{})}
	go s.accept()
	return s, nil
}

// Addr returns the server's address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Accepted returns the number of connections accepted so far.
func (s *Server) Accepted() int64 { return s.accepted.Load() }

// Close closes the listener and ends the answers whose End is StopReading. It must be called
// once.
func (s *Server) Close() {
	close(s.stop)
	_ = s.listener.Close()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.accepted.Add(1)
		go s.serve(conn)
	}
}

// serve answers the requests on a connection until an answer or the client ends it.
func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		a := s.script(r)
		if a.WholeRequest {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
		a.Send(conn, s.stop)
		if a.End != Keep {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}
