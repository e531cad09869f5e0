package daemon

import "github.com/ragwortquay/ragwortquay/internal/gossip"

// localOwner is a fleet.Members that makes this daemon the owner of every key. A
// daemon with local limits has to observe the VMs of all pools itself.
type localOwner struct{ *gossip.Manager }

// Owner implements fleet.Members and returns this daemon's ID.
func (o localOwner) Owner(string) string { return o.Self() }
