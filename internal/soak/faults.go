package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/faultproxy"
	"github.com/ragwortquay/ragwortquay/internal/pause"
)

const (
	// delayMS is the delay of slow links: well above that of any path between zones.
	delayMS = 300
	// lostAppends is the number of appends that are carried out without an answer.
	lostAppends = 3
	// drainFor is how long an engine that drains goes on.
	drainFor = 2500 * time.Millisecond
	// lostAnswers is the number of answers of an engine that are lost.
	lostAnswers = 4
	// revokeCut is how long a daemon does not hear that a key was revoked: well
	// beyond the bound, so that keys it trusts too long are used.
	revokeCut = 2 * revokeMS * time.Millisecond
	// restartAfter is the time from a kill to the next start.
	restartAfter = 300 * time.Millisecond
)

// injector carries a schedule out.
type injector struct {
	c     *cluster
	log   func(format string, args ...any)
	wg    sync.WaitGroup
	keys  *apiKeys
	mu    sync.Mutex
	stops []GracefulStop
}

// play carries the faults out at their times and waits until all have ended.
func (in *injector) play(ctx context.Context, faults []Fault) {
	begun := time.Now()
	for _, f := range faults {
		pause.For(ctx, f.At-time.Since(begun))
		if ctx.Err() != nil {
			break
		}
		in.log("%8.3f s  %s target %d for %d ms", time.Since(begun).Seconds(), f.Kind, f.Target, f.Duration.Milliseconds())
		in.wg.Go(func() { in.inject(f) })
	}
	in.wg.Wait()
}

func (in *injector) inject(f Fault) {
	d := in.c.daemons[f.Target%len(in.c.daemons)]
	ctx := context.Background() // a fault that has begun is brought to its end
	switch f.Kind {
	case DaemonKill:
		in.kill(ctx, d)
	case DaemonStop:
		in.stop(ctx, d)
	case DaemonPause:
		d.signal(syscall.SIGSTOP)
		pause.For(ctx, f.Duration)
		d.signal(syscall.SIGCONT)
	case StoreReset:
		d.store.Cut()
		in.during(ctx, d.store, faultproxy.Faults{Refuse: true}, f.Duration)
	case StoreHoldResponses:
		in.during(ctx, d.store, faultproxy.Faults{HoldToClient: true}, f.Duration)
	case StoreBlackHole:
		in.during(ctx, d.store, faultproxy.Faults{HoldToClient: true, HoldToTarget: true}, f.Duration)
	case StoreDelay:
		in.during(ctx, d.store, faultproxy.Faults{DelayMs: delayMS}, f.Duration)
	case StoreDown:
		in.c.store.SetDown(true)
		pause.For(ctx, f.Duration)
		in.c.store.SetDown(false)
	case StoreDropResponses:
		in.c.store.DropAppendResponses(lostAppends)
	case StoreTruncate:
		in.c.store.TruncateAll()
	case KeyRevokeUnseen:
		in.wg.Go(func() { in.during(ctx, d.store, faultproxy.Faults{HoldToClient: true, HoldToTarget: true}, revokeCut) })
		pause.For(ctx, leastFor)
		in.keys.rotate(in.c.store)
	case KeyRevoke:
		in.keys.rotate(in.c.store)
	default:
		in.engineFault(ctx, f)
	}
}

func (in *injector) engineFault(ctx context.Context, f Fault) {
	e := in.c.engine(f.Target)
	switch f.Kind {
	case EngineCrash:
		if in.c.remove(e) {
			e.Crash()
			e.link.Cut()
			pause.For(ctx, lapse)
			e.ExpireEntry()
			in.c.addEngine(e.config)
		}
	case EngineDrain:
		if in.c.remove(e) {
			e.Drain()
			in.c.addEngine(e.config)
			pause.For(ctx, drainFor)
			e.Crash()
			e.ExpireEntry()
		}
	case EngineReset:
		e.link.Cut()
	case EngineBlackHole:
		in.during(ctx, e.link, faultproxy.Faults{HoldToClient: true, HoldToTarget: true}, f.Duration)
	case EngineHoldResponses:
		in.during(ctx, e.link, faultproxy.Faults{HoldToClient: true}, f.Duration)
	case EngineDropResponses:
		in.during(ctx, e.link, faultproxy.Faults{DropAnswers: lostAnswers}, f.Duration)
	case EngineDelay:
		in.during(ctx, e.link, faultproxy.Faults{DelayMs: delayMS}, f.Duration)
	default:
		panic(fmt.Sprintf("no fault of kind %s", f.Kind))
	}
}

// during sets a link's faults for a time. A later fault of the same link ends
// an earlier one.
func (in *injector) during(ctx context.Context, l *faultproxy.Link, f faultproxy.Faults, d time.Duration) {
	if err := l.Set(f); err != nil {
		in.log("link %s: %v", l.Name(), err)
	}
	pause.For(ctx, d)
	if err := l.Heal(); err != nil {
		in.log("link %s: %v", l.Name(), err)
	}
}

func (in *injector) kill(ctx context.Context, d *daemon) {
	if !d.claim() {
		return
	}
	d.signal(syscall.SIGKILL)
	<-d.ended()
	pause.For(ctx, restartAfter)
	in.restart(d)
}

// stop ends a daemon in order and notes whether it ended by itself.
func (in *injector) stop(ctx context.Context, d *daemon) {
	if !d.claim() {
		return
	}
	before := d.harms()
	at := time.Now()
	d.signal(syscall.SIGTERM)
	exited := true
	t := time.NewTimer(gracePeriodS*time.Second + exitSlack)
	defer t.Stop()
	select {
	case <-d.ended():
	case <-t.C:
		exited = false
		d.signal(syscall.SIGKILL)
		<-d.ended()
	}
	in.mu.Lock()
	in.stops = append(in.stops, GracefulStop{Daemon: d.number, At: at, Exited: exited, Disturbed: exited && d.harms() > before+1 || !exited && d.harms() > before+2})
	in.mu.Unlock()
	pause.For(ctx, restartAfter)
	in.restart(d)
}

func (in *injector) restart(d *daemon) {
	if err := d.start(in.c.binary); err != nil {
		in.log("daemon %d: %v", d.number, err)
	}
}
