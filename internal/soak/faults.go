package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/faultproxy"
	"github.com/ragwortquay/ragwortquay/internal/pause"
	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

const (
	// linkDelayMS is the delay of slow links, well above the latency of any path
	// between zones.
	linkDelayMS = 300
	// droppedAppendResponses is the number of appends that the store carries out but
	// does not acknowledge.
	droppedAppendResponses = 3
	// drainDuration is how long a draining engine continues before it ends.
	drainDuration = 2500 * time.Millisecond
	// droppedEngineResponses is the number of an engine's responses that are discarded.
	droppedEngineResponses = 4
	// endlessResponses is the number of an engine's responses that do not end.
	endlessResponses = 8
	// revokeUnseenFor is how long a daemon is cut off from the store when a key is
	// revoked. It is twice the revocation bound, so that clients use the key after a
	// daemon must have stopped trusting it.
	revokeUnseenFor = 2 * revokeMS * time.Millisecond
	// backlogOutage is how long the store is down when a key is revoked after a backlog of
	// changes: longer than the bound for revoked keys.
	backlogOutage = (revokeMS + 500) * time.Millisecond
	// restartDelay is the time between the end of a daemon's process and its next
	// start.
	restartDelay = 300 * time.Millisecond
)

// injector injects the faults of a schedule into a cluster and records the graceful
// stops.
type injector struct {
	cluster *cluster
	log     func(format string, args ...any)
	wg      sync.WaitGroup
	keys    *apiKeys
	clients *clientPool
	mu      sync.Mutex
	stops   []GracefulStop
}

// run injects the faults at their times and waits until all of them have ended.
func (inj *injector) run(ctx context.Context, faults []Fault) {
	start := time.Now()
	for _, f := range faults {
		pause.For(ctx, f.At-time.Since(start))
		if ctx.Err() != nil {
			break
		}
		inj.log("%8.3f s  %s target %d for %d ms", time.Since(start).Seconds(), f.Kind, f.Target, f.Duration.Milliseconds())
		inj.wg.Go(func() { inj.inject(f) })
	}
	inj.wg.Wait()
}

func (inj *injector) inject(f Fault) {
	d := inj.cluster.daemons[f.Target%len(inj.cluster.daemons)]
	ctx := context.Background() // a fault that has started is always completed and undone
	switch f.Kind {
	case DaemonKill:
		inj.killDaemon(ctx, d)
	case DaemonStop:
		inj.stopDaemon(ctx, d)
	case DaemonPause:
		d.injectSignal(syscall.SIGSTOP)
		pause.For(ctx, f.Duration)
		d.injectSignal(syscall.SIGCONT)
	case StoreReset:
		d.storeLink.ResetConnections()
		inj.withLinkFaults(ctx, d.storeLink, faultproxy.Faults{Refuse: true}, f.Duration)
	case StoreHoldResponses:
		inj.withLinkFaults(ctx, d.storeLink, faultproxy.Faults{HoldToClient: true}, f.Duration)
	case StoreBlackHole:
		inj.withLinkFaults(ctx, d.storeLink, faultproxy.Faults{HoldToClient: true, HoldToTarget: true}, f.Duration)
	case StoreDelay:
		inj.withLinkFaults(ctx, d.storeLink, faultproxy.Faults{DelayMS: linkDelayMS}, f.Duration)
	case StoreDown:
		inj.cluster.store.SetDown(true)
		pause.For(ctx, f.Duration)
		inj.cluster.store.SetDown(false)
	case StoreDropResponses:
		inj.cluster.store.DropAppendResponses(droppedAppendResponses)
	case StoreTruncate:
		inj.cluster.store.TruncateAll()
	case KeyRevokeUnseen:
		inj.wg.Go(func() {
			inj.withLinkFaults(ctx, d.storeLink, faultproxy.Faults{HoldToClient: true, HoldToTarget: true}, revokeUnseenFor)
		})
		pause.For(ctx, minFaultDuration)
		inj.keys.rotate(inj.cluster.store)
	case KeyRevokeBacklog:
		inj.cluster.store.SetDown(true)
		inj.keys.rotateAfterBacklog(inj.cluster.store)
		pause.For(ctx, backlogOutage)
		inj.cluster.store.SetDown(false)
	case DeadlyBatch:
		inj.clients.sendBatch(inj.cluster.daemons, f.Target)
	case KeyRevoke:
		inj.keys.rotate(inj.cluster.store)
	default:
		inj.injectEngineFault(ctx, f)
	}
}

