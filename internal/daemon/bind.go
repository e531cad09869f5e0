package daemon

import (
	"net"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// bind opens the daemon's sockets. The TCP and UDP servers for peers use the
// same port, so that peers need only one address.
func (d *Daemon) bind() (err error) {
	s, l := &d.sockets, d.settings.Listen
	defer func() {
		if err != nil {
			s.close()
		}
	}()
	if s.callers, err = listen("listen.callers", l.Callers); err != nil {
		return err
	}
	if s.operators, err = listen("listen.operators", l.Operators); err != nil {
		return err
	}
	if s.peers, err = listen("listen.peers", l.Peers); err != nil {
		return err
	}
	s.gossip, err = net.ListenPacket("udp", s.peers.Addr().String())
	if err != nil {
		return bindError("listen.peers", l.Peers, err)
	}
	return nil
}

func listen(field, addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, bindError(field, addr, err)
	}
	return l, nil
}

// bindError returns the error of a failure to bind addr, which the settings field
// contains.
func bindError(field, addr string, err error) error {
	e := fault.Wrap(fault.Unavailable, err, "free the port or choose another address", "bind %s", addr)
	e.Field = field
	return e
}

func (s *sockets) close() {
	for _, l := range []net.Listener{s.callers, s.operators, s.peers} {
		if l != nil {
			_ = l.Close()
		}
	}
	if s.gossip != nil {
		_ = s.gossip.Close()
	}
}
