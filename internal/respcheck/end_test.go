package respcheck

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestEndOfABody(t *testing.T) {
	cases := []struct {
		name string
		end  BodyEnd
		want Verdict
	}{
		{"closed after the whole request was written", BodyEnd{ByClose: true, Request: Sent}, Complete},
		{"the writer has met the reset", BodyEnd{ByClose: true, Request: SendFailed}, Incomplete},
		{"the writer has not met it yet, or is blocked", BodyEnd{ByClose: true, Request: StillSending}, Undecided},
		{"length, chunks or no body", BodyEnd{Request: Sent}, Complete},
		{"refused while the request was being written", BodyEnd{Request: StillSending}, Complete},
		{"refused, then reset", BodyEnd{Request: SendFailed}, Complete},
	}
	for _, c := range cases {
		must.Eq(t, c.want, c.end.Verdict(), must.Sprint(c.name))
	}
}
