package engine

import (
	"bufio"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/standin/capacity"
	"github.com/ragwortquay/ragwortquay/internal/standin/host"
	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// MaxTokens bounds one answer.
const MaxTokens = 100_000

// content is what an answer depends on.
type content struct {
	requestID string
	prompt    string
}

// run is one request under way.
type run struct {
	vm      *vm
	session *session
	conn    *host.Conn
	req     target.GenerateRequest
	entry   journal.Entry // filled in for each event
	hit     bool
	answer  content // what is answered: another request's when mixed up
	late    time.Duration
}

func (v *vm) generate(ctx *fasthttp.RequestCtx) {
	var req target.GenerateRequest
	if !host.ParseJSON(ctx, &req) {
		return
	}
	if req.MaxTokens <= 0 || req.MaxTokens > MaxTokens || req.ResumeFrom < 0 || req.ResumeFrom > req.MaxTokens {
		ctx.Error("max_tokens or resume_from is out of range", fasthttp.StatusBadRequest)
		return
	}
	r := v.arrive(ctx, req)
	if r == nil {
		v.refuse(ctx, "not the leader of a ready group")
		return
	}
	r.conn.WatchClose()
	if !r.enter(ctx) {
		return
	}
	r.start(ctx)
}

// arrive returns the run of a request, or nil if the VM leads no ready group.
func (v *vm) arrive(ctx *fasthttp.RequestCtx, req target.GenerateRequest) *run {
	h := &ctx.Request.Header
	id := string(h.Peek(target.HeaderRequestID))
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.report.State != target.EngineReady || v.report.Rank != 0 {
		return nil
	}
	r := &run{vm: v, session: v.session, conn: host.ConnOf(ctx), req: req, entry: requestEntry(h)}
	r.entry.FencingToken, r.entry.BootID = v.report.Fence, v.report.BootID
	r.hit = v.prefixes.touch(req.Prompt)
	v.requests++
	r.answer = content{requestID: id, prompt: req.Prompt}
	r.late = v.behaviour.delay(v.requests)
	if hitsNth(v.behaviour.SwapResponseEvery, v.requests) && v.previous.requestID != "" {
		r.answer = v.previous
	}
	v.previous = content{requestID: id, prompt: req.Prompt}
	return r
}

func requestEntry(h *fasthttp.RequestHeader) journal.Entry {
	return journal.Entry{
		RequestID: string(h.Peek(target.HeaderRequestID)), AttemptID: string(h.Peek(target.HeaderAttemptID)),
		IdempotencyKey: string(h.Peek(target.HeaderIdempotencyKey)), Workspace: string(h.Peek(target.HeaderWorkspace)),
		Priority: string(h.Peek(target.HeaderPriority)),
	}
}

func (v *vm) refuse(ctx *fasthttp.RequestCtx, reason string) {
	v.mu.Lock()
	e := v.entry(journal.RequestRefused)
	v.mu.Unlock()
	q := requestEntry(&ctx.Request.Header)
	e.RequestID, e.AttemptID, e.IdempotencyKey, e.Workspace = q.RequestID, q.AttemptID, q.IdempotencyKey, q.Workspace
	e.Reason = reason
	v.journal.Add(e)
	ctx.Response.Header.Set(target.HeaderNotRun, "true")
	ctx.Response.Header.Set(target.HeaderRequestID, q.RequestID)
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString(reason)
}

// enter gets a slot; false if the request does not run.
func (r *run) enter(ctx *fasthttp.RequestCtx) bool {
	priority, _ := strconv.Atoi(r.entry.Priority)
	verdict, ticket, reading := r.session.gauge.Admit(time.Now(), priority)
	switch verdict {
	case capacity.Admitted:
		r.began(reading)
		return true
	case capacity.Overloaded:
		r.began(reading)
		r.add(journal.RequestAborted, 0, "pushed beyond the cold limit")
		r.vm.fallOver(r.session, "pushed beyond the cold limit by "+r.entry.RequestID)
		return false
	case capacity.QueueFull:
		r.vm.refuse(ctx, "queue is full")
		return false
	default:
		return r.wait(ctx, ticket)
	}
}

// wait waits in the engine's queue.
func (r *run) wait(ctx *fasthttp.RequestCtx, t *capacity.Ticket) bool {
	switch r.session.gauge.Await(t, time.Now, r.conn.Closed()) {
	case capacity.SlotAcquired:
		r.began(r.session.gauge.Snapshot(time.Now()))
		return true
	case capacity.LimiterClosed:
		r.vm.refuse(ctx, "the group ended")
	case capacity.CallerGone:
	}
	return false
}

// began journals the start of the run.
func (r *run) began(g capacity.Snapshot) {
	r.entry.Inflight, r.entry.Limit, r.entry.Cold = g.Running, g.Limit, g.Cold
	r.entry.VM, r.entry.PrefixHit = r.vm.info.ID, r.hit
	r.vm.mu.Lock()
	fence, members := r.vm.report.Fence, r.vm.members
	r.entry.Draining = r.vm.behaviour.Draining
	r.vm.mu.Unlock()
	if len(members) > 1 {
		r.entry.GroupIncomplete = r.vm.localMemberMissing(fence, members[1:])
	}
	r.add(journal.RequestStarted, 0, "")
}

func (r *run) add(ev journal.Event, tokens int, reason string) {
	e := r.entry
	e.Event, e.Tokens, e.Reason, e.ResponseComplete = ev, tokens, reason, ev == journal.RequestCompleted
	r.vm.journal.Add(e)
}

// start answers: the stream is written after the handler has returned.
func (r *run) start(ctx *fasthttp.RequestCtx) {
	if m := r.vm.poison(); m != "" && strings.Contains(r.req.Prompt, m) {
		r.add(journal.RequestAborted, 0, "poison")
		r.vm.fallOver(r.session, "crashed by "+r.entry.RequestID)
		return
	}
	if !r.pause(r.late) {
		r.stop(0)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(target.HeaderRequestID, r.answer.requestID)
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(r.stream)
}

func (r *run) prefill() time.Duration {
	if r.hit {
		return r.vm.opts.Timing.PrefillHit
	}
	return r.vm.opts.Timing.Prefill
}

// pause waits for d; false if the run is over before.
func (r *run) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.session.over:
		return false
	case <-r.conn.Closed():
		return false
	}
}

