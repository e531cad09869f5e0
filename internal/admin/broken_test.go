package admin

import (
	"context"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/operate"
	"github.com/ragwortquay/ragwortquay/internal/standin/rawhttp"
)

// TestBrokenAnswersOfTheServerAreErrors calls an operators' server that answers each call
// in a broken way. The body would be valid for all of them.
func TestBrokenAnswersOfTheServerAreErrors(t *testing.T) {
	calls := map[string]func(*Client) error{
		"apply":  func(c *Client) error { _, err := c.Apply(context.Background(), operate.ApplyRequest{}); return err },
		"tables": func(c *Client) error { _, err := c.Tables(context.Background()); return err },
		"status": func(c *Client) error { _, err := c.Status(context.Background()); return err },
		"audit":  func(c *Client) error { _, _, err := c.Audit(context.Background(), operate.AuditRequest{}); return err },
	}
	call := func(a rawhttp.Answer, send func(*Client) error) error {
		s, err := rawhttp.Start(func(*http.Request) rawhttp.Answer { return a })
		must.NoError(t, err)
		defer s.Close()
		c, err := NewClient("http://"+s.Addr(), "token")
		must.NoError(t, err)
		defer c.Close()
		return send(c)
	}
	for what, send := range calls {
		for name, a := range rawhttp.Broken("", "{}") {
			err := call(a, send)
			must.Error(t, err, must.Sprint(what, ": ", name))
			must.Eq(t, fault.Unknown, fault.As(err).Outcome, must.Sprint(what, ": ", name))
		}
		for name, a := range rawhttp.Sound("", "{}") {
			must.NoError(t, call(a, send), must.Sprint(what, ": ", name))
		}
	}
}
