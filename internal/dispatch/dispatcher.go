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
	"github.com/ragwortquay/ragwortquay/internal/suspect"
	"github.com/ragwortquay/ragwortquay/internal/table"
	"github.com/ragwortquay/ragwortquay/internal/target"
)

const (
	// GeneratePath is the path of generate requests to engines.
	GeneratePath = "/v1/generate"
	// maxTokens is the largest max_tokens of a generate request.
	maxTokens = 1 << 20
	// prefixBytes is how much of the prompt is hashed for prefix affinity: requests
	// that share it are placed on the same replica.
	prefixBytes = 256
)

// Tables looks up the current configuration.
type Tables interface {
	Route(workspace, kind string) (state.RouteRow, bool)
	Pool(name string) (state.PoolRow, bool)
}

// Grants acquires and releases grants, each of which permits one attempt.
type Grants interface {
	Acquire(ctx context.Context, r limit.Request) (limit.Grant, error)
	Release(g limit.Grant, r limit.Result)
}

// Targets sends attempts to targets.
type Targets interface {
	Do(ctx context.Context, r *target.Request) (*target.Response, error)
	// Probe reads the target's boot id over a new connection.
	Probe(addr string) (bootID string, alive bool)
	// CloseIdle closes the idle connections to the target.
	CloseIdle(addr string)
}

// Quarantine tracks which requests crash the targets that run them.
type Quarantine interface {
	Verdict(fingerprints []suspect.Fingerprint) suspect.Verdict
	BeginAttempt(g limit.Grant, fingerprints []suspect.Fingerprint)
	EndAttempt(g limit.Grant, complete bool)
	ReportCrash(g limit.Grant)
}

// ServingStatus reports whether this daemon may serve requests.
type ServingStatus interface {
	// MayServe returns nil, or the error to return to callers.
	MayServe() error
}

// Options are the dependencies of a Dispatcher.
type Options struct {
	Tables          Tables
	Grants          Grants
	Targets         Targets
	IdempotencyKeys IdempotencyKeys
	ServingStatus   ServingStatus
	// Quarantine may be nil; then no request is suspected or refused.
	Quarantine Quarantine
}

// Dispatcher serves requests. It is safe for concurrent use.
type Dispatcher struct {
	opts    Options
	budgets *retry.RouteBudgets
}

// New returns a Dispatcher. It replaces a nil Quarantine by one that clears every request.
func New(opts Options) *Dispatcher {
	if opts.Quarantine == nil {
		opts.Quarantine = noQuarantine{}
	}
	return &Dispatcher{opts: opts, budgets: retry.NewRouteBudgets()}
}

// job is the state of one request while it is being served.
type job struct {
	req        *Request
	route      table.Route
	deadline   time.Time
	prefixHash uint64
	// generate is the decoded body of a request to an engine pool, nil for other pools.
	generate *target.GenerateRequest
	// fingerprints identify the request to the quarantine. exclusive asks for a
	// replica that runs no other request at the same time.
	fingerprints []suspect.Fingerprint
	exclusive    bool
	// avoidDomains are the failure domains in which a target crashed while it ran
	// the request.
	avoidDomains []string
	// retryState summarises the attempts so far for retry.Decide.
	retryState retry.RequestState
}

// Serve executes one request. An error has outcome NotRun only if no attempt
// can have been executed.
func (d *Dispatcher) Serve(ctx context.Context, r *Request) (*Response, error) {
	if err := d.opts.ServingStatus.MayServe(); err != nil {
		return nil, d.unclaimedRefusal(r, err)
	}
	j, err := d.resolve(r)
	if err != nil {
		return nil, err
	}
	if j.route.Idempotent {
		return d.serveIdempotent(ctx, j)
	}
	if err := checkKey(r); err != nil {
		return nil, err
	}
	return d.serveOnce(ctx, j)
}

// unclaimedRefusal returns the error of a request that is refused before its
// key, if it has one, is claimed.
func (d *Dispatcher) unclaimedRefusal(r *Request, err error) error {
	if r.Key == "" {
		return err
	}
	return withUnclaimedOutcome(r, err)
}

