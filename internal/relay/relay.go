package relay

import (
	"cmp"
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/admission"
	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/directory"
	"github.com/ragwortquay/ragwortquay/internal/retry"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/suspect"
)

const (
	// configFreshFraction is the fraction of ConfigBound up to which the age of a
	// configuration counts as fresh. Only a fresh configuration may be the reason
	// for a refusal.
	configFreshFraction = 0.75
	// keyTrustFraction is the fraction of RevokeBound up to which the age of the
	// configuration lets a key be trusted. The remainder covers the time from the
	// check until the engine has the request.
	keyTrustFraction = 0.8
	// minRemainingFraction is the least fraction of the route's target latency that
	// must remain before the deadline for an attempt to be sent.
	minRemainingFraction = 0.2
	// maxRetryAfter bounds the RetryAfter of a refusal. A lost group is replaced
	// within about this time.
	maxRetryAfter = 2 * time.Second
	// retryAfterFraction bounds the RetryAfter of a refusal as a fraction of the
	// time left to the client. Clients honour a RetryAfter of at most a third of
	// it.
	retryAfterFraction = 0.3
	// maxRejections is how many engines may reject a request without running it, in
	// addition to the route's MaxAttempts. Each rejection that is followed by
	// another attempt takes a retry from the shared budget.
	maxRejections = 2
	// stoppingRetryAfter is the RetryAfter of requests that this daemon cannot send
	// before it exits. It is short because any other daemon can serve them.
	stoppingRetryAfter = 50 * time.Millisecond
	// defaultClientTimeout applies to a client that sends no deadline.
	defaultClientTimeout = 30 * time.Second
)

// Options configure a Relay. All fields but OnTransfer are required.
type Options struct {
	Directory   *directory.Directory
	Tracker     *balance.Tracker
	Sender      EngineSender
	Demand      *balance.Demand
	Ledger      *admission.Ledger
	Tenants     *admission.TenantLedger
	RetryBudget *retry.SharedBudget
	Zone        string
	// ZoneCost is the cost of traffic between zones in milliseconds per MB, 0 for none.
	// AnswerSizes learns how much of it an answer is.
	ZoneCost    float64
	AnswerSizes *balance.AnswerSizes
	// ConfigBound is the time within which daemons must apply a new configuration.
	// With StrictRevoke set, RevokeBound is the time within which a revoked key
	// must be refused.
	ConfigBound  time.Duration
	StrictRevoke bool
	RevokeBound  time.Duration
	// BufferBytes bounds the memory of large response bodies that are read whole
	// before they are delivered.
	BufferBytes int64
	// Observer records the outcome of each request.
	Observer Observer
	// OnTransfer, if not nil, is called with the bytes of each write to and each read
	// from an engine in the given zone.
	OnTransfer func(zone string, sent, received int)
	// OnSuspect is called when an engine has made no progress for too long.
	OnSuspect func(id string, group catalog.GroupID)
	// OnLeaving is called when the incarnation of an engine that started at startMS
	// (Unix milliseconds) has stated in the response to the request that it leaves.
	// It reports whether that was not known.
	OnLeaving func(id string, startMS int64, requestID string) bool
	// EngineEnd finds out whether the incarnation of an engine that has broken off an
	// attempt has ended.
	EngineEnd func(ctx context.Context, e *catalog.Engine) EngineEnd
	// OnUndecided is called if that could not be found out.
	OnUndecided func(e *catalog.Engine, x suspect.Exposure)
	// Watch remembers under which requests engines have ended.
	Watch *suspect.Watch
	// Trials lets one attempt of a request under which engines have ended run at a time.
	Trials Trials
}

// Trials arranges the attempts of requests under which engines have ended, over all
// daemons.
type Trials interface {
	// Begin waits until the request may be tried, but not after giveUp, and reports false
	// if that lasts longer. The trial ends at until, or by its Release.
	Begin(ctx context.Context, id suspect.Identity, giveUp, until time.Time) (t Trial, ok bool)
}

