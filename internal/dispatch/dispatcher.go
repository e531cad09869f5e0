package dispatch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/pause"
	"github.com/ragwortquay/ragwortquay/internal/quarantine"
	"github.com/ragwortquay/ragwortquay/internal/retry"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/state"
	"github.com/ragwortquay/ragwortquay/internal/table"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

const (
	// GeneratePath is the path of token requests to engines.
	GeneratePath = "/v1/generate"
	// maxTokens bounds one token request.
	maxTokens = 1 << 20
	// prefixBytes is the length of the prompt's beginning that places requests
	// with a common prefix on one replica.
	prefixBytes = 256
)

// Tables is the configuration in force.
type Tables interface {
	Route(workspace, kind string) (state.RouteRow, bool)
	Pool(name string) (state.PoolRow, bool)
}

// Grants hands out permissions to send.
type Grants interface {
	Acquire(ctx context.Context, r limit.Request) (limit.Grant, error)
	Release(g limit.Grant, r limit.Result)
}

// Targets sends one attempt.
type Targets interface {
	Do(ctx context.Context, r *target.Request) (*target.Response, error)
	// Probe asks the target for its boot id over a new connection.
	Probe(addr string) (bootID string, alive bool)
	// Forget drops the kept connections to the target.
	Forget(addr string)
}

// Quarantine knows which requests crash the targets that run them.
type Quarantine interface {
	Verdict(prints []retry.Fingerprint) retry.Verdict
	BeginAttempt(g limit.Grant, prints []retry.Fingerprint)
	EndAttempt(g limit.Grant, whole bool)
	ReportCrash(g limit.Grant)
}

// ServingStatus tells whether this daemon may serve at all.
type ServingStatus interface {
	// MayServe returns nil, or the refusal to give to callers.
	MayServe() error
}

// Options are the parts and settings of a Dispatcher.
type Options struct {
	Tables          Tables
	Grants          Grants
	Targets         Targets
	IdempotencyKeys IdempotencyKeys
	ServingStatus   ServingStatus
	// Quarantine may be nil: then no request is suspected.
	Quarantine Quarantine
}

// Dispatcher serves requests.
type Dispatcher struct {
	opts    Options
	budgets *retry.RouteBudgets
}

// New returns a dispatcher.
func New(opts Options) *Dispatcher {
	if opts.Quarantine == nil {
		opts.Quarantine = noQuarantine{}
	}
	return &Dispatcher{opts: opts, budgets: retry.NewRouteBudgets()}
}

// job is a request with what its route says of it.
type job struct {
	req      *Request
	route    table.Route
	deadline time.Time
	prefix   uint64
	// generate is the parsed body of a request to an engine pool.
	generate *target.GenerateRequest
	// prints identify the request to the quarantine; alone asks that it runs
	// with no other beside it.
	prints []retry.Fingerprint
	alone  bool
	// avoid are failure domains in which a target died under the request.
	avoid []string
	// state is what the retry decision knows of the attempts so far.
	state retry.RequestState
}

// Serve answers one request. An error's outcome is NotRun only if no attempt
// can have run.
func (d *Dispatcher) Serve(ctx context.Context, r *Request) (*Response, error) {
	if err := d.opts.ServingStatus.MayServe(); err != nil {
		return nil, d.refusal(r, err)
	}
	j, err := d.plan(r)
	if err != nil {
		return nil, err
	}
	if j.route.Idempotent {
		return d.repeatable(ctx, j)
	}
	if err := checkKey(r); err != nil {
		return nil, err
	}
	return d.once(ctx, j)
}

// refusal returns the error of a request that is not even planned.
func (d *Dispatcher) refusal(r *Request, err error) error {
	if r.Key == "" {
		return err
	}
	return unclaimed(r, err)
}

