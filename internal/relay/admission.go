package relay

import (
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/admission"
	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/shard"
)

// classify sets the standing of the request. A client that resumes a stream has less time
// left because it has received a part of it, and not because it was refused.
func (j *job) classify() {
	if j.req.LastEventID == "" {
		full := min(j.route.Timeout, j.clientTimeouts.longest(j.route.Name+"/"+j.tenant, j.req.ClientTimeout, j.req.Arrived))
		j.standing = admission.Classify(full, j.req.ClientTimeout)
	}
	j.summary.Standing = j.standing.String()
}

// timeoutMemory is how long the longest timeout that clients of a tenant have sent for a
// route is remembered.
const timeoutMemory = 10 * time.Second

// clientTimeouts holds the longest timeout that clients have sent lately, by route and
// tenant. A route's own timeout may be longer, and would make all its requests look late.
type clientTimeouts struct{ byKey *shard.Map[seenTimeout] }

// seenTimeout is a timeout that a client sent, and when.
type seenTimeout struct {
	timeout time.Duration
	at      time.Time
}

// longest records the timeout of a request for a key and returns the longest one.
func (c *clientTimeouts) longest(key string, timeout time.Duration, now time.Time) time.Duration {
	seen, _ := c.byKey.Get(key)
	if timeout < seen.timeout && now.Sub(seen.at) < timeoutMemory {
		return seen.timeout
	}
	c.byKey.Set(key, seenTimeout{timeout, now})
	return timeout
}

// judge decides whether the request is sent to the chosen engine.
func (j *job) judge(c balance.Choice, remaining time.Duration) admission.Verdict {
	r := j.admissionRequest(remaining)
	v := admission.Judge(&r, c)
	j.summary.Verdict = "refused"
	if v.Admitted {
		j.summary.Verdict = "admitted"
	}
	return v
}

// admissionRequest returns what admission depends on of the request.
func (j *job) admissionRequest(remaining time.Duration) admission.Request {
	return admission.Request{
		Urgency: j.priority, Standing: j.standing, Target: j.route.TargetLatency, Remaining: remaining, Share: j.share, Sent: j.sends > 0,
		Patience: patience(j.route),
	}
}

const (
	// minPatience, patienceTargets and patienceGaps are the platform's figures: clients
	// leave a stream that sends nothing for the longest of 2 s, four times the target
	// latency and eight times the longest gap, also before its first event.
	minPatience     = 2 * time.Second
	patienceTargets = 4
	patienceGaps    = 8
)

// patience returns how long clients of a route wait for the first event; 0 if that is
// until the deadline.
func patience(r *catalog.Route) time.Duration {
	if r.Kind != catalog.Stream {
		return 0
	}
	return max(minPatience, patienceTargets*r.TargetLatency, patienceGaps*r.MaxEventGap)
}

// recordNew records the work of the request in the demand that Retry-After is planned by.
func (j *job) recordNew(s *catalog.Service) {
	work, ok := balance.GroupWork(s, j.req.Model, j.req.Work)
	if !ok {
		return
	}
	j.groupWork = work
	if j.standing == admission.New {
		j.opts.Ledger.RecordNew(j.modelKey(), j.priority, work, j.req.Arrived)
	}
}

// drawShare records the work of a new request in the demand of its tenant, and decides
// whether it is within the tenant's share. It does nothing where nothing is divided.
func (j *job) drawShare(cfg *catalog.Config) {
	if j.groupWork == 0 || j.standing != admission.New || !cfg.DividesCapacity(j.service) {
		return
	}
	key, claimant := j.modelKey(), admission.Claimant{Urgency: j.priority, Tenant: admission.NewTenantID(j.tenant)}
	if j.opts.Tenants.Record(key, claimant, j.groupWork, j.req.Arrived) {
		groups := len(j.candidates(nil))
		beyond, before := j.opts.Tenants.Update(key, float64(groups), j.req.Arrived)
		if (beyond > 0) != (before > 0) {
			klog.InfoS("tenants beyond their shares", "service", key.Service, "model", key.Model, "groups", groups, "beyond", beyond, "before", before)
		}
	}
	j.share = admission.DrawShare(j.opts.Tenants.Within(key, claimant), rand.Float64())
	j.summary.Share = j.share.String()
}

func (j *job) modelKey() balance.ModelKey {
	return balance.ModelKey{Service: j.service, Model: j.req.Model}
}

// planReturn returns the RetryAfter of a refusal for lack of capacity, and reserves the
// work of the request for that time. Clients send a refused request again once, so
// nothing is reserved for one that has come back already.
func (j *job) planReturn(now time.Time) time.Duration {
	r := j.admissionRequest(j.deadline.Sub(now))
	if j.groupWork == 0 {
		// A service without groups publishes no times by which to predict capacity.
		return j.retryAfter(r.Remaining)
	}
	s := j.opts.Ledger.Snapshot(j.modelKey(), j.capacity(now), now)
	plan := admission.PlanReturn(&s, &r, rand.Float64())
	if j.standing == admission.New && j.sends == 0 {
		j.opts.Ledger.Reserve(j.modelKey(), plan.Slot, j.groupWork, now)
	}
	j.planned = []any{
		"slot_predicted", plan.Predicted, "groups", s.Capacity.Value.Groups, "excess_ms", int64(s.Capacity.Value.Excess * 1e3),
		"capacity_age_ms", s.Capacity.Age.Milliseconds(), "demand_age_ms", s.NewDemand.Age.Milliseconds(),
	}
	return plan.After
}

// capacity returns the capacity of the groups that serve the model, and by how much the
// backlog that a late request meets is over the bound for new ones.
func (j *job) capacity(now time.Time) admission.Fact[admission.Capacity] {
	groups := j.candidates(nil)
	for i := range groups {
		groups[i].Late = true
	}
	c := admission.Capacity{Groups: len(groups)}
	if choice, ok := balance.Choose(groups, j.opts.Tracker, j.req.Work, balance.ZoneRule{Zone: j.opts.Zone}, 0, now); ok {
		over := choice.Predicted.Backlog - balance.BacklogBound(j.route.TargetLatency)
		c.Excess = float64(c.Groups) * max(0, over).Seconds()
	}
	return admission.Fact[admission.Capacity]{Value: c, Age: j.opts.Directory.EnginesAge()}
}