// resolve finds the route of a request and computes its deadline. It refuses an
// invalid or quarantined request.
func (d *Dispatcher) resolve(r *Request) (*job, error) {
	row, ok := d.opts.Tables.Route(r.Workspace, r.Kind)
	if !ok {
		return nil, fault.Refuse(fault.NotFound, "ask an operator for a route, or correct the kind", "no route for kind %q in workspace %q", r.Kind, r.Workspace)
	}
	j := &job{req: r, route: row.Route, deadline: r.Received.Add(row.Route.Deadline)}
	if r.Timeout > 0 && r.Timeout < row.Route.Deadline {
		j.deadline = r.Received.Add(r.Timeout)
	}
	if err := d.validateEngineRequest(j); err != nil {
		return nil, err
	}
	j.retryState = retry.RequestState{
		Idempotent: row.Route.Idempotent, Resumable: j.generate != nil,
		MaxRetries: row.Route.Retries, Deadline: j.deadline,
	}
	j.fingerprints = quarantine.Fingerprints(r.Workspace, r.Kind, r.Key, r.Body)
	if err := d.checkQuarantine(j); err != nil {
		return nil, err
	}
	d.budgets.Deposit(r.Received, row.Route.Name, row.Route.RetryBudget)
	return j, nil
}

// validateEngineRequest checks and decodes a request to an engine pool, so that
// an invalid one is refused before it takes a grant.
func (d *Dispatcher) validateEngineRequest(j *job) error {
	row, ok := d.opts.Tables.Pool(j.route.Pools[0])
	if !ok {
		return fault.Refuse(fault.Unavailable, "try again", "pool %q of the route does not exist", j.route.Pools[0])
	}
	if row.Pool.Kind != table.KindEngine {
		return nil
	}
	if j.req.Path != GeneratePath || j.req.Method != "POST" {
		return fault.Invalid("path", "POST to "+GeneratePath, "engines do not serve %s %s", j.req.Method, j.req.Path)
	}
	var g target.GenerateRequest
	if err := json.Unmarshal(j.req.Body, &g); err != nil {
		return fault.Invalid("body", `send JSON such as {"prompt":"...","max_tokens":64}`, "%v", err)
	}
	if g.MaxTokens < 1 || g.MaxTokens > maxTokens {
		return fault.Invalid("max_tokens", "use a number from 1 to 1048576", "max_tokens is %d, outside 1 to 1048576", g.MaxTokens)
	}
	if g.ResumeFrom != 0 {
		return fault.Invalid("resume_from", "leave it out", "resume_from is set by the daemon when it resumes a stream")
	}
	j.generate = &g
	j.prefixHash = shard.Hash(g.Prompt[:min(len(g.Prompt), prefixBytes)])
	return nil
}

// serveIdempotent serves a request that may be executed more than once.
func (d *Dispatcher) serveIdempotent(ctx context.Context, j *job) (*Response, error) {
	for {
		resp, err := d.startResponse(ctx, j)
		if err == nil {
			return resp, nil
		}
		if err := d.prepareRetry(ctx, j, err); err != nil {
			return nil, err
		}
	}
}

// prepareRetry decides whether a failed attempt is retried. It returns nil after
// the retry delay if another attempt may start, and the request's error otherwise.
func (d *Dispatcher) prepareRetry(ctx context.Context, j *job, err error) error {
	now := time.Now()
	decision := retry.Decide(now, j.retryState, err, func() bool { return d.budgets.TrySpend(now, j.route.Name) })
	if decision.Action == retry.Fail {
		return decision.Err
	}
	j.retryState.RetriesMade++
	j.retryState.Exclude = decision.Exclude
	j.retryState.Replica = ""
	j.retryState.MayHaveRun = j.retryState.MayHaveRun || fault.As(err).Outcome != fault.NotRun
	if err := d.checkQuarantine(j); err != nil {
		return fault.As(err).WithOutcome(fault.Unknown) // the earlier attempts may have been executed
	}
	return wait(ctx, decision.Delay)
}

// wait waits for d, or returns an error if ctx ends first.
func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	if !pause.For(ctx, d) {
		return fault.Wrap(fault.ShuttingDown, ctx.Err(), "send the request to another daemon", "daemon shut down during the retry delay")
	}
	return nil
}

// startResponse makes an attempt and waits for the first token of a stream or
// for a complete buffered response. Until then nothing has been sent to the
// caller, and a failure can still be retried or returned as an error.
func (d *Dispatcher) startResponse(ctx context.Context, j *job) (*Response, error) {
	at, err := d.startAttempt(ctx, j, 0)
	if err != nil {
		return nil, err
	}
	if j.generate != nil && at.resp.Status == statusOK {
		return d.startStream(ctx, j, at)
	}
	return d.bufferResponse(j, at)
}

// bufferResponse reads the complete body of the target's response.
func (d *Dispatcher) bufferResponse(j *job, at *attempt) (*Response, error) {
	body, err := at.resp.ReadAll()
	if err != nil {
		at.abort(err)
		return nil, err
	}
	at.complete()
	return &Response{
		RequestID: j.req.ID, Outcome: fault.Ran, Replica: at.grant.Replica,
		Status: at.resp.Status, ContentType: at.resp.ContentType, Body: body,
	}, nil
}
