package suspect

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestTrialsRunOneAtATime(t *testing.T) {
	const a, b, c = Fingerprint(1), Fingerprint(2), Fingerprint(3)
	trials := NewTrials()
	begin := func(at time.Duration, holder string, until time.Duration, suspects ...Fingerprint) bool {
		return trials.begin(start.Add(at), holder, suspects, start.Add(until))
	}
	must.True(t, begin(0, "x", time.Second, a, b))
	must.True(t, begin(0, "x", time.Second, a, b), must.Sprint("asked again"))
	must.False(t, begin(0, "y", time.Second, a))
	must.False(t, begin(0, "y", time.Second, b, c))
	must.True(t, begin(0, "z", time.Second, c), must.Sprint("a trial that did not begin holds nothing"))
	end := func(at time.Duration, holder string, until time.Duration, suspects ...Fingerprint) {
		trials.end(start.Add(at), holder, suspects, start.Add(until))
	}
	end(0, "y", 0, a, b, c)
	must.False(t, begin(0, "y", time.Second, a), must.Sprint("ended by another holder"))
	end(0, "x", 0, a, b)
	must.True(t, begin(0, "y", time.Second, a, b))
	must.True(t, begin(time.Second, "x", 2*time.Second, a, b), must.Sprint("its end was not reported"))
	end(time.Second, "x", 1500*time.Millisecond, a, b)
	must.False(t, begin(1400*time.Millisecond, "y", 2*time.Second, a), must.Sprint("it goes on"))
	must.True(t, begin(1500*time.Millisecond, "y", 2*time.Second, a))
	must.True(t, begin(time.Second, "w", time.Hour, c))
	must.False(t, begin(time.Second, "v", time.Hour, c))
	must.True(t, begin(time.Second+maxTrial, "v", time.Hour, c), must.Sprint("a trial is bounded"))
}

// TestTrialsAreBounded begins more trials than the arbiter holds. When some have expired,
// others begin.
func TestTrialsAreBounded(t *testing.T) {
	trials := NewTrials()
	for k := range maxTrials {
		must.True(t, trials.begin(start, "x", []Fingerprint{Fingerprint(k + 1)}, start.Add(time.Second)))
	}
	must.False(t, trials.begin(start, "x", []Fingerprint{maxTrials + 1}, start.Add(time.Second)))
	must.True(t, trials.begin(start.Add(time.Second), "x", []Fingerprint{maxTrials + 1}, start.Add(time.Minute)))
	must.Eq(t, 1, trials.running.Len())
}

func fingerprints(id Identity) []Fingerprint { return id.fingerprints() }

func TestArbiterRules(t *testing.T) {
	until := func(f *fleet) time.Time { return f.now.Add(time.Second) }
	cases := []struct {
		name string
		play func(f *fleet)
		want TrialRuling
	}{
		{"not known to the arbiter", func(*fleet) {}, TrialRuling{Granted: true}},
		{"one end", func(f *fleet) { f.end(0, "i-1", request("r", "p")) }, TrialRuling{Granted: true}},
		{"tried elsewhere", func(f *fleet) { f.watches[0].BeginTrial("other", fingerprints(request("r")), until(f)) }, TrialRuling{}},
		{"tried elsewhere, and ended", func(f *fleet) {
			f.watches[0].BeginTrial("other", fingerprints(request("r")), until(f))
			f.watches[0].ProlongTrial("other", fingerprints(request("r")), 0)
		}, TrialRuling{Granted: true}},
		{"the part is tried elsewhere", func(f *fleet) { f.watches[0].BeginTrial("other", request("s", "p").Parts, until(f)) }, TrialRuling{}},
		{"the part was answered", func(f *fleet) { f.answer(0, request("s", "p")) }, TrialRuling{Granted: true, Answered: request("r", "p").Parts}},
		{"the part was answered and is tried elsewhere", func(f *fleet) {
			f.watches[0].BeginTrial("other", request("s", "p").Parts, until(f))
			f.answer(0, request("s", "p"))
		}, TrialRuling{Granted: true, Answered: request("r", "p").Parts}},
		{"the request was answered after an end", func(f *fleet) {
			f.end(0, "i-1", request("r"))
			f.answer(0, request("r"))
		}, TrialRuling{Granted: true, Answered: []Fingerprint{request("r").Request}}},
		{"refused", func(f *fleet) {
			for k := range 3 {
				f.end(0, fmt.Sprint("i-", k), request("r"))
			}
		}, TrialRuling{}},
		{"refused together with another part", func(f *fleet) { f.deadlyRequests(3, "p", "q") }, TrialRuling{Granted: true}},
	}
	for _, c := range cases {
		f := newFleet(1)
		c.play(f)
		id := request("r", "p")
		must.Eq(t, c.want, f.watches[0].BeginTrial("x", fingerprints(id), until(f)), must.Sprint(c.name))
	}
}

