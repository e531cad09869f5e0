package once

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

var (
	testLimits = Limits{MaxKeyAge: time.Hour, MaxSkew: 30 * time.Second}
	t0         = time.UnixMilli(1_800_000_000_000)
)

func intent(key, attempt string) Intent {
	return Intent{Key: key, Workspace: "w", Attempt: attempt, Author: "d" + attempt, Boot: "b", IssuedAt: t0}
}

// script folds records one millisecond apart, after jumps of the log's clock.
type script struct {
	s  *State
	at time.Time
	n  uint64
}

func newScript() *script { return &script{s: NewState(testLimits, 1), at: t0} }

func (c *script) fold(records ...Record) {
	for _, r := range records {
		c.s.Apply(Position{Offset: c.n, At: c.at}, r)
		c.n++
		c.at = c.at.Add(time.Millisecond)
	}
}

func want(in Intent) Record { return Record{Intent: &in} }
func done(a string) Record {
	return Record{Done: &Done{Attempt: a, Result: Result{Outcome: fault.Ran}}}
}
func abandon(a string) Record { return Record{Abandon: &Abandon{Attempt: a, IssuedAt: t0}} }
func issued(in Intent, d time.Duration) Intent {
	in.IssuedAt = in.IssuedAt.Add(d)
	return in
}

func body(in Intent, b string) Intent {
	in.Fingerprint = FingerprintOf([]byte(b))
	return in
}

func TestVerdicts(t *testing.T) {
	a, b := intent("k", "a"), intent("k", "b")
	cases := []struct {
		name    string
		records []Record
		of      Intent
		verdict Verdict
	}{
		{"unknown key", nil, a, Undecided},
		{"first", []Record{want(a)}, a, Acquired},
		{"duplicate of the first", []Record{want(a), want(a)}, a, Acquired},
		{"second", []Record{want(a), want(b)}, b, HeldByOther},
		{"not yet written, but held", []Record{want(a)}, b, HeldByOther},
		{"first after a second", []Record{want(a), want(b)}, a, Acquired},
		{"finished", []Record{want(a), done("a")}, a, Finished},
		{"finished by another", []Record{want(a), done("a"), want(b)}, b, Finished},
		{"done of the second changes nothing", []Record{want(a), want(b), done("b")}, a, Acquired},
		{"done without an intent", []Record{done("a"), want(a)}, a, Acquired},
		{"abandoned", []Record{want(a), abandon("a")}, a, Abandoned},
		{"next after an abandon", []Record{want(a), abandon("a"), want(b)}, b, Acquired},
		{"abandon before its intent", []Record{abandon("a"), want(a)}, a, Abandoned},
		{"abandon before its intent frees", []Record{abandon("a"), want(a), want(b)}, b, Acquired},
		{"late duplicate after an abandon", []Record{want(a), abandon("a"), want(a), want(b)}, b, Acquired},
		{"late duplicate does not take over", []Record{want(a), abandon("a"), want(b), want(a)}, b, Acquired},
		{"duplicated abandon spares the next", []Record{want(a), abandon("a"), want(b), abandon("a")}, b, Acquired},
		{"abandon of a second", []Record{want(a), want(b), abandon("b")}, a, Acquired},
		{"loser stays one", []Record{want(a), want(b), abandon("a"), want(b)}, b, Released},
		{"abandon after done", []Record{want(a), done("a"), abandon("a")}, b, Finished},
		{"other body", []Record{want(a)}, body(b, "other"), RequestMismatch},
		{"other body, written", []Record{want(a), want(body(b, "other"))}, body(b, "other"), RequestMismatch},
		{"other time of issue", []Record{want(a), want(issued(b, 1e9))}, issued(b, 1e9), IssueTimeMismatch},
		{"other workspace", []Record{want(a), want(Intent{Key: "k", Workspace: "v", Attempt: "b", IssuedAt: t0})}, Intent{Key: "k", Workspace: "v", Attempt: "b", IssuedAt: t0}, Acquired},
		{"too old in the queue", []Record{want(issued(a, -testLimits.MaxKeyAge-time.Second))}, issued(a, -testLimits.MaxKeyAge-time.Second), Expired},
		{"at the limit of age", []Record{want(issued(a, -testLimits.MaxKeyAge))}, issued(a, -testLimits.MaxKeyAge), Acquired},
		{"from the future", []Record{want(issued(a, testLimits.MaxSkew+time.Second))}, issued(a, testLimits.MaxSkew+time.Second), IssuedInFuture},
		{"early one stays refused", []Record{want(issued(a, time.Hour)), want(issued(a, time.Hour))}, issued(a, time.Hour), IssuedInFuture},
	}
	for _, tc := range cases {
		c := newScript()
		c.fold(tc.records...)
		test.Eq(t, tc.verdict, c.s.Decide(&tc.of).Verdict, test.Sprint(tc.name))
	}
}

