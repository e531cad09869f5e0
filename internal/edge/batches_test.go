package edge_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

const (
	// stableWindow is the time after the last allowed end within which all daemons
	// learn of it. A run that begins later is late.
	stableWindow = 3 * time.Second
	// deadlyAfter is how long an engine runs a deadly request until it ends.
	deadlyAfter = 60 * time.Millisecond
	// entryLife is the time after which the store drops the entry of an engine that has
	// ended.
	entryLife = 3600 * time.Millisecond
	// soundInterval is the interval between sound requests.
	soundInterval = 100 * time.Millisecond
)

// replacedEngines are engines that a deadly request ends. Each is replaced by a new one,
// with another id, at the same address.
type replacedEngines struct {
	f      *fixture
	config site.EngineConfig
	// back is the time until an engine is replaced.
	back time.Duration

	mu      sync.Mutex
	started int
	endedAt []time.Time
	running []*site.Engine
	closed  bool
}

// startIn starts an engine in a fabric domain, at addr if that is not empty.
func (r *replacedEngines) startIn(addr, domain string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.started++
	config := r.config
	config.ID, config.Addr, config.FabricDomain = fmt.Sprintf("i-%d", r.started), addr, domain
	var e *site.Engine
	var once sync.Once
	config.OnDeadly = func() { once.Do(func() { r.replace(e, domain) }) }
	e = site.StartEngine(r.f.store, config)
	r.running = append(r.running, e)
}

// replace ends an engine and replaces it.
func (r *replacedEngines) replace(e *site.Engine, domain string) {
	r.mu.Lock()
	r.endedAt = append(r.endedAt, time.Now())
	r.mu.Unlock()
	e.Crash()
	time.AfterFunc(entryLife, e.ExpireEntry)
	time.AfterFunc(r.back, func() { r.startIn(e.Addr(), domain) })
}

func (r *replacedEngines) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for _, e := range r.running {
		e.Close()
	}
}

// ends returns the times of the ends so far, in order.
func (r *replacedEngines) ends() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.endedAt...)
}

// replacedEngines starts n engines of a plain service.
func (f *fixture) replacedEngines(n int, back time.Duration) *replacedEngines {
	r := &replacedEngines{f: f, back: back, config: site.EngineConfig{
		Service: site.PlainService, Zone: "a", Slots: 8, EventInterval: deadlyAfter,
		Deadly: func(body string, _ []string) bool { return body == deadlyBody },
	}}
	for range n {
		r.startIn("", "")
	}
	f.stops = append(f.stops, r.close)
	return r
}

// replacedGroups starts n model engines, two of them in each fabric domain.
func (f *fixture) replacedGroups(n int) *replacedEngines {
	r := &replacedEngines{f: f, back: 3 * time.Second, config: site.EngineConfig{
		Service: site.ModelService, Zone: "a", Slots: 8, EventsPerStream: 3, EventInterval: 20 * time.Millisecond,
		Deadly: func(_ string, parts []string) bool { return slices.Contains(parts, deadlyPart) },
	}}
	for k := range n {
		r.startIn("", fmt.Sprintf("d%d", k/site.SmallGroupSize))
	}
	f.stops = append(f.stops, r.close)
	return r
}

// all returns the engines that were started so far.
func (r *replacedEngines) all() []*site.Engine {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.running)
}

// sendBatches sends copies of a deadly request at the same moment, again and again, and
// returns the ids of them all.
func (f *fixture) sendBatches(batches, copies int, interval time.Duration, send func(id string, copy int)) map[string]bool {
	ids := map[string]bool{}
	for range batches {
		var wg sync.WaitGroup
		for k := range copies {
			id := fmt.Sprintf("deadly-%d", lastRequestID.Add(1))
			ids[id] = true
			wg.Go(func() { send(id, k) })
		}
		time.Sleep(interval)
		wg.Wait()
	}
	return ids
}

// sendSound sends sound requests to all daemons in turn until stop is called, which
// returns the number of those that were answered and of those refused as deadly.
func (f *fixture) sendSound(path, model string, parts func(n int) []string) (stop func() (answered, refused int64)) {
	var ok, refused atomic.Int64
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(soundInterval):
			}
			wg.Go(func() {
				switch status, _ := f.post(n%len(f.daemons), path, model, fmt.Sprintf("sound-%d", n), parts(n)...); status {
				case http.StatusOK:
					ok.Add(1)
				case http.StatusUnprocessableEntity:
					refused.Add(1)
				}
			})
		}
	})
	return func() (int64, int64) {
		close(done)
		wg.Wait()
		return ok.Load(), refused.Load()
	}
}

// lateRuns returns the number of requests with the given ids that began to run later than
// stableWindow after the last of the allowed ends.
func (f *fixture) lateRuns(ids map[string]bool, ends []time.Time, allowedEnds int) int {
	if len(ends) < allowedEnds {
		return 0
	}
	late := 0
	for _, x := range f.store.Executions() {
		if ids[x.RequestID] && x.At.Sub(ends[allowedEnds-1]) > stableWindow {
			late++
		}
	}
	return late
}

