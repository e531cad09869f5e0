package edge

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/pause"
	"github.com/ragwortquay/ragwortquay/internal/relay"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/suspect"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

const (
	// trialReplyTimeout bounds the wait for the arbiter's answer. It covers a round trip
	// between zones and a busy processor.
	trialReplyTimeout = 40 * time.Millisecond
	// trialInterval is the interval at which a request that waits for the trial of another
	// one asks again.
	trialInterval = 20 * time.Millisecond
	// asksPerArbiter is how often a daemon asks an arbiter that does not answer before it
	// asks the next one, and maxArbiters the number of those that it asks.
	asksPerArbiter = 2
	maxArbiters    = 2
)

// The outcomes of trials in the metrics.
const (
	trialGranted = "granted"
	// trialCleared means that nothing was suspected any more, or that the request was
	// refused meanwhile.
	trialCleared = "cleared"
	// trialUnarbitrated means that no arbiter answered, and the request ran nevertheless.
	trialUnarbitrated = "unarbitrated"
	trialDenied       = "denied"
)

// trialClient asks the arbiter before requests under which engines have ended are tried.
// It implements relay.Trials.
type trialClient struct {
	d       *Daemon
	numbers atomic.Int64
	// replies holds the channels of the trials that wait for an answer, by their number.
	replies *shard.Map[chan suspect.TrialRuling]
}

func newTrialClient(d *Daemon) *trialClient {
	return &trialClient{d: d, replies: shard.NewMap[chan suspect.TrialRuling]()}
}

// Begin waits until no other attempt tries one of the request's suspects, over all
// daemons, but not after giveUp. It reports false if that lasts longer. The trial ends at
// until, or by its Release.
func (c *trialClient) Begin(ctx context.Context, id suspect.Identity, giveUp, until time.Time) (trial relay.Trial, ok bool) {
	none := relay.Trial{Release: func() {}, Prolong: func(time.Duration) {}}
	if s := c.d.watch.Suspects(id); len(s.Fingerprints) == 0 {
		return none, true
	}
	t := &pendingTrial{client: c, number: c.numbers.Add(1), until: until, reply: make(chan suspect.TrialRuling, 1)}
	c.replies.Set(t.key(), t.reply)
	defer c.replies.Delete(t.key())
	begun := time.Now()
	outcome, exclusive := t.wait(ctx, id, giveUp)
	c.d.stats.recordTrial(outcome)
	if len(t.asked) > 0 {
		klog.InfoS("trial", "fingerprint", suspect.Text(id.Request), "outcome", outcome, "suspects", texts(t.suspects), "exclusive", exclusive, "asked", t.asked, "ms", time.Since(begun).Milliseconds())
	}
	if outcome == trialGranted || outcome == trialUnarbitrated {
		return relay.Trial{Release: sync.OnceFunc(t.release), Prolong: t.prolong, Suspected: true, Exclusive: exclusive}, true
	}
	t.release()
	return none, outcome == trialCleared
}

// handleReply passes the arbiter's answer to the trial that waits for it.
func (c *trialClient) handleReply(r *wire.TrialReply) {
	ruling := suspect.TrialRuling{Granted: r.Granted, Answered: fingerprints(r.Answered)}
	c.d.watch.ApplyTrialRuling(&ruling)
	if r.BootID != c.d.boot {
		return // an answer to an earlier process
	}
	if reply, ok := c.replies.Get(strconv.FormatInt(r.Number, 10)); ok {
		select {
		case reply <- ruling:
		default: // an earlier answer has not been read yet
		}
	}
}

// pendingTrial is a trial that is asked for or under way.
type pendingTrial struct {
	client *trialClient
	number int64
	until  time.Time
	reply  chan suspect.TrialRuling
	// asked are the daemons that were asked, and suspects what they were asked about.
	asked    []string
	suspects []suspect.Fingerprint
}

func (t *pendingTrial) key() string { return strconv.FormatInt(t.number, 10) }