func TestSettled(t *testing.T) {
	a := intent("k", "a")
	cases := []struct {
		name    string
		records []Record
		r       Record
		settled bool
	}{
		{"intent not seen", nil, want(a), false},
		{"intent seen", []Record{want(a)}, want(a), true},
		{"done not seen", []Record{want(a)}, done("a"), false},
		{"done seen", []Record{want(a), done("a")}, done("a"), true},
		{"done of an unknown attempt", nil, done("a"), false},
		{"abandon of an unknown attempt", nil, abandon("a"), false},
		{"abandon not seen", []Record{want(a)}, abandon("a"), false},
		{"abandon seen", []Record{want(a), abandon("a")}, abandon("a"), true},
		{"abandon seen first", []Record{abandon("a")}, abandon("a"), true},
	}
	for _, tc := range cases {
		c := newScript()
		c.fold(tc.records...)
		test.Eq(t, tc.settled, c.s.IsRedundant(tc.r), test.Sprint(tc.name))
	}
}

func TestKeysAreForgottenByLogTime(t *testing.T) {
	c := newScript()
	c.fold(want(intent("k", "a")), done("a"), abandon("x"))
	c.at = t0.Add(testLimits.MaxKeyAge)
	c.fold(want(intent("k", "b")))
	test.Eq(t, 1, c.s.KeyCount())
	late := intent("k", "b")
	test.Eq(t, Finished, c.s.Decide(&late).Verdict)
	c.at = t0.Add(2 * testLimits.Horizon())
	c.fold(Record{Begin: &Begin{}})
	c.at = c.at.Add(testLimits.Horizon())
	c.fold(Record{Begin: &Begin{}})
	test.Zero(t, c.s.KeyCount())
	test.MapEmpty(t, c.s.attempts)
	test.MapEmpty(t, c.s.expiry)
	again := intent("k", "c")
	c.fold(want(again))
	test.Eq(t, Expired, c.s.Decide(&again).Verdict)
}

func TestNewEpochRefusesOlderKeys(t *testing.T) {
	s := NewState(testLimits, 2)
	s.Apply(Position{Offset: 0, At: t0}, Record{Begin: &Begin{}})
	old, fresh := intent("old", "a"), issued(intent("new", "b"), testLimits.MaxSkew+time.Second)
	s.Apply(Position{Offset: 1, At: t0.Add(time.Minute)}, want(old))
	s.Apply(Position{Offset: 2, At: t0.Add(time.Minute)}, want(fresh))
	test.Eq(t, PredatesLog, s.Decide(&old).Verdict)
	test.Eq(t, Acquired, s.Decide(&fresh).Verdict)
}

