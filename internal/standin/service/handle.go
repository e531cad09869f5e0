package service

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/standin/capacity"
	"github.com/ragwortquay/ragwortquay/internal/standin/host"
	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/standin/oracle"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// run is one request under way.
type run struct {
	vm     *vm
	boot   *incarnation
	conn   *host.Conn
	entry  journal.Entry
	plan   Faults // as it was at the arrival
	nth    int    // number of the arrival
	answer oracle.ServiceResponse
}

// Handle serves any path.
func (v *vm) Handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/v1/report" {
		host.ReplyJSON(ctx, fasthttp.StatusOK, v.report())
		return
	}
	r := v.arrive(ctx)
	r.conn.WatchClose()
	closes := r.plan.CloseOnNth > 0 && ctx.ConnRequestNum() >= uint64(r.plan.CloseOnNth)
	if closes && !r.plan.CloseAfterRun {
		r.conn.Reset()
		return
	}
	if hitsNth(r.plan.RefuseEvery, r.nth) {
		r.refuse(ctx, "as set")
		return
	}
	if !r.enter(ctx) {
		return
	}
	r.execute(ctx, closes)
}

// delay is the time that answer number n waits after the work.
func (b Faults) delay(n int) time.Duration {
	ms := b.DelayMS
	if hitsNth(b.DelayEvery, n) {
		ms += b.DelayEveryMS
	}
	return time.Duration(ms) * time.Millisecond
}

func hitsNth(every, n int) bool { return every > 0 && n%every == 0 }

func (v *vm) arrive(ctx *fasthttp.RequestCtx) *run {
	h := &ctx.Request.Header
	a := oracle.NewServiceResponse(string(h.Peek(target.HeaderRequestID)), string(ctx.Method()), string(ctx.Path()), ctx.PostBody())
	v.mu.Lock()
	defer v.mu.Unlock()
	v.requests++
	r := &run{vm: v, boot: v.boot, conn: host.ConnOf(ctx), plan: v.behaviour, nth: v.requests, answer: a}
	if hitsNth(v.behaviour.SwapResponseEvery, v.requests) && v.previous.RequestID != "" {
		r.answer = v.previous
	}
	v.previous = a
	r.entry = journal.Entry{
		VM: v.info.ID, BootID: v.boot.id, Path: a.Path, RequestID: a.RequestID, Draining: v.behaviour.Draining,
		AttemptID: string(h.Peek(target.HeaderAttemptID)), IdempotencyKey: string(h.Peek(target.HeaderIdempotencyKey)),
		Workspace: string(h.Peek(target.HeaderWorkspace)), Priority: string(h.Peek(target.HeaderPriority)),
	}
	return r
}

func (r *run) add(ev journal.Event, reason string) {
	e := r.entry
	e.Event, e.Reason, e.ResponseComplete = ev, reason, ev == journal.RequestCompleted
	r.vm.journal.Add(e)
}

func (r *run) refuse(ctx *fasthttp.RequestCtx, reason string) {
	r.add(journal.RequestRefused, reason)
	ctx.Response.Header.Set(target.HeaderNotRun, "true")
	ctx.Response.Header.Set(target.HeaderRequestID, r.entry.RequestID)
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString(reason)
}

// enter gets a slot; false if the request does not run.
func (r *run) enter(ctx *fasthttp.RequestCtx) bool {
	priority, _ := strconv.Atoi(r.entry.Priority)
	verdict, ticket, reading := r.boot.gauge.Admit(time.Now(), priority)
	switch verdict {
	case capacity.Admitted:
		r.began(reading)
		return true
	case capacity.Overloaded:
		r.began(reading)
		r.add(journal.RequestAborted, "pushed beyond the cold limit")
		r.vm.fallOver(r.boot, "pushed beyond the cold limit by "+r.entry.RequestID)
		return false
	case capacity.QueueFull:
		r.refuse(ctx, "queue is full")
		return false
	default:
		return r.wait(ctx, ticket)
	}
}

func (r *run) wait(ctx *fasthttp.RequestCtx, t *capacity.Ticket) bool {
	switch r.boot.gauge.Await(t, time.Now, r.conn.Closed()) {
	case capacity.SlotAcquired:
		r.began(r.boot.gauge.Snapshot(time.Now()))
		return true
	case capacity.LimiterClosed:
		r.refuse(ctx, "the VM ended")
	case capacity.CallerGone:
	}
	return false
}

// began journals the execution: from here on the request ran.
func (r *run) began(g capacity.Snapshot) {
	r.entry.Inflight, r.entry.Limit, r.entry.Cold = g.Running, g.Limit, g.Cold
	r.add(journal.RequestStarted, "")
}

func (r *run) execute(ctx *fasthttp.RequestCtx, closes bool) {
	if !r.pause(r.vm.opts.WorkTime + r.plan.delay(r.nth)) {
		r.boot.gauge.Release(time.Now(), false)
		r.add(journal.RequestAborted, "the VM ended")
		r.conn.Reset()
		return
	}
	r.boot.gauge.Release(time.Now(), true)
	r.add(journal.RequestCompleted, "")
	if closes {
		r.conn.Reset()
		return
	}
	if hitsNth(r.plan.DropResponseEvery, r.nth) {
		<-r.conn.Closed()
		return
	}
	ctx.Response.Header.Set(target.HeaderRequestID, r.answer.RequestID)
	host.ReplyJSON(ctx, fasthttp.StatusOK, r.answer)
}

// pause waits for the work to be done; false if the VM ended. A service does
// not notice that its caller went away.
func (r *run) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.boot.over:
		return false
	}
}