// copyOf is a request under way in a play.
type copyOf struct {
	daemon int
	id     Identity
}

// batch sends copies of deadly requests at the same moment and returns the times at which
// they began to run. Each run ends an engine of its own after 60 ms. Those that may not be
// tried ask again until they are refused, for a second.
func (f *fleet) batch(rng *rand.Rand, copies []copyOf) (runs []time.Time) {
	for range 20 {
		var running, waiting []copyOf
		ends := []func(){}
		for k, c := range copies {
			w := f.watches[c.daemon]
			holder := fmt.Sprint(c.daemon, "/", k)
			suspects := w.Suspects(c.id)
			switch {
			case w.Verdict(c.id).Verdict == Refused:
				continue
			case len(suspects.Fingerprints) > 0:
				ruling := f.watches[0].BeginTrial(holder, suspects.Fingerprints, f.now.Add(time.Second))
				w.ApplyTrialRuling(&ruling)
				if !ruling.Granted {
					waiting = append(waiting, c)
					continue
				}
				ends = append(ends, func() { f.watches[0].ProlongTrial(holder, suspects.Fingerprints, 0) })
			}
			running = append(running, c)
		}
		sent := f.now
		f.now = f.now.Add(60 * time.Millisecond)
		for _, c := range running {
			f.ends++
			runs = append(runs, sent)
			x := Exposure{Engine: fmt.Sprint("e-", f.ends), StartMS: 1, Identity: c.id, SentAt: sent, EndedAt: f.now}
			f.watches[c.daemon].EngineEnded(x)
			for _, arbiter := range f.watches[:2] { // the news that precede the end of a trial
				news := f.watches[c.daemon].News()
				arbiter.Apply(&news)
			}
		}
		for _, end := range ends {
			end()
		}
		f.exchange(rng, 0.2)
		if copies = waiting; len(copies) == 0 {
			break
		}
	}
	return runs
}

// TestBatchesOfCopiesRunFewTimes sends copies of one deadly request, or requests with one
// deadly part, at several daemons at the same moment, again and again.
func TestBatchesOfCopiesRunFewTimes(t *testing.T) {
	const allowedLate, stableWindow = 3, 3 * time.Second
	cases := []struct {
		name        string
		allowedEnds int
		id          func(n int) Identity
	}{
		{"one request", 3, func(int) Identity { return request("deadly", "own") }},
		{"one part", 5, func(n int) Identity { return request(fmt.Sprint("deadly-", n), "dead", fmt.Sprint("own-", n)) }},
	}
	for _, daemons := range []int{3, 15, 117, 295} {
		for _, c := range cases {
			for seed := range uint64(3) {
				rng := rand.New(rand.NewPCG(seed, uint64(daemons)))
				f := newFleet(daemons)
				var runs []time.Time
				for b := range 4 {
					var copies []copyOf
					for k := range 12 {
						copies = append(copies, copyOf{rng.IntN(daemons), c.id(b*12 + k)})
					}
					runs = append(runs, f.batch(rng, copies)...)
					for range 14 { // the time until the next batch
						f.exchange(rng, 0.2)
					}
				}
				slices.SortFunc(runs, time.Time.Compare)
				late := 0
				for _, at := range runs {
					if at.Sub(runs[c.allowedEnds-1].Add(60*time.Millisecond)) > stableWindow {
						late++
					}
				}
				must.LessEq(t, allowedLate, late, must.Sprintf("late runs of %d; %s, %d daemons, seed %d", len(runs), c.name, daemons, seed))
				if daemons > 100 {
					break // once is enough for the size
				}
			}
		}
	}
}
