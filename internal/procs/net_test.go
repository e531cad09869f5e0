package procs

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// A daemon fails to start if the kernel assigns its port to an outgoing connection
// after the port was chosen. Ports outside the ephemeral range can't be assigned.
func TestFreePortIsNotEphemeral(t *testing.T) {
	line, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	must.NoError(t, err)
	lowest, err := strconv.Atoi(strings.Fields(string(line))[0])
	must.NoError(t, err)
	seen := map[string]bool{}
	for range 200 {
		addr, err := freePort("127.0.0.1")
		must.NoError(t, err)
		_, port, err := net.SplitHostPort(addr)
		must.NoError(t, err)
		n, err := strconv.Atoi(port)
		must.NoError(t, err)
		must.Less(t, lowest, n)
		must.False(t, seen[addr], must.Sprintf("freePort returned %s twice", addr))
		seen[addr] = true
	}
}

// Test programs that run at the same time must not use the same addresses.
func TestLoopbackNetworkIsPerProcess(t *testing.T) {
	must.NotEq(t, LoopbackIP(1000, 1), LoopbackIP(1001, 1))
	must.NotEq(t, LoopbackIP(1000, 1), LoopbackIP(1000, 2))
	for _, pid := range []int{1, 255, 65535, 4194303} {
		ip := net.ParseIP(LoopbackIP(pid, 3))
		must.NotNil(t, ip)
		must.True(t, ip.IsLoopback())
		must.NotEq(t, "127.0.0", ip.String()[:7], must.Sprint("127.0.0.0/24 is reserved for the stand-ins"))
	}
}
