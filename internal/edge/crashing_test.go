package edge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

// deadlyBody is the body of a request that ends the engines that run it.
const deadlyBody = "deadly"

// deadlyPart is the part of prompts that ends the engines that begin to write on it.
const deadlyPart = "dead01:165"

// endingEngines starts engines that a request with deadlyBody or deadlyPart ends.
func (f *fixture) endingEngines(service, domain string, n, events int) []*site.Engine {
	var out []*site.Engine
	for range n {
		out = append(out, site.StartEngine(f.store, site.EngineConfig{
			ID: fmt.Sprintf("i-%d", len(f.engines)), Service: service, Zone: "a", FabricDomain: domain, Slots: 8, EventsPerStream: events, EventInterval: 5 * time.Millisecond,
			Deadly: func(body string, parts []string) bool {
				return body == deadlyBody || slices.Contains(parts, deadlyPart)
			},
		}))
		f.engines = append(f.engines, out[len(out)-1])
	}
	return out
}

// post sends a request with a body and the parts of a prompt. It returns the status and
// the text of the answer; the status is 0 if it broke off.
func (f *fixture) post(n int, path, model, body string, parts ...string) (int, string) {
	return f.postAs(fmt.Sprintf("request-%d", lastRequestID.Add(1)), n, path, model, body, parts...)
}

// postAs does so under a request id.
func (f *fixture) postAs(id string, n int, path, model, body string, parts ...string) (int, string) {
	r, err := site.NewHTTPRequest(context.Background(), f.daemons[n], site.Request{
		ID: id, Method: http.MethodPost, Path: path, APIKey: goodKey, Model: model, Body: body, Parts: parts,
	})
	must.NoError(f.t, err)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

func ended(engines []*site.Engine) int {
	n := 0
	for _, e := range engines {
		if e.Ended() {
			n++
		}
	}
	return n
}

// waitUntilOpen waits until n groups of the engines are open.
func (f *fixture) waitUntilOpen(engines []*site.Engine, n int) {
	f.t.Helper()
	eventually(f.t, "all groups are open", func() bool {
		open := 0
		for _, e := range engines {
			if _, state := e.GroupState(); state == "open" {
				open++
			}
		}
		return open == n
	})
}

// TestRequestThatEndsEnginesIsNotSentOnAndOn sends one deadly request again and again,
// at any daemon, beside sound ones of the same caller and path.
func TestRequestThatEndsEnginesIsNotSentOnAndOn(t *testing.T) {
	// The rule allows three ends, and three more sends.
	const maxEnds, maxLate = 3, 3
	cases := []struct{ name, path, model string }{
		{"non-idempotent", site.NonIdempotentPath, ""},
		{"idempotent", site.IdempotentPath, ""},
		{"stream", site.StreamPath, smallName},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.publish(1, goodKey)
			var engines []*site.Engine
			if c.model == "" {
				engines = f.endingEngines(site.PlainService, "", 10, 0)
			} else {
				for d := range 8 {
					engines = append(engines, f.endingEngines(site.ModelService, fmt.Sprintf("d%d", d), site.SmallGroupSize, 3)...)
				}
			}
			for range 3 {
				f.addDaemon()
			}
			f.waitUntilDaemonsHearEachOther()
			for n := range f.daemons {
				eventually(t, "the daemon serves", func() bool { status, _ := f.post(n, c.path, c.model, "sound"); return status == http.StatusOK })
			}
			if c.model != "" {
				f.waitUntilOpen(engines, 8)
			}
			var sound, failed atomic.Int64
			stop, stopped := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(stopped)
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					if status, _ := f.post(n%3, c.path, c.model, fmt.Sprintf("sound-%d", n)); status == http.StatusUnprocessableEntity {
						failed.Add(1)
					}
					sound.Add(1)
				}
			}()
			for n := range 40 {
				f.post(n%3, c.path, c.model, deadlyBody)
			}
			must.LessEq(t, maxEnds+maxLate, ended(engines), must.Sprint("engines ended"))
			before := ended(engines)
			for n := range 20 {
				status, text := f.post(n%3, c.path, c.model, deadlyBody)
				must.Eq(t, http.StatusUnprocessableEntity, status, must.Sprint(text))
			}
			must.Eq(t, before, ended(engines))
			eventually(t, "sound requests go on", func() bool { return sound.Load() > 20 })
			close(stop)
			<-stopped
			must.Eq(t, 0, failed.Load(), must.Sprint("sound requests refused for the deadly one"))
			for n := range f.daemons {
				eventually(t, "the daemon serves sound requests", func() bool { status, _ := f.post(n, c.path, c.model, "sound"); return status == http.StatusOK })
			}
		})
	}
}

