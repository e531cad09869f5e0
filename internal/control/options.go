// Package control follows and writes the control stream: it folds the log's
// records into a view, appends records and learns their verdicts, catches up
// from peers when the log cannot be reached, and keeps snapshots ahead of the
// log's retention. It takes no decision on a record: the fold does.
package control

import (
	"context"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/view"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// Defaults of Options.
const (
	// DefaultReadInterval is the time between two reads of a small fleet.
	DefaultReadInterval = 250 * time.Millisecond
	// DefaultReadsPerSecond bounds the reads of all daemons together.
	DefaultReadsPerSecond = 30
	// DefaultCallTimeout bounds one question to a peer.
	DefaultCallTimeout = time.Second
)

// Announcer tells the other daemons that the stream's tail has moved.
type Announcer interface {
	Announce(pos state.Position)
}

// Peers reaches the other daemons.
type Peers interface {
	// Peers returns the addresses of the live daemons, without this one.
	Peers() []string
	Call(ctx context.Context, addr string, req, resp wire.Message) error
}

// Options are the parts and settings of a Manager. Log and View are required.
type Options struct {
	// Self is this daemon's id, Addr its address for peers.
	Self string
	Addr string
	Log  platform.Log
	View *view.View
	// Peers may be nil for a daemon that runs alone.
	Peers Peers
	// Announcer may be nil; then peers are told through Peers.
	Announcer Announcer
	// Live returns the number of live daemons, this one included; nil means 1.
	Live func() int
	// ReadInterval is the least time between two reads that nothing prompted.
	ReadInterval time.Duration
	// ReadsPerSecond bounds the unprompted reads of all daemons together.
	ReadsPerSecond int
	// CallTimeout bounds one question to a peer.
	CallTimeout time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	if o.Live == nil {
		o.Live = func() int { return 1 }
	}
	if o.ReadInterval <= 0 {
		o.ReadInterval = DefaultReadInterval
	}
	if o.ReadsPerSecond <= 0 {
		o.ReadsPerSecond = DefaultReadsPerSecond
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// readInterval returns the time until the next unprompted read: it grows with
// the fleet, so that the log sees a bounded rate of reads.
func (o Options) readInterval() time.Duration {
	share := time.Duration(o.Live()) * time.Second / time.Duration(o.ReadsPerSecond)
	return max(o.ReadInterval, share)
}
