package procs

import (
	"slices"

	"github.com/ragwortquay/ragwortquay/internal/faultproxy"
)

// Partition splits the daemons into sides that can't reach each other. Daemons that
// are in none of the sides form one more side. It requires
// Options.EnablePartitions.
func (c *Cluster) Partition(sides ...[]*Daemon) error {
	for _, d := range c.Daemons {
		if err := c.blockTraffic(d, c.blockedIPs(d, sides)); err != nil {
			return err
		}
	}
	return nil
}

// HealPartition ends a partition.
func (c *Cluster) HealPartition() error { return c.Partition(c.Daemons) }

// blockedIPs returns the IP addresses of the daemons that are not on d's side.
func (c *Cluster) blockedIPs(d *Daemon, sides [][]*Daemon) []string {
	var out []string
	for _, o := range c.Daemons {
		if sideOf(o, sides) != sideOf(d, sides) {
			out = append(out, o.IP)
		}
	}
	return out
}

// sideOf returns the index of d's side, or -1 if no side contains d.
func sideOf(d *Daemon, sides [][]*Daemon) int {
	return slices.IndexFunc(sides, func(side []*Daemon) bool { return slices.Contains(side, d) })
}

// blockTraffic blocks the traffic between d and the daemons with the given IP
// addresses, in both directions, and unblocks all other daemons.
func (c *Cluster) blockTraffic(d *Daemon, ips []string) error {
	var f faultproxy.Faults
	if len(ips) > 0 {
		f = faultproxy.Faults{HoldToTarget: true, HoldToClient: true, ClientIPs: ips}
	}
	if err := d.PeerTCPLink.SetFaults(f); err != nil {
		return err
	}
	return d.PeerUDPLink.SetFaults(f)
}