// Trial is the permission to make one attempt.
type Trial struct {
	// Release ends the trial. It may be called more than once.
	Release func()
	// Prolong lets the trial end after the given time instead.
	Prolong func(time.Duration)
	// Suspected is set if engines have ended under the request, so that only the holder of
	// the trial may send it until it has an answer.
	Suspected bool
	// Exclusive is set if the request must not run at two engines at the same time:
	// several have ended under it.
	Exclusive bool
}

// Relay serves requests. It is safe for concurrent use.
type Relay struct {
	opts    Options
	buffers *bufferQuota
	// clientTimeouts tells requests that came back from new ones.
	clientTimeouts clientTimeouts
	// stopped ends when the process is about to exit; stop ends it.
	stopped context.Context
	stop    context.CancelFunc
}

// New returns a Relay with the given options.
func New(o Options) *Relay {
	r := &Relay{opts: o, buffers: newBufferQuota(o.BufferBytes), clientTimeouts: clientTimeouts{shard.NewMap[seenTimeout]()}}
	r.stopped, r.stop = context.WithCancel(context.Background())
	return r
}

// GiveUp ends all attempts under way because the process is about to exit, so that
// their clients still get an answer. No attempt is sent any more.
func (r *Relay) GiveUp() { r.stop() }

// job is the state of one request while it is being served.
type job struct {
	*Relay
	ctx context.Context
	req *Request
	w   Writer
	// config is the configuration by which the request was admitted or refused; it may be
	// nil.
	config   *catalog.Config
	route    *catalog.Route
	tenant   string
	priority int
	standing admission.Standing
	share    admission.Share
	// groupWork is the work of the request in seconds of a group, or 0 if its service
	// has no groups.
	groupWork float64
	// planned holds the log fields of what RetryAfter was planned by.
	planned  []any
	service  string
	identity suspect.Identity
	deadline time.Time // by the client's or the route's timeout, whichever is shorter
	// sends counts the attempts. possibleRuns counts those that have ended and that the
	// engine may have executed.
	sends        int
	possibleRuns int
	triedEngines map[string]bool
	// received counts the bytes that engines have sent.
	received atomic.Int64
	// leaveNotices, engineWaits and enginesEnded are the counts of the same names in the
	// summary, which several attempts may add to at once.
	leaveNotices, engineWaits, enginesEnded atomic.Int64
	summary                                 RequestSummary
}

// Serve serves the request. It returns when the response is complete or aborted, or
// the client has disconnected.
func (r *Relay) Serve(ctx context.Context, req *Request, w Writer) {
	j := &job{Relay: r, ctx: ctx, req: req, w: w, triedEngines: map[string]bool{}}
	if refusal := j.admit(); refusal != nil {
		j.refuse(*refusal)
		return
	}
	newExchange(j).run()
	j.report()
}

// CheckHead decides from the head of a request, before its body is read, whether its
// route and its key are known. It returns the deadline of the request, or refuses it to
// w and returns false. Serve decides again, since the configuration may change.
func (r *Relay) CheckHead(ctx context.Context, req *Request, w Writer) (deadline time.Time, ok bool) {
	j := &job{Relay: r, ctx: ctx, req: req, w: w}
	if refusal := j.checkHead(r.opts.Directory.Current()); refusal != nil {
		j.refuse(*refusal)
		return time.Time{}, false
	}
	return j.deadline, true
}

