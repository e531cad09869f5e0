package engine

import (
	"bufio"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ragwortquay/ragwortquay/internal/standin/capacity"
	"github.com/ragwortquay/ragwortquay/internal/standin/host"
	"github.com/ragwortquay/ragwortquay/internal/standin/journal"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

// MaxTokens bounds the tokens of one response.
const MaxTokens = 100_000

// responseInput is what the content of a response depends on.
type responseInput struct {
	requestID string
	prompt    string
}

// run is the processing of one request.
type run struct {
	vm        *vm
	session   *session
	conn      *host.Conn
	req       target.GenerateRequest
	entry     journal.Entry // base of the entries of all its events
	prefixHit bool
	input     responseInput // of another request if SwapResponseEvery applies
	delay     time.Duration
}

func (v *vm) generate(ctx *fasthttp.RequestCtx) {
	var req target.GenerateRequest
	if !host.ParseJSON(ctx, &req) {
		return
	}
	if req.MaxTokens <= 0 || req.MaxTokens > MaxTokens || req.ResumeFrom < 0 || req.ResumeFrom > req.MaxTokens {
		ctx.Error(fmt.Sprintf("max_tokens %d must be 1 to %d, resume_from %d must be 0 to max_tokens", req.MaxTokens, MaxTokens, req.ResumeFrom), fasthttp.StatusBadRequest)
		return
	}
	r := v.newRun(ctx, req)
	if r == nil {
		v.refuse(ctx, "not the leader of a ready group")
		return
	}
	r.conn.WatchClose()
	if !r.acquireSlot(ctx) {
		return
	}
	r.respond(ctx)
}

// newRun returns the run of an arriving request, or nil if the VM isn't the leader
// of a ready group.
func (v *vm) newRun(ctx *fasthttp.RequestCtx, req target.GenerateRequest) *run {
	h := &ctx.Request.Header
	id := string(h.Peek(target.HeaderRequestID))
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.report.State != target.EngineReady || v.report.Rank != 0 {
		return nil
	}
	r := &run{vm: v, session: v.session, conn: host.ConnOf(ctx), req: req, entry: requestEntry(h)}
	r.entry.FencingToken, r.entry.BootID = v.report.Fence, v.report.BootID
	r.prefixHit = v.prefixes.lookup(req.Prompt)
	v.requestCount++
	r.input = responseInput{requestID: id, prompt: req.Prompt}
	r.delay = v.faults.delay(v.requestCount)
	if isNth(v.faults.SwapResponseEvery, v.requestCount) && v.previousInput.requestID != "" {
		r.input = v.previousInput
	}
	v.previousInput = responseInput{requestID: id, prompt: req.Prompt}
	return r
}

func requestEntry(h *fasthttp.RequestHeader) journal.Entry {
	return journal.Entry{
		RequestID: string(h.Peek(target.HeaderRequestID)), AttemptID: string(h.Peek(target.HeaderAttemptID)),
		IdempotencyKey: string(h.Peek(target.HeaderIdempotencyKey)), Workspace: string(h.Peek(target.HeaderWorkspace)),
		Priority: string(h.Peek(target.HeaderPriority)),
	}
}

// refuse journals the request as refused and tells the caller that it was not
// executed.
func (v *vm) refuse(ctx *fasthttp.RequestCtx, reason string) {
	v.mu.Lock()
	e := v.journalEntry(journal.RequestRefused)
	v.mu.Unlock()
	request := requestEntry(&ctx.Request.Header)
	e.RequestID, e.AttemptID, e.IdempotencyKey, e.Workspace = request.RequestID, request.AttemptID, request.IdempotencyKey, request.Workspace
	e.Reason = reason
	v.journal.Add(e)
	ctx.Response.Header.Set(target.HeaderNotRun, "true")
	ctx.Response.Header.Set(target.HeaderRequestID, request.RequestID)
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString(reason)
}

// acquireSlot takes a slot, waiting in the queue if needed. It returns false if the
// request doesn't run.
func (r *run) acquireSlot(ctx *fasthttp.RequestCtx) bool {
	priority, _ := strconv.Atoi(r.entry.Priority)
	admission, ticket, state := r.session.limiter.Admit(time.Now(), priority)
	switch admission {
	case capacity.Admitted:
		r.recordStart(state)
		return true
	case capacity.Overloaded:
		r.recordStart(state)
		r.recordEvent(journal.RequestAborted, 0, "pushed beyond the cold limit")
		r.vm.crash(r.session, "pushed beyond the cold limit by "+r.entry.RequestID)
		return false
	case capacity.QueueFull:
		r.vm.refuse(ctx, "queue is full")
		return false
	default:
		return r.awaitSlot(ctx, ticket)
	}
}

// awaitSlot waits in the engine's queue until a slot is granted, the group ends or
// the caller closes its connection.
func (r *run) awaitSlot(ctx *fasthttp.RequestCtx, t *capacity.Ticket) bool {
	switch r.session.limiter.Await(t, time.Now, r.conn.Closed()) {
	case capacity.SlotAcquired:
		r.recordStart(r.session.limiter.Snapshot(time.Now()))
		return true
	case capacity.LimiterClosed:
		r.vm.refuse(ctx, "the group ended")
	case capacity.CallerGone:
	}
	return false
}

// recordStart journals the start of the execution.
func (r *run) recordStart(state capacity.Snapshot) {
	r.entry.Inflight, r.entry.Limit, r.entry.Cold = state.Running, state.Limit, state.Cold
	r.entry.VM, r.entry.PrefixHit = r.vm.info.ID, r.prefixHit
	r.vm.mu.Lock()
	fencingToken, members := r.vm.report.Fence, r.vm.members
	r.entry.Draining = r.vm.faults.Draining
	r.vm.mu.Unlock()
	if len(members) > 1 {
		r.entry.GroupIncomplete = r.vm.localMemberMissing(fencingToken, members[1:])
	}
	r.recordEvent(journal.RequestStarted, 0, "")
}

func (r *run) recordEvent(event journal.Event, tokens int, reason string) {
	e := r.entry
	e.Event, e.Tokens, e.Reason, e.ResponseComplete = event, tokens, reason, event == journal.RequestCompleted
	r.vm.journal.Add(e)
}

// respond starts the response. fasthttp writes the stream after the handler has
// returned.
func (r *run) respond(ctx *fasthttp.RequestCtx) {
	if poison := r.vm.poisonText(); poison != "" && strings.Contains(r.req.Prompt, poison) {
		r.recordEvent(journal.RequestAborted, 0, "poison")
		r.vm.crash(r.session, "crashed by "+r.entry.RequestID)
		return
	}
	if !r.sleep(r.delay) {
		r.abort(0)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(target.HeaderRequestID, r.input.requestID)
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(r.writeStream)
}

func (r *run) prefillTime() time.Duration {
	if r.prefixHit {
		return r.vm.opts.Timing.PrefillHit
	}
	return r.vm.opts.Timing.Prefill
}

// sleep waits for d. It returns false if the session ends or the caller closes its
// connection before.
func (r *run) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.session.ended:
		return false
	case <-r.conn.Closed():
		return false
	}
}

