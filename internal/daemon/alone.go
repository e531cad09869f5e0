package daemon

import "github.com/ragwortquay/ragwortquay/internal/gossip"

// alone makes this daemon the owner of every key: it then watches all pools,
// as a daemon that limits targets by itself must.
type alone struct{ *gossip.Manager }

// Owner returns this daemon.
func (a alone) Owner(string) string { return a.Self() }
