package procs

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

const (
	// probeTimeout bounds one probe; probeInterval is the time between two.
	probeTimeout  = 2 * time.Second
	probeInterval = 20 * time.Millisecond
)

var probes = &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

const (
	// firstPort and lastPort bound the ports that daemons listen on: above the
	// well-known ones and below those that the kernel gives to outgoing
	// connections (ip_local_port_range, 32768 and above by default). A port of
	// that range could be taken between its choice and the daemon's start.
	firstPort, lastPort = 10_000, 32_767
	// portTries bounds the search among ports that others hold.
	portTries = 1000
	// loopbackNets is the number of networks 127.a.b.0 that LoopbackIP uses.
	loopbackNets = 1 << 16
)

// nextPort is the port that freePort tries next. Test programs that run at the
// same time have networks of their own, so each may begin at the same place.
var nextPort atomic.Int64

// freePort returns an address of ip that is free for TCP and UDP, and that it
// has not returned before.
func freePort(ip string) (string, error) {
	for range portTries {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort+1)
		addr := net.JoinHostPort(ip, strconv.FormatInt(port, 10))
		if portIsFree(addr) {
			return addr, nil
		}
	}
	return "", fault.New(fault.Internal, "end other programs on the loopback interface", "no port of %s is free", ip)
}

func portIsFree(addr string) bool {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	u, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	return u.Close() == nil
}

// LoopbackIP returns the address of a process's daemon on the loopback network,
// from 1. No address of 127.0.0.0/24 is returned: the stand-ins use that.
func LoopbackIP(pid, daemon int) string {
	n := pid%(loopbackNets-1) + 1
	return fmt.Sprintf("127.%d.%d.%d", n>>8, n&0xff, daemon)
}
