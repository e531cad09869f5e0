package procs

import (
	"slices"

	"github.com/ragwortquay/ragwortquay/internal/faultproxy"
)

// Partition cuts the daemons into sides that can't reach each other. Daemons that
// no side names stay on a side of their own together. It needs
// Options.Partitions.
func (c *Cluster) Partition(sides ...[]*Daemon) error {
	for _, d := range c.Daemons {
		if err := c.hold(d, c.strangers(d, sides)); err != nil {
			return err
		}
	}
	return nil
}

// HealPartition ends a Split.
func (c *Cluster) HealPartition() error { return c.Partition(c.Daemons) }

// strangers returns the IP numbers of the daemons that are not on d's side.
func (c *Cluster) strangers(d *Daemon, sides [][]*Daemon) []string {
	var out []string
	for _, o := range c.Daemons {
		if sideOf(o, sides) != sideOf(d, sides) {
			out = append(out, o.IP)
		}
	}
	return out
}

func sideOf(d *Daemon, sides [][]*Daemon) int {
	return slices.IndexFunc(sides, func(side []*Daemon) bool { return slices.Contains(side, d) })
}

// hold lets nothing pass from the given daemons to d, nor back.
func (c *Cluster) hold(d *Daemon, from []string) error {
	var f faultproxy.Faults
	if len(from) > 0 {
		f = faultproxy.Faults{HoldToTarget: true, HoldToClient: true, ClientIPs: from}
	}
	if err := d.PeerTCPLink.SetFaults(f); err != nil {
		return err
	}
	return d.PeerUDPLink.SetFaults(f)
}
