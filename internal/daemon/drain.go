package daemon

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/pause"
)

const (
	// leaveTimeout limits the wait for the verdict on the leave record.
	leaveTimeout = 3 * time.Second
	// handoverPeriod is the time for which the daemon serves its peers after it
	// has left the membership, so that the daemons that become the homes of its
	// pools and of its streams of keys can take over.
	handoverPeriod = 500 * time.Millisecond
)

// drain stops serving without interrupting requests. It reports not ready and
// waits for the load balancer to notice, then stops accepting connections and waits
// for requests in flight, and finally hands over its grants and leaves the
// membership.
func (d *Daemon) drain(leave func()) {
	s := d.settings.Shutdown
	klog.InfoS("shutdown: reporting not ready", "daemon", d.settings.Daemon.ID, "wait", time.Duration(s.UnreadyDelay).String())
	d.lifecycle.setLeaving()
	d.front.DisableKeepAlives()
	pause.For(context.Background(), time.Duration(s.UnreadyDelay))

	klog.InfoS("shutdown: waiting for requests in flight", "inflight", d.front.Inflight())
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.DrainTimeout))
	defer cancel()
	if err := d.front.Drain(ctx); err != nil {
		klog.ErrorS(err, "shutdown: failed to drain all requests")
	}
	d.lifecycle.setDrained()

	klog.InfoS("shutdown: handing over grants and leaving the membership")
	d.grants.Home.Drain(ctx)
	leave()
	d.writeLeaveRecord()
	pause.For(context.Background(), handoverPeriod)
	klog.InfoS("shutdown: drain finished")
}

// writeLeaveRecord removes this daemon from the daemons that count towards the
// majority. If the log is unavailable, a peer removes it later.
func (d *Daemon) writeLeaveRecord() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := d.control.Leave(ctx); err != nil {
		klog.ErrorS(err, "shutdown: failed to write the leave record")
	}
}
