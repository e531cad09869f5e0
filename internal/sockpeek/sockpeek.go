// Package sockpeek tells the state of a kept connection without consuming its bytes.
package sockpeek

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what a peek at a connection's receive buffer shows.
type State uint8

// The states.
const (
	// Unknown means that the connection offers no peek.
	Unknown State = iota
	// Quiet means that the connection is open and has no bytes to read.
	Quiet
	// Readable means that there are bytes to read.
	Readable
	// Closed means that the peer has closed or reset the connection.
	Closed
)

// Peek returns the state of a connection. It does not wait.
func Peek(nc net.Conn) State {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return Unknown
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return Unknown
	}
	state := Closed
	var buf [1]byte
	// Control, unlike Read, does not wait for a goroutine that reads.
	err = rc.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN):
			state = Quiet
		case err == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
