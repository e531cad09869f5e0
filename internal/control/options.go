// Package control follows and writes the control stream: it folds the log's
// records into a view, appends records and learns their verdicts, catches up
// from peers when the log cannot be reached, and keeps snapshots ahead of the
// log's retention. It takes no decision on a record: the fold does.
package control

import (
	"context"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/quorum"
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
	// DefaultLeaveAfter is the silence after which a daemon is taken for gone.
	DefaultLeaveAfter = time.Minute
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
	// Self is this daemon's id, Addr its address for peers. A daemon without an
	// id follows the stream but does not join.
	Self          string
	Addr          string
	FailureDomain string
	// BootID is this incarnation; empty means a new one.
	BootID string
	Log    platform.Log
	View   *view.View
	// Peers may be nil for a daemon that runs alone.
	Peers Peers
	// Announcer may be nil; then peers are told through Peers.
	Announcer Announcer
	// LiveIDs returns the live daemons, this one included; nil means only this one.
	LiveIDs func() []string
	// Reports returns what the other live daemons last said of themselves; nil
	// means that there are none.
	Reports func() []quorum.Report
	// OnDiverged is called when this daemon's state is found to differ.
	OnDiverged func()
	// Limits bound how long this daemon serves on old knowledge.
	Limits quorum.Limits
	// Snapshots say when snapshots are written.
	Snapshots SnapshotSettings
	// LeaveAfter is the silence after which a daemon is taken for gone.
	LeaveAfter time.Duration
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
	if o.BootID == "" {
		o.BootID = ids.New()
	}
	if o.LiveIDs == nil {
		o.LiveIDs = func() []string { return []string{o.Self} }
	}
	if o.Reports == nil {
		o.Reports = func() []quorum.Report { return nil }
	}
	if o.OnDiverged == nil {
		o.OnDiverged = func() {}
	}
	if o.Limits == (quorum.Limits{}) {
		o.Limits = quorum.DefaultLimits()
	}
	if o.LeaveAfter <= 0 {
		o.LeaveAfter = DefaultLeaveAfter
	}
	o.Snapshots = o.Snapshots.withDefaults()
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
	share := time.Duration(len(o.LiveIDs())) * time.Second / time.Duration(o.ReadsPerSecond)
	return max(o.ReadInterval, share)
}
