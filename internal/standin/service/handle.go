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

// run is the processing of one request.
type run struct {
	vm            *vm
	incarnation   *incarnation
	conn          *host.Conn
	entry         journal.Entry
	faults        Faults // active at arrival
	requestNumber int    // counted from 1, in order of arrival at the VM
	response      oracle.ServiceResponse
}

// Handle executes requests to any path except that of the VM's report.
func (v *vm) Handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/v1/report" {
		host.ReplyJSON(ctx, fasthttp.StatusOK, v.report())
		return
	}
	r := v.newRun(ctx)
	r.conn.WatchClose()
	closeConn := r.faults.CloseOnNth > 0 && ctx.ConnRequestNum() >= uint64(r.faults.CloseOnNth)
	if closeConn && !r.faults.CloseAfterRun {
		r.conn.Reset()
		return
	}
	if isNth(r.faults.RefuseEvery, r.requestNumber) {
		r.refuse(ctx, "refused by an injected fault")
		return
	}
	if !r.acquireSlot(ctx) {
		return
	}
	r.execute(ctx, closeConn)
}

// delay returns how long the response to the n-th request is delayed after its
// execution.
func (f Faults) delay(n int) time.Duration {
	ms := f.DelayMS
	if isNth(f.DelayEvery, n) {
		ms += f.DelayEveryMS
	}
	return time.Duration(ms) * time.Millisecond
}

// isNth reports whether a fault that hits every given number of requests hits the
// n-th one.
func isNth(every, n int) bool { return every > 0 && n%every == 0 }

// newRun returns the run of an arriving request, with the response and the faults
// that apply to it.
func (v *vm) newRun(ctx *fasthttp.RequestCtx) *run {
	h := &ctx.Request.Header
	response := oracle.NewServiceResponse(string(h.Peek(target.HeaderRequestID)), string(ctx.Method()), string(ctx.Path()), ctx.PostBody())
	v.mu.Lock()
	defer v.mu.Unlock()
	v.requestCount++
	r := &run{vm: v, incarnation: v.incarnation, conn: host.ConnOf(ctx), faults: v.faults, requestNumber: v.requestCount, response: response}
	if isNth(v.faults.SwapResponseEvery, v.requestCount) && v.previousResponse.RequestID != "" {
		r.response = v.previousResponse
	}
	v.previousResponse = response
	r.entry = journal.Entry{
		VM: v.info.ID, BootID: v.incarnation.id, Path: response.Path, RequestID: response.RequestID, Draining: v.faults.Draining,
		AttemptID: string(h.Peek(target.HeaderAttemptID)), IdempotencyKey: string(h.Peek(target.HeaderIdempotencyKey)),
		Workspace: string(h.Peek(target.HeaderWorkspace)), Priority: string(h.Peek(target.HeaderPriority)),
	}
	return r
}

func (r *run) recordEvent(event journal.Event, reason string) {
	e := r.entry
	e.Event, e.Reason, e.ResponseComplete = event, reason, event == journal.RequestCompleted
	r.vm.journal.Add(e)
}

// refuse journals the request as refused and tells the caller that it was not
// executed.
func (r *run) refuse(ctx *fasthttp.RequestCtx, reason string) {
	r.recordEvent(journal.RequestRefused, reason)
	ctx.Response.Header.Set(target.HeaderNotRun, "true")
	ctx.Response.Header.Set(target.HeaderRequestID, r.entry.RequestID)
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString(reason)
}

// acquireSlot takes a slot, waiting in the queue if needed. It returns false if the
// request doesn't run.
func (r *run) acquireSlot(ctx *fasthttp.RequestCtx) bool {
	priority, _ := strconv.Atoi(r.entry.Priority)
	admission, ticket, state := r.incarnation.limiter.Admit(time.Now(), priority)
	switch admission {
	case capacity.Admitted:
		r.recordStart(state)
		return true
	case capacity.Overloaded:
		r.recordStart(state)
		r.recordEvent(journal.RequestAborted, "pushed beyond the cold limit")
		r.vm.crash(r.incarnation, "pushed beyond the cold limit by "+r.entry.RequestID)
		return false
	case capacity.QueueFull:
		r.refuse(ctx, "queue is full")
		return false
	default:
		return r.awaitSlot(ctx, ticket)
	}
}

func (r *run) awaitSlot(ctx *fasthttp.RequestCtx, t *capacity.Ticket) bool {
	switch r.incarnation.limiter.Await(t, time.Now, r.conn.Closed()) {
	case capacity.SlotAcquired:
		r.recordStart(r.incarnation.limiter.Snapshot(time.Now()))
		return true
	case capacity.LimiterClosed:
		r.refuse(ctx, "the VM ended")
	case capacity.CallerGone:
	}
	return false
}

// recordStart journals the start of the execution. From here on the request counts
// as executed.
func (r *run) recordStart(state capacity.Snapshot) {
	r.entry.Inflight, r.entry.Limit, r.entry.Cold = state.Running, state.Limit, state.Cold
	r.recordEvent(journal.RequestStarted, "")
}

// execute executes the request and sends the response, unless a fault prevents it.
func (r *run) execute(ctx *fasthttp.RequestCtx, closeConn bool) {
	if !r.work(r.vm.opts.WorkTime + r.faults.delay(r.requestNumber)) {
		r.incarnation.limiter.Release(time.Now(), false)
		r.recordEvent(journal.RequestAborted, "the VM ended")
		r.conn.Reset()
		return
	}
	r.incarnation.limiter.Release(time.Now(), true)
	r.recordEvent(journal.RequestCompleted, "")
	if closeConn {
		r.conn.Reset()
		return
	}
	if isNth(r.faults.DropResponseEvery, r.requestNumber) {
		<-r.conn.Closed()
		return
	}
	ctx.Response.Header.Set(target.HeaderRequestID, r.response.RequestID)
	host.ReplyJSON(ctx, fasthttp.StatusOK, r.response)
}

// work waits for the duration d of the execution. It returns false if the VM was
// halted before. Like a real service it continues when the caller closes its
// connection.
func (r *run) work(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.incarnation.ended:
		return false
	}
}
