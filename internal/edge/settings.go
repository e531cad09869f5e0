// Package edge assembles the daemon that serves on machines whose platform
// offers a metadata store: it follows the store, serves callers and, on one
// machine at a time, plans the groups of engines.
package edge

import (
	"net"
	"strings"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Settings are what the platform tells a process about its machine and the
// bounds in force.
type Settings struct {
	// Node is this machine's name, unique among all daemons.
	Node string
	Zone string
	IP   string
	// FrontAddr takes callers, ReadyAddr the balancer's question.
	FrontAddr string
	ReadyAddr string
	// MetricsAddr shows the metrics; empty for none.
	MetricsAddr string
	// StoreAddr is the address of the metadata store.
	StoreAddr   string
	MemoryBytes int64
	// Cores is this machine's processor time in cores, LinkMbps its link's rate in
	// Mbit/s; 0 where they are not known.
	Cores    float64
	LinkMbps float64
	// MeshPort is the UDP port for datagrams between daemons.
	MeshPort int
	// FirstStart is set when the whole system starts for the first time.
	FirstStart bool
	// Heartbeat is the interval at which engines announce themselves.
	Heartbeat time.Duration
	// GracePeriod is the time between the request to stop and the kill.
	GracePeriod time.Duration
	// ConfigBound is the time within which a configuration must be in force.
	ConfigBound time.Duration
	// StrictRevoke binds keys to RevokeBound on every machine, cut off or not.
	StrictRevoke bool
	RevokeBound  time.Duration
	// RetryRatio and RetrySlack bound the repeats of all daemons in RetryWindow.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// StallBound is how long a group stands still before it counts as broken.
	StallBound time.Duration
	// MinLeaseTTL is the shortest lease that the store grants.
	MinLeaseTTL time.Duration
}

// capacity compares what machines can do for others: a machine that is short of
// either processor time or bandwidth should do little.
func (s *Settings) capacity() float64 { return s.Cores * s.LinkMbps }

// Check reports all mistakes of the settings as one BadInput error, or nil.
func (s *Settings) Check() error {
	var wrong []string
	require := func(ok bool, what string) {
		if !ok {
			wrong = append(wrong, what)
		}
	}
	require(s.Node != "", "the node's name is missing")
	require(s.Zone != "", "the zone is missing")
	require(isAddr(s.FrontAddr), "the callers' address is not an address with a port")
	require(isAddr(s.ReadyAddr), "the address for readiness is not an address with a port")
	require(isAddr(s.StoreAddr), "the store's address is not an address with a port")
	require(s.MeshPort > 0, "the internal port is missing")
	require(s.Cores >= 0 && s.LinkMbps >= 0, "the processor's share or the link's rate is negative")
	require(s.Heartbeat > 0, "the engines' heartbeat is not positive")
	require(s.GracePeriod > 0, "the grace time is not positive")
	require(s.ConfigBound > 0, "the bound for configurations is not positive")
	require(!s.StrictRevoke || s.RevokeBound > 0, "the bound for revoked keys is not positive")
	require(s.RetryRatio >= 0 && s.RetrySlack >= 0, "the retry budget is negative")
	if len(wrong) == 0 {
		return nil
	}
	return fault.Invalid("settings", "correct the settings file", "%s", strings.Join(wrong, "; "))
}

func isAddr(s string) bool {
	_, port, err := net.SplitHostPort(s)
	return err == nil && port != ""
}
