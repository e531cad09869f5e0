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
	plan   Behaviour // as it was at the arrival
	nth    int       // number of the arrival
	answer oracle.ServiceAnswer
}

// Handle serves any path.
func (v *vm) Handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/v1/report" {
		host.Reply(ctx, fasthttp.StatusOK, v.report())
		return
	}
	r := v.arrive(ctx)
	r.conn.Watch()
	closes := r.plan.CloseOnNth > 0 && ctx.ConnRequestNum() >= uint64(r.plan.CloseOnNth)
	if closes && !r.plan.CloseAfterRun {
		r.conn.Cut()
		return
	}
	if hitsNth(r.plan.NotRunEvery, r.nth) {
		r.refuse(ctx, "as set")
		return
	}
	if !r.enter(ctx) {
		return
	}
	r.execute(ctx, closes)
}

// delay is the time that answer number n waits after the work.
func (b Behaviour) delay(n int) time.Duration {
	ms := b.DelayMs
	if hitsNth(b.LateEvery, n) {
		ms += b.LateMs
	}
	return time.Duration(ms) * time.Millisecond
}

func hitsNth(every, n int) bool { return every > 0 && n%every == 0 }

func (v *vm) arrive(ctx *fasthttp.RequestCtx) *run {
	h := &ctx.Request.Header
	a := oracle.Service(string(h.Peek(target.HeaderRequestID)), string(ctx.Method()), string(ctx.Path()), ctx.PostBody())
	v.mu.Lock()
	defer v.mu.Unlock()
	v.requests++
	r := &run{vm: v, boot: v.boot, conn: host.Of(ctx), plan: v.behaviour, nth: v.requests, answer: a}
	if hitsNth(v.behaviour.MixupEvery, v.requests) && v.previous.RequestID != "" {
		r.answer = v.previous
	}
	v.previous = a
	r.entry = journal.Entry{
		VM: v.info.ID, BootID: v.boot.id, Path: a.Path, RequestID: a.RequestID, Draining: v.behaviour.Draining,
		AttemptID: string(h.Peek(target.HeaderAttemptID)), Key: string(h.Peek(target.HeaderIdempotencyKey)),
		Workspace: string(h.Peek(target.HeaderWorkspace)), Priority: string(h.Peek(target.HeaderPriority)),
	}
	return r
}

func (r *run) add(ev journal.Event, reason string) {
	e := r.entry
	e.Event, e.Reason, e.Complete = ev, reason, ev == journal.End
	r.vm.journal.Add(e)
}

func (r *run) refuse(ctx *fasthttp.RequestCtx, reason string) {
	r.add(journal.Refused, reason)
	ctx.Response.Header.Set(target.HeaderNotRun, "true")
	ctx.Response.Header.Set(target.HeaderRequestID, r.entry.RequestID)
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString(reason)
}

// enter gets a slot; false if the request does not run.
func (r *run) enter(ctx *fasthttp.RequestCtx) bool {
	priority, _ := strconv.Atoi(r.entry.Priority)
	verdict, ticket, reading := r.boot.gauge.Enter(time.Now(), priority)
	switch verdict {
	case capacity.Run:
		r.began(reading)
		return true
	case capacity.Break:
		r.began(reading)
		r.add(journal.Cut, "pushed beyond the cold limit")
		r.vm.fallOver(r.boot, "pushed beyond the cold limit by "+r.entry.RequestID)
		return false
	case capacity.Full:
		r.refuse(ctx, "queue is full")
		return false
	default:
		return r.wait(ctx, ticket)
	}
}

func (r *run) wait(ctx *fasthttp.RequestCtx, t *capacity.Ticket) bool {
	switch r.boot.gauge.Await(t, time.Now, r.conn.Gone()) {
	case capacity.Taken:
		r.began(r.boot.gauge.Read(time.Now()))
		return true
	case capacity.Closed:
		r.refuse(ctx, "the VM ended")
	case capacity.Left:
	}
	return false
}

// began journals the execution: from here on the request ran.
func (r *run) began(g capacity.Reading) {
	r.entry.Inflight, r.entry.Limit, r.entry.Cold = g.Running, g.Limit, g.Cold
	r.add(journal.Start, "")
}

func (r *run) execute(ctx *fasthttp.RequestCtx, closes bool) {
	if !r.pause(r.vm.opts.Work + r.plan.delay(r.nth)) {
		r.boot.gauge.Leave(time.Now(), false)
		r.add(journal.Cut, "the VM ended")
		r.conn.Cut()
		return
	}
	r.boot.gauge.Leave(time.Now(), true)
	r.add(journal.End, "")
	if closes {
		r.conn.Cut()
		return
	}
	if hitsNth(r.plan.LoseEvery, r.nth) {
		<-r.conn.Gone()
		return
	}
	ctx.Response.Header.Set(target.HeaderRequestID, r.answer.RequestID)
	host.Reply(ctx, fasthttp.StatusOK, r.answer)
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
