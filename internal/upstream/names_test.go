package upstream

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/standin/rawhttp"
)

// TestHeadWithAnInvalidNameIsNoAnswer lets engines send a line whose name is not a token
// in each of the heads that are read before the body of the answer.
func TestHeadWithAnInvalidNameIsNoAnswer(t *testing.T) {
	lines := []string{
		"X Odd: 1", "X-Odd : 1", "Content-Length : 2", "Transfer-Encoding : chunked", "Content Length: 2",
		"X\tOdd: 1", "X-Odd\t: 1", "X-\x00: 1", "X-\x01: 1", "X-\x7f: 1", "X-\xe9: 1", "X(odd): 1", "\"X\": 1", ": 1", "no name",
	}
	sound := rawHead + "Content-Length: 2\r\n\r\nok"
	// Each line is put between before and after.
	heads := []struct {
		name, before, after string
		end                 rawhttp.End
	}{
		{"final", rawHead, "Content-Length: 2\r\n\r\nok", rawhttp.Keep},
		{"final without a valid length", rawHead, "\r\nok", rawhttp.Close},
		{"interim", "HTTP/1.1 103 Early Hints\r\n", "\r\n" + sound, rawhttp.Keep},
		{"of a skipped response", "HTTP/1.1 200 OK\r\nRequest-Id: old\r\n", "Content-Length: 2\r\n\r\nno" + sound, rawhttp.Keep},
	}
	for _, head := range heads {
		for _, line := range lines {
			t.Run(fmt.Sprintf("%s: %q", head.name, line), func(t *testing.T) {
				s := answerOf(t, rawhttp.Answer{Text: head.before + line + "\r\n" + head.after, WholeRequest: true, End: head.end})
				c := NewClient()
				for n := range 2 {
					resp, body, err := send(c, s.Addr(), http.MethodPost, []byte("b"))
					if err == nil {
						t.Fatalf("status %d with header %q and body %q", resp.Status, resp.Header, body)
					}
					must.Eq(t, fault.Unknown, fault.As(err).Outcome, must.Sprint("the engine may have run the request"))
					must.Eq(t, int64(n+1), s.Accepted(), must.Sprint("the connection was used again"))
				}
			})
		}
	}
}

// TestValidNamesAndValuesArrive lists lines of a head that are odd but valid.
func TestValidNamesAndValuesArrive(t *testing.T) {
	cases := []struct{ line, name, value string }{
		{"!#$%&'*+-.^_`|~09azAZ: 1", "!#$%&'*+-.^_`|~09azaz", "1"},
		{"x: 1", "X", "1"},
		{"X:1", "X", "1"},
		{"X:", "X", ""},
		{"X: a b\tc", "X", "a b\tc"},
		{"X:\t \ta \t", "X", "a"},
		{"X: a:b", "X", "a:b"},
		{"X: caf\xe9 \x80\xff", "X", "caf\xe9 \x80\xff"},
		{"X: a\r\n  b", "X", "a b"},
	}
	for _, c := range cases {
		s := answerOf(t, rawhttp.Answer{Text: rawHead + c.line + "\r\nContent-Length: 2\r\n\r\nok", WholeRequest: true, End: rawhttp.Keep})
		client := NewClient()
		for range 2 {
			resp, body, err := send(client, s.Addr(), http.MethodPost, []byte("b"))
			must.NoError(t, err, must.Sprintf("%q", c.line))
			must.Eq(t, "ok", body)
			must.Eq(t, c.value, resp.Header.Get(c.name), must.Sprintf("%q in %q", c.line, resp.Header))
		}
		must.Eq(t, 1, s.Accepted(), must.Sprintf("%q: the connection was not kept", c.line))
	}
}
