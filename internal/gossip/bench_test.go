package gossip

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/member"
)

// headerBytes are the UDP and IPv4 headers of a datagram.
const headerBytes = 28

// restFor is how long a cluster at rest is watched.
const restFor = 20 * time.Second

const (
	// restAfter is longer than what daemons do only after their start.
	restAfter = 35 * time.Second
	// settleFor is long enough for news of the start to be told.
	settleFor = 3 * time.Second
)

// benchCluster is a cluster with default settings, all of it in this process.
type benchCluster struct {
	nodes  []*testNode
	mu     sync.Mutex
	events map[member.EventKind][]member.Event
}

func newBenchCluster(b *testing.B, n int, settle time.Duration) *benchCluster {
	klog.LogToStderr(false) // events would break the lines of figures
	klog.SetOutput(io.Discard)
	c := &benchCluster{events: map[member.EventKind][]member.Event{}}
	settings := func(o *Options) {
		o.Interval, o.ProbeTimeout = 0, 0
		o.OnEvent = c.watch
	}
	c.nodes = append(c.nodes, start(b, "d00", settings))
	for i := 1; i < n; i++ {
		c.nodes = append(c.nodes, start(b, fmt.Sprintf("d%02d", i), func(o *Options) {
			settings(o)
			seeds(c.nodes[0])(o)
		}))
	}
	for _, node := range c.nodes {
		node.SetMeta(Meta{Epoch: 1, Offset: 123_456, Digest: 1 << 63, LogAge: time.Second})
	}
	c.until(b, time.Minute, func() bool { return c.agreed(n) })
	time.Sleep(settle)
	return c
}

func (c *benchCluster) watch(e member.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events[e.Kind] = append(c.events[e.Kind], e)
}

func (c *benchCluster) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.events)
}

// about counts the events of a kind about a member, and about others.
func (c *benchCluster) about(kind member.EventKind, id string) (its, others int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.events[kind] {
		if e.Node.ID == id {
			its++
		} else {
			others++
		}
	}
	return its, others
}

func (c *benchCluster) agreed(n int) bool {
	return !slices.ContainsFunc(c.nodes, func(node *testNode) bool { return len(node.Live()) != n })
}

func (c *benchCluster) until(b *testing.B, limit time.Duration, cond func() bool) time.Duration {
	begin := time.Now()
	for !cond() {
		if time.Since(begin) > limit {
			b.Fatal("never settled")
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begin)
}

func (c *benchCluster) totals() (bytes, datagrams uint64) {
	for _, n := range c.nodes {
		t := n.Counters()
		datagrams += t.DatagramsOut
		bytes += t.BytesOut + headerBytes*t.DatagramsOut
	}
	return bytes, datagrams
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	must.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRest gives what a daemon at rest sends and spends. It receives as
// much as it sends.
func BenchmarkRest(b *testing.B) {
	for _, n := range []int{3, 15, 45} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			c := newBenchCluster(b, n, restAfter)
			for b.Loop() {
				bytes, datagrams := c.totals()
				cpu, begin := cpuTime(b), time.Now()
				time.Sleep(restFor)
				took := time.Since(begin).Seconds() * float64(n)
				bytes2, datagrams2 := c.totals()
				b.ReportMetric(float64(bytes2-bytes)/took, "B/s-sent")
				b.ReportMetric(float64(datagrams2-datagrams)/took, "datagrams/s-sent")
				b.ReportMetric(100*(cpuTime(b)-cpu).Seconds()/took, "%core")
			}
		})
	}
}

// BenchmarkBusy gives the false alarms among 15 daemons while twice as many
// goroutines as there are cores compute without a pause.
func BenchmarkBusy(b *testing.B) {
	c := newBenchCluster(b, 15, settleFor)
	for b.Loop() {
		c.reset()
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for range 2 * runtime.NumCPU() {
			wg.Go(func() { burn(stop) })
		}
		time.Sleep(restFor)
		close(stop)
		wg.Wait()
		_, suspects := c.about(member.Suspected, "")
		_, deaths := c.about(member.Died, "")
		b.ReportMetric(float64(suspects), "views-suspecting")
		b.ReportMetric(float64(deaths), "views-taking-for-dead")
	}
}

func burn(stop <-chan struct{}) {
	key := []byte("burn")
	for {
		select {
		case <-stop:
			return
		default:
			key = mac(key, key)
		}
	}
}

// BenchmarkKill gives the time until all others take a killed daemon for dead.
func BenchmarkKill(b *testing.B) {
	for _, n := range []int{3, 15, 45} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			c := newBenchCluster(b, n, settleFor)
			for b.Loop() {
				c.nodes[1].kill()
				c.nodes = slices.Delete(c.nodes, 1, 2)
				took := c.until(b, time.Minute, func() bool { return c.agreed(len(c.nodes)) })
				b.ReportMetric(took.Seconds(), "s-to-see-a-kill")
			}
		})
	}
}

// BenchmarkPause stops one of 15 daemons for 3 s and gives who was accused.
func BenchmarkPause(b *testing.B) {
	const paused = "d07"
	c := newBenchCluster(b, 15, settleFor)
	for b.Loop() {
		c.reset()
		c.nodes[7].mu.Lock()
		time.Sleep(3 * time.Second)
		c.nodes[7].mu.Unlock()
		time.Sleep(5 * time.Second)
		suspects, falseSuspects := c.about(member.Suspected, paused)
		deaths, falseDeaths := c.about(member.Died, paused)
		b.ReportMetric(float64(suspects), "views-suspecting-it")
		b.ReportMetric(float64(deaths), "views-taking-it-for-dead")
		b.ReportMetric(float64(falseSuspects), "others-suspected")
		b.ReportMetric(float64(falseDeaths), "others-taken-for-dead")
		c.until(b, time.Minute, func() bool { return c.agreed(len(c.nodes)) })
	}
}
