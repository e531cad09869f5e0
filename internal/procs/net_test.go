package procs

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// A port that the kernel may give to an outgoing connection between the choice
// and the daemon's start makes that start fail.
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
		must.False(t, seen[addr], must.Sprintf("%s was chosen twice", addr))
		seen[addr] = true
	}
}

// Clusters of two test programs that run at the same time share no address.
func TestLoopbackNetworkIsPerProcess(t *testing.T) {
	must.NotEq(t, LoopbackIP(1000, 1), LoopbackIP(1001, 1))
	must.NotEq(t, LoopbackIP(1000, 1), LoopbackIP(1000, 2))
	for _, pid := range []int{1, 255, 65535, 4194303} {
		ip := net.ParseIP(LoopbackIP(pid, 3))
		must.NotNil(t, ip)
		must.True(t, ip.IsLoopback())
		must.NotEq(t, "127.0.0", ip.String()[:7], must.Sprint("the stand-ins' own network"))
	}
}
