package relay

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/directory"
	"github.com/ragwortquay/ragwortquay/internal/retry"
)

const (
	// freshPart is the part of the bound for configurations within which a
	// configuration counts as known to be the newest, for refusals by it.
	freshPart = 0.75
	// revokePart is the part of the bound for revoked keys within which a key is
	// trusted; the rest covers the time from the check to the engine.
	revokePart = 0.8
	// leastLeft is the least part of the aim that must be left for a send.
	leastLeft = 0.2
	// comeBack bounds a refusal's time to return; a lost group is formed anew
	// within about that time.
	comeBack = 2 * time.Second
	// comeBackPart bounds that time by the client's time left; clients honour a third.
	comeBackPart = 0.3
	// maxRejections is how many engines may refuse a request unrun beside those
	// that may run it; each of them counts as a repeat in the shared budget.
	maxRejections = 2
	// defaultPatience is assumed of a client that names no deadline.
	defaultPatience = 30 * time.Second
)

// Options configure a Relay. All fields are required.
type Options struct {
	Directory   *directory.Directory
	Tracker     *balance.Tracker
	Sender      EngineSender
	Demand      *balance.Demand
	RetryBudget *retry.SharedBudget
	Zone        string
	// ConfigBound and RevokeBound are the bounds in force; StrictRevoke binds
	// keys to the latter.
	ConfigBound  time.Duration
	StrictRevoke bool
	RevokeBound  time.Duration
	// Observer takes the outcome of each request.
	Observer Observer
	// OnSuspect is told of engines that stand still.
	OnSuspect func(id string, group catalog.GroupID)
}

// Relay serves requests. It is safe for concurrent use.
type Relay struct{ o Options }

// New returns a relay.
func New(o Options) *Relay { return &Relay{o} }

// job is one request under way.
type job struct {
	*Relay
	ctx     context.Context
	req     *Request
	w       Writer
	route   *catalog.Route
	tenant  string
	prio    int
	service string
	end     time.Time // of the client's patience and the route's timeout
	// sends counts the engines that were tried, runs those that may have begun
	// the request.
	sends int
	runs  int
	tried map[string]bool
	note  RequestSummary
}

// Serve answers the request. It returns when the answer is complete, broken
// off, or the client has left.
func (r *Relay) Serve(ctx context.Context, req *Request, w Writer) {
	j := &job{Relay: r, ctx: ctx, req: req, w: w, tried: map[string]bool{}}
	if refusal := j.admit(); refusal != nil {
		j.refuse(*refusal)
		return
	}
	if j.route.Kind == catalog.Stream {
		j.stream()
	} else {
		j.exchange()
	}
	j.finish()
}

// admit finds the route and the tenant, or the reason for a refusal.
func (j *job) admit() *Refusal {
	cfg := j.o.Directory.Config()
	if cfg == nil || !j.o.Directory.Loaded() {
		return &Refusal{Cause: NotReady, RetryAfter: comeBack, Reason: "no configuration yet"}
	}
	fresh := j.o.Directory.ConfigAge() < time.Duration(freshPart*float64(j.o.ConfigBound))
	route, ok := cfg.Route(j.req.Host, j.req.Path)
	if !ok {
		return j.byConfig(fresh, NoRoute, "no route matches")
	}
	j.route = route
	patience := j.req.ClientTimeout
	if patience <= 0 {
		patience = defaultPatience
	}
	if route.Timeout > 0 {
		patience = min(patience, route.Timeout)
	}
	j.end = j.req.Arrived.Add(patience)
	j.prio = route.Priority
	if cfg.NeedsKey(route) {
		t, ok := cfg.Tenant(j.req.APIKey)
		if !ok {
			return j.byConfig(fresh, UnknownKey, "no tenant holds the key")
		}
		j.tenant = t.Name
		if t.HasPriority {
			j.prio = t.Priority
		}
	}
	if !j.keyTrusted() {
		return &Refusal{Cause: NotReady, RetryAfter: comeBack, Reason: "keys not confirmed"}
	}
	j.service = route.SelectService(j.req.ID)
	if s, ok := cfg.Services[j.service]; ok {
		j.o.Demand.RecordRequest(&s, j.req.Model, j.req.Work, j.req.Arrived)
	}
	return nil
}

// byConfig refuses by the configuration if it is fresh; an old one proves nothing.
func (j *job) byConfig(fresh bool, cause Cause, reason string) *Refusal {
	if fresh {
		return &Refusal{Cause: cause, Reason: reason}
	}
	return &Refusal{Cause: NotReady, RetryAfter: comeBack, Reason: "configuration not confirmed; " + reason}
}

// keyTrusted reports whether the request may be sent as far as its key goes.
func (j *job) keyTrusted() bool {
	if !j.o.StrictRevoke || j.tenant == "" {
		return true
	}
	return j.o.Directory.ConfigAge() < time.Duration(revokePart*float64(j.o.RevokeBound))
}

