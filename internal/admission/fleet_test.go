package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// playUntil is when the clients of a play stop.
const playUntil = 10 * time.Second

// simReportsFrom is when daemons begin to report, some time after the demand has risen.
const simReportsFrom = 2600 * time.Millisecond

// minCounted is the least number of requests within their shares by which a load is
// judged. Of a hundred, in which 98 in 100 are in time, more than 5 are late in one play
// of thirty.
const minCounted = 1000

// simClaimant is a claimant with its rate of requests per second from second 2 on.
// Before it has a fifth of that.
type simClaimant struct {
	Claimant
	rate float64
	// atOnce is set if its clients send refused requests again at once. The others come
	// back after 0.3 of their time.
	atOnce bool
}

// playShares plays the claimants' load on 24 groups with 30 daemons, and returns how
// many requests each sent from second 4 on and how many of those were started in time.
func playShares(t *testing.T, claimants []simClaimant, shares bool, seed uint64) (sent, inTime map[Claimant]float64, worth float64) {
	t.Helper()
	rnd, begin := rand.New(rand.NewPCG(20261206, seed)), time.Unix(1_700_000_000, 0)
	s := simulation{groups: 24, queues: make([][]*simRequest, 24), running: make([][]time.Duration, 24)}
	service := &catalog.Service{Name: "s", Engine: &simSpec}
	tracker := balance.NewTracker("n", func() int { return 1 }, func() time.Duration { return simStep })
	cands := make([]balance.Candidate, s.groups)
	for i := range cands {
		cands[i] = balance.Candidate{Head: &catalog.Engine{ID: fmt.Sprint(i)}, Service: service, TimeFactor: 1}
	}
	work := balance.Work{AnswerTokens: 50}
	seconds, _ := balance.GroupWork(service, "m", work)
	ledgers := make([]*TenantLedger, simDaemons)
	for i := range ledgers {
		ledgers[i] = NewTenantLedger()
	}
	sent, inTime = map[Claimant]float64{}, map[Claimant]float64{}
	owner := map[*simRequest]simClaimant{}
	order := 0
	var due []*simRequest
	for now := time.Duration(0); now < playUntil+simDeadline; now += simStep {
		at := begin.Add(now)
		for _, c := range claimants {
			expected := c.rate * simStep.Seconds()
			if now < 2*time.Second {
				expected /= 5
			}
			for ; now < playUntil && rnd.Float64() < expected; expected-- {
				r := &simRequest{first: now, arrival: now}
				due, owner[r] = append(due, r), c
				if now >= 4*time.Second {
					sent[c.Claimant]++
				}
			}
		}
		if now >= simReportsFrom && now%TenantReportInterval == 0 {
			exchangeTenants(ledgers, at)
		}
		for _, r := range slices.Clone(due) {
			if r.arrival > now {
				continue
			}
			due = slices.DeleteFunc(due, func(o *simRequest) bool { return o == r })
			c := owner[r]
			req := Request{Urgency: c.Urgency, Target: simTarget, Remaining: r.remaining(now), Standing: Classify(simDeadline, r.remaining(now))}
			ledger := ledgers[rnd.IntN(simDaemons)]
			if req.Standing == New && shares {
				if ledger.Record(testModel, c.Claimant, seconds, at) {
					ledger.Update(testModel, float64(s.groups), at)
				}
				req.Share = DrawShare(ledger.Within(testModel, c.Claimant), rnd.Float64())
			}
			for i := range cands {
				cands[i].Late = req.Standing == Late
			}
			choice, ok := balance.Choose(cands, tracker, work, balance.ZoneRule{}, req.BacklogTarget(), at)
			must.True(t, ok)
			if !Judge(&req, choice).Admitted {
				for _, group := range cands {
					load := tracker.Status(group.Head, 0, at).Load
					must.GreaterEq(t, simSpec.Slots/2, load.InFlight, must.Sprint("refused while an engine is free"))
				}
				if r.arrival == r.first {
					r.arrival = now + time.Duration(0.3*float64(req.Remaining))
					if c.atOnce {
						r.arrival = now + simStep
					}
					due = append(due, r)
				}
				continue
			}
			order++
			r.standing, r.order = req.Standing, order
			r.group = slices.IndexFunc(cands, func(o balance.Candidate) bool { return o.Head == choice.Candidate.Head })
			s.queues[r.group] = append(s.queues[r.group], r)
			tracker.Begin(choice.Candidate.Head, work, at)
			if r.standing == Late {
				tracker.BeginLate(choice.Candidate.Head, work)
			}
		}
		for g := range cands {
			s.serve(g, now, rnd, func(r *simRequest) {
				if r.standing == Late {
					tracker.EndLate(cands[g].Head, work)
				}
				switch {
				case r.first >= 4*time.Second && now-r.first <= simTarget:
					inTime[owner[r].Claimant]++
					worth++
				case now >= 4*time.Second && now < playUntil:
					worth += 0.25
				}
			}, func() { tracker.End(cands[g].Head) })
		}
	}
	return sent, inTime, worth
}

