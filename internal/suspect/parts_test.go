package suspect

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// endAll ends an engine under several requests at once, sent after the last end.
func (f *fleet) endAll(daemon int, engine string, ids ...Identity) {
	f.now = f.now.Add(time.Millisecond)
	sent := f.now
	for _, id := range ids {
		f.watches[daemon].EngineEnded(Exposure{Engine: engine, StartMS: 1, Identity: id, SentAt: sent, EndedAt: f.now})
	}
}

// deadlyRequests ends n engines under requests, no two alike, with the given parts.
func (f *fleet) deadlyRequests(n int, parts ...string) {
	for range n {
		f.changes++
		f.endAll(0, fmt.Sprint("i-", f.changes, parts), request(fmt.Sprint(f.changes, parts), parts...))
	}
}

// answer answers a request.
func (f *fleet) answer(daemon int, id Identity) {
	f.watches[daemon].Begin(id, func() {}).Answered()
}

func (f *fleet) verdict(parts ...string) Verdict {
	return f.watches[0].Verdict(request("new", parts...)).Verdict
}

func TestVerdictOnParts(t *testing.T) {
	cases := []struct {
		name string
		play func(f *fleet)
		// want holds verdicts on a new request by its parts.
		want map[string]Verdict
	}{
		{
			"two requests with the part", func(f *fleet) { f.deadlyRequests(2, "p") },
			map[string]Verdict{"p": Suspected, "q": Clear},
		},
		{
			"three requests with the part", func(f *fleet) { f.deadlyRequests(3, "p") },
			map[string]Verdict{"p": Refused, "q": Clear},
		},
		{
			"one request again and again: it is refused, not its parts", func(f *fleet) {
				for k := range 4 {
					f.endAll(0, fmt.Sprint("i-", k), request("same", "p"))
				}
			},
			map[string]Verdict{"p": Suspected},
		},
		{
			"the first part is in flight at each end, but answered", func(f *fleet) {
				for range 3 {
					f.deadlyRequests(1, "f", "p")
					f.answer(0, request("sound", "f"))
				}
			},
			map[string]Verdict{"f": Clear, "p": Refused, "f p": Refused},
		},
		{
			"two parts can't be told apart: only requests with both are refused", func(f *fleet) { f.deadlyRequests(3, "f", "p") },
			map[string]Verdict{"f": Suspected, "p": Suspected, "f p": Refused},
		},
		{
			"three parts can't be told apart: requests with some of them tell", func(f *fleet) { f.deadlyRequests(3, "f", "g", "p") },
			map[string]Verdict{"f": Suspected, "f g": Suspected, "g p": Suspected, "f g p": Refused, "f g p other": Refused},
		},
		{
			"two of three told apart by an answer to a request with both", func(f *fleet) {
				f.deadlyRequests(3, "f", "g", "p")
				f.answer(0, request("sound", "f", "g"))
			},
			map[string]Verdict{"f g": Clear, "p": Refused, "f p": Refused},
		},
		{
			"told apart by an answer", func(f *fleet) {
				f.deadlyRequests(3, "f", "p")
				f.answer(0, request("sound", "f"))
			},
			map[string]Verdict{"f": Clear, "p": Refused, "p g": Refused},
		},
		{
			"told apart by an end", func(f *fleet) {
				f.deadlyRequests(3, "f", "p")
				f.deadlyRequests(1, "g", "p")
			},
			map[string]Verdict{"f": Suspected, "p": Refused},
		},
		{
			"the first part has more ends that count than the deadly one", func(f *fleet) {
				early := f.now
				f.deadlyRequests(1, "f", "p")
				for k := range 2 {
					f.endAll(0, fmt.Sprint("e-", k), request(fmt.Sprint("sound-", k), "f"))
					f.watches[0].EngineEnded(Exposure{Engine: fmt.Sprint("e-", k), StartMS: 1, Identity: request(fmt.Sprint(k), "f", "p"), SentAt: early, EndedAt: f.now})
				}
			},
			map[string]Verdict{"f": Suspected, "f p": Refused},
		},
		{
			"two deadly parts at once", func(f *fleet) {
				for range 3 {
					f.deadlyRequests(1, "f", "p")
					f.deadlyRequests(1, "f", "q")
					f.answer(0, request("sound", "f"))
				}
			},
			map[string]Verdict{"f": Clear, "p": Refused, "q": Refused},
		},
		{
			"a pause between the ends", func(f *fleet) {
				f.deadlyRequests(2, "p")
				f.now = f.now.Add(SuspectTTL - time.Minute)
				f.deadlyRequests(1, "p")
			},
			map[string]Verdict{"p": Refused},
		},
		{
			"a pause after the verdict", func(f *fleet) {
				f.deadlyRequests(3, "p")
				f.now = f.now.Add(QuarantineTTL + time.Minute)
				f.deadlyRequests(1, "p")
			},
			map[string]Verdict{"p": Refused},
		},
		{
			"a domain goes dark under a popular part", func(f *fleet) {
				for k := range 50 {
					f.watches[0].EngineEnded(Exposure{Engine: fmt.Sprint("i-", k), StartMS: 1, Identity: request(fmt.Sprint(k), "f"), SentAt: f.now.Add(-time.Second), EndedAt: f.now})
				}
			},
			map[string]Verdict{"f": Suspected},
		},
		{
			"a flood of parts that nobody else has", func(f *fleet) {
				for k := range 2000 {
					f.endAll(0, "i-1", request(fmt.Sprint(k), fmt.Sprint("made-up-", k), "f"))
				}
			},
			map[string]Verdict{"f": Suspected, "made-up-1": Suspected},
		},
	}
	for _, c := range cases {
		f := newFleet(1)
		c.play(f)
		for parts, want := range c.want {
			must.Eq(t, want, f.verdict(strings.Fields(parts)...), must.Sprintf("%s: %q", c.name, parts))
		}
	}
}

