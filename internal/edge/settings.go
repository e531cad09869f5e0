// Package edge assembles the daemon for platforms that offer a metadata store. The
// daemon follows the store and serves clients; one daemon at a time also plans the
// groups of engines.
package edge

import (
	"math"
	"net"
	"strings"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Settings describe the machine and the limits that apply to the daemon, as the
// platform provides them.
type Settings struct {
	// Node is this machine's name, unique among all daemons.
	Node string
	Zone string
	IP   string
	// FrontAddr is the listen address for clients, ReadyAddr that for the
	// balancer's readiness probe.
	FrontAddr string
	ReadyAddr string
	// MetricsAddr is the listen address for metrics; empty to serve none.
	MetricsAddr string
	// StoreAddr is the address of the metadata store.
	StoreAddr   string
	MemoryBytes int64
	// MaxFDs is the most descriptors that the process may have; 0 for no limit.
	MaxFDs int
	// Cores is the machine's CPU time in cores and LinkMbps the rate of its network
	// link in Mbit/s; 0 if unknown.
	Cores    float64
	LinkMbps float64
	// MeshPort is the UDP port for datagrams between daemons.
	MeshPort int
	// FirstStart is set on the first start of the whole system.
	FirstStart bool
	// Heartbeat is the interval of the engines' announcements.
	Heartbeat time.Duration
	// GracePeriod is the time from the request to stop until the process is killed.
	GracePeriod time.Duration
	// ConfigBound is the time within which daemons must apply a new configuration.
	ConfigBound time.Duration
	// StrictRevoke requires a revoked key to be refused within RevokeBound on every
	// machine, including partitioned ones.
	StrictRevoke bool
	RevokeBound  time.Duration
	// RetryRatio, RetryWindow and RetrySlack define the retry budget that all
	// daemons share: retries per first attempt within the window, plus a constant.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// StallBound is how long a group may make no progress before it counts as
	// broken.
	StallBound time.Duration
	// ZoneCost is the cost of traffic between zones in milliseconds per MB, 0 for none.
	ZoneCost float64
	// MinLeaseTTL is the shortest lease that the store grants.
	MinLeaseTTL time.Duration
}

// minMaxFDs is the lowest limit of descriptors that is accepted. A daemon without
// requests has some twenty.
const minMaxFDs = 64

// readyWith reports whether a daemon may be sent new requests whose configuration was
// confirmed an age ago, and that has known for a time of changes that it has not applied.
// It addresses a daemon that hears of a change and can't get it: public routes need no
// recent confirmation, so it would serve them by the old configuration.
func (s *Settings) readyWith(age, behind time.Duration) bool {
	if behind >= s.ConfigBound {
		return false
	}
	return !s.StrictRevoke || age < time.Duration(readyFraction*float64(s.RevokeBound))
}

// capacity is the measure by which machines are ranked for work on behalf of all
// daemons. It is a product, so that a machine short of either CPU time or bandwidth
// ranks low.
func (s *Settings) capacity() float64 { return s.Cores * s.LinkMbps }

// bufferBytes is the memory for large response bodies that are read whole.
func (s *Settings) bufferBytes() int64 {
	if s.MemoryBytes <= 0 {
		return defaultBufferBytes
	}
	return int64(bufferFraction * float64(s.MemoryBytes))
}

// Check returns one BadInput error that lists all invalid settings, or nil.
func (s *Settings) Check() error {
	var problems []string
	require := func(ok bool, problem string) {
		if !ok {
			problems = append(problems, problem)
		}
	}
	require(s.Node != "", "the node name is missing")
	require(s.Zone != "", "the zone is missing")
	require(hasPort(s.FrontAddr), "the callers' address is not of the form host:port")
	require(hasPort(s.ReadyAddr), "the readiness address is not of the form host:port")
	require(hasPort(s.StoreAddr), "the store's address is not of the form host:port")
	require(s.MeshPort > 0, "the internal UDP port is missing")
	require(s.MaxFDs == 0 || s.MaxFDs >= minMaxFDs, "the limit of descriptors is below 64")
	require(s.Cores >= 0 && s.LinkMbps >= 0, "the CPU share or the link rate is negative")
	require(s.Heartbeat > 0, "the heartbeat interval of engines is not positive")
	require(s.GracePeriod > 0, "the grace period is not positive")
	require(s.ConfigBound > 0, "the time limit for applying a configuration is not positive")
	require(!s.StrictRevoke || s.RevokeBound > 0, "the time limit for revoking a key is not positive")
	require(s.RetryRatio >= 0 && s.RetrySlack >= 0, "the retry budget is negative")
	if len(problems) == 0 {
		return nil
	}
	return fault.Invalid("settings", "correct the settings file", "%s", strings.Join(problems, "; "))
}

// CheckZoneCost returns a BadInput error if a cost of traffic between zones is invalid.
func CheckZoneCost(msPerMB float64) error {
	if msPerMB >= 0 && !math.IsInf(msPerMB, 1) {
		return nil
	}
	return fault.Invalid("zone-cost-ms-per-mb", "give a number of milliseconds per MB that is not negative, or 0 for no charge",
		"the cost of traffic between zones is %v", msPerMB)
}

func hasPort(s string) bool {
	_, port, err := net.SplitHostPort(s)
	return err == nil && port != ""
}
