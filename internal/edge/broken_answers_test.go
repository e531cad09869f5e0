package edge_test

import (
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

// rawOK is the start of a response.
const rawOK = "HTTP/1.1 200 OK\r\nRequest-Id: " + rawhttp.IDPlaceholder + "\r\nResponse-Seal: s\r\n"

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
	const framed = "Content-Length: 9\r\n\r\nall of it"
	cases := map[string]site.Spoil{
		"reset amid the upload":                     {Text: rawOK + "\r\nhalf of it", End: rawhttp.Reset},
		"reset amid the upload, Connection: close":  site.ResetUnframed,
		"reset amid the upload, HTTP/1.0":           {Text: strings.Replace(rawOK, "1.1", "1.0", 1) + "\r\nhalf of it", End: rawhttp.Reset},
		"reset amid the upload, empty body":         {Text: rawOK + "\r\n", End: rawhttp.Reset},
		"end of sending amid the upload, no reader": {Text: rawOK + "\r\nhalf of it", End: rawhttp.StopReading},
		"name with a blank":                         {Text: rawOK + "X Odd: 1\r\n" + framed, WholeRequest: true},
		"blank after the name of the length":        {Text: rawOK + "Content-Length : 15\r\n\r\nall of it, and more", WholeRequest: true},
		"blank after the name of the coding":        {Text: rawOK + "Transfer-Encoding : chunked\r\n\r\n9\r\nall of it\r\n0\r\n\r\n", WholeRequest: true},
		"blank in a name of an interim head":        {Text: "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + rawOK + framed, WholeRequest: true},
		"control byte in a name":                    {Text: rawOK + "X-\x01: 1\r\n" + framed, WholeRequest: true},
		"tab in a name":                             {Text: rawOK + "X\tOdd: 1\r\n" + framed, WholeRequest: true},
		"status 000":                                {Text: strings.Replace(rawOK, "200 OK", "000 ?", 1) + framed, WholeRequest: true},
	}
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

				a.SpoilAnswers(1, how)
				b.SpoilAnswers(0, how)
				got := f.upload(n, site.IdempotentPath)
				must.Eq(t, http.StatusOK, got.status)
				must.Eq(t, "tenant=tenant-1", got.body)

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
	cases := []struct {
		name   string
		how    site.Spoil
		status int
	}{
		{"without a length, after the upload", site.Spoil{Text: rawOK + "\r\n" + whole, WholeRequest: true}, http.StatusOK},
		{"without a length, the engine reads on", site.Spoil{Text: rawOK + "\r\n" + whole, End: rawhttp.CloseSending}, http.StatusOK},
		{"HTTP/1.0", site.Spoil{Text: strings.Replace(rawOK, "1.1", "1.0", 1) + "\r\n" + whole, WholeRequest: true}, http.StatusOK},
		{"chunks", site.Spoil{Text: rawOK + "Transfer-Encoding: chunked\r\n\r\n9\r\n" + whole + "\r\n0\r\n\r\n", End: rawhttp.Reset}, http.StatusOK},
		{"refused early", site.Spoil{Text: strings.Replace(rawOK, "200 OK", "413 Content Too Large", 1) + "Content-Length: 9\r\n\r\n" + whole, End: rawhttp.Reset}, http.StatusRequestEntityTooLarge},
		{"odd names and values", site.Spoil{Text: rawOK + "!#$%&'*+-.^_`|~: 1\r\nX-Odd:\ta b\tcaf\xe9 \r\nContent-Length: 9\r\n\r\n" + whole, WholeRequest: true}, http.StatusOK},
		{"no body", site.Spoil{Text: strings.Replace(rawOK, "200 OK", "204 No Content", 1) + "\r\n", End: rawhttp.Reset}, http.StatusNoContent},
	}
	f := newFixture(t)
	f.store.SetMaxBodyBytes(uploadBytes)
	f.publish(1, goodKey)
	a := f.addLedger()
	f.addDaemon()
	f.callUntil(0, "the engine is used", func() bool { return a.Arrivals() > 0 })
	for _, c := range cases {
		for _, path := range []string{site.NonIdempotentPath, site.IdempotentPath} {
			a.SpoilAnswers(1, c.how)
			got := f.upload(0, path)
			must.Eq(t, c.status, got.status, must.Sprint(c.name, path, got.body))
			if c.status != http.StatusNoContent {
				must.Eq(t, whole, got.body, must.Sprint(c.name, path))
			}
			if c.name == "odd names and values" {
				must.Eq(t, "a b\tcaf\xe9", got.header.Get("X-Odd"))
			}
		}
	}
}