func TestErrorsSayWhatIsKnown(t *testing.T) {
	cases := []struct {
		d       Decision
		kind    fault.Kind
		outcome fault.Outcome
	}{
		{Decision{Verdict: HeldByOther}, fault.Conflict, fault.Unknown},
		{Decision{Verdict: HeldByOther, Lost: true}, fault.Unavailable, fault.Unknown},
		{Decision{Verdict: RequestMismatch}, fault.Conflict, fault.NotRun},
		{Decision{Verdict: IssueTimeMismatch}, fault.Conflict, fault.Unknown},
		{Decision{Verdict: Expired}, fault.Conflict, fault.Unknown},
		{Decision{Verdict: IssuedInFuture}, fault.BadInput, fault.NotRun},
		{Decision{Verdict: PredatesLog}, fault.Unavailable, fault.Unknown},
		{Decision{Verdict: Undecided}, fault.Unavailable, fault.Unknown},
	}
	for _, tc := range cases {
		e := fault.As(tc.d.Err(testLimits))
		test.Eq(t, tc.kind, e.Kind, test.Sprint(tc.d.Verdict))
		test.Eq(t, tc.outcome, e.Outcome, test.Sprint(tc.d.Verdict))
		test.NotEq(t, "", e.Remedy)
	}
	test.NoError(t, Decision{Verdict: Acquired}.Err(testLimits))
	test.NoError(t, Decision{Verdict: Finished}.Err(testLimits))
}

func TestLimits(t *testing.T) {
	test.NoError(t, testLimits.Check(24*time.Hour))
	test.Error(t, testLimits.Check(time.Hour))
	test.Error(t, Limits{}.Check(time.Hour))
	good := intent("k", "a")
	test.NoError(t, testLimits.CheckIntent(&good, t0))
	for name, in := range map[string]Intent{
		"no key":   intent("", "a"),
		"long key": intent(string(make([]byte, MaxKeyBytes+1)), "a"),
		"old":      issued(good, -testLimits.MaxKeyAge-1),
		"early":    issued(good, testLimits.MaxSkew+1),
	} {
		test.Error(t, testLimits.CheckIntent(&in, t0), test.Sprint(name))
	}
}

func TestLargeResultsAreOmitted(t *testing.T) {
	small := Result{Body: make([]byte, MaxResultBytes)}
	test.Eq(t, small, small.Bounded())
	large := Result{Body: make([]byte, MaxResultBytes+1)}.Bounded()
	test.True(t, large.Omitted)
	test.SliceEmpty(t, large.Body)
	test.NotEq(t, Fingerprint{}, large.Digest)
}

func TestLayoutIsFixedByTheLog(t *testing.T) {
	l := NewLayout(testLimits)
	at := t0
	step := func(shards int, d time.Duration) int {
		at = at.Add(d)
		l.Apply(Position{Offset: l.Next(), At: at}, Begin{Shards: shards})
		return l.Shards()
	}
	test.Eq(t, 8, step(8, 0))
	test.Eq(t, 8, step(4, time.Second))
	test.Eq(t, 8, step(0, time.Second))
	test.Eq(t, 8, step(8, 2*testLimits.Horizon()-time.Minute))
	test.Eq(t, 8, step(4, time.Hour))
	test.Eq(t, 4, step(4, 2*testLimits.Horizon()))
}

func TestLayoutOfATrimmedStream(t *testing.T) {
	l := NewLayout(testLimits)
	l.StartTrimmedAt(7)
	l.Apply(Position{Offset: 7, At: t0}, Begin{Shards: 4})
	l.Apply(Position{Offset: 8, At: t0}, Begin{Shards: 8})
	l.CaughtUp()
	l.Apply(Position{Offset: 9, At: t0}, Begin{Shards: 4})
	test.Eq(t, 8, l.Shards())
}

func TestShardsAreEven(t *testing.T) {
	counts := make([]int, 8)
	for i := range 8000 {
		counts[ShardOf("w", fmt.Sprint(i), 8)]++
	}
	for _, c := range counts {
		must.Between(t, 850, c, 1150)
	}
}

