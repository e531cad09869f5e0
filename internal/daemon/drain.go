package daemon

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/pause"
)

const (
	// leaveTimeout bounds the wait for the leave record's verdict.
	leaveTimeout = 3 * time.Second
	// handoverTime is how long the daemon still answers its peers after it left
	// them, so that the new homes can take its grants and keys over.
	handoverTime = 500 * time.Millisecond
)

// drain ends the service without cutting a request: the balancer is told first
// and given time, then no more connections are accepted, the requests in
// flight finish, and homes and membership are handed on.
func (d *Daemon) drain(leave func()) {
	s := d.settings.Shutdown
	klog.InfoS("Shutdown: no longer ready", "daemon", d.settings.Daemon.ID, "wait", time.Duration(s.UnreadyDelay).String())
	d.life.leave()
	d.front.DisableKeepAlives()
	pause.For(context.Background(), time.Duration(s.UnreadyDelay))

	klog.InfoS("Shutdown: finishing requests", "inflight", d.front.Inflight())
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.DrainTimeout))
	defer cancel()
	if err := d.front.Drain(ctx); err != nil {
		klog.ErrorS(err, "Shutdown: requests were cut off")
	}
	d.life.drained()

	klog.InfoS("Shutdown: handing homes over and leaving the members")
	d.grants.Home.Drain(ctx)
	leave()
	d.leaveRecord()
	pause.For(context.Background(), handoverTime)
	klog.InfoS("Shutdown: done")
}

// leaveRecord takes this daemon out of the majority's count. While the log is
// down a peer will do so later.
func (d *Daemon) leaveRecord() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := d.control.Leave(ctx); err != nil {
		klog.ErrorS(err, "Shutdown: the leave record was not written")
	}
}
