package engine

import (
	"context"
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
		ctx.Error("unknown kind of order", fasthttp.StatusBadRequest)
		return
	}
	if !v.admitFence(o.Fence) {
		v.note(journal.OrderRefused, string(o.Kind)+" "+o.ID)
		ctx.Error("a later fencing number was seen", fasthttp.StatusConflict)
		return
	}
	if o.Kind == target.OrderLoad {
		v.load(o)
	} else {
		v.unload(o)
	}
	ctx.SetStatusCode(fasthttp.StatusAccepted)
}

// admitFence notes the fencing number; false if it is old and fencing counts.
func (v *vm) admitFence(fence uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if fence < v.fence && !v.opts.IgnoreFencing {
		return false
	}
	v.fence = max(v.fence, fence)
	return true
}

// load begins to load for a group; a repeated order changes nothing.
func (v *vm) load(o target.Order) {
	v.mu.Lock()
	if v.report.State != target.EngineFree && v.report.Fence == o.Fence {
		v.mu.Unlock()
		return
	}
	ctx := v.enter(target.EngineLoading)
	v.report.Group, v.report.Fence, v.report.Rank = o.Fence, o.Fence, o.Rank
	v.report.Model, v.report.Version = o.Model, o.Version
	v.members = o.Members
	boot := v.report.BootID
	cached := slices.Contains(v.report.Cached, weightsName(o))
	v.mu.Unlock()
	v.note(journal.OrderExecuted, "load "+o.ID)
	go v.finishLoad(ctx, o, boot, cached)
}

// enter replaces the session and puts the VM into the given state. It returns
// the context of a load that starts now. v.mu is held.
func (v *vm) enter(s target.EngineState) context.Context {
	v.stopLoad()
	ctx, cancel := context.WithCancel(context.Background())
	v.stopLoad = cancel
	old := v.session
	v.session = newSession(v)
	v.report.State = s
	old.end()
	return ctx
}

func weightsName(o target.Order) string { return o.Model + "@" + o.Version }

func (v *vm) finishLoad(ctx context.Context, o target.Order, boot string, cached bool) {
	var err error
	switch {
	case cached:
		err = wait(ctx, v.opts.Timing.CachedLoad)
	case v.opts.WeightsURL == "":
		err = wait(ctx, v.opts.Timing.Load)
	default:
		err = fetch(ctx, v.opts.WeightsURL, v.info.ID, o)
	}
	if err != nil || !v.becomeReady(o, boot) {
		return
	}
	v.note(journal.VMReady, "load "+o.ID)
}

// becomeReady ends a load unless the VM has moved on meanwhile.
func (v *vm) becomeReady(o target.Order, boot string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.report.BootID != boot || v.report.Fence != o.Fence || v.report.State != target.EngineLoading {
		return false
	}
	v.report.State = target.EngineReady
	if !slices.Contains(v.report.Cached, weightsName(o)) {
		v.report.Cached = append(slices.Clone(v.report.Cached), weightsName(o))
	}
	if o.Rank == 0 && len(v.members) > 1 {
		go v.checkMembers(v.session, o.Fence, v.members[1:])
	}
	return true
}

// unload ends the VM's part in its group.
func (v *vm) unload(o target.Order) {
	v.mu.Lock()
	if v.report.State == target.EngineFree {
		v.mu.Unlock()
		return
	}
	v.enter(target.EngineFree)
	v.stopLoad()
	v.report.Group, v.report.Fence, v.report.Rank = 0, 0, 0
	v.report.Model, v.report.Version = "", ""
	v.members = nil
	v.mu.Unlock()
	v.note(journal.OrderExecuted, "unload "+o.ID)
}

// wait waits for d or the end of ctx.
func wait(ctx context.Context, d time.Duration) error {
	pause.For(ctx, d)
	return ctx.Err()
}
