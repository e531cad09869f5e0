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
	startTime  = time.UnixMilli(1_800_000_000_000)
)

func newIntent(key, attempt string) Intent {
	return Intent{Key: key, Workspace: "w", Attempt: attempt, Author: "d" + attempt, BootID: "b", IssuedAt: startTime}
}

// recordLog applies records to a state, one millisecond apart. Tests move at to jump
// the log's clock.
type recordLog struct {
	state      *State
	at         time.Time
	nextOffset uint64
}

func newRecordLog() *recordLog { return &recordLog{state: NewState(testLimits, 1), at: startTime} }

func (c *recordLog) appendRecords(records ...Record) {
	for _, r := range records {
		c.state.Apply(Position{Offset: c.nextOffset, At: c.at}, r)
		c.nextOffset++
		c.at = c.at.Add(time.Millisecond)
	}
}

func intentRecord(in Intent) Record { return Record{Intent: &in} }
func doneRecord(a string) Record {
	return Record{Done: &Done{Attempt: a, Result: Result{Outcome: fault.Ran}}}
}

func abandonRecord(a string) Record {
	return Record{Abandon: &Abandon{Attempt: a, IssuedAt: startTime}}
}

func withIssueOffset(in Intent, d time.Duration) Intent {
	in.IssuedAt = in.IssuedAt.Add(d)
	return in
}

func withBody(in Intent, b string) Intent {
	in.Fingerprint = FingerprintOf([]byte(b))
	return in
}

func TestVerdicts(t *testing.T) {
	a, b := newIntent("k", "a"), newIntent("k", "b")
	cases := []struct {
		name    string
		records []Record
		of      Intent
		verdict Verdict
	}{
		{"unknown key is undecided", nil, a, Undecided},
		{"first intent acquires the key", []Record{intentRecord(a)}, a, Acquired},
		{"duplicate intent keeps the key", []Record{intentRecord(a), intentRecord(a)}, a, Acquired},
		{"second attempt does not acquire a held key", []Record{intentRecord(a), intentRecord(b)}, b, HeldByOther},
		{"key is held before the second intent is read", []Record{intentRecord(a)}, b, HeldByOther},
		{"holder keeps the key after a second intent", []Record{intentRecord(a), intentRecord(b)}, a, Acquired},
		{"done finishes the key", []Record{intentRecord(a), doneRecord("a")}, a, Finished},
		{"second attempt sees the first one's result", []Record{intentRecord(a), doneRecord("a"), intentRecord(b)}, b, Finished},
		{"done of an attempt without the key is ignored", []Record{intentRecord(a), intentRecord(b), doneRecord("b")}, a, Acquired},
		{"done before its intent is ignored", []Record{doneRecord("a"), intentRecord(a)}, a, Acquired},
		{"abandon withdraws the holder", []Record{intentRecord(a), abandonRecord("a")}, a, Abandoned},
		{"next attempt acquires an abandoned key", []Record{intentRecord(a), abandonRecord("a"), intentRecord(b)}, b, Acquired},
		{"abandon before its intent withdraws the attempt", []Record{abandonRecord("a"), intentRecord(a)}, a, Abandoned},
		{"next attempt acquires the key after an early abandon", []Record{abandonRecord("a"), intentRecord(a), intentRecord(b)}, b, Acquired},
		{"duplicate intent of an abandoned attempt is ignored", []Record{intentRecord(a), abandonRecord("a"), intentRecord(a), intentRecord(b)}, b, Acquired},
		{"duplicate intent of an abandoned attempt does not take the key back", []Record{intentRecord(a), abandonRecord("a"), intentRecord(b), intentRecord(a)}, b, Acquired},
		{"duplicate abandon does not affect the next holder", []Record{intentRecord(a), abandonRecord("a"), intentRecord(b), abandonRecord("a")}, b, Acquired},
		{"abandon of an attempt without the key is ignored", []Record{intentRecord(a), intentRecord(b), abandonRecord("b")}, a, Acquired},
		{"denied attempt does not acquire a released key", []Record{intentRecord(a), intentRecord(b), abandonRecord("a"), intentRecord(b)}, b, Released},
		{"abandon after done is ignored", []Record{intentRecord(a), doneRecord("a"), abandonRecord("a")}, b, Finished},
		{"request mismatch before the intent is read", []Record{intentRecord(a)}, withBody(b, "other"), RequestMismatch},
		{"request mismatch", []Record{intentRecord(a), intentRecord(withBody(b, "other"))}, withBody(b, "other"), RequestMismatch},
		{"issue time mismatch", []Record{intentRecord(a), intentRecord(withIssueOffset(b, 1e9))}, withIssueOffset(b, 1e9), IssueTimeMismatch},
		{"same key in another workspace is independent", []Record{intentRecord(a), intentRecord(Intent{Key: "k", Workspace: "v", Attempt: "b", IssuedAt: startTime})}, Intent{Key: "k", Workspace: "v", Attempt: "b", IssuedAt: startTime}, Acquired},
		{"older than MaxKeyAge at the append", []Record{intentRecord(withIssueOffset(a, -testLimits.MaxKeyAge-time.Second))}, withIssueOffset(a, -testLimits.MaxKeyAge-time.Second), Expired},
		{"exactly MaxKeyAge old", []Record{intentRecord(withIssueOffset(a, -testLimits.MaxKeyAge))}, withIssueOffset(a, -testLimits.MaxKeyAge), Acquired},
		{"issued in the future", []Record{intentRecord(withIssueOffset(a, testLimits.MaxSkew+time.Second))}, withIssueOffset(a, testLimits.MaxSkew+time.Second), IssuedInFuture},
		{"duplicate of an intent issued in the future stays refused", []Record{intentRecord(withIssueOffset(a, time.Hour)), intentRecord(withIssueOffset(a, time.Hour))}, withIssueOffset(a, time.Hour), IssuedInFuture},
	}
	for _, tc := range cases {
		c := newRecordLog()
		c.appendRecords(tc.records...)
		test.Eq(t, tc.verdict, c.state.Decide(&tc.of).Verdict, test.Sprint(tc.name))
	}
}