// nextStep waits for the end of the step under way; false if the run is over
// before.
func (r *run) nextStep() bool {
	select {
	case <-r.session.clock.next():
		return true
	case <-r.session.over:
		return false
	case <-r.conn.Closed():
		return false
	}
}

func (r *run) stream(w *bufio.Writer) {
	if !r.pause(r.prefill()) {
		r.stop(0)
		return
	}
	r.session.clock.join()
	defer r.session.clock.leave()
	for i := r.req.ResumeFrom + 1; i <= r.req.MaxTokens; i++ {
		if !r.nextStep() || writeToken(w, r.answer.prompt, i) != nil {
			r.stop(i - 1)
			return
		}
	}
	if writeEnd(w, r.answer.requestID, r.req.MaxTokens) != nil {
		r.stop(r.req.MaxTokens)
		return
	}
	r.session.gauge.Release(time.Now(), true)
	r.add(journal.RequestCompleted, r.req.MaxTokens, "")
}

// stop ends a run that is not whole: its connection is reset, so that the
// stream has no proper end.
func (r *run) stop(tokens int) {
	r.session.gauge.Release(time.Now(), false)
	if r.ended() || r.conn.WasReset() {
		r.add(journal.RequestAborted, tokens, "the VM or its group ended")
	} else {
		r.add(journal.RequestCanceled, tokens, "the caller went away")
	}
	r.conn.Reset()
}

// ended reports whether the session is over.
func (r *run) ended() bool {
	select {
	case <-r.session.over:
		return true
	default:
		return false
	}
}