// checkHead sets the route, tenant, priority and deadline of the request by a configuration
// that was known to be the newest one an age ago, or returns a refusal.
func (j *job) checkHead(cfg *catalog.Config, age time.Duration) *Refusal {
	j.config = cfg
	if cfg == nil || !j.opts.Directory.Loaded() {
		return &Refusal{Cause: NotReady, RetryAfter: maxRetryAfter, Reason: "no configuration loaded yet"}
	}
	route, ok := cfg.Route(j.req.Host, j.req.Path)
	if !ok {
		return j.refuseByConfig(age, NoRoute, "no route matches")
	}
	j.route = route
	timeout := j.req.ClientTimeout
	if timeout <= 0 {
		timeout = defaultClientTimeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	j.deadline = j.req.Arrived.Add(timeout)
	j.priority = route.Priority
	if cfg.NeedsKey(route) {
		t, ok := cfg.Tenant(j.req.APIKey)
		if !ok {
			return j.refuseByConfig(age, UnknownKey, "no tenant has this key")
		}
		j.tenant = t.Name
		if t.HasPriority {
			j.priority = t.Priority
		}
	}
	if !j.keyTrusted(age) {
		return &Refusal{Cause: NotReady, RetryAfter: maxRetryAfter, Reason: "configuration too old to trust the key"}
	}
	return nil
}

// checkKey returns a refusal if a configuration that was known to be the newest one an age
// ago does not entitle the request to be sent, or nil. It is called just before a send: since
// the request was admitted, time has passed, and the key may have been taken away. Further
// attempts of a request that was sent need no valid key, only a recent configuration.
func (j *job) checkKey(cfg *catalog.Config, age, remaining time.Duration) *Refusal {
	if !j.keyTrusted(age) {
		return &Refusal{Cause: NotReady, RetryAfter: j.retryAfter(remaining), Reason: "configuration too old to trust the key"}
	}
	if cfg == j.config || j.tenant == "" || j.sends > 0 {
		return nil
	}
	if t, ok := cfg.Tenant(j.req.APIKey); !ok || t.Name != j.tenant {
		return j.refuseByConfig(age, UnknownKey, "the key was taken away from its tenant")
	}
	return nil
}

// admit sets the route, tenant, priority, deadline and service of the request, or
// returns a refusal.
func (j *job) admit() *Refusal {
	cfg, age := j.opts.Directory.Current()
	if refusal := j.checkHead(cfg, age); refusal != nil {
		return refusal
	}
	j.classify()
	j.service = j.route.SelectService(j.req.ID)
	j.identity = suspect.Identify(&suspect.Request{
		Service: j.service, Method: j.req.Method, Host: j.req.Host, Target: j.req.Target, Caller: j.caller(cfg), Body: j.req.Body, SharedParts: j.req.SharedParts,
	})
	if s, ok := cfg.Services[j.service]; ok {
		if s.Engine != nil {
			if m, ok := s.Engine.Model(j.req.Model); ok {
				j.summary.Service, j.summary.Model = s.Name, m.Name
			}
		}
		j.opts.Demand.RecordRequest(&s, j.req.Model, j.req.Work, j.req.Arrived)
		j.recordNew(&s)
		j.drawShare(cfg)
	}
	return nil
}

// caller returns the name of the client's tenant, also on a public route: routes may
// become public or cease to be.
func (j *job) caller(cfg *catalog.Config) string {
	if t, ok := cfg.Tenant(j.req.APIKey); ok {
		return t.Name
	}
	return j.tenant
}

// refuseByConfig returns a refusal with the given cause if the configuration, which was
// known to be the newest one an age ago, is fresh. A stale one may lack a new route or key,
// so the cause is then NotReady.
func (j *job) refuseByConfig(age time.Duration, cause Cause, reason string) *Refusal {
	if age < time.Duration(configFreshFraction*float64(j.opts.ConfigBound)) {
		return &Refusal{Cause: cause, Reason: reason}
	}
	return &Refusal{Cause: NotReady, RetryAfter: maxRetryAfter, Reason: "configuration not confirmed as current: " + reason}
}

// keyTrusted reports whether a configuration that was known to be the newest one an age ago
// is recent enough to trust that the request's key has not been revoked.
func (j *job) keyTrusted(age time.Duration) bool {
	if !j.opts.StrictRevoke || j.tenant == "" {
		return true
	}
	return age < time.Duration(keyTrustFraction*float64(j.opts.RevokeBound))
}

// candidates returns the engines that may serve the request and are not among the
// tried ones.
func (j *job) candidates(tried map[string]bool) []balance.Candidate {
	view, ok := j.opts.Directory.Service(j.service)
	if !ok {
		return nil
	}
	if view.Service.Engine != nil {
		return j.groupCandidates(view, tried)
	}
	out := make([]balance.Candidate, 0, len(view.Engines))
	for _, e := range view.Engines {
		if e.Draining || tried[e.ID] || j.opts.Directory.ZoneOutOfService(e.Zone) {
			continue
		}
		out = append(out, balance.Candidate{Head: e, Service: view.Service, TimeFactor: 1})
	}
	return out
}

// groupCandidates returns the heads of the groups that serve the request's model.
func (j *job) groupCandidates(view *directory.ServiceView, tried map[string]bool) []balance.Candidate {
	out := make([]balance.Candidate, 0, len(view.Groups))
	for i := range view.Groups {
		g := &view.Groups[i]
		if g.Model != j.req.Model && j.req.Model != "" || !g.Serving() || tried[g.Head().ID] {
			continue
		}
		c := balance.Candidate{Head: g.Head(), Service: view.Service, TimeFactor: 1, Late: j.standing == admission.Late}
		if m, ok := view.Service.Engine.Model(g.Model); ok {
			c.TimeFactor = m.TimeFactor
		}
		if !g.AnyMemberInZone(j.opts.Directory.ZoneOutOfService) {
			out = append(out, c)
		}
	}
	return out
}

// chooseEngine picks an engine for the next attempt, or returns the reason why
// there is none.
func (j *job) chooseEngine() (balance.Choice, *Refusal) {
	now := time.Now()
	remaining := j.deadline.Sub(now)
	if remaining < time.Duration(minRemainingFraction*float64(j.route.TargetLatency)) || remaining <= 0 {
		return balance.Choice{}, &Refusal{Cause: Expired, Reason: "too little time left before the deadline"}
	}
	if refusal := cmp.Or(j.stopping(), j.quarantined(j.possibleRuns > 0)); refusal != nil {
		return balance.Choice{}, refusal
	}
	candidates := j.candidates(j.triedEngines)
	r := j.admissionRequest(remaining)
	target := r.BacklogTarget()
	if j.sends > 0 {
		target = 0 // a request that was sent once is not refused for the backlog
	}
	choice, ok := balance.Choose(candidates, j.opts.Tracker, j.req.Work, j.zoneRule(), target, now)
	if !ok {
		return choice, j.refuseWithoutEngine(candidates, now)
	}
	if verdict := j.judge(choice, remaining); !verdict.Admitted {
		return choice, j.refuseForCapacity(verdict.Reason, now)
	}
	cfg, age := j.opts.Directory.Current()
	return choice, j.checkKey(cfg, age, remaining)
}

// stopping returns the refusal of a request for which there is no time before the
// process exits, or nil.
func (j *job) stopping() *Refusal {
	if j.stopped.Err() == nil {
		return nil
	}
	return &Refusal{Cause: NotReady, RetryAfter: stoppingRetryAfter, Reason: "this daemon exits before an engine has answered"}
}

// refuseWithoutEngine returns the refusal of a request that none of the candidates
// can be sent. If they have asked for a wait or ended, the client is told when the first
// of them may take requests again.
func (j *job) refuseWithoutEngine(candidates []balance.Candidate, now time.Time) *Refusal {
	at, waiting := balance.EarliestAvailable(candidates, j.opts.Tracker, now)
	if !waiting {
		return j.refuseForCapacity("no engine available", now)
	}
	refusal := j.refuseForCapacity("all engines have asked to wait or ended", now)
	refusal.RetryAfter = min(refusal.RetryAfter, at.Sub(now))
	return refusal
}

// refuseForCapacity returns the refusal of a request for which no engine has room,
// and records it in the demand for the model.
func (j *job) refuseForCapacity(reason string, now time.Time) *Refusal {
	if cfg := j.opts.Directory.Config(); cfg != nil && j.sends == 0 {
		if s, ok := cfg.Services[j.service]; ok {
			j.opts.Demand.RecordRefusal(&s, j.req.Model, j.req.Work, now)
		}
	}
	return &Refusal{Cause: NoEngine, RetryAfter: j.planReturn(now), Reason: reason}
}

// retryAfter returns the RetryAfter of a refusal to a client with the given time
// left.
func (j *job) retryAfter(remaining time.Duration) time.Duration {
	return min(maxRetryAfter, time.Duration(retryAfterFraction*float64(remaining)))
}

// transferTo returns the function that counts the bytes exchanged with an engine.
func (j *job) transferTo(e *catalog.Engine) func(sent, received int) {
	return func(sent, received int) {
		j.received.Add(int64(received))
		if j.opts.OnTransfer != nil {
			j.opts.OnTransfer(e.Zone, sent, received)
		}
	}
}

// recordNotices records what the head of a response, of whatever status, says about
// its engine: that it leaves, or wants no requests for some time.
func (a *attempt) recordNotices(resp Response) {
	e := a.engine
	if resp.Leaving() && a.opts.OnLeaving(e.ID, e.StartUnixMS, a.req.ID) {
		a.leaveNotices.Add(1)
		a.logDecision("engine leaves", "engine", e.ID, "status", resp.Status(), "announced_ms_ago", time.Since(e.SeenAt).Milliseconds())
	}
	seconds, ok := resp.RequestedWait()
	if !ok {
		return
	}
	wait, replaced := balance.BoundWait(seconds, a.longestDeadline())
	a.opts.Tracker.SetUnavailable(e, time.Now().Add(wait))
	a.engineWaits.Add(1)
	// The value is logged as text, since NaN and infinity have no JSON form.
	a.logDecision("engine asks to wait", "engine", e.ID, "status", resp.Status(), "wait_ms", wait.Milliseconds(),
		"asked_s", strconv.FormatFloat(seconds, 'g', -1, 64), "replaced", replaced)
}

// longestDeadline returns the longest time that a request may wait.
func (j *job) longestDeadline() time.Duration {
	if cfg := j.opts.Directory.Config(); cfg != nil && cfg.LongestTimeout() > 0 {
		return cfg.LongestTimeout()
	}
	return defaultClientTimeout
}

// refuseAfterAttempts refuses the request after its attempts failed. If one of them
// may have been executed, it replaces the cause by one that does not promise that
// the request has not run.
func (j *job) refuseAfterAttempts(r Refusal) {
	if j.possibleRuns > 0 {
		r.RetryAfter = 0
		switch r.Cause {
		case Quarantined: // makes no promise
		case TimedOut, Expired:
			r.Cause = TimedOut
		default:
			r.Cause = Failed
		}
	}
	j.refuse(r)
}

// refuse writes a refusal to the client and reports the outcome.
func (j *job) refuse(r Refusal) {
	if j.ctx.Err() != nil {
		j.summary.Outcome = "client_gone"
		return
	}
	j.summary.Outcome = r.Cause.String()
	fields := []any{
		"cause", r.Cause.String(), "reason", r.Reason, "retry_after_ms", r.RetryAfter.Milliseconds(), "standing", j.standing.String(),
		"config_age_ms", j.opts.Directory.ConfigAge().Milliseconds(), "may_have_run", j.possibleRuns > 0,
	}
	j.logDecision("refused", append(fields, j.planned...)...)
	j.w.Refuse(r)
	j.report()
}

// configVersion returns the version of the configuration by which the request was admitted
// or refused, or 0.
func (j *job) configVersion() int64 {
	if j.config == nil {
		return 0
	}
	return j.config.Version
}

// logDecision logs a decision about the request. event is the event name of the log
// line.
func (j *job) logDecision(event string, fields ...any) { j.logAfter(j.sends, event, fields...) }

// logAfter logs a decision about the request after the given number of sends.
func (j *job) logAfter(sends int, event string, fields ...any) {
	all := append([]any{"request", j.req.ID, "service", j.service, "config_version", j.configVersion(), "sends", sends, "ms", time.Since(j.req.Arrived).Milliseconds()}, fields...)
	klog.InfoS(event, all...)
}
