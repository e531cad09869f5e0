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
	// probeTimeout is the time-out of a request of probeClient.
	probeTimeout = 2 * time.Second
	// probeInterval is the time between two readiness checks.
	probeInterval = 20 * time.Millisecond
)

// probeClient queries daemons and stand-ins over a new connection per request.
var probeClient = &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

const (
	// firstPort and lastPort delimit the ports that daemons listen on: above the
	// well-known ports and below the ephemeral ones (ip_local_port_range, 32768 and
	// above by default). The kernel could assign an ephemeral port to an outgoing
	// connection between its choice here and the daemon's start.
	firstPort, lastPort = 10_000, 32_767
	// maxPortTries limits the search for a port that no other program uses.
	maxPortTries = 1000
	// loopbackNets is the number of networks 127.a.b.0/24 that LoopbackIP chooses
	// from, 127.0.0.0/24 included, which it does not use.
	loopbackNets = 1 << 16
)

// portsTried counts the ports that freePort has tried. All test programs can start
// with the same port, because programs that run at the same time use different
// networks (see LoopbackIP).
var portsTried atomic.Int64

// freePort returns a host:port of ip that is free for TCP and UDP and that it has
// not returned before.
func freePort(ip string) (string, error) {
	for range maxPortTries {
		port := firstPort + portsTried.Add(1)%(lastPort-firstPort+1)
		addr := net.JoinHostPort(ip, strconv.FormatInt(port, 10))
		if portIsFree(addr) {
			return addr, nil
		}
	}
	return "", fault.New(fault.Internal, "end other programs on the loopback interface", "no free port on %s", ip)
}

// portIsFree reports whether addr can be bound for TCP and UDP.
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

// LoopbackIP returns the loopback address of a daemon, counted from 1, that process
// pid starts. Processes with different pids get different networks, unless the pids
// are equal modulo loopbackNets-1. It never returns an address of 127.0.0.0/24,
// which the stand-ins use.
func LoopbackIP(pid, daemon int) string {
	n := pid%(loopbackNets-1) + 1
	return fmt.Sprintf("127.%d.%d.%d", n>>8, n&0xff, daemon)
}