// TestPartThatEndsEnginesIsNotSentOnAndOn sends requests, no two alike, with one deadly
// part, at any daemon. Sound requests share their caller, their first part and a further
// part with them.
func TestPartThatEndsEnginesIsNotSentOnAndOn(t *testing.T) {
	// The rule allows five ends, and three more sends.
	const maxEnds, maxLate, groups = 5, 3, 12
	f := newFixture(t)
	f.publish(1, goodKey)
	var engines []*site.Engine
	for d := range groups {
		engines = append(engines, f.endingEngines(site.ModelService, fmt.Sprintf("d%d", d), site.SmallGroupSize, 3)...)
	}
	for range 3 {
		f.addDaemon()
	}
	f.waitUntilDaemonsHearEachOther()
	f.waitUntilServes(0, smallName)
	f.waitUntilOpen(engines, groups)
	const first, further = "f1:40", "f2:100"
	deadly := func(n int) (int, string) {
		return f.post(n%3, site.StreamPath, smallName, fmt.Sprint("deadly-", n), first, deadlyPart, further, fmt.Sprintf("%x:300", n))
	}
	sound := func(n int) (int, string) {
		return f.post(n%3, site.StreamPath, smallName, fmt.Sprint("sound-", n), first, further, fmt.Sprintf("%x:300", 1000+n))
	}
	answered, refused := 0, 0
	for n := range 40 {
		deadly(n)
		switch status, _ := sound(n); status {
		case http.StatusOK:
			answered++
		case http.StatusUnprocessableEntity:
			refused++
		}
	}
	must.LessEq(t, maxEnds+maxLate, ended(engines), must.Sprint("engines ended"))
	before := ended(engines)
	for n := range 20 {
		status, text := deadly(100 + n)
		must.Eq(t, http.StatusUnprocessableEntity, status, must.Sprint(text))
	}
	must.Eq(t, before, ended(engines))
	must.Eq(t, 0, refused, must.Sprint("sound requests refused for the deadly part"))
	must.GreaterEq(t, 20, answered, must.Sprint("sound requests answered"))
	for n := range f.daemons {
		eventually(t, "the daemon serves sound requests", func() bool { status, _ := sound(1000 + n); return status == http.StatusOK })
	}
}

// TestErrorAnswersClearNoSuspect lets engines answer a deadly request with an error
// between the ends: a faulty engine may do so without having begun to run it.
func TestErrorAnswersClearNoSuspect(t *testing.T) {
	for status, spoil := range map[int]site.Spoil{http.StatusInternalServerError: site.ErrorText, http.StatusNotFound: site.ClientErrorText} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			f := newFixture(t)
			f.publish(1, goodKey)
			engines := f.endingEngines(site.PlainService, "", 8, 0)
			f.addDaemon()
			eventually(t, "the daemon serves", func() bool {
				status, _ := f.post(0, site.NonIdempotentPath, "", "sound")
				return status == http.StatusOK
			})
			for range 3 {
				before := ended(engines)
				for _, e := range engines {
					e.SpoilAnswers(1, spoil)
				}
				got, text := f.post(0, site.NonIdempotentPath, "", deadlyBody)
				must.Eq(t, status, got, must.Sprint(text))
				for _, e := range engines {
					e.SpoilAnswers(0, spoil)
				}
				f.post(0, site.NonIdempotentPath, "", deadlyBody)
				must.Eq(t, before+1, ended(engines))
			}
			got, text := f.post(0, site.NonIdempotentPath, "", deadlyBody)
			must.Eq(t, http.StatusUnprocessableEntity, got, must.Sprint(text))
		})
	}
}

// TestVerdictHoldsForStartedDaemonsAndWithoutTheStore has a request in quarantine. A
// daemon that starts then, and all of them while the store is down, refuse it.
func TestVerdictHoldsForStartedDaemonsAndWithoutTheStore(t *testing.T) {
	f := newFixture(t)
	f.publish(1, goodKey)
	engines := f.endingEngines(site.PlainService, "", 10, 0)
	stop := f.addDaemon()
	f.addDaemon()
	f.waitUntilDaemonsHearEachOther()
	deadly := func(n int, body string) int {
		status, _ := f.post(n, site.NonIdempotentPath, "", body)
		return status
	}
	for n := range f.daemons {
		eventually(t, "the daemon serves", func() bool { return deadly(n, "sound") == http.StatusOK })
	}
	for range 3 {
		deadly(0, deadlyBody)
	}
	must.Eq(t, 3, ended(engines))
	eventually(t, "the other daemon has heard", func() bool {
		return slices.Contains(f.metricLines(1), `ragwortquay_verdict_changes{to="refused"} 1`)
	})

	stop() // the daemon that saw the ends
	f.addDaemon()
	eventually(t, "the started daemon has heard", func() bool {
		return slices.Contains(f.metricLines(2), `ragwortquay_verdict_changes{to="refused"} 1`)
	})
	must.Eq(t, http.StatusUnprocessableEntity, deadly(2, deadlyBody))
	must.Eq(t, http.StatusUnprocessableEntity, deadly(1, deadlyBody))

	f.store.SetDown(true)
	for n := range 6 {
		must.Eq(t, http.StatusUnprocessableEntity, deadly(1+n%2, deadlyBody))
	}
	must.Eq(t, 3, ended(engines))
	f.store.SetDown(false)
	eventually(t, "sound requests are served", func() bool { return deadly(2, "sound") == http.StatusOK })
}

// TestEndedEngineGetsNothingBeforeTheListShowsIt ends one of two plain engines under a
// request. Its entry stays in the store; further requests must not be sent there by the
// daemon that saw the end, nor by the other.
func TestEndedEngineGetsNothingBeforeTheListShowsIt(t *testing.T) {
	f := newFixture(t)
	f.publish(1, goodKey)
	engines := f.endingEngines(site.PlainService, "", 2, 0)
	f.addDaemon()
	f.addDaemon()
	f.waitUntilDaemonsHearEachOther()
	for n := range f.daemons {
		f.callUntil(n, "both engines are used", func() bool { return engines[0].Arrivals() > n && engines[1].Arrivals() > n })
	}
	f.post(0, site.NonIdempotentPath, "", deadlyBody)
	must.Eq(t, 1, ended(engines))
	for n := range f.daemons {
		eventually(t, "the daemon has heard of the end", func() bool {
			return slices.Contains(f.metricLines(n), `ragwortquay_verdict_changes{to="suspected"} 1`)
		})
	}
	for n := range f.daemons {
		before := f.metricSum(n, "ragwortquay_requests{")
		f.callUntil(n, "ten requests are counted", func() bool { return f.metricSum(n, "ragwortquay_requests{") >= before+10 })
		must.Eq(t, 0, f.metricSum(n, "ragwortquay_repeats{"), must.Sprint("sends that the ended engine refused"))
	}
}
