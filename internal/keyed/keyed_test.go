package keyed

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/once"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// long bounds waits that end by themselves in a good run.
const long = 20 * time.Second

func (n *node) claim(t testing.TB, in once.Intent, limit time.Duration) (once.Decision, error) {
	t.Helper()
	ctx, cancel := within(limit)
	defer cancel()
	return n.Client.Claim(ctx, in)
}

func (n *node) mustFirst(t testing.TB, in once.Intent) once.Decision {
	t.Helper()
	d, err := n.claim(t, in, long)
	must.NoError(t, err)
	must.Eq(t, once.Acquired, d.Verdict)
	return d
}

func (n *node) flush(t testing.TB) {
	t.Helper()
	ctx, cancel := within(long)
	defer cancel()
	must.NoError(t, n.Client.Flush(ctx))
}

var paid = once.Result{Outcome: fault.Ran, Status: 200, ContentType: "application/json", Body: []byte(`{"paid":true}`)}

func TestRetryAnywhereGetsTheRecordedResult(t *testing.T) {
	c := newCluster(t, 3, nil)
	in := order("k")
	d := c.nodes["d0"].mustFirst(t, in)
	c.nodes["d0"].Client.Finish(d.Attempt, paid)
	c.nodes["d0"].flush(t)
	for _, n := range c.nodes {
		got, err := n.claim(t, in, long)
		must.NoError(t, err)
		test.Eq(t, once.Finished, got.Verdict)
		test.Eq(t, &paid, got.Result)
	}
}

func TestRetryWaitsForALiveAttempt(t *testing.T) {
	c := newCluster(t, 3, nil)
	in := order("k")
	d := c.nodes["d0"].mustFirst(t, in)
	got := make(chan once.Decision, 1)
	go func() {
		r, _ := c.nodes["d1"].claim(t, in, long)
		got <- r
	}()
	home, _ := c.homeOf("k")
	waitWatched(t, home)
	c.nodes["d0"].Client.Finish(d.Attempt, paid)
	r := <-got
	test.Eq(t, once.Finished, r.Verdict)
	test.Eq(t, &paid, r.Result)
}

// waitWatched waits until somebody waits for a result at the home.
func waitWatched(t testing.TB, home *node) {
	t.Helper()
	waitFor(t, func() bool {
		found := false
		home.Home.streams.Range(func(_ string, s *stream) bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			found = found || s.waiting > 0
			return !found
		})
		return found
	})
}

