// Package control reads and writes the control stream. It applies the records of
// the log to a view, appends records and waits for their verdicts, catches up
// from peers while the log is unreachable, and writes snapshots before the log
// drops the records that they replace. Package state decides on the verdicts.
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

// Default values of Options.
const (
	// DefaultReadInterval is the time between two reads of a daemon in a small
	// fleet.
	DefaultReadInterval = 250 * time.Millisecond
	// DefaultReadsPerSecond is the maximum read rate of all daemons together.
	DefaultReadsPerSecond = 30
	// DefaultCallTimeout bounds one call to a peer.
	DefaultCallTimeout = time.Second
	// DefaultLeaveAfter is the time after which an unresponsive daemon is removed.
	DefaultLeaveAfter = time.Minute
)

// Announcer sends position updates to the other daemons.
type Announcer interface {
	// Announce tells the other daemons that the stream has reached pos.
	Announce(pos state.Position)
}

// Peers gives access to the other daemons.
type Peers interface {
	// Peers returns the addresses of the live daemons other than this one.
	Peers() []string
	// Call sends req to the daemon at addr and decodes the response into resp.
	Call(ctx context.Context, addr string, req, resp wire.Message) error
}

// Options are the dependencies and settings of a Manager. Log and View are
// required.
type Options struct {
	// Self is this daemon's id, and Addr its address for peers. A daemon without
	// an id follows the stream but does not join.
	Self          string
	Addr          string
	FailureDomain string
	// BootID identifies this incarnation of the daemon; empty means a new id.
	BootID string
	Log    platform.Log
	View   *view.View
	// Peers may be nil for a daemon without peers.
	Peers Peers
	// Announcer may be nil; position updates are then sent through Peers.
	Announcer Announcer
	// LiveIDs returns the ids of the live daemons, including this one; nil means
	// that there is only this one.
	LiveIDs func() []string
	// Reports returns the last reports of the other live daemons; nil means that
	// there are none.
	Reports func() []quorum.Report
	// OnDiverged is called when this daemon's state starts to differ from that of
	// at least half of the daemons at the same position.
	OnDiverged func()
	// Limits bound the age of the data that this daemon serves from.
	Limits quorum.Limits
	// Snapshots holds the settings for writing snapshots.
	Snapshots SnapshotSettings
	// LeaveAfter is the time after which an unresponsive daemon is removed.
	LeaveAfter time.Duration
	// ReadInterval is the minimum time between two periodic reads.
	ReadInterval time.Duration
	// ReadsPerSecond is the maximum rate of periodic reads of all daemons
	// together.
	ReadsPerSecond int
	// CallTimeout bounds one call to a peer.
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

// readInterval returns the time between two periodic reads. It grows with the
// number of live daemons, so that their total read rate stays at ReadsPerSecond.
func (o Options) readInterval() time.Duration {
	fleetInterval := time.Duration(len(o.LiveIDs())) * time.Second / time.Duration(o.ReadsPerSecond)
	return max(o.ReadInterval, fleetInterval)
}
