package suspect

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func TestCrashHistory(t *testing.T) {
	crash := func(replica string) *Crash {
		return &Crash{Replica: replica, Incarnation: "i1", FailureDomain: "f1", At: start}
	}
	type step struct {
		replica string
		with    Context
	}
	cases := []struct {
		name  string
		steps []step
		after time.Duration
		want  Verdict
	}{
		{"no crash is clear", nil, 0, Clear},
		{"one crash makes a suspect", []step{{"a", Context{}}}, 0, Suspected},
		{"one crash reported by two daemons counts once", []step{{"a", Context{}}, {"a", Context{}}}, 0, Suspected},
		{"two crashes quarantine the request", []step{{"a", Context{}}, {"b", Context{}}}, 0, Refused},
		{"second crash beside another suspect does not quarantine", []step{{"a", Context{}}, {"b", Context{OtherSuspects: 1}}}, 0, Suspected},
		{"third crash without another suspect quarantines", []step{{"a", Context{}}, {"b", Context{OtherSuspects: 1}}, {"c", Context{}}}, 0, Refused},
		{"second crash in an outage does not quarantine", []step{{"a", Context{}}, {"b", Context{Outage: true}}}, 0, Suspected},
		{"suspicion expires", []step{{"a", Context{}}}, SuspectTTL, Clear},
		{"quarantine expires", []step{{"a", Context{}}, {"b", Context{}}}, QuarantineTTL, Clear},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var r History
			for _, s := range c.steps {
				r = r.WithCrash(start, crash(s.replica), s.with)
			}
			must.Eq(t, c.want, r.Verdict(start.Add(c.after)))
		})
	}
}

func TestIsOutage(t *testing.T) {
	mine := []Fingerprint{1}
	c := &Crash{Replica: "a", FailureDomain: "f1", At: start, Running: [][]Fingerprint{mine}}
	cases := []struct {
		name string
		o    Crash
		want bool
	}{
		{"other replica did not run the request", Crash{Replica: "b", FailureDomain: "f1", At: start.Add(time.Second)}, true},
		{"other replica ran the request", Crash{Replica: "b", FailureDomain: "f1", At: start, Running: [][]Fingerprint{mine}}, false},
		{"other failure domain", Crash{Replica: "b", FailureDomain: "f2", At: start}, false},
		{"outside the outage window", Crash{Replica: "b", FailureDomain: "f1", At: start.Add(-time.Minute)}, false},
		{"same replica", Crash{Replica: "a", FailureDomain: "f1", At: start}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			must.Eq(t, tc.want, IsOutage(c, []Crash{tc.o}, mine))
		})
	}
}

// Where suspects run beside other requests, the third crash quarantines, unless the
// crashes have one cause or the request has been answered.
func TestCrashesBesideOtherRequests(t *testing.T) {
	const sentBefore, sentAfter = -2 * time.Second, -time.Millisecond
	type step struct {
		engine string
		sent   time.Duration // before the crash, one second after the step before
		answer bool
		wait   time.Duration
	}
	crash := func(engine string, sent time.Duration) step { return step{engine: engine, sent: sent} }
	cases := []struct {
		name  string
		steps []step
		want  Verdict
	}{
		{"one", []step{crash("a", sentAfter)}, Suspected},
		{"two", []step{crash("a", sentAfter), crash("b", sentAfter)}, Suspected},
		{"three", []step{crash("a", sentAfter), crash("b", sentAfter), crash("c", sentAfter)}, Refused},
		{"one crash reported three times", []step{crash("a", sentAfter), crash("a", sentAfter), crash("a", sentAfter)}, Suspected},
		{"sent before the first was seen", []step{crash("a", sentAfter), crash("b", sentBefore), crash("c", sentBefore)}, Suspected},
		{"answered in between", []step{crash("a", sentAfter), crash("b", sentAfter), {answer: true}, crash("c", sentAfter)}, Suspected},
		{"reported late, after an answer", []step{crash("a", sentAfter), crash("b", sentAfter), {answer: true}, crash("b", sentAfter)}, Clear},
		{"answered in quarantine", []step{crash("a", sentAfter), crash("b", sentAfter), crash("c", sentAfter), {answer: true}}, Clear},
		{"expired", []step{crash("a", sentAfter), crash("b", sentAfter), crash("c", sentAfter), {wait: QuarantineTTL}}, Clear},
		{"expired, then one more", []step{crash("a", sentAfter), crash("b", sentAfter), crash("c", sentAfter), {wait: QuarantineTTL}, crash("d", sentAfter)}, Refused},
		{"expired, answered, then one more", []step{crash("a", sentAfter), crash("b", sentAfter), crash("c", sentAfter), {wait: QuarantineTTL}, crash("d", sentAfter), {answer: true}, crash("e", sentAfter)}, Suspected},
		{"suspicion expired", []step{crash("a", sentAfter), crash("b", sentAfter), {wait: SuspectTTL}, crash("c", sentAfter)}, Suspected},
	}
	for _, c := range cases {
		now := time.Unix(0, 0)
		history := History{}
		for _, s := range c.steps {
			now = now.Add(time.Second + s.wait)
			switch {
			case s.answer:
				history = history.WithAnswer()
			case s.engine != "":
				history = history.WithCrash(now, &Crash{Replica: s.engine, At: now}, Context{Shared: true, SentAt: now.Add(s.sent)})
			}
		}
		must.Eq(t, c.want, history.Verdict(now), must.Sprint(c.name))
	}
}