// TestCopiesAtTheSameMomentDoNotEndBatchesOfEngines sends copies of one deadly request to
// several daemons at the same moment, and again when the engines have been replaced.
func TestCopiesAtTheSameMomentDoNotEndBatchesOfEngines(t *testing.T) {
	// The rule allows three ends, and three more sends.
	const allowedEnds, allowedLate, batches = 3, 3, 4
	cases := []struct {
		name                     string
		path                     string
		copies, daemons, engines int
		back, interval           time.Duration
	}{
		{"idempotent", site.IdempotentPath, 6, 12, 3, 1200 * time.Millisecond, 4 * time.Second},
		{"idempotent, engines back before the check", site.IdempotentPath, 6, 6, 3, 50 * time.Millisecond, 4 * time.Second},
		{"idempotent, engines back within the check", site.IdempotentPath, 6, 12, 3, 150 * time.Millisecond, 4 * time.Second},
		{"non-idempotent", site.NonIdempotentPath, 8, 8, 3, 1500 * time.Millisecond, 4 * time.Second},
		{"non-idempotent, more copies than daemons", site.NonIdempotentPath, 12, 6, 3, 1200 * time.Millisecond, 3200 * time.Millisecond},
		{"idempotent, more engines", site.IdempotentPath, 12, 12, 9, 1200 * time.Millisecond, 4 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.publish(1, goodKey)
			engines := f.replacedEngines(c.engines, c.back)
			for range c.daemons {
				f.addDaemon()
			}
			f.waitUntilDaemonsHearEachOther()
			for n := range f.daemons {
				eventually(t, "the daemon serves", func() bool { status, _ := f.post(n, c.path, "", "sound"); return status == http.StatusOK })
			}
			stopSound := f.sendSound(c.path, "", func(int) []string { return nil })
			deadly := f.sendBatches(batches, c.copies, c.interval, func(id string, k int) { f.postAs(id, k%c.daemons, c.path, "", deadlyBody) })
			_, refused := stopSound()
			late := f.lateRuns(deadly, engines.ends(), allowedEnds)
			t.Logf("%d late runs, %d engines ended", late, len(engines.ends()))
			must.LessEq(t, allowedLate, late, must.Sprintf("late runs; %d engines ended", len(engines.ends())))
			must.Eq(t, 0, refused, must.Sprint("sound requests refused for the deadly one"))
			for n := range f.daemons {
				status, text := f.post(n, c.path, "", deadlyBody)
				must.Eq(t, http.StatusUnprocessableEntity, status, must.Sprint(text))
			}
		})
	}
}

// TestPartsAtTheSameMomentDoNotEndBatchesOfGroups begins requests, no two alike, with one
// deadly part at all daemons at the same moment, and again when the engines have been
// replaced.
func TestPartsAtTheSameMomentDoNotEndBatchesOfGroups(t *testing.T) {
	// The rule allows five ends, and three more sends.
	const allowedEnds, allowedLate, batches = 5, 3, 4
	const interval = 4500 * time.Millisecond
	const first, further = "f1:40", "f2:100"
	cases := []struct{ copies, daemons, engines int }{{6, 6, 16}, {3, 3, 12}}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d copies, %d daemons, %d engines", c.copies, c.daemons, c.engines), func(t *testing.T) {
			f := newFixture(t)
			f.publish(1, goodKey)
			engines := f.replacedGroups(c.engines)
			for range c.daemons {
				f.addDaemon()
			}
			f.waitUntilDaemonsHearEachOther()
			for n := range f.daemons {
				f.waitUntilServes(n, smallName)
			}
			f.waitUntilOpen(engines.all(), c.engines/site.SmallGroupSize)
			stopSound := f.sendSound(site.StreamPath, smallName, func(n int) []string { return []string{first, further, fmt.Sprintf("%x:300", 1000+n)} })
			deadly := f.sendBatches(batches, c.copies, interval, func(id string, k int) {
				f.postAs(id, k%c.daemons, site.StreamPath, smallName, id, first, deadlyPart, further, fmt.Sprintf("%x:300", lastRequestID.Add(1)))
			})
			answered, refused := stopSound()
			late := f.lateRuns(deadly, engines.ends(), allowedEnds)
			must.LessEq(t, allowedLate, late, must.Sprintf("late runs; %d engines ended", len(engines.ends())))
			must.Eq(t, 0, refused, must.Sprint("sound requests refused for the deadly part"))
			must.Positive(t, answered)
			t.Logf("%d late runs, %d engines ended, %d sound requests answered", late, len(engines.ends()), answered)
		})
	}
}

// TestOutagesUnderCopiesOfASoundRequest ends all engines by another cause while they run
// copies of one request, once and twice. The request must be served afterwards.
func TestOutagesUnderCopiesOfASoundRequest(t *testing.T) {
	const copies, outages = 6, 2
	f := newFixture(t)
	f.publish(1, goodKey)
	engines := f.replacedEngines(3, 1200*time.Millisecond)
	for range copies {
		f.addDaemon()
	}
	f.waitUntilDaemonsHearEachOther()
	send := func(n int) int {
		status, _ := f.post(n, site.IdempotentPath, "", "the same sound request")
		return status
	}
	for n := range f.daemons {
		eventually(t, "the daemon serves", func() bool { return send(n) == http.StatusOK })
	}
	for range outages {
		running := slices.DeleteFunc(engines.all(), (*site.Engine).Ended)
		arrivals := map[*site.Engine]int{}
		for _, e := range running {
			e.DelayAnswers(400 * time.Millisecond)
			arrivals[e] = e.Arrivals()
		}
		var refused atomic.Int64
		var wg sync.WaitGroup
		for n := range copies {
			wg.Go(func() {
				if send(n) == http.StatusUnprocessableEntity {
					refused.Add(1)
				}
			})
		}
		eventually(t, "all engines run a copy", func() bool {
			return !slices.ContainsFunc(running, func(e *site.Engine) bool { return e.Arrivals() == arrivals[e] })
		})
		for _, e := range running {
			engines.replace(e, "")
		}
		wg.Wait()
		for n := range f.daemons {
			eventually(t, "the daemon serves the request", func() bool {
				status := send(n)
				must.NotEq(t, http.StatusUnprocessableEntity, status)
				return status == http.StatusOK
			})
		}
		must.Eq(t, 0, refused.Load(), must.Sprint("copies refused as deadly"))
	}
}
