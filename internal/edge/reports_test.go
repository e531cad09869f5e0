package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

// TestSpoiltAnswersAreNoSuccess lets an engine run requests and spoil their answers.
// What may run once must not be sent again, nor be answered as complete or as not
// run; what may be repeated gets a whole answer of the other engine.
func TestSpoiltAnswersAreNoSuccess(t *testing.T) {
	cases := map[string]site.Spoil{
		"answer lost": site.LoseAnswer, "body with a length cut": site.CutLength, "chunks cut": site.CutChunks,
		"body without a length reset": site.ResetUnframed, "refusal without its statement": site.UnprovenRefusal,
		"head cut": site.CutHead,
	}
	for name, how := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.publish(1, goodKey)
			a, b := f.addLedgers()
			f.addDaemon()
			f.callUntil(0, "both engines are used", func() bool { return a.Arrivals() > 0 && b.Arrivals() > 0 })
			for _, e := range []*site.Engine{a, b} {
				e.SpoilAnswers(1, how)
			}
			spoilt := 0
			for range 60 {
				before := len(f.store.Executions())
				status := f.status(0, http.MethodPost, nonIdempotentPath, goodKey, "")
				must.Len(t, before+1, f.store.Executions(), must.Sprintf("runs, the last of %s", lastRequest()))
				if status != http.StatusOK {
					must.Eq(t, http.StatusBadGateway, status)
					spoilt++
				}
			}
			must.Eq(t, 2, spoilt)
			for range 5 {
				a.SpoilAnswers(1, how)
				must.Eq(t, http.StatusOK, f.status(0, http.MethodGet, site.IdempotentPath, goodKey, ""))
			}
		})
	}
}

// lastRequest returns the id of the last request that was sent with call.
func lastRequest() string { return fmt.Sprintf("request-%d", lastRequestID.Load()) }

// rawRequest is a non-idempotent request as bytes.
func rawRequest(id string) string {
	return "POST " + nonIdempotentPath + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 20000\r\n" +
		"Authorization: Bearer " + goodKey + "\r\nContent-Length: 4\r\n\r\nbody"
}

// exchange sends one request on a connection and reports whether the whole answer was
// received, and whether the connection may be used again.
func exchange(c net.Conn, br *bufio.Reader, id string) (answered, reusable bool) {
	if _, err := c.Write([]byte(rawRequest(id))); err != nil {
		return false, false
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return false, false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil, err == nil && !resp.Close
}

// TestStopUnderLoadAnswersWhatRuns stops a daemon while clients send requests on kept
// connections and on new ones until it is gone. Each request that has run must have
// been answered whole.
func TestStopUnderLoadAnswersWhatRuns(t *testing.T) {
	f := newFixture(t)
	f.grace = 6 * time.Second
	f.publish(1, goodKey)
	e := site.StartEngine(f.store, site.EngineConfig{ID: "ledger-0", Service: site.PlainService, Zone: "a", Slots: 64, EventInterval: 20 * time.Millisecond})
	f.engines = append(f.engines, e)
	stop := f.addDaemon()
	f.callUntil(0, "the daemon serves", func() bool { return len(e.ExecutedRequests()) > 0 })
	var mu sync.Mutex
	answered := map[string]bool{}
	var clients sync.WaitGroup
	for n := range 16 {
		clients.Go(func() {
			for i := 0; ; {
				c, err := net.Dial("tcp", f.daemons[0])
				if err != nil {
					return // the daemon is gone
				}
				br := bufio.NewReader(c)
				for reusable := true; reusable; i++ {
					id := fmt.Sprintf("load-%d-%d", n, i)
					var ok bool
					ok, reusable = exchange(c, br, id)
					mu.Lock()
					answered[id] = ok
					mu.Unlock()
					reusable = reusable && n%2 == 0 // odd clients use each connection once
				}
				_ = c.Close()
			}
		})
	}
	eventually(t, "the load runs", func() bool { return len(e.ExecutedRequests()) > 100 })
	stop()
	clients.Wait()
	ran := 0
	for _, id := range e.ExecutedRequests() {
		if strings.HasPrefix(id, "load-") {
			ran++
			must.True(t, answered[id], must.Sprintf("request %s has run and was not answered", id))
		}
	}
	must.Greater(t, 100, ran)
}

// TestRestartedDaemonFollowsWhatHasChanged takes an engine and a key away, drops the
// store's history, and starts a daemon anew. It must use neither.
func TestRestartedDaemonFollowsWhatHasChanged(t *testing.T) {
	f := newFixture(t)
	f.publish(1, goodKey, "key-2")
	left, stays := f.addLedgers()
	stop := f.addDaemon()
	f.addDaemon()
	f.callUntil(0, "both engines are used", func() bool { return left.Arrivals() > 0 && stays.Arrivals() > 0 })
	left.ExpireEntry() // the engine goes on serving
	f.publish(2, "key-2")
	f.store.TruncateAll()
	stop()
	f.addDaemon()
	restarted := len(f.daemons) - 1
	before := left.Arrivals()
	eventually(t, "the daemon serves", func() bool {
		return f.status(restarted, http.MethodPost, nonIdempotentPath, "key-2", "") == http.StatusOK
	})
	for range 30 {
		must.Eq(t, http.StatusOK, f.status(restarted, http.MethodPost, nonIdempotentPath, "key-2", ""))
		must.Eq(t, http.StatusUnauthorized, f.status(restarted, http.MethodPost, nonIdempotentPath, goodKey, ""))
	}
	must.Eq(t, before, left.Arrivals())
}

// TestSlowStreamIsNotCut streams from the only group of a model with pauses longer
// than the route's limit. There is no other engine to resume at, so the stream must
// reach its end.
func TestSlowStreamIsNotCut(t *testing.T) {
	const events = 6
	f := newFixture(t)
	f.publish(1, goodKey)
	f.addEngines("d0", 3, events, 700*time.Millisecond)
	f.addDaemon()
	f.waitUntilServes(0, smallName)
	resp, err := f.call(0, http.MethodPost, streamPath, goodKey, smallName)
	must.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, events, strings.Count(string(body), "id: "))
}