func (d *Dispatcher) plan(r *Request) (*job, error) {
	row, ok := d.opts.Tables.Route(r.Workspace, r.Kind)
	if !ok {
		return nil, fault.Refuse(fault.NotFound, "ask an operator for a route, or correct the kind", "no route for kind %q of workspace %q", r.Kind, r.Workspace)
	}
	j := &job{req: r, route: row.Route, deadline: r.Received.Add(row.Route.Deadline)}
	if r.Timeout > 0 && r.Timeout < row.Route.Deadline {
		j.deadline = r.Received.Add(r.Timeout)
	}
	if err := d.inspect(j); err != nil {
		return nil, err
	}
	j.state = retry.RequestState{
		Idempotent: row.Route.Idempotent, Resumable: j.generate != nil,
		MaxRetries: row.Route.Retries, Deadline: j.deadline,
	}
	j.prints = quarantine.Fingerprints(r.Workspace, r.Kind, r.Key, r.Body)
	if err := d.judge(j); err != nil {
		return nil, err
	}
	d.budgets.Deposit(r.Received, row.Route.Name, row.Route.RetryBudget)
	return j, nil
}

// inspect checks the body of a request that goes to engines, before any of
// the system's work is spent on it.
func (d *Dispatcher) inspect(j *job) error {
	row, ok := d.opts.Tables.Pool(j.route.Pools[0])
	if !ok {
		return fault.Refuse(fault.Unavailable, "try again", "pool %q is gone", j.route.Pools[0])
	}
	if row.Pool.Kind != table.KindEngine {
		return nil
	}
	if j.req.Path != GeneratePath || j.req.Method != "POST" {
		return fault.Invalid("path", "POST to "+GeneratePath, "engines serve no %s %s", j.req.Method, j.req.Path)
	}
	var g target.GenerateRequest
	if err := json.Unmarshal(j.req.Body, &g); err != nil {
		return fault.Invalid("body", `send JSON such as {"prompt":"...","max_tokens":64}`, "%v", err)
	}
	if g.MaxTokens < 1 || g.MaxTokens > maxTokens {
		return fault.Invalid("max_tokens", "use a number from 1 to 1048576", "%d is out of range", g.MaxTokens)
	}
	if g.ResumeFrom != 0 {
		return fault.Invalid("resume_from", "leave it out", "streams are resumed by the system")
	}
	j.generate = &g
	j.prefix = shard.Hash(g.Prompt[:min(len(g.Prompt), prefixBytes)])
	return nil
}

// repeatable serves a request that may run more than once.
func (d *Dispatcher) repeatable(ctx context.Context, j *job) (*Response, error) {
	for {
		a, err := d.first(ctx, j)
		if err == nil {
			return a, nil
		}
		if err := d.next(ctx, j, err); err != nil {
			return nil, err
		}
	}
}

// next decides what follows a failed attempt. It returns nil when another
// attempt may start, and the request's error otherwise.
func (d *Dispatcher) next(ctx context.Context, j *job, err error) error {
	now := time.Now()
	dec := retry.Decide(now, j.state, err, func() bool { return d.budgets.TrySpend(now, j.route.Name) })
	if dec.Action == retry.Fail {
		return dec.Err
	}
	j.state.RetriesMade++
	j.state.Exclude = dec.Exclude
	j.state.Replica = ""
	j.state.MayHaveRun = j.state.MayHaveRun || fault.As(err).Outcome != fault.NotRun
	if err := d.judge(j); err != nil {
		return fault.As(err).WithOutcome(fault.Unknown) // its targets began to run it
	}
	return wait(ctx, dec.Delay)
}

// wait waits for d, or returns a refusal when ctx ends first.
func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	if !pause.For(ctx, d) {
		return fault.Wrap(fault.ShuttingDown, ctx.Err(), "send the request to another daemon", "daemon ended")
	}
	return nil
}

// first makes an attempt up to the beginning of its answer, so that a failure
// before the first token can still be retried or told as an error.
func (d *Dispatcher) first(ctx context.Context, j *job) (*Response, error) {
	t, err := d.attempt(ctx, j, 0)
	if err != nil {
		return nil, err
	}
	if j.generate != nil && t.resp.Status == statusOK {
		return d.stream(ctx, j, t)
	}
	return d.buffer(j, t)
}

// buffer reads a whole answer.
func (d *Dispatcher) buffer(j *job, t *try) (*Response, error) {
	body, err := t.resp.ReadAll()
	if err != nil {
		t.fail(err)
		return nil, err
	}
	t.succeed()
	return &Response{
		RequestID: j.req.ID, Outcome: fault.Ran, Replica: t.grant.Replica,
		Status: t.resp.Status, ContentType: t.resp.ContentType, Body: body,
	}, nil
}
