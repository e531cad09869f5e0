package engine

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/pause"
	"github.com/ragwortquay/ragwortquay/internal/standin/host"
	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

func (v *vm) handleOrder(ctx *fasthttp.RequestCtx) {
	var o target.Order
	if !host.ParseJSON(ctx, &o) {
		return
	}
	if o.Kind != target.OrderLoad && o.Kind != target.OrderUnload {
		ctx.Error(fmt.Sprintf("unknown kind of order %q", o.Kind), fasthttp.StatusBadRequest)
		return
	}
	if !v.acceptFencingToken(o.Fence) {
		v.recordEvent(journal.OrderRefused, string(o.Kind)+" "+o.ID)
		ctx.Error(fmt.Sprintf("outdated fencing token %d: a later one was accepted", o.Fence), fasthttp.StatusConflict)
		return
	}
	if o.Kind == target.OrderLoad {
		v.startLoad(o)
	} else {
		v.unload(o)
	}
	ctx.SetStatusCode(fasthttp.StatusAccepted)
}

// acceptFencingToken raises the highest token seen. It returns false if the token
// is outdated, unless fencing is ignored.
func (v *vm) acceptFencingToken(token uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if token < v.highestFencingToken && !v.opts.IgnoreFencing {
		return false
	}
	v.highestFencingToken = max(v.highestFencingToken, token)
	return true
}

// startLoad starts to load the weights of a group's model. A repeated order has no
// effect.
func (v *vm) startLoad(o target.Order) {
	v.mu.Lock()
	if v.report.State != target.EngineFree && v.report.Fence == o.Fence {
		v.mu.Unlock()
		return
	}
	ctx := v.startSession(target.EngineLoading)
	v.report.Group, v.report.Fence, v.report.Rank = o.Fence, o.Fence, o.Rank
	v.report.Model, v.report.Version = o.Model, o.Version
	v.members = o.Members
	bootID := v.report.BootID
	cached := slices.Contains(v.report.Cached, weightsKey(o))
	v.mu.Unlock()
	v.recordEvent(journal.OrderExecuted, "load "+o.ID)
	go v.finishLoad(ctx, o, bootID, cached)
}

// startSession ends the current session and load and starts a new session in the
// given state. It returns the context of a load that starts now. v.mu must be held.
func (v *vm) startSession(state target.EngineState) context.Context {
	v.cancelLoad()
	ctx, cancel := context.WithCancel(context.Background())
	v.cancelLoad = cancel
	old := v.session
	v.session = newSession(v)
	v.report.State = state
	old.end()
	return ctx
}

// weightsKey returns the name of weights in the list of cached ones.
func weightsKey(o target.Order) string { return o.Model + "@" + o.Version }

// finishLoad waits for the load or fetches the weights, then makes the VM ready.
func (v *vm) finishLoad(ctx context.Context, o target.Order, bootID string, cached bool) {
	var err error
	switch {
	case cached:
		err = sleep(ctx, v.opts.Timing.CachedLoad)
	case v.opts.WeightsURL == "":
		err = sleep(ctx, v.opts.Timing.Load)
	default:
		err = fetchWeights(ctx, v.opts.WeightsURL, v.info.ID, o)
	}
	if err != nil || !v.becomeReady(o, bootID) {
		return
	}
	v.recordEvent(journal.VMReady, "load "+o.ID)
}

// becomeReady makes the VM ready after a load. It returns false if the VM has
// rebooted or got another order in the meantime.
func (v *vm) becomeReady(o target.Order, bootID string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.report.BootID != bootID || v.report.Fence != o.Fence || v.report.State != target.EngineLoading {
		return false
	}
	v.report.State = target.EngineReady
	if !slices.Contains(v.report.Cached, weightsKey(o)) {
		v.report.Cached = append(slices.Clone(v.report.Cached), weightsKey(o))
	}
	if o.Rank == 0 && len(v.members) > 1 {
		go v.monitorMembers(v.session, o.Fence, v.members[1:])
	}
	return true
}

// unload removes the VM from its group. It has no effect on a free VM.
func (v *vm) unload(o target.Order) {
	v.mu.Lock()
	if v.report.State == target.EngineFree {
		v.mu.Unlock()
		return
	}
	v.startSession(target.EngineFree)
	v.cancelLoad()
	v.report.Group, v.report.Fence, v.report.Rank = 0, 0, 0
	v.report.Model, v.report.Version = "", ""
	v.members = nil
	v.mu.Unlock()
	v.recordEvent(journal.OrderExecuted, "unload "+o.ID)
}

// sleep waits for d. It fails if ctx ends before.
func sleep(ctx context.Context, d time.Duration) error {
	pause.For(ctx, d)
	return ctx.Err()
}