// candidates returns the engines that may take the request and were not tried.
func (j *job) candidates() []balance.Candidate {
	view, ok := j.o.Directory.Service(j.service)
	if !ok {
		return nil
	}
	if view.Service.Engine != nil {
		return j.groups(view)
	}
	out := make([]balance.Candidate, 0, len(view.Engines))
	for _, e := range view.Engines {
		if e.Draining || j.tried[e.ID] || j.o.Directory.ZoneOutOfService(e.Zone) {
			continue
		}
		out = append(out, balance.Candidate{Head: e, Service: view.Service, Pace: 1})
	}
	return out
}

// groups returns the groups that serve the request's model.
func (j *job) groups(view *directory.ServiceView) []balance.Candidate {
	out := make([]balance.Candidate, 0, len(view.Groups))
	for i := range view.Groups {
		g := &view.Groups[i]
		if g.Model != j.req.Model && j.req.Model != "" || !g.Serving() || j.tried[g.Head().ID] {
			continue
		}
		c := balance.Candidate{Head: g.Head(), Service: view.Service, Pace: 1}
		if m, ok := view.Service.Engine.Model(g.Model); ok {
			c.Pace = m.TimeFactor
		}
		if !g.AnyMemberInZone(j.o.Directory.ZoneOutOfService) {
			out = append(out, c)
		}
	}
	return out
}

// choose picks an engine for the next attempt, or gives the reason against one.
func (j *job) choose() (balance.Choice, *Refusal) {
	now := time.Now()
	left := j.end.Sub(now)
	if left < time.Duration(leastLeft*float64(j.route.TargetLatency)) || left <= 0 {
		return balance.Choice{}, &Refusal{Cause: Expired, Reason: "no time left"}
	}
	choice, ok := balance.Choose(j.candidates(), j.o.Tracker, j.req.Work, j.o.Zone, now)
	if !ok {
		return choice, &Refusal{Cause: NoEngine, RetryAfter: j.comeBack(left), Reason: "no engine may take it"}
	}
	if choice.Predicted.FirstEvent > left {
		return choice, &Refusal{Cause: NoEngine, RetryAfter: j.comeBack(left), Reason: "the wait would outlast the client"}
	}
	if j.sends == 0 && !balance.Admit(choice, j.route.TargetLatency) {
		return choice, &Refusal{Cause: NoEngine, RetryAfter: j.comeBack(left), Reason: "all engines are busy"}
	}
	if !j.keyTrusted() {
		return choice, &Refusal{Cause: NotReady, RetryAfter: j.comeBack(left), Reason: "keys not confirmed"}
	}
	return choice, nil
}

func (j *job) comeBack(left time.Duration) time.Duration {
	return min(comeBack, time.Duration(comeBackPart*float64(left)))
}

// send sends the request to the chosen engine. Whatever it returns, the caller
// tells the tracker of the end.
func (j *job) send(ctx context.Context, c balance.Choice, lastEvent string) (Response, error) {
	e := c.Candidate.Head
	now := time.Now()
	j.note.Engine, j.note.PredictedFirstEvent, j.note.EngineLoad = e.ID, c.Predicted.FirstEvent, c.Load.InFlight
	if j.sends == 0 {
		j.o.RetryBudget.Deposit(j.service, now)
	}
	j.sends++
	j.tried[e.ID] = true
	j.o.Tracker.Begin(e, j.req.Work, now)
	return j.o.Sender.Send(ctx, &Attempt{
		Request: j.req, Engine: e, Tenant: j.tenant, Priority: j.prio,
		Remaining: j.end.Sub(now), LastEventID: lastEvent, AtMostOnce: !j.route.Repeatable(),
	})
}

// mayRepeat reports whether another engine may be tried, and takes it from the
// budget. ran says that the last attempt may have run.
func (j *job) mayRepeat(ran bool, why string) bool {
	if ran {
		j.runs++
	}
	tried := j.runs >= j.route.MaxAttempts || j.sends >= j.route.MaxAttempts+maxRejections
	if j.ctx.Err() != nil || (ran && !j.route.Repeatable()) || tried {
		return false
	}
	if !j.o.RetryBudget.TrySpend(j.service, time.Now()) {
		j.log("retry refused by the budget", "why", why)
		return false
	}
	j.note.Retries++
	j.log("retry", "why", why, "budget_left", j.o.RetryBudget.Remaining(j.service))
	return true
}

// giveUp ends a request without an answer of an engine.
func (j *job) giveUp(r Refusal) {
	if j.runs > 0 {
		r.RetryAfter = 0
		if r.Cause != TimedOut && r.Cause != Expired {
			r.Cause = Failed
		} else {
			r.Cause = TimedOut
		}
	}
	j.refuse(r)
}

func (j *job) refuse(r Refusal) {
	if j.ctx.Err() != nil {
		j.note.Outcome = "client_gone"
		return
	}
	j.note.Outcome = r.Cause.String()
	j.log("refused", "cause", r.Cause.String(), "reason", r.Reason, "retry_after_ms", r.RetryAfter.Milliseconds(),
		"config_age_ms", j.o.Directory.ConfigAge().Milliseconds(), "may_have_run", j.runs > 0)
	j.w.Refuse(r)
	j.finish()
}

// log writes one decision about the request.
func (j *job) log(what string, fields ...any) {
	all := append([]any{"request", j.req.ID, "service", j.service, "sends", j.sends, "ms", time.Since(j.req.Arrived).Milliseconds()}, fields...)
	klog.InfoS(what, all...)
}
