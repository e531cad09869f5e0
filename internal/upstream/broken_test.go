package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/standin/rawhttp"
)

// largeBodyBytes is the size of a request that exceeds the socket buffers, so that a part
// of it is still unsent when the engine answers without reading it.
const largeBodyBytes = 8 << 20

// answerOf starts a server that answers all requests alike.
func answerOf(t *testing.T, a rawhttp.Answer) *rawhttp.Server {
	t.Helper()
	s, err := rawhttp.Start(func(r *http.Request) rawhttp.Answer { return a.ForRequest(r.Header.Get("Request-Id")) })
	must.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

// send sends a request and reads the response to its end. The error is that of either.
func send(c *Client, addr, method string, body []byte) (*Response, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	resp, err := c.Do(ctx, &Request{
		Addr: addr, Method: method, Target: "/x", Body: body,
		Header: http.Header{"Host": {"h"}, "Request-Id": {"1"}}, ID: "1", IDHeader: "Request-Id",
	})
	if err != nil {
		return nil, "", err
	}
	defer resp.Close()
	text, err := io.ReadAll(resp)
	return resp, string(text), err
}

const rawHead = "HTTP/1.1 200 OK\r\nRequest-Id: " + rawhttp.IDPlaceholder + "\r\n"

// TestResponseCutAmidTheUploadIsIncomplete lets engines end the connection while a large
// request is still being written. A response without a length is then cut, whichever of
// the goroutines that write and read learns of the reset.
func TestResponseCutAmidTheUploadIsIncomplete(t *testing.T) {
	texts := map[string]string{
		"HTTP/1.1":          rawHead + "\r\nhalf of it",
		"Connection: close": rawHead + "Connection: close\r\n\r\nhalf of it",
		"HTTP/1.0":          strings.Replace(rawHead, "1.1", "1.0", 1) + "\r\nhalf of it",
		"201":               strings.Replace(rawHead, "200 OK", "201 Created", 1) + "\r\nhalf of it",
		"413":               strings.Replace(rawHead, "200 OK", "413 Content Too Large", 1) + "\r\ntoo lar",
		"event stream":      rawHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: token\n\n",
		"empty body":        rawHead + "\r\n",
		"length":            rawHead + "Content-Length: 99\r\n\r\nhalf of it",
		"chunks":            rawHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	}
	ends := map[string]rawhttp.End{"reset": rawhttp.Reset, "closed unread": rawhttp.Close, "end of sending only": rawhttp.StopReading}
	for text, bytes := range texts {
		for end, how := range ends {
			t.Run(fmt.Sprint(text, ", ", end), func(t *testing.T) {
				t.Parallel()
				s := answerOf(t, rawhttp.Answer{Text: bytes, End: how})
				c := NewClient()
				exchanges := 10 // each may meet the reset in either order
				if how == rawhttp.StopReading {
					exchanges = 1
				}
				for n := range exchanges {
					_, body, err := send(c, s.Addr(), http.MethodPost, make([]byte, largeBodyBytes))
					must.Error(t, err, must.Sprintf("exchange %d was complete with the body %q", n, body))
					must.Eq(t, fault.Unknown, fault.As(err).Outcome, must.Sprint("the engine may have run the request"))
				}
				must.Eq(t, int64(exchanges), s.Accepted(), must.Sprint("a connection was used again"))
			})
		}
	}
}

// TestSoundResponsesOfLikeShapeArrive lists responses that end with the connection, or
// before the whole request has been read, and are complete.
func TestSoundResponsesOfLikeShapeArrive(t *testing.T) {
	const whole = "all of it"
	framed := "Content-Length: 9\r\n\r\n" + whole
	cases := []struct {
		name, method string
		answer       rawhttp.Answer
		status       int
		body         string
	}{
		{"without a length", "POST", rawhttp.Answer{Text: rawHead + "\r\n" + whole, WholeRequest: true}, 200, whole},
		{"without a length, reads on", "POST", rawhttp.Answer{Text: rawHead + "\r\n" + whole, End: rawhttp.CloseSending}, 200, whole},
		{"HTTP/1.0", "POST", rawhttp.Answer{Text: strings.Replace(rawHead, "1.1", "1.0", 1) + "\r\n" + whole, WholeRequest: true}, 200, whole},
		{"HTTP/1.0 with a length", "POST", rawhttp.Answer{Text: strings.Replace(rawHead, "1.1", "1.0", 1) + framed}, 200, whole},
		{"event stream", "POST", rawhttp.Answer{Text: rawHead + "Content-Type: text/event-stream\r\n\r\nid: 1\n\n", WholeRequest: true}, 200, "id: 1\n\n"},
		{"length, then reset", "POST", rawhttp.Answer{Text: rawHead + framed, End: rawhttp.Reset}, 200, whole},
		{"length, reads nothing more", "POST", rawhttp.Answer{Text: rawHead + framed, End: rawhttp.StopReading}, 200, whole},
		{"early refusal", "POST", rawhttp.Answer{Text: strings.Replace(rawHead, "200 OK", "413 Content Too Large", 1) + framed, End: rawhttp.Reset}, 413, whole},
		{"early refusal without a length", "POST", rawhttp.Answer{Text: strings.Replace(rawHead, "200 OK", "413 Content Too Large", 1) + "\r\n" + whole, End: rawhttp.CloseSending}, 413, whole},
		{"chunks", "POST", rawhttp.Answer{Text: rawHead + "Transfer-Encoding: chunked\r\n\r\n9\r\n" + whole + "\r\n0\r\n\r\n", End: rawhttp.Reset}, 200, whole},
		{"chunks with a trailer", "POST", rawhttp.Answer{Text: rawHead + "Transfer-Encoding: chunked\r\n\r\n9\r\n" + whole + "\r\n0\r\nX-Sum: 1\r\n\r\n"}, 200, whole},
		{"204", "POST", rawhttp.Answer{Text: strings.Replace(rawHead, "200 OK", "204 No Content", 1) + "\r\n", End: rawhttp.Reset}, 204, ""},
		{"304", "POST", rawhttp.Answer{Text: strings.Replace(rawHead, "200 OK", "304 Not Modified", 1) + "\r\n", End: rawhttp.Reset}, 304, ""},
		{"HEAD", "HEAD", rawhttp.Answer{Text: rawHead + "\r\n", End: rawhttp.Reset}, 200, ""},
		{"interim before", "POST", rawhttp.Answer{Text: "HTTP/1.1 100 Continue\r\n\r\n" + rawHead + "\r\n" + whole, WholeRequest: true}, 200, whole},
	}
	for _, c := range cases {
		for _, size := range []int{4, 64 << 10, largeBodyBytes} {
			t.Run(fmt.Sprintf("%s, request of %d bytes", c.name, size), func(t *testing.T) {
				t.Parallel()
				s := answerOf(t, c.answer)
				resp, body, err := send(NewClient(), s.Addr(), c.method, make([]byte, size))
				must.NoError(t, err)
				must.Eq(t, c.status, resp.Status)
				must.Eq(t, c.body, body)
			})
		}
	}
}