// A part that is deadly in one service is not refused in another.
func TestPartsCountApartInEachService(t *testing.T) {
	f := newFleet(1)
	f.deadlyRequests(3, "p")
	other := Identify(&Request{Service: "other", Method: "POST", Target: "/p", Caller: "caller", Body: []byte("b"), SharedParts: []string{"p"}})
	must.Eq(t, Clear, f.watches[0].Verdict(other).Verdict)
	must.Eq(t, Refused, f.verdict("p"))
}

// A daemon that starts later knows which parts can't be told apart.
func TestStartedDaemonLearnsOfRivals(t *testing.T) {
	f := newFleet(1)
	f.deadlyRequests(3, "f", "p")
	f.now = f.now.Add(newsTTL + time.Second)
	n := f.watches[0].News()
	must.Len(t, 0, n.Exposures)
	started := newFleet(1)
	started.watches[0].Apply(&n)
	must.Eq(t, Suspected, started.verdict("f"))
	must.Eq(t, Refused, started.verdict("f", "p"))
}

// A waiting request with the part is given up by the verdict, a sound one with the same
// first part is not.
func TestVerdictOnAPartSparesSoundAttempts(t *testing.T) {
	f := newFleet(1)
	given := map[string]bool{}
	for name, parts := range map[string][]string{"deadly": {"f", "p"}, "sound": {"f"}} {
		f.watches[0].Begin(request(name, parts...), func() { given[name] = true })
	}
	f.deadlyRequests(3, "f", "p")
	must.Eq(t, map[string]bool{"deadly": true}, given)
}

// TestDaemonThatSawPartOfTheEndsFollowsTheOthers has a daemon of a large fleet that saw
// one of three ends, under a request with neither of the parts that can't be told apart.
func TestDaemonThatSawPartOfTheEndsFollowsTheOthers(t *testing.T) {
	f := newFleet(50)
	rng := rand.New(rand.NewPCG(1, 1))
	const witness, other = 49, 48
	f.endAll(witness, "i-0", request("neighbour", "n"))
	for k := range 4 {
		f.endAll(other, fmt.Sprint("i-", k), request(fmt.Sprint("deadly-", k), "f", "p"))
		for range 6 {
			f.exchange(rng, 0)
		}
	}
	verdict := func(parts ...string) Verdict {
		return f.watches[witness].Verdict(request("new", parts...)).Verdict
	}
	must.Eq(t, Refused, verdict("f", "p"))
	must.Eq(t, Suspected, verdict("f"))
	must.Eq(t, Suspected, verdict("p"))

	// A request with one of them tells them apart, for the witness too.
	f.endAll(other, "i-9", request("deadly-9", "p", "g"))
	for range 8 {
		f.exchange(rng, 0)
	}
	must.Eq(t, Refused, verdict("p"))
	must.Eq(t, Suspected, verdict("f"))
	f.answer(witness, request("sound", "f"))
	for range 4 {
		f.exchange(rng, 0)
	}
	must.Eq(t, Clear, f.verdict("f"))
	must.Eq(t, Refused, verdict("p"))
}