// wait asks until the trial may begin. It returns the outcome, and whether the request
// must not run at two engines at the same time.
func (t *pendingTrial) wait(ctx context.Context, id suspect.Identity, giveUp time.Time) (outcome string, exclusive bool) {
	watch := t.client.d.watch
	for {
		suspects := watch.Suspects(id)
		if len(suspects.Fingerprints) == 0 || watch.Verdict(id).Verdict == suspect.Refused {
			return trialCleared, false
		}
		exclusive = !suspects.Weak()
		ruling, answered := t.ask(ctx, suspects.Fingerprints)
		if answered && ruling.Granted {
			return trialGranted, exclusive
		}
		if !answered && !exclusive {
			return trialUnarbitrated, false
		}
		if !time.Now().Add(trialInterval).Before(giveUp) || !pause.For(ctx, trialInterval) {
			return trialDenied, exclusive
		}
	}
}

// ask asks the arbiter, and the next one if it does not answer.
func (t *pendingTrial) ask(ctx context.Context, suspects []suspect.Fingerprint) (ruling suspect.TrialRuling, answered bool) {
	silent := map[string]bool{}
	for range maxArbiters {
		arbiter, ok := t.client.d.meshAdapter.arbiter(silent)
		if !ok {
			break
		}
		for range asksPerArbiter {
			if ruling, answered = t.askOnce(ctx, arbiter, suspects); answered || ctx.Err() != nil {
				return ruling, answered
			}
		}
		silent[arbiter] = true
	}
	return ruling, false
}

// askOnce asks a daemon, which may be this one, and waits for the answer.
func (t *pendingTrial) askOnce(ctx context.Context, arbiter string, suspects []suspect.Fingerprint) (ruling suspect.TrialRuling, answered bool) {
	if !slices.Contains(t.asked, arbiter) {
		t.asked = append(t.asked, arbiter)
	}
	for _, f := range suspects {
		if !slices.Contains(t.suspects, f) {
			t.suspects = append(t.suspects, f)
		}
	}
	if arbiter == t.client.d.settings.Node {
		ruling = t.client.d.watch.BeginTrial(t.holder(), suspects, t.until)
		t.client.d.watch.ApplyTrialRuling(&ruling)
		return ruling, true
	}
	t.client.d.mesh.SendTrialRequest(arbiter, &wire.TrialRequest{Number: t.number, Suspects: numbers(suspects), RemainingUS: time.Until(t.until).Microseconds()})
	timer := time.NewTimer(trialReplyTimeout)
	defer timer.Stop()
	select {
	case ruling = <-t.reply:
		return ruling, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return ruling, false
}

// release ends the trial at all daemons that were asked: the answer of one that seemed
// silent may have been lost.
func (t *pendingTrial) release() { t.prolong(0) }

// prolong lets the trial end after d at all daemons that were asked.
func (t *pendingTrial) prolong(d time.Duration) {
	for _, arbiter := range t.asked {
		if arbiter == t.client.d.settings.Node {
			t.client.d.watch.ProlongTrial(t.holder(), t.suspects, d)
			continue
		}
		// The arbiter hears of an end before another attempt may begin.
		t.client.d.mesh.SendCrashNews([]string{arbiter})
		t.client.d.mesh.SendTrialRequest(arbiter, &wire.TrialRequest{Number: t.number, Suspects: numbers(t.suspects), RemainingUS: d.Microseconds(), Over: true})
	}
}

// holder returns the name of a trial of this daemon at itself.
func (t *pendingTrial) holder() string { return "/" + t.key() }

// HandleTrialRequest begins or ends the trial of a peer, as the arbiter.
func (g *meshAdapter) HandleTrialRequest(r *wire.TrialRequest) *wire.TrialReply {
	holder := r.Sender + "/" + r.BootID + "/" + strconv.FormatInt(r.Number, 10)
	suspects := fingerprints(r.Suspects)
	remaining := time.Duration(r.RemainingUS) * time.Microsecond
	if r.Over {
		g.d.watch.ProlongTrial(holder, suspects, remaining)
		return nil
	}
	ruling := g.d.watch.BeginTrial(holder, suspects, time.Now().Add(remaining))
	return &wire.TrialReply{BootID: r.BootID, Number: r.Number, Granted: ruling.Granted, Answered: numbers(ruling.Answered)}
}

// HandleTrialReply handles the answer of the arbiter.
func (g *meshAdapter) HandleTrialReply(r *wire.TrialReply) { g.d.trials.handleReply(r) }
