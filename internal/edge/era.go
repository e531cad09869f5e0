package edge

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/boottime"
)

// eraNoticePeriod is the time within which a peer that this daemon hears of learns of a new
// era of the store: two intervals of the presence reports of a large fleet.
const eraNoticePeriod = time.Second

// eraTooOld reports whether a peer that knows an era no longer counts among the daemons that
// reach the store, at a daemon that heard of its own era a time ago. It addresses restores in
// a large fleet: the peers learn of the era one after the other, and if those that have not
// did not count at once, every daemon would take itself for a reader.
func eraTooOld(peer, own uint64, heardAgo time.Duration) bool {
	return peer < own && heardAgo > eraNoticePeriod
}

// lagsBehind reports whether a peer of an era is not to be relied on to read the store.
func (g *meshAdapter) lagsBehind(era uint64) bool {
	d := g.d.directory
	return eraTooOld(era, d.Era(), boottime.Now()-d.EraSince())
}