func (inj *injector) injectEngineFault(ctx context.Context, f Fault) {
	e := inj.cluster.pickEngine(f.Target)
	switch f.Kind {
	case EngineCrash:
		inj.cluster.endEngine(e)
	case EngineDrain:
		if inj.cluster.removeEngine(e) {
			e.Drain()
			inj.cluster.addEngine(e.config)
			pause.For(ctx, drainDuration)
			e.Crash()
			e.ExpireEntry()
		}
	case EngineReset:
		e.link.ResetConnections()
	case EngineBlackHole:
		inj.withLinkFaults(ctx, e.link, faultproxy.Faults{HoldToClient: true, HoldToTarget: true}, f.Duration)
	case EngineHoldResponses:
		inj.withLinkFaults(ctx, e.link, faultproxy.Faults{HoldToClient: true}, f.Duration)
	case EngineDropResponses:
		inj.withLinkFaults(ctx, e.link, faultproxy.Faults{DropResponses: droppedEngineResponses}, f.Duration)
	case EngineEndless:
		kinds := [...]site.Spoil{site.EndlessHead, site.EndlessBody, site.EndlessEvent}
		e.SpoilAnswers(endlessResponses, kinds[f.Target%len(kinds)])
	case EngineDelay:
		inj.withLinkFaults(ctx, e.link, faultproxy.Faults{DelayMS: linkDelayMS}, f.Duration)
	default:
		panic(fmt.Sprintf("unknown kind of fault: %s", f.Kind))
	}
}

// withLinkFaults sets a link's faults for the duration d. Faults of one link may
// overlap: the last one set applies, and the first one to end clears all.
func (inj *injector) withLinkFaults(ctx context.Context, l *faultproxy.Link, f faultproxy.Faults, d time.Duration) {
	if err := l.SetFaults(f); err != nil {
		inj.log("set faults of link %s: %v", l.Name(), err)
	}
	pause.For(ctx, d)
	if err := l.Heal(); err != nil {
		inj.log("clear faults of link %s: %v", l.Name(), err)
	}
}

func (inj *injector) killDaemon(ctx context.Context, d *daemon) {
	if !d.tryBeginEnding() {
		return
	}
	d.injectSignal(syscall.SIGKILL)
	<-d.exited()
	pause.For(ctx, restartDelay)
	inj.restartDaemon(d)
}

// stopDaemon sends SIGTERM to a daemon and records whether it exited within its grace
// period. A daemon that does not is killed.
func (inj *injector) stopDaemon(ctx context.Context, d *daemon) {
	if !d.tryBeginEnding() {
		return
	}
	before := d.faultCount()
	at := time.Now()
	d.injectSignal(syscall.SIGTERM)
	exited := true
	t := time.NewTimer(gracePeriodS*time.Second + exitSlack)
	defer t.Stop()
	select {
	case <-d.exited():
	case <-t.C:
		exited = false
		d.injectSignal(syscall.SIGKILL)
		<-d.exited()
	}
	// The stop itself has counted one signal, or two if it killed the daemon. More
	// signals come from other faults.
	inj.mu.Lock()
	inj.stops = append(inj.stops, GracefulStop{Daemon: d.number, At: at, Exited: exited, Disturbed: exited && d.faultCount() > before+1 || !exited && d.faultCount() > before+2})
	inj.mu.Unlock()
	pause.For(ctx, restartDelay)
	inj.restartDaemon(d)
}

func (inj *injector) restartDaemon(d *daemon) {
	if err := d.start(inj.cluster.binary); err != nil {
		inj.log("restart daemon %d: %v", d.number, err)
	}
}