// A part that sound requests share with deadly ones must not be refused by itself when
// the deadly request of one end is not reported.
func TestSoundPartIsNotRefusedForAMissingExposure(t *testing.T) {
	f := newFleet(1)
	f.deadlyRequests(2, "f", "p")
	f.endAll(0, "i-9", request("sound", "f"))
	must.Eq(t, Suspected, f.verdict("f"))
	must.Eq(t, Suspected, f.verdict("p"))
	must.Eq(t, Refused, f.verdict("f", "p"))
}

// news reports whether a daemon has exposures or answers to tell.
func (f *fleet) news() bool {
	return slices.ContainsFunc(f.watches, func(w *Watch) bool {
		n := w.News()
		return len(n.Exposures)+len(n.Answers) > 0
	})
}

// TestAnsweredPartIsNotTheCause guards against a part that sound requests share, and that
// was in flight whenever other requests ended their engines. It was refused for half an
// hour with nothing to answer it in between, and all sound requests with it (DENIED).
func TestAnsweredPartIsNotTheCause(t *testing.T) {
	for _, daemons := range []int{3, 15, 295} {
		for _, c := range []struct {
			name string
			// answeredAt are the daemons that have answered a request with the part.
			answeredAt []int
		}{
			{"all daemons have answered it", nil},
			{"only a daemon that passes news on", []int{0}},
			{"only one that does not", []int{2}},
		} {
			f := newFleet(daemons)
			rng := rand.New(rand.NewPCG(uint64(daemons), 1))
			for n := range f.watches {
				if c.answeredAt == nil || n == c.answeredAt[0] {
					f.answer(n, request("sound", "shared"))
				}
			}
			f.now = f.now.Add(time.Minute) // nobody sends anything
			for k := range 8 {
				text := fmt.Sprint("deadly-", k%2)
				f.endAll(k%daemons, fmt.Sprint("i-", k), request(text, "shared", text))
				for range 2 {
					f.exchange(rng, 0.2)
				}
			}
			for f.news() {
				f.exchange(rng, 0.2)
			}
			for n, w := range f.watches {
				must.Eq(t, Clear, w.Verdict(request("sound", "shared", "own")).Verdict, must.Sprintf("%d daemons, %s: daemon %d", daemons, c.name, n))
				must.Eq(t, Refused, w.Verdict(request("deadly-1", "shared", "deadly-1")).Verdict, must.Sprintf("%d daemons, %s: daemon %d", daemons, c.name, n))
			}
		}
	}
}

// TestAnsweredPartsAreBounded floods a daemon with parts that nobody else has. The answers
// of one that comes again and again must be remembered.
func TestAnsweredPartsAreBounded(t *testing.T) {
	f := newFleet(1)
	for k := range 4 * maxAnswers {
		f.now = f.now.Add(time.Millisecond)
		parts := []string{fmt.Sprint("made-up-", k)}
		if k%100 == 0 {
			parts = append(parts, "shared")
		}
		f.answer(0, request("sound", parts...))
	}
	must.LessEq(t, maxAnswers+answersPerSweep, f.watches[0].ledger.answered.Len())
	f.deadlyRequests(3, "shared", "p")
	must.Eq(t, Clear, f.verdict("shared"))
	must.Eq(t, Refused, f.verdict("p"))
}

// TestAnswersAreToldOnce checks that two daemons that pass news on do not make each other
// send without end.
func TestAnswersAreToldOnce(t *testing.T) {
	f := newFleet(2)
	published := 0
	for _, w := range f.watches {
		w.opts.Publish = func() { published++ }
		w.ledger.rememberAnswer(f.now, request("", "shared").Parts[0])
	}
	f.endAll(0, "i-1", request("deadly", "shared", "p"))
	published = 0
	for range 20 {
		f.exchange(rand.New(rand.NewPCG(1, 1)), 0)
	}
	must.LessEq(t, 2, published)
}
