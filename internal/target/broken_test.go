package target

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/standin/rawhttp"
)

// largeBodyBytes is the size of a request that exceeds the socket buffers.
const largeBodyBytes = 8 << 20

const idField = HeaderRequestID + ": " + rawhttp.IDPlaceholder + "\r\n"

// answerOf starts a target that answers all requests alike.
func answerOf(t *testing.T, a rawhttp.Answer) *rawhttp.Server {
	t.Helper()
	s, err := rawhttp.Start(func(r *http.Request) rawhttp.Answer { return a.ForRequest(r.Header.Get(HeaderRequestID)) })
	must.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

// exchange sends a request of the given size and reads the response to its end.
func exchange(t *testing.T, c *Client, addr string, bytes int, atMostOnce bool) (string, error) {
	t.Helper()
	resp, err := c.Do(t.Context(), &Request{
		Addr: addr, Method: "POST", Path: "/x", ID: "r-1", AttemptID: "r-1/a", Body: make([]byte, bytes),
		Deadline: time.Now().Add(20 * time.Second), AtMostOnce: atMostOnce,
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Close() }()
	body, err := resp.ReadAll()
	return string(body), err
}

func TestBrokenAnswersAreErrors(t *testing.T) {
	for name, a := range rawhttp.Broken(idField, "all of it") {
		for _, bytes := range []int{4, largeBodyBytes} {
			for _, atMostOnce := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, request of %d bytes, at most once %t", name, bytes, atMostOnce), func(t *testing.T) {
					t.Parallel()
					s := answerOf(t, a)
					c := New(Options{})
					for n := range 2 {
						body, err := exchange(t, c, s.Addr(), bytes, atMostOnce)
						must.Error(t, err, must.Sprintf("body %q", body))
						must.Eq(t, fault.Unknown, fault.As(err).Outcome, must.Sprint("the target may have run the request"))
						must.Eq(t, int64(n+1), s.Accepted(), must.Sprint("the connection was used again"))
					}
				})
			}
		}
	}
}

func TestSoundAnswersArrive(t *testing.T) {
	for name, a := range rawhttp.Sound(idField, "all of it") {
		for _, bytes := range []int{4, largeBodyBytes} {
			s := answerOf(t, a)
			body, err := exchange(t, New(Options{}), s.Addr(), bytes, false)
			must.NoError(t, err, must.Sprint(name))
			must.Eq(t, "all of it", body, must.Sprint(name))
		}
	}
}

// TestBrokenReportsAndOrdersAreErrors reads broken answers with the clients of reports
// and orders, and with the probe of a target.
func TestBrokenReportsAndOrdersAreErrors(t *testing.T) {
	const report = `{"vm":"v1","boot_id":"b","state":"ready"}`
	control := NewControlClient()
	defer control.Close()
	client := New(Options{})
	for name, a := range rawhttp.Broken("", report) {
		addr := answerOf(t, a).Addr()
		_, err := control.Report(t.Context(), addr)
		must.Error(t, err, must.Sprint(name))
		must.Error(t, control.SendOrder(t.Context(), addr, Order{ID: "o", Kind: OrderLoad, Fence: 9}), must.Sprint(name))
		_, alive := client.Probe(addr)
		must.False(t, alive, must.Sprint(name))
	}
	for name, a := range rawhttp.Sound("", report) {
		addr := answerOf(t, a).Addr()
		_, err := control.Report(t.Context(), addr)
		must.NoError(t, err, must.Sprint(name))
		must.NoError(t, control.SendOrder(t.Context(), addr, Order{ID: "o", Kind: OrderLoad, Fence: 9}), must.Sprint(name))
		bootID, alive := client.Probe(addr)
		must.True(t, alive, must.Sprint(name))
		must.Eq(t, "b", bootID, must.Sprint(name))
	}
}
