package keyed

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/once"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

const (
	benchDaemons = 15
	benchRate    = 100 // keyed requests per second
	benchSeconds = 10
	benchLatency = 3 * time.Millisecond // latency of one call to the log
	microsecond  = int64(time.Microsecond)
)

// BenchmarkKeyedRate sends keyed requests in an open loop through 15 daemons with
// default settings. It reports the appends per second and the latency of a claim.
func BenchmarkKeyedRate(b *testing.B) {
	c := newCluster(b, benchDaemons, func(o *Options) {
		*o = Options{
			Members: o.Members, Caller: o.Caller, Log: o.Log, BootID: o.BootID, Retention: o.Retention,
		}
	})
	c.log.set(func(l *fakeLog) { l.latency = benchLatency })
	c.nodes["d0"].mustAcquire(b, newIntent("warm"))
	for b.Loop() {
		benchRound(b, c)
	}
}

func benchRound(b *testing.B, c *cluster) {
	var mu sync.Mutex
	hist := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	before := c.log.count()
	r := rand.New(rand.NewPCG(1, 1))
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / benchRate)
	defer tick.Stop()
	for i := range benchRate * benchSeconds {
		<-tick.C
		n := c.nodes[fmt.Sprintf("d%d", r.IntN(benchDaemons))]
		in := newIntent(fmt.Sprint(i, time.Now().UnixNano()))
		wg.Go(func() {
			begin := time.Now()
			d, err := n.claim(b, in, testTimeout)
			took := time.Since(begin)
			must.NoError(b, err)
			must.Eq(b, once.Acquired, d.Verdict)
			n.Client.Finish(d.Attempt, paidResult)
			mu.Lock()
			defer mu.Unlock()
			must.NoError(b, hist.RecordValue(took.Nanoseconds()/microsecond))
		})
	}
	wg.Wait()
	appends := c.log.count() - before
	b.ReportMetric(float64(appends)/benchSeconds, "appends/s")
	b.ReportMetric(float64(hist.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(hist.ValueAtQuantile(99)), "p99-µs")
	b.ReportMetric(float64(hist.Max()), "max-µs")
}

func (l *fakeLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// catchUpKeys is the number of keys in a stream after an hour (3600 s) at benchRate,
// spread over the default number of streams.
const catchUpKeys = 3600 * benchRate / DefaultShards

// BenchmarkCatchUp measures the time that a new home takes to read a stream.
func BenchmarkCatchUp(b *testing.B) {
	c := newCluster(b, 1, nil)
	fillStream(b, c)
	c.log.set(func(l *fakeLog) { l.latency = benchLatency })
	for i := 0; b.Loop(); i++ {
		c.start(fmt.Sprintf("late%d", i)).readyStream(b, 0)
	}
}

// fillStream writes catchUpKeys finished keys to stream 0.
func fillStream(b *testing.B, c *cluster) {
	for i := range catchUpKeys {
		in := newIntent(fmt.Sprint(i))
		in.Attempt, in.Author, in.BootID = fmt.Sprintf("%026d", i), "d0", "boot"
		for _, r := range []once.Record{{Intent: &in}, {Done: &once.Done{Attempt: in.Attempt, Result: paidResult}}} {
			data, err := wire.EncodeOnceRecord(&r)
			must.NoError(b, err)
			c.log.set(func(l *fakeLog) { l.store(streamName(0), data) })
		}
	}
}