// end is the end of an engine: when the request was last sent to it and when the end was
// seen, in milliseconds.
type end struct {
	engine      string
	sent, ended int
	announced   bool
}

func (e end) add(h History, request Fingerprint) History {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	return h.WithCrash(at(e.ended), &Crash{Replica: e.engine, At: at(e.ended)}, Context{Shared: true, SentAt: at(e.sent), Announced: e.announced, Request: request})
}

// Orders of events under copies of one request, and what they say of it.
func TestVerdictOnCopies(t *testing.T) {
	cases := []struct {
		name    string
		ends    []end
		counted int
		want    Verdict
	}{
		{"copies at three engines at the same moment, or an outage of all three", []end{{"a", 0, 60, false}, {"b", 1, 61, false}, {"c", 2, 60, false}}, 1, Suspected},
		{"the same, then one alone", []end{{"a", 0, 60, false}, {"b", 1, 61, false}, {"c", 2, 60, false}, {"d", 4000, 4060, false}}, 2, Suspected},
		{"the same, then two, one after the other", []end{{"a", 0, 60, false}, {"b", 1, 61, false}, {"c", 2, 60, false}, {"d", 4000, 4060, false}, {"e", 4061, 4120, false}}, 3, Refused},
		{"three batches", []end{{"a", 0, 60, false}, {"b", 1, 61, false}, {"d", 4000, 4060, false}, {"e", 4001, 4061, false}, {"g", 8000, 8060, false}, {"h", 8001, 8061, false}}, 3, Refused},
		{"copies 20 ms apart", []end{{"a", 0, 60, false}, {"b", 20, 80, false}, {"c", 40, 100, false}, {"d", 60, 120, false}}, 2, Suspected},
		{"one after the other", []end{{"a", 0, 60, false}, {"b", 60, 120, false}, {"c", 121, 180, false}}, 3, Refused},
		{"a long run beside three short ones", []end{{"a", 0, 60, false}, {"long", 0, 500, false}, {"b", 100, 160, false}, {"c", 200, 260, false}}, 3, Refused},
		{"two after the other and one that was leaving", []end{{"a", 0, 60, false}, {"b", 70, 130, true}, {"c", 140, 200, false}}, 3, Refused},
		{"one, and two that were leaving", []end{{"a", 0, 60, false}, {"b", 70, 130, true}, {"c", 140, 200, true}}, 3, Suspected},
		{"planned stops only", []end{{"a", 0, 60, true}, {"b", 70, 130, true}, {"c", 140, 200, true}, {"d", 210, 300, true}}, 4, Suspected},
		{"two that were leaving, and two that were not", []end{{"a", 0, 60, true}, {"b", 70, 130, true}, {"c", 140, 200, false}, {"d", 210, 300, false}}, 4, Refused},
	}
	for _, c := range cases {
		var h History
		for _, e := range c.ends {
			h = e.add(h, 0)
		}
		must.Eq(t, c.want, h.Verdict(start.Add(time.Minute)), must.Sprint(c.name))
		must.Len(t, c.counted, h.Crashes, must.Sprint(c.name))
		must.Eq(t, len(c.ends), h.Engines(), must.Sprint(c.name))
	}
}

// TestCountsDoNotDependOnTheOrderOfNews adds the same ends in many orders, some of them
// twice and with several copies at one engine.
func TestCountsDoNotDependOnTheOrderOfNews(t *testing.T) {
	ends := []end{{"a", 0, 60, false}, {"a", 5, 60, false}, {"b", 10, 90, false}, {"c", 62, 120, false}, {"c", 30, 121, false}, {"d", 100, 180, false}, {"e", 125, 190, false}}
	var first History
	for _, e := range ends {
		first = e.add(first, 0)
	}
	must.Len(t, 3, first.Crashes)
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		order := slices.Concat(ends, ends[:seed%3])
		rng.Shuffle(len(order), func(i, k int) { order[i], order[k] = order[k], order[i] })
		var h History
		for _, e := range order {
			h = e.add(h, 0)
		}
		must.Eq(t, first.Crashes, h.Crashes, must.Sprintf("seed %d", seed))
		must.Eq(t, first.Verdict(start), h.Verdict(start), must.Sprintf("seed %d", seed))
	}
}

// A batch of ends does not hide those that count.
func TestEndsAreBounded(t *testing.T) {
	var h History
	for k := range 5 * maxEnds {
		h = end{fmt.Sprint("x-", k), 0, 60, false}.add(h, 0)
	}
	must.LessEq(t, maxEnds, len(h.Ends))
	h = end{"b", 70, 130, false}.add(h, 0)
	for k := range 5 * maxEnds {
		h = end{fmt.Sprint("y-", k), 100, 150, false}.add(h, 0)
	}
	must.Eq(t, Suspected, h.Verdict(start))
	h = end{"c", 140, 200, false}.add(h, 0)
	must.LessEq(t, maxEnds, len(h.Ends))
	must.Eq(t, Refused, h.Verdict(start))
}