// drawRecords makes a stream as any number of authors may write it: each
// attempt's records any number of times, in any order, with the log's clock
// moving on and now and then a little back.
func drawRecords(t *rapid.T) ([]Record, []Position) {
	n := rapid.IntRange(1, 60).Draw(t, "records")
	records, places := make([]Record, n), make([]Position, n)
	at := t0
	for i := range n {
		key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
		id := key + rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "attempt")
		in := intent(key, id)
		in.IssuedAt = t0.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 0, 20, -30}).Draw(t, "issued")) * time.Minute)
		switch rapid.IntRange(0, 5).Draw(t, "kind") {
		case 0, 1, 2:
			records[i] = want(in)
		case 3:
			records[i] = done(id)
		case 4:
			records[i] = abandon(id)
		}
		step := rapid.SampledFrom([]time.Duration{0, time.Second, 10 * time.Minute, 90 * time.Minute, -time.Minute}).Draw(t, "step")
		at = at.Add(step)
		places[i] = Position{Offset: uint64(i), At: at}
	}
	return records, places
}

// No interleaving of records gives a key two first attempts, unless the
// earlier one was abandoned in between.
func TestOneFirstPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, places := drawRecords(t)
		s := NewState(testLimits, 1)
		holder, finished := map[string]string{}, map[string]bool{}
		for i, r := range records {
			s.Apply(places[i], r)
			for k, a := range holder {
				switch {
				case r.Done != nil && r.Done.Attempt == a:
					finished[a] = true
				case r.Abandon != nil && r.Abandon.Attempt == a && !finished[a]:
					delete(holder, k)
				}
			}
			if r.Intent == nil || s.Decide(r.Intent).Verdict != Acquired {
				continue
			}
			old, held := holder[r.Intent.Key]
			if held && old != r.Intent.Attempt {
				t.Fatalf("%s after %s at %v", r.Intent.Attempt, old, places[i])
			}
			holder[r.Intent.Key] = r.Intent.Attempt
		}
	})
}

// A reader that begins Horizon before a claim answers it as one that has read
// everything.
func TestLateReaderAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, places := drawRecords(t)
		end := places[len(places)-1].At
		for _, p := range places {
			if p.At.After(end) {
				end = p.At
			}
		}
		all, late := NewState(testLimits, 1), NewState(testLimits, 1)
		begun := false
		for i, r := range records {
			all.Apply(places[i], r)
			if !begun && places[i].At.Before(end.Add(-testLimits.Horizon())) {
				continue
			}
			if !begun {
				late.StartAt(uint64(i))
				begun = true
			}
			late.Apply(places[i], r)
		}
		fresh := Intent{Workspace: "w", Attempt: "new", IssuedAt: t0}
		for _, key := range []string{"k1", "k2"} {
			fresh.Key = key
			if testLimits.CheckIntent(&fresh, end) != nil {
				continue
			}
			if a, b := all.Decide(&fresh), late.Decide(&fresh); a.Verdict != b.Verdict || a.Author != b.Author {
				t.Fatalf("%s: %+v and %+v", key, a, b)
			}
		}
	})
}

func FuzzApply(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7})
	f.Fuzz(func(t *testing.T, data []byte) {
		c := newScript()
		for _, b := range data {
			a := string(rune('a' + b&3))
			in := intent(string(rune('k'+(b>>2)&1)), a)
			in.IssuedAt = t0.Add(time.Duration(int8(b)) * time.Minute)
			c.at = c.at.Add(time.Duration(b>>4) * time.Minute)
			switch b >> 6 {
			case 0, 1:
				c.fold(want(in))
			case 2:
				c.fold(done(a))
			default:
				c.fold(abandon(a))
			}
			c.s.Decide(&in)
		}
		if c.s.KeyCount() > 2 {
			t.Fatal("more keys than were used")
		}
	})
}

func BenchmarkMemoryPerKey(b *testing.B) {
	b.ReportAllocs()
	const n = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := newScript()
		for i := range n {
			id := fmt.Sprintf("%026d", i)
			c.fold(want(intent(fmt.Sprint(i), id)), done(id))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/key")
		runtime.KeepAlive(c)
	}
}