func waitFor(t testing.TB, cond func() bool) {
	t.Helper()
	limit := time.Now().Add(long)
	for !cond() {
		if time.Now().After(limit) {
			t.Fatal("condition never held")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestHeldKeyIsUnknownNotNotRun(t *testing.T) {
	c := newCluster(t, 3, nil)
	in := order("k")
	c.nodes["d0"].mustFirst(t, in)
	_, err := c.nodes["d1"].claim(t, in, 200*time.Millisecond)
	test.Eq(t, fault.Conflict, fault.KindOf(err))
	test.Eq(t, fault.Unknown, fault.As(err).Outcome)
}

func TestAbandonedKeyCanBeClaimedAgain(t *testing.T) {
	c := newCluster(t, 3, nil)
	in := order("k")
	d := c.nodes["d0"].mustFirst(t, in)
	c.nodes["d0"].Client.Abandon(d.Attempt)
	c.nodes["d1"].mustFirst(t, in)
}

func TestOtherBodyIsRefused(t *testing.T) {
	c := newCluster(t, 3, nil)
	in := order("k")
	c.nodes["d0"].mustFirst(t, in)
	in.Fingerprint = once.FingerprintOf([]byte("other"))
	_, err := c.nodes["d1"].claim(t, in, long)
	test.Eq(t, fault.Conflict, fault.KindOf(err))
	test.Eq(t, fault.NotRun, fault.As(err).Outcome)
}

func TestKeysOutOfTimeAreNotWritten(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.nodes["d0"].mustFirst(t, order("warm"))
	c.nodes["d0"].mustFirst(t, order("warm2"))
	before := c.log.appends
	for _, age := range []time.Duration{2 * time.Hour, -time.Hour} {
		in := order("k")
		in.IssuedAt = time.Now().Add(-age)
		_, err := c.nodes["d0"].claim(t, in, long)
		test.Error(t, err)
	}
	test.Eq(t, before, c.log.appends)
}

func TestAgeIsJudgedByTheLogsClock(t *testing.T) {
	c := newCluster(t, 1, nil)
	c.nodes["d0"].mustFirst(t, order("k1"))
	c.log.set(func(l *fakeLog) { l.ahead = 2 * time.Hour })
	_, err := c.nodes["d0"].claim(t, order("k2"), long)
	test.Eq(t, fault.Conflict, fault.KindOf(err))
	test.Eq(t, fault.Unknown, fault.As(err).Outcome)
}

func TestLostAppendAnswers(t *testing.T) {
	for name, break1 := range map[string]func(*fakeLog){
		"took effect": func(l *fakeLog) { l.lose = 1 },
		"vanished":    func(l *fakeLog) { l.vanish = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, nil)
			c.nodes["d0"].mustFirst(t, order("warm"))
			c.log.set(break1)
			in := order("k")
			d := c.nodes["d0"].mustFirst(t, in)
			c.log.set(break1)
			c.nodes["d0"].Client.Finish(d.Attempt, paid)
			c.nodes["d0"].flush(t)
			got, err := c.nodes["d1"].claim(t, in, long)
			must.NoError(t, err)
			test.Eq(t, once.Finished, got.Verdict)
		})
	}
}

func TestLogDownIsRefusedAtOnceAndRecovers(t *testing.T) {
	for name, down := range map[string]func(*fakeLog, bool){
		"refuses":        func(l *fakeLog, v bool) { l.refuse = v },
		"hangs":          func(l *fakeLog, v bool) { l.hang = v },
		"refuses writes": func(l *fakeLog, v bool) { l.refuseWrites = v },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, nil)
			in := order("k")
			d := c.nodes["d0"].mustFirst(t, in)
			c.log.set(func(l *fakeLog) { down(l, true) })
			waitFor(t, func() bool {
				_, err := c.nodes["d1"].claim(t, order("fresh"), long)
				return fault.Is(err, fault.LogDown) && fault.As(err).Outcome == fault.NotRun
			})
			begin := time.Now()
			_, err := c.nodes["d1"].claim(t, order("fresh"), long)
			t.Logf("refused after %s: %v", time.Since(begin), err)
			test.Eq(t, fault.LogDown, fault.KindOf(err))
			c.nodes["d0"].Client.Finish(d.Attempt, paid) // owed until the log is back
			c.log.set(func(l *fakeLog) { down(l, false) })
			c.nodes["d0"].flush(t)
			waitFor(t, func() bool {
				d, err := c.nodes["d1"].claim(t, order("fresh"), long)
				return err == nil && d.Verdict == once.Acquired
			})
		})
	}
}

func TestStaleLogIsRefusedWithoutACall(t *testing.T) {
	c := newCluster(t, 1, func(o *Options) { o.LogAge = func() time.Duration { return time.Minute } })
	for n := range 2 {
		c.nodes["d0"].readyStream(t, n)
	}
	_, err := c.nodes["d0"].claim(t, order("k"), long)
	test.Eq(t, fault.LogDown, fault.KindOf(err))
	test.Eq(t, fault.NotRun, fault.As(err).Outcome)
}

func TestHomeKilledInMidClaim(t *testing.T) {
	c := newCluster(t, 3, nil)
	in := order("k")
	home, other := c.homeOf("k")
	c.nodes["d0"].mustFirst(t, order("warm"))
	home.shut() // it has the claim, but never answers
	got := make(chan once.Decision, 1)
	go func() {
		d, err := other.claim(t, in, long)
		test.NoError(t, err)
		got <- d
	}()
	home.stop()
	c.lose(home)
	test.Eq(t, once.Acquired, (<-got).Verdict)
	_, err := other.claim(t, in, 300*time.Millisecond)
	test.Eq(t, fault.Unknown, fault.As(err).Outcome)
}

