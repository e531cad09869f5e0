package suspect

import (
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