// exchangeTenants sends the report of each daemon to all others.
func exchangeTenants(ledgers []*TenantLedger, at time.Time) {
	for i, from := range ledgers {
		report := from.Own(testModel, at)
		for j, to := range ledgers {
			if j != i {
				to.SetRemote(fmt.Sprint(i), report, at)
			}
		}
	}
}

// TestSharesAreServed plays demands of twice the capacity, 288 requests a second. Two
// seconds after their begin a claimant that requests no more than its share must get 95
// in 100 of it, and the answers must be worth nearly
// as much as without shares; the rest is the price of the smaller bounds.
func TestSharesAreServed(t *testing.T) {
	small := func(n int, rate float64) (out []simClaimant) {
		for i := range n {
			out = append(out, simClaimant{Claimant{0, TenantID(i + 2)}, rate, false})
		}
		return out
	}
	large := Claimant{0, 1}
	cases := []struct {
		name      string
		claimants []simClaimant
	}{
		{"half of the traffic", append(append(small(11, 15), simClaimant{large, 288, false}), simClaimant{Claimant{0, 97}, 41, false}, simClaimant{Claimant{0, 98}, 41, false}, simClaimant{Claimant{0, 99}, 41, false})},
		{"two thirds of the traffic", append(small(11, 18), simClaimant{large, 378, false})},
		{"clients that retry at once", append(small(11, 18), simClaimant{large, 378, true})},
		{"less urgent burst", append(small(11, 18), simClaimant{Claimant{2, 1}, 378, false})},
		{"more urgent work", append([]simClaimant{{Claimant{2, 97}, 6, false}, {Claimant{2, 98}, 6, false}, {Claimant{2, 99}, 6, false}}, small(1, 558)...)},
	}
	for _, c := range cases {
		var asked, got, gotBefore, worth, before float64
		seed := uint64(0)
		for asked < minCounted {
			seed++
			_, inTimeBefore, worthBefore := playShares(t, c.claimants, false, seed)
			sent, inTime, worthNow := playShares(t, c.claimants, true, seed)
			before += worthBefore
			worth += worthNow
			for _, claimant := range c.claimants {
				if claimant.rate < 30 {
					asked += sent[claimant.Claimant]
					got += inTime[claimant.Claimant]
					gotBefore += inTimeBefore[claimant.Claimant]
				}
			}
		}
		t.Logf("%s, %d plays: within their share %.0f of %.0f in time, without shares %.0f; worth %.0f, without shares %.0f", c.name, seed, got, asked, gotBefore, worth, before)
		must.GreaterEq(t, 0.95*asked, got, must.Sprint(c.name))
		must.GreaterEq(t, 0.9*before, worth, must.Sprint(c.name))
	}
}