// awaitStep waits for the end of the current decoding step. It returns false if the
// session ends or the caller closes its connection before.
func (r *run) awaitStep() bool {
	select {
	case <-r.session.batch.stepEnded():
		return true
	case <-r.session.ended:
		return false
	case <-r.conn.Closed():
		return false
	}
}

// writeStream writes the tokens, one per decoding step, and the end of the stream.
func (r *run) writeStream(w *bufio.Writer) {
	if !r.sleep(r.prefillTime()) {
		r.abort(0)
		return
	}
	r.session.batch.join()
	defer r.session.batch.leave()
	for i := r.req.ResumeFrom + 1; i <= r.req.MaxTokens; i++ {
		if !r.awaitStep() || writeToken(w, r.input.prompt, i) != nil {
			r.abort(i - 1)
			return
		}
	}
	if writeEnd(w, r.input.requestID, r.req.MaxTokens) != nil {
		r.abort(r.req.MaxTokens)
		return
	}
	r.session.limiter.Release(time.Now(), true)
	r.recordEvent(journal.RequestCompleted, r.req.MaxTokens, "")
}

// abort ends a run after the given number of tokens. It resets the connection, so
// that the stream can't appear complete.
func (r *run) abort(tokens int) {
	r.session.limiter.Release(time.Now(), false)
	if r.sessionEnded() || r.conn.WasReset() {
		r.recordEvent(journal.RequestAborted, tokens, "the VM or its group ended")
	} else {
		r.recordEvent(journal.RequestCanceled, tokens, "the caller went away")
	}
	r.conn.Reset()
}

// sessionEnded reports whether the run's session has ended.
func (r *run) sessionEnded() bool {
	select {
	case <-r.session.ended:
		return true
	default:
		return false
	}
}
