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

// measureFor is the length of a measurement.
const measureFor = 20 * time.Second

const (
	// idleAfter is longer than the traffic that daemons cause only after their
	// start.
	idleAfter = 35 * time.Second
	// settleTime is long enough for the updates about the start to reach all
	// daemons.
	settleTime = 3 * time.Second
)

// benchCluster is a cluster with default settings within this process.
type benchCluster struct {
	nodes  []*testNode
	mu     sync.Mutex
	events map[member.EventKind][]member.Event
}

func newBenchCluster(b *testing.B, n int, settle time.Duration) *benchCluster {
	klog.LogToStderr(false) // log lines would break the lines of benchmark results
	klog.SetOutput(io.Discard)
	c := &benchCluster{events: map[member.EventKind][]member.Event{}}
	settings := func(o *Options) {
		o.Interval, o.ProbeTimeout = 0, 0
		o.OnEvent = c.recordEvent
	}
	c.nodes = append(c.nodes, startNode(b, "d00", settings))
	for i := 1; i < n; i++ {
		c.nodes = append(c.nodes, startNode(b, fmt.Sprintf("d%02d", i), func(o *Options) {
			settings(o)
			withSeeds(c.nodes[0])(o)
		}))
	}
	for _, node := range c.nodes {
		node.SetMeta(Meta{Epoch: 1, Offset: 123_456, Digest: 1 << 63, LogAge: time.Second})
	}
	c.waitUntil(b, time.Minute, func() bool { return c.converged(n) })
	time.Sleep(settle)
	return c
}

func (c *benchCluster) recordEvent(e member.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events[e.Kind] = append(c.events[e.Kind], e)
}

func (c *benchCluster) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.events)
}

// countEvents returns the numbers of events of a kind about the member with
// the given id and about other members.
func (c *benchCluster) countEvents(kind member.EventKind, id string) (own, others int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.events[kind] {
		if e.Node.ID == id {
			own++
		} else {
			others++
		}
	}
	return own, others
}

func (c *benchCluster) converged(n int) bool {
	return !slices.ContainsFunc(c.nodes, func(node *testNode) bool { return len(node.Live()) != n })
}

func (c *benchCluster) waitUntil(b *testing.B, limit time.Duration, cond func() bool) time.Duration {
	begin := time.Now()
	for !cond() {
		if time.Since(begin) > limit {
			b.Fatalf("the condition did not hold within %s", limit)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begin)
}

func (c *benchCluster) totalSent() (bytes, datagrams uint64) {
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

// BenchmarkIdle reports the traffic that an idle daemon sends and the CPU time
// that it uses. It receives as much as it sends.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{3, 15, 45} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			c := newBenchCluster(b, n, idleAfter)
			for b.Loop() {
				bytes, datagrams := c.totalSent()
				cpu, begin := cpuTime(b), time.Now()
				time.Sleep(measureFor)
				took := time.Since(begin).Seconds() * float64(n)
				bytes2, datagrams2 := c.totalSent()
				b.ReportMetric(float64(bytes2-bytes)/took, "B/s-sent")
				b.ReportMetric(float64(datagrams2-datagrams)/took, "datagrams/s-sent")
				b.ReportMetric(100*(cpuTime(b)-cpu).Seconds()/took, "%core")
			}
		})
	}
}

// BenchmarkCPUOverload reports the false suspicions and deaths among 15 daemons while
// twice as many goroutines as there are cores use the CPU without a pause.
func BenchmarkCPUOverload(b *testing.B) {
	c := newBenchCluster(b, 15, settleTime)
	for b.Loop() {
		c.reset()
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for range 2 * runtime.NumCPU() {
			wg.Go(func() { burnCPU(stop) })
		}
		time.Sleep(measureFor)
		close(stop)
		wg.Wait()
		_, suspects := c.countEvents(member.Suspected, "")
		_, deaths := c.countEvents(member.Died, "")
		b.ReportMetric(float64(suspects), "views-suspecting")
		b.ReportMetric(float64(deaths), "views-taking-for-dead")
	}
}

func burnCPU(stop <-chan struct{}) {
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

// BenchmarkKill reports the time until all other daemons have declared a
// killed daemon dead.
func BenchmarkKill(b *testing.B) {
	for _, n := range []int{3, 15, 45} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			c := newBenchCluster(b, n, settleTime)
			for b.Loop() {
				c.nodes[1].kill()
				c.nodes = slices.Delete(c.nodes, 1, 2)
				took := c.waitUntil(b, time.Minute, func() bool { return c.converged(len(c.nodes)) })
				b.ReportMetric(took.Seconds(), "s-to-see-a-kill")
			}
		})
	}
}

// BenchmarkPause stops one of 15 daemons for 3 s and reports which daemons
// were suspected or declared dead.
func BenchmarkPause(b *testing.B) {
	const paused = "d07"
	c := newBenchCluster(b, 15, settleTime)
	for b.Loop() {
		c.reset()
		c.nodes[7].mu.Lock()
		time.Sleep(3 * time.Second)
		c.nodes[7].mu.Unlock()
		time.Sleep(5 * time.Second)
		suspects, falseSuspects := c.countEvents(member.Suspected, paused)
		deaths, falseDeaths := c.countEvents(member.Died, paused)
		b.ReportMetric(float64(suspects), "views-suspecting-it")
		b.ReportMetric(float64(deaths), "views-taking-it-for-dead")
		b.ReportMetric(float64(falseSuspects), "others-suspected")
		b.ReportMetric(float64(falseDeaths), "others-taken-for-dead")
		c.waitUntil(b, time.Minute, func() bool { return c.converged(len(c.nodes)) })
	}
}
