package edge_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

// addLedgers starts two engines of the plain service.
func (f *fixture) addLedgers() (a, b *site.Engine) {
	for _, e := range []**site.Engine{&a, &b} {
		*e = site.StartEngine(f.store, site.EngineConfig{ID: "ledger-" + strconv.Itoa(len(f.engines)), Service: site.PlainService, Zone: "a", Slots: 4})
		f.engines = append(f.engines, *e)
	}
	return a, b
}

// callUntil sends requests to the n-th daemon until condition holds.
func (f *fixture) callUntil(n int, what string, condition func() bool) {
	f.t.Helper()
	eventually(f.t, what, func() bool {
		f.status(n, http.MethodPost, nonIdempotentPath, goodKey, "")
		return condition()
	})
}

// TestLeavingEngineGetsNothingFurther lets an engine state in its answers that it
// leaves, while its entry in the store does not. The daemon that passed such an answer
// on sends it nothing more, with or without the store; the other daemon learns of it;
// a later start of the engine is used again.
func TestLeavingEngineGetsNothingFurther(t *testing.T) {
	f := newFixture(t)
	f.publish(1, goodKey)
	leaving, other := f.addLedgers()
	f.addDaemon()
	f.addDaemon()
	for n := range f.daemons {
		f.callUntil(n, "both engines are used", func() bool { return leaving.Arrivals() > n && other.Arrivals() > n })
	}
	leaving.LeaveInResponses()
	before := leaving.Arrivals()
	f.callUntil(0, "the engine has stated that it leaves", func() bool { return leaving.Arrivals() > before })
	told := leaving.Arrivals()
	f.store.SetDown(true)
	for range 20 {
		must.Eq(t, http.StatusOK, f.status(0, http.MethodPost, nonIdempotentPath, goodKey, ""))
	}
	must.Eq(t, told, leaving.Arrivals())
	f.store.SetDown(false)
	must.Eq(t, told, leaving.Arrivals())

	eventually(t, "the other daemon does not use the engine", func() bool {
		at := leaving.Arrivals()
		for range 20 {
			f.status(1, http.MethodPost, nonIdempotentPath, goodKey, "")
		}
		return leaving.Arrivals() == at
	})

	leaving.Close()
	again := site.StartEngine(f.store, site.EngineConfig{ID: "ledger-0", Service: site.PlainService, Zone: "a", Slots: 4})
	f.engines = append(f.engines, again)
	f.callUntil(0, "the engine is used after its new start", func() bool { return again.Arrivals() > 0 })
}

// TestGroupOfLeavingHeadIsClosed checks that a head's notice ends its group like an
// announcement that it drains.
func TestGroupOfLeavingHeadIsClosed(t *testing.T) {
	f := newFixture(t)
	f.publish(1, goodKey)
	engines := f.addEngines("d0", 3, 3, time.Millisecond)
	f.addDaemon()
	f.waitUntilServes(0, smallName)
	var head *site.Engine
	group := ""
	for _, e := range engines {
		if name, state := e.GroupState(); state == "open" {
			head, group = e, name
		}
	}
	head.LeaveInResponses()
	f.addEngines("d0", 1, 3, time.Millisecond)
	f.status(0, http.MethodPost, streamPath, goodKey, smallName)
	told := head.Arrivals()
	eventually(t, "the group is closed", func() bool { return site.FirstOrderSeq(head, "close "+group) > 0 })
	f.waitUntilServes(0, smallName)
	must.Eq(t, told, head.Arrivals())
}

// TestEngineThatAsksToWaitGetsNothing lets an engine refuse a request and ask for a
// wait. Until it is over the engine gets nothing more; requests go to the other
// engine, and are refused with a true time if that asks for a wait as well.
func TestEngineThatAsksToWaitGetsNothing(t *testing.T) {
	for _, wait := range []string{"15", "1e9", "15.5", "1e999"} {
		t.Run(wait, func(t *testing.T) {
			f := newFixture(t)
			f.publish(1, goodKey)
			waiting, other := f.addLedgers()
			f.addDaemon()
			f.callUntil(0, "both engines are used", func() bool { return waiting.Arrivals() > 0 && other.Arrivals() > 0 })
			waiting.Refuse(1, wait)
			before := waiting.Arrivals()
			f.callUntil(0, "the engine has refused", func() bool { return waiting.Arrivals() > before })
			told := waiting.Arrivals()
			for range 20 {
				must.Eq(t, http.StatusOK, f.status(0, http.MethodPost, nonIdempotentPath, goodKey, ""))
			}
			must.Eq(t, told, waiting.Arrivals())

			other.Refuse(1, "1.5")
			must.Eq(t, http.StatusServiceUnavailable, f.status(0, http.MethodPost, nonIdempotentPath, goodKey, ""))
			resp, err := f.call(0, http.MethodPost, nonIdempotentPath, goodKey, "")
			must.NoError(t, err)
			must.NoError(t, resp.Body.Close())
			must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
			seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			must.NoError(t, err)
			must.Between(t, 0, seconds, 1.5, must.Sprint("the wait of the engine that is free first"))
			must.Eq(t, told, waiting.Arrivals())
		})
	}
}