func TestIsRedundant(t *testing.T) {
	a := newIntent("k", "a")
	cases := []struct {
		name      string
		records   []Record
		r         Record
		redundant bool
	}{
		{"intent not applied", nil, intentRecord(a), false},
		{"intent applied", []Record{intentRecord(a)}, intentRecord(a), true},
		{"done not applied", []Record{intentRecord(a)}, doneRecord("a"), false},
		{"done applied", []Record{intentRecord(a), doneRecord("a")}, doneRecord("a"), true},
		{"done of an unknown attempt", nil, doneRecord("a"), false},
		{"abandon of an unknown attempt", nil, abandonRecord("a"), false},
		{"abandon not applied", []Record{intentRecord(a)}, abandonRecord("a"), false},
		{"abandon applied", []Record{intentRecord(a), abandonRecord("a")}, abandonRecord("a"), true},
		{"abandon applied before its intent", []Record{abandonRecord("a")}, abandonRecord("a"), true},
	}
	for _, tc := range cases {
		c := newRecordLog()
		c.appendRecords(tc.records...)
		test.Eq(t, tc.redundant, c.state.IsRedundant(tc.r), test.Sprint(tc.name))
	}
}

func TestKeysExpireByLogTime(t *testing.T) {
	c := newRecordLog()
	c.appendRecords(intentRecord(newIntent("k", "a")), doneRecord("a"), abandonRecord("x"))
	c.at = startTime.Add(testLimits.MaxKeyAge)
	c.appendRecords(intentRecord(newIntent("k", "b")))
	test.Eq(t, 1, c.state.KeyCount())
	late := newIntent("k", "b")
	test.Eq(t, Finished, c.state.Decide(&late).Verdict)
	c.at = startTime.Add(2 * testLimits.Horizon())
	c.appendRecords(Record{Begin: &Begin{}})
	c.at = c.at.Add(testLimits.Horizon())
	c.appendRecords(Record{Begin: &Begin{}})
	test.Zero(t, c.state.KeyCount())
	test.MapEmpty(t, c.state.attempts)
	test.MapEmpty(t, c.state.expiry)
	again := newIntent("k", "c")
	c.appendRecords(intentRecord(again))
	test.Eq(t, Expired, c.state.Decide(&again).Verdict)
}

func TestNewEpochRefusesKeysIssuedBefore(t *testing.T) {
	s := NewState(testLimits, 2)
	s.Apply(Position{Offset: 0, At: startTime}, Record{Begin: &Begin{}})
	old, fresh := newIntent("old", "a"), withIssueOffset(newIntent("new", "b"), testLimits.MaxSkew+time.Second)
	s.Apply(Position{Offset: 1, At: startTime.Add(time.Minute)}, intentRecord(old))
	s.Apply(Position{Offset: 2, At: startTime.Add(time.Minute)}, intentRecord(fresh))
	test.Eq(t, PredatesLog, s.Decide(&old).Verdict)
	test.Eq(t, Acquired, s.Decide(&fresh).Verdict)
}

func TestDecisionErrorKindsAndOutcomes(t *testing.T) {
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
	good := newIntent("k", "a")
	test.NoError(t, testLimits.CheckIntent(&good, startTime))
	for name, in := range map[string]Intent{
		"no key":   newIntent("", "a"),
		"long key": newIntent(string(make([]byte, MaxKeyBytes+1)), "a"),
		"old":      withIssueOffset(good, -testLimits.MaxKeyAge-1),
		"early":    withIssueOffset(good, testLimits.MaxSkew+1),
	} {
		test.Error(t, testLimits.CheckIntent(&in, startTime), test.Sprint(name))
	}
}

func TestLargeResultBodiesAreOmitted(t *testing.T) {
	small := Result{Body: make([]byte, MaxResultBytes)}
	test.Eq(t, small, small.Bounded())
	large := Result{Body: make([]byte, MaxResultBytes+1)}.Bounded()
	test.True(t, large.Omitted)
	test.SliceEmpty(t, large.Body)
	test.NotEq(t, Fingerprint{}, large.Digest)
}