func TestTwoHomesAtOnceGiveOneFirst(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.setView(c.nodes["d0"], "d0")
	c.setView(c.nodes["d1"], "d1")
	c.setView(c.nodes["d2"], "d2")
	for round := range 15 {
		in := order(fmt.Sprint(round))
		var mu sync.Mutex
		firsts := 0
		var wg sync.WaitGroup
		for _, n := range c.nodes {
			wg.Go(func() {
				d, err := n.claim(t, in, 150*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				if err == nil && d.Verdict == once.Acquired {
					firsts++
					return
				}
				test.Eq(t, fault.Unknown, fault.As(err).Outcome)
			})
		}
		wg.Wait()
		must.Eq(t, 1, firsts)
	}
}

func TestPausedHomeIsPassedOver(t *testing.T) {
	c := newCluster(t, 3, nil)
	home, other := c.homeOf("k")
	home.shut()
	d, err := other.claim(t, order("k"), long)
	must.NoError(t, err)
	test.Eq(t, once.Acquired, d.Verdict)
	home.open()
	_, err = home.claim(t, order("k"), 300*time.Millisecond)
	test.Error(t, err) // another time of issue, and held
}

func TestPausedAuthorMayStillSend(t *testing.T) {
	c := newCluster(t, 3, nil)
	in := order("k")
	_, author := c.homeOf("k")
	d := author.mustFirst(t, in)
	c.lose(author) // paused past every timeout
	var others []*node
	for _, n := range c.nodes {
		if n != author {
			others = append(others, n)
		}
	}
	for _, n := range others {
		_, err := n.claim(t, in, long)
		test.Eq(t, fault.Unavailable, fault.KindOf(err))
		test.Eq(t, fault.Unknown, fault.As(err).Outcome)
	}
	// It comes back and sends: it is still the only one that may.
	author.Client.Finish(d.Attempt, paid)
	author.flush(t)
	got, err := others[0].claim(t, in, long)
	must.NoError(t, err)
	test.Eq(t, once.Finished, got.Verdict)
}

func TestRestartedAuthorsAttemptIsUnknown(t *testing.T) {
	c := newCluster(t, 3, nil)
	in := order("k")
	_, author := c.homeOf("k")
	author.mustFirst(t, in)
	author.stop()
	<-author.stopped
	again := c.start(author.id)
	_, err := again.claim(t, in, long)
	test.Eq(t, fault.Unavailable, fault.KindOf(err))
	test.Eq(t, fault.Unknown, fault.As(err).Outcome)
}

func TestGivenUpClaimIsWithdrawn(t *testing.T) {
	c := newCluster(t, 1, nil)
	n := c.nodes["d0"]
	n.mustFirst(t, order("warm"))
	c.log.set(func(l *fakeLog) { l.latency = 50 * time.Millisecond })
	in := order("k")
	_, err := n.claim(t, in, 60*time.Millisecond)
	test.Eq(t, fault.Timeout, fault.KindOf(err))
	test.Eq(t, fault.Unknown, fault.As(err).Outcome) // nothing was read since it came
	c.log.set(func(l *fakeLog) { l.latency = 0 })
	n.flush(t)
	n.mustFirst(t, in)
}

func TestNothingDependsOnTrimmedRecords(t *testing.T) {
	limits := once.Limits{MaxKeyAge: time.Hour, MaxSkew: 30 * time.Second}
	retention := limits.Horizon() + time.Minute
	c := newCluster(t, 2, func(o *Options) { o.Limits, o.Retention = limits, retention })
	d := c.nodes["d0"].mustFirst(t, order("ancient"))
	c.nodes["d0"].Client.Finish(d.Attempt, paid)
	c.nodes["d0"].flush(t)
	c.log.set(func(l *fakeLog) { l.ahead = retention - limits.MaxKeyAge })
	young := order("young")
	young.IssuedAt = time.Now().Add(retention - limits.MaxKeyAge - time.Minute)
	// Beyond what this daemon's clock allows, so it goes straight into the log.
	writeIntent(t, c, young, "d0", c.nodes["d0"].boot)
	c.log.set(func(l *fakeLog) { l.ahead = retention + time.Minute })
	c.log.trim(retention)
	fresh := c.start("d2")
	s := fresh.readyStream(t, once.ShardOf("w", "young", 2))
	young.Attempt = "another"
	test.Eq(t, once.HeldByOther, s.look(&young).Verdict)
}

// readyStream returns a stream that the daemon has read as its home.
func (n *node) readyStream(t testing.TB, shard int) *stream {
	t.Helper()
	var s *stream
	waitFor(t, func() bool {
		var err error
		if s, err = n.Home.stream(shard); err != nil {
			return false // not yet running
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.ready
	})
	return s
}

func writeIntent(t *testing.T, c *cluster, in once.Intent, author, boot string) {
	in.Attempt, in.Author, in.Boot = "written", author, boot
	data, err := wire.EncodeOnceRecord(&once.Record{Intent: &in})
	must.NoError(t, err)
	c.log.set(func(l *fakeLog) { l.put(streamName(once.ShardOf(in.Workspace, in.Key, 2)), data) })
}

func TestLateHomeSkipsOldRecords(t *testing.T) {
	c := newCluster(t, 1, nil)
	shard := once.ShardOf("w", "k", 2)
	c.log.set(func(l *fakeLog) {
		l.ahead = -10 * time.Hour
		for i := range 3000 {
			l.put(streamName(shard), []byte{byte(i)}) // does not decode either
		}
		l.ahead = 0
	})
	c.nodes["d0"].mustFirst(t, order("k"))
	fresh := c.start("d1")
	s := fresh.readyStream(t, shard)
	in := order("k")
	test.Eq(t, once.IssueTimeMismatch, s.look(&in).Verdict)
	test.Less(t, 100, s.state.Next()-3000)
}

func TestOtherNumberOfStreamsIsRefused(t *testing.T) {
	c := newCluster(t, 1, nil)
	c.nodes["d0"].mustFirst(t, order("k"))
	c.adjust = func(o *Options) { o.Shards = 3 }
	odd := c.start("d1")
	c.setView(odd, "d1")
	for _, key := range []string{"k", "k1", "k2", "k3"} {
		_, err := odd.claim(t, order(key), long)
		test.Eq(t, fault.Conflict, fault.KindOf(err))
		test.Eq(t, fault.Unknown, fault.As(err).Outcome) // it may have run under the number in force
		test.True(t, strings.Contains(err.Error(), "once.shards"))
	}
}

func TestNewEpochOfTheLog(t *testing.T) {
	c := newCluster(t, 2, nil)
	in := order("k")
	d := c.nodes["d0"].mustFirst(t, in)
	c.nodes["d0"].Client.Finish(d.Attempt, paid)
	c.nodes["d0"].flush(t)
	c.log.set(func(l *fakeLog) { l.epoch, l.streams = 2, map[string]*fakeStream{} })
	in.Key = "k-other" // a key of before that no home remembers
	waitFor(t, func() bool {
		_, err := c.nodes["d1"].claim(t, in, long)
		e := fault.As(err)
		if e == nil || e.Outcome == fault.Unknown {
			return e != nil && e.Kind == fault.Unavailable
		}
		return false
	})
}

func TestGracefulStopRecordsWhatIsOwed(t *testing.T) {
	c := newCluster(t, 3, func(o *Options) { o.Linger = 50 * time.Millisecond })
	in := order("k")
	home, other := c.homeOf("k")
	d := other.mustFirst(t, in)
	other.Client.Finish(d.Attempt, paid)
	c.lose(other)
	other.stop()
	<-other.stopped
	got, err := home.claim(t, in, long)
	must.NoError(t, err)
	test.Eq(t, once.Finished, got.Verdict)
}

func TestOutboxIsBounded(t *testing.T) {
	c := newCluster(t, 1, nil)
	n := c.nodes["d0"]
	c.log.set(func(l *fakeLog) { l.refuse = true })
	b := n.Client.boxes[0]
	body := make([]byte, once.MaxResultBytes)
	for i := range maxOwed + 10 {
		b.add(once.Record{Done: &once.Done{Attempt: fmt.Sprint(i), Result: once.Result{Outcome: fault.Ran, Body: body}}})
	}
	test.Eq(t, maxOwed, b.len())
	test.LessEq(t, maxOwedBytes, b.bytes)
	test.True(t, b.debts[maxOwed-1].record.Done.Result.Omitted)
	test.LessEq(t, sendBytes/once.MaxResultBytes, len(b.batch()))
	b.remove(maxOwed)
	test.Zero(t, b.bytes)
}

func TestForeignClaimIsForbidden(t *testing.T) {
	c := newCluster(t, 2, nil)
	in := order("k")
	in.Author = "d1"
	home, _ := c.homeOf("k")
	body, err := wire.Marshal(&wire.OnceClaim{Shard: once.ShardOf("w", "k", 2), Shards: 2, Intent: in})
	must.NoError(t, err)
	_, err = home.Home.handleClaim(context.Background(), "stranger", body)
	test.Eq(t, fault.Forbidden, fault.KindOf(err))
}

func TestRetentionIsChecked(t *testing.T) {
	_, err := New(Options{Retention: time.Hour})
	test.Eq(t, fault.BadInput, fault.KindOf(err))
	test.False(t, errors.Is(err, errRefused))
}

var _ platform.Log = (*fakeLog)(nil)