// TestDrippingStreamIsResumed lets the engine of a stream send a comment now and then
// instead of events. The stream must go on at the other group.
func TestDrippingStreamIsResumed(t *testing.T) {
	const events = 30
	f := newFixture(t)
	lines, serving := f.streamFromOneOfTwoGroups(events)
	serving.DripStreams()
	ids := []string{lines.Text()}
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			ids = append(ids, lines.Text())
		}
	}
	must.NoError(t, lines.Err())
	must.Len(t, events, ids)
	must.Eq(t, fmt.Sprintf("id: %d", events), ids[events-1])
}

// TestBrokenStreamIsNotContinuedByAnError lets a stream break off after its first
// events, and the next engine answer with something that does not continue it. The
// client must find nothing of that in its stream, and no end of it.
func TestBrokenStreamIsNotContinuedByAnError(t *testing.T) {
	for name, how := range map[string]site.Spoil{
		"error status": site.ErrorText, "error text with status 200": site.ErrorPage, "refusal without its statement": site.UnprovenRefusal,
		"head cut": site.CutHead, "ends within an event": site.CutUnframedEvent, "no answer": site.LoseAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			lines, serving := f.streamFromOneOfTwoGroups(200)
			for _, e := range f.engines {
				if e != serving {
					e.SpoilAnswers(1, how)
				}
			}
			serving.Crash()
			got := 1
			for lines.Scan() {
				switch text := lines.Text(); {
				case strings.HasPrefix(text, "id: "):
					got++
					must.Eq(t, fmt.Sprintf("id: %d", got), text)
				default:
					must.True(t, text == "" || strings.HasPrefix(text, "data: token "), must.Sprintf("%q in the stream", text))
				}
			}
			must.Error(t, lines.Err(), must.Sprint("the stream ended as if it were complete"))
		})
	}
}

// TestUnframedStreamIsWhole lets an engine answer with a stream that has neither a
// length nor chunks and ends with its connection, between two events or within one.
func TestUnframedStreamIsWhole(t *testing.T) {
	f := newFixture(t)
	f.publish(1, goodKey)
	engines := f.addEngines("d0", 3, 3, time.Millisecond)
	f.addDaemon()
	f.waitUntilServes(0, smallName)
	spoil := func(how site.Spoil) {
		for _, e := range engines {
			e.SpoilAnswers(1, how)
		}
	}
	spoil(site.UnframedStream)
	status, text := f.post(0, streamPath, smallName, "whole")
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, "id: 1\ndata: token\n\n", text)
	spoil(site.CutUnframedEvent)
	status, text = f.post(0, streamPath, smallName, "cut")
	must.NotEq(t, http.StatusOK, status, must.Sprint(text))
}

// TestRequestsLateInAStopAreAnswered stops a daemon while requests are under way that
// their engine does not answer within the grace period. Each must get an answer.
func TestRequestsLateInAStopAreAnswered(t *testing.T) {
	f := newFixture(t)
	f.grace = 3 * time.Second
	f.publish(1, goodKey)
	e := site.StartEngine(f.store, site.EngineConfig{ID: "ledger-0", Service: site.PlainService, Zone: "a", Slots: 64})
	f.engines = append(f.engines, e)
	stop := f.addDaemon()
	f.callUntil(0, "the daemon serves", func() bool { return len(e.ExecutedRequests()) > 0 })
	e.DelayAnswers(20 * time.Second)
	ran := len(e.ExecutedRequests())
	statuses := make(chan int, 8)
	for range cap(statuses) {
		go func() { statuses <- f.status(0, http.MethodPost, nonIdempotentPath, goodKey, "") }()
	}
	eventually(t, "all run", func() bool { return len(e.ExecutedRequests()) == ran+cap(statuses) })
	stop()
	for range cap(statuses) {
		must.Eq(t, http.StatusBadGateway, <-statuses)
	}
}
