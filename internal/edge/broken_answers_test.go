package edge_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/standin/rawhttp"
	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

// uploadBytes is the size of a request that exceeds the socket buffers between a daemon
// and an engine.
const uploadBytes = 7 << 20

// answerFields are the fields of an engine's response, rawOK is the start of one.
const (
	answerFields = "Request-Id: " + rawhttp.IDPlaceholder + "\r\nResponse-Seal: s\r\n"
	rawOK        = "HTTP/1.1 200 OK\r\n" + answerFields
)

// answer is what a client got for a request.
type answer struct {
	status int
	header http.Header
	body   string
}

// upload sends a large request to the n-th daemon.
func (f *fixture) upload(n int, path string) answer {
	f.t.Helper()
	r, err := site.NewHTTPRequest(context.Background(), f.daemons[n], site.Request{
		ID: fmt.Sprintf("request-%d", lastRequestID.Add(1)), Method: http.MethodPost, Path: path, APIKey: goodKey, Body: strings.Repeat("u", uploadBytes),
	})
	must.NoError(f.t, err)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	must.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	must.NoError(f.t, err)
	return answer{resp.StatusCode, resp.Header, string(body)}
}

// uploadToSpoilt sends a request that may be repeated while the engine that the daemon
// preferred last spoils its next answer. The client must get a sound answer. It reports
// whether the engine was chosen: one that failed lately is avoided.
func (f *fixture) uploadToSpoilt(n int, a, b *site.Engine, how site.Spoil) (chosen bool) {
	f.t.Helper()
	preferred, before := b, a.Arrivals()
	must.Eq(f.t, http.StatusOK, f.upload(n, site.IdempotentPath).status)
	if a.Arrivals() > before {
		preferred = a
	}
	before = preferred.Arrivals()
	preferred.SpoilAnswers(1, how)
	defer preferred.SpoilAnswers(0, how)
	got := f.upload(n, site.IdempotentPath)
	must.Eq(f.t, http.StatusOK, got.status)
	must.Eq(f.t, "tenant=tenant-1", got.body)
	return preferred.Arrivals() > before
}

// checkNoPromise checks that an answer is a failure that does not say that the request
// has not run.
func checkNoPromise(t *testing.T, a answer) {
	t.Helper()
	must.Eq(t, http.StatusBadGateway, a.status, must.Sprintf("body %q", a.body))
	must.Eq(t, "", a.header.Get("Not-Executed"))
}

// TestBrokenAnswersToUploadsReachNobody lets engines answer large requests with broken
// answers. A request that may be repeated gets the other engine's answer; one that may
// run once, or that all engines answer so, gets a failure that promises nothing.
func TestBrokenAnswersToUploadsReachNobody(t *testing.T) {
	cases := rawhttp.Broken(answerFields, "all of it")
	cases["end of sending amid the request"] = site.Spoil{Text: rawOK + "\r\nhalf of it", End: rawhttp.StopReading}
	for name, how := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.store.SetMaxBodyBytes(uploadBytes)
			f.publish(1, goodKey)
			a, b := f.addLedgers()
			f.addDaemon()
			f.addDaemon()
			for n := range f.daemons {
				f.callUntil(n, "both engines are used", func() bool { return a.Arrivals() > 0 && b.Arrivals() > 0 })
			}
			for n := range f.daemons {
				a.SpoilAnswers(1, how)
				b.SpoilAnswers(1, how)
				runs := len(f.store.Executions())
				checkNoPromise(t, f.upload(n, site.NonIdempotentPath))
				must.Len(t, runs+1, f.store.Executions(), must.Sprint("the request was sent again"))

				a.SpoilAnswers(0, how)
				b.SpoilAnswers(0, how)
				eventually(t, "an engine with a broken answer is chosen", func() bool { return f.uploadToSpoilt(n, a, b, how) })

				a.SpoilAnswers(10, how)
				b.SpoilAnswers(10, how)
				checkNoPromise(t, f.upload(n, site.IdempotentPath))
				a.SpoilAnswers(0, how)
				b.SpoilAnswers(0, how)
			}
		})
	}
}

// TestSoundAnswersToUploadsArrive lists answers of like shape that are whole.
func TestSoundAnswersToUploadsArrive(t *testing.T) {
	const whole = "all of it"
	cases := rawhttp.Sound(answerFields, whole)
	cases["ends with the connection, the engine reads on"] = site.Spoil{Text: rawOK + "\r\n" + whole, End: rawhttp.CloseSending}
	cases["chunks before the upload was read"] = site.Spoil{Text: cases["chunks"].Text, End: rawhttp.Reset}
	cases["refused early"] = site.Spoil{Text: strings.Replace(cases["length"].Text, "200 OK", "413 Content Too Large", 1), End: rawhttp.Reset}
	cases["no body"] = site.Spoil{Text: strings.Replace(rawOK, "200 OK", "204 No Content", 1) + "\r\n", End: rawhttp.Reset}
	statuses := map[string]int{"refused early": http.StatusRequestEntityTooLarge, "no body": http.StatusNoContent}
	values := map[string]string{"value with blanks and obs-text": "a b\tcaf\xe9", "folded value": "a b : c"}
	f := newFixture(t)
	f.store.SetMaxBodyBytes(uploadBytes)
	f.publish(1, goodKey)
	a := f.addLedger()
	f.addDaemon()
	f.callUntil(0, "the engine is used", func() bool { return a.Arrivals() > 0 })
	for name, how := range cases {
		for _, path := range []string{site.NonIdempotentPath, site.IdempotentPath} {
			a.SpoilAnswers(1, how)
			got := f.upload(0, path)
			must.Eq(t, cmp.Or(statuses[name], http.StatusOK), got.status, must.Sprint(name, path, got.body))
			must.Eq(t, values[name], got.header.Get("X-Odd"), must.Sprint(name, path))
			if name != "no body" {
				must.Eq(t, whole, got.body, must.Sprint(name, path))
			}
		}
	}
}
