package procs

import (
	"net"
	"net/http"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

const (
	// probeTimeout bounds one probe; probeInterval is the time between two.
	probeTimeout  = 2 * time.Second
	probeInterval = 20 * time.Millisecond
)

var probes = &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// pause waits between two probes.
func pause() {
	t := time.NewTimer(probeInterval)
	defer t.Stop()
	<-t.C
}

// freePort returns an address of ip that is free for TCP and UDP.
func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", fault.Wrap(fault.Internal, err, "check the loopback interface", "bind %s", ip)
	}
	defer func() { _ = l.Close() }()
	u, err := net.ListenPacket("udp", l.Addr().String())
	if err != nil {
		return "", fault.Wrap(fault.Internal, err, "try again", "bind %s", l.Addr())
	}
	_ = u.Close()
	return l.Addr().String(), nil
}