func TestLayoutChangesOnlyAfterRenewalsLapse(t *testing.T) {
	l := NewLayout(testLimits)
	at := startTime
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

func TestLayoutOfTrimmedStream(t *testing.T) {
	l := NewLayout(testLimits)
	l.StartTrimmedAt(7)
	l.Apply(Position{Offset: 7, At: startTime}, Begin{Shards: 4})
	l.Apply(Position{Offset: 8, At: startTime}, Begin{Shards: 8})
	l.CaughtUp()
	l.Apply(Position{Offset: 9, At: startTime}, Begin{Shards: 4})
	test.Eq(t, 8, l.Shards())
}

func TestKeysSpreadEvenlyOverShards(t *testing.T) {
	counts := make([]int, 8)
	for i := range 8000 {
		counts[ShardOf("w", fmt.Sprint(i), 8)]++
	}
	for _, c := range counts {
		must.Between(t, 850, c, 1150)
	}
}

// drawRecords generates a stream as any number of authors may write it: the records
// of each attempt occur any number of times and in any order, while the log's clock
// advances and sometimes steps back by a minute.
func drawRecords(t *rapid.T) ([]Record, []Position) {
	n := rapid.IntRange(1, 60).Draw(t, "records")
	records, positions := make([]Record, n), make([]Position, n)
	at := startTime
	for i := range n {
		key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
		id := key + rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "attempt")
		in := newIntent(key, id)
		in.IssuedAt = startTime.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 0, 20, -30}).Draw(t, "issued")) * time.Minute)
		switch rapid.IntRange(0, 5).Draw(t, "kind") {
		case 0, 1, 2:
			records[i] = intentRecord(in)
		case 3:
			records[i] = doneRecord(id)
		case 4:
			records[i] = abandonRecord(id)
		}
		step := rapid.SampledFrom([]time.Duration{0, time.Second, 10 * time.Minute, 90 * time.Minute, -time.Minute}).Draw(t, "step")
		at = at.Add(step)
		positions[i] = Position{Offset: uint64(i), At: at}
	}
	return records, positions
}

// TestKeyHasOneHolderAtATime checks that in no interleaving of records two attempts
// acquire the same key, unless the first one was abandoned in between. Otherwise the
// request would run twice.
func TestKeyHasOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, positions := drawRecords(t)
		s := NewState(testLimits, 1)
		holder, finished := map[string]string{}, map[string]bool{}
		for i, r := range records {
			s.Apply(positions[i], r)
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
				t.Fatalf("attempt %s acquired the key held by %s at %v", r.Intent.Attempt, old, positions[i])
			}
			holder[r.Intent.Key] = r.Intent.Attempt
		}
	})
}

// TestReaderFromHorizonAgrees checks that a reader that starts Horizon before a claim
// reaches the same decision as one that has read the whole stream. Otherwise a new
// home could grant a key that is already in use.
func TestReaderFromHorizonAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, positions := drawRecords(t)
		end := positions[len(positions)-1].At
		for _, p := range positions {
			if p.At.After(end) {
				end = p.At
			}
		}
		all, late := NewState(testLimits, 1), NewState(testLimits, 1)
		started := false
		for i, r := range records {
			all.Apply(positions[i], r)
			if !started && positions[i].At.Before(end.Add(-testLimits.Horizon())) {
				continue
			}
			if !started {
				late.StartAt(uint64(i))
				started = true
			}
			late.Apply(positions[i], r)
		}
		fresh := Intent{Workspace: "w", Attempt: "new", IssuedAt: startTime}
		for _, key := range []string{"k1", "k2"} {
			fresh.Key = key
			if testLimits.CheckIntent(&fresh, end) != nil {
				continue
			}
			if a, b := all.Decide(&fresh), late.Decide(&fresh); a.Verdict != b.Verdict || a.Author != b.Author {
				t.Fatalf("key %s: full reader decided %+v, late reader %+v", key, a, b)
			}
		}
	})
}

func FuzzApply(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7})
	f.Fuzz(func(t *testing.T, data []byte) {
		c := newRecordLog()
		for _, b := range data {
			a := string(rune('a' + b&3))
			in := newIntent(string(rune('k'+(b>>2)&1)), a)
			in.IssuedAt = startTime.Add(time.Duration(int8(b)) * time.Minute)
			c.at = c.at.Add(time.Duration(b>>4) * time.Minute)
			switch b >> 6 {
			case 0, 1:
				c.appendRecords(intentRecord(in))
			case 2:
				c.appendRecords(doneRecord(a))
			default:
				c.appendRecords(abandonRecord(a))
			}
			c.state.Decide(&in)
		}
		if c.state.KeyCount() > 2 {
			t.Fatalf("state holds %d keys, but only 2 were used", c.state.KeyCount())
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
		c := newRecordLog()
		for i := range n {
			id := fmt.Sprintf("%026d", i)
			c.appendRecords(intentRecord(newIntent(fmt.Sprint(i), id)), doneRecord(id))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/key")
		runtime.KeepAlive(c)
	}
}
