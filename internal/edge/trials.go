package edge

import (
	"context"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/pause"
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
// until, or when release is called.
func (c *trialClient) Begin(ctx context.Context, id suspect.Identity, giveUp, until time.Time) (release func(), ok bool) {
	if s := c.d.watch.Suspects(id); len(s.Fingerprints) == 0 {
		return func() {}, true
	}
	t := &pendingTrial{client: c, number: c.numbers.Add(1), until: until, reply: make(chan suspect.TrialRuling, 1)}
	c.replies.Set(t.key(), t.reply)
	defer c.replies.Delete(t.key())
	outcome := t.wait(ctx, id, giveUp)
	c.d.stats.recordTrial(outcome)
	if outcome == trialGranted || outcome == trialUnarbitrated {
		return t.release, true
	}
	t.release()
	return func() {}, outcome == trialCleared
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

// wait asks until the trial may begin, and returns the outcome.
func (t *pendingTrial) wait(ctx context.Context, id suspect.Identity, giveUp time.Time) string {
	watch := t.client.d.watch
	for {
		suspects := watch.Suspects(id)
		if len(suspects.Fingerprints) == 0 || watch.Verdict(id).Verdict == suspect.Refused {
			return trialCleared
		}
		ruling, answered := t.ask(ctx, suspects.Fingerprints)
		if answered && ruling.Granted {
			return trialGranted
		}
		if !answered && suspects.MayRunUnarbitrated() {
			return trialUnarbitrated
		}
		if !time.Now().Add(trialInterval).Before(giveUp) || !pause.For(ctx, trialInterval) {
			return trialDenied
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
	t.client.d.mesh.SendTrialRequest(arbiter, &wire.TrialRequest{Number: t.number, Suspects: numbers(suspects), RemainingUS: max(1, time.Until(t.until).Microseconds())})
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
func (t *pendingTrial) release() {
	for _, arbiter := range t.asked {
		if arbiter == t.client.d.settings.Node {
			t.client.d.watch.EndTrial(t.holder(), t.suspects)
			continue
		}
		// The arbiter hears of an end before another attempt may begin.
		t.client.d.mesh.SendCrashNews([]string{arbiter})
		t.client.d.mesh.SendTrialRequest(arbiter, &wire.TrialRequest{Number: t.number, Suspects: numbers(t.suspects)})
	}
}

// holder returns the name of a trial of this daemon at itself.
func (t *pendingTrial) holder() string { return "/" + t.key() }

// HandleTrialRequest begins or ends the trial of a peer, as the arbiter.
func (g *meshAdapter) HandleTrialRequest(r *wire.TrialRequest) *wire.TrialReply {
	holder := r.Sender + "/" + r.BootID + "/" + strconv.FormatInt(r.Number, 10)
	suspects := fingerprints(r.Suspects)
	if r.RemainingUS <= 0 {
		g.d.watch.EndTrial(holder, suspects)
		return nil
	}
	ruling := g.d.watch.BeginTrial(holder, suspects, time.Now().Add(time.Duration(r.RemainingUS)*time.Microsecond))
	return &wire.TrialReply{BootID: r.BootID, Number: r.Number, Granted: ruling.Granted, Answered: numbers(ruling.Answered)}
}

// HandleTrialReply handles the answer of the arbiter.
func (g *meshAdapter) HandleTrialReply(r *wire.TrialReply) { g.d.trials.handleReply(r) }
