package relay

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func sseEvents(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: t\n\n", i)
	}
	return b.String()
}

func TestEventFilterForwardsOnlyCompleteEvents(t *testing.T) {
	for size := 1; size <= 20; size++ {
		filter := &eventFilter{}
		var out strings.Builder
		for in := sseEvents(1, 5) + "id: 6\nda"; len(in) > 0; {
			n := min(size, len(in))
			got, ok := filter.feed([]byte(in[:n]))
			must.True(t, ok)
			out.Write(got)
			in = in[n:]
		}
		must.Eq(t, sseEvents(1, 5), out.String())
		must.True(t, filter.hasPartial())
		must.Eq(t, "5", filter.lastID())
		filter.discardPartial()
		must.False(t, filter.hasPartial())
	}
}

func TestEventFilterOnResumedStream(t *testing.T) {
	cases := []struct {
		name, last, in, out string
		ok                  bool
	}{
		{"continues after the last", "2", sseEvents(3, 4), sseEvents(3, 4), true},
		{"repeats events that the client has", "2", sseEvents(1, 4), sseEvents(3, 4), true},
		{"skips an event", "2", sseEvents(4, 5), "", false},
		{"starts from the beginning", "", sseEvents(1, 2), sseEvents(1, 2), true},
		{"has no ids", "", "data: x\n\n", "data: x\n\n", true},
		{"ends lines with CRLF", "", "id: 1\r\ndata: x\r\n\r\n", "id: 1\r\ndata: x\r\n\r\n", true},
	}
	for _, c := range cases {
		filter := &eventFilter{}
		filter.resumeAt(c.last)
		out, ok := filter.feed([]byte(c.in))
		must.Eq(t, c.ok, ok, must.Sprint(c.name))
		must.Eq(t, c.out, string(out), must.Sprint(c.name))
	}
}

func FuzzEventFilter(f *testing.F) {
	f.Add([]byte(sseEvents(1, 3)), 4)
	f.Add([]byte("id: 9\n\n\r\n\r\n"), 1)
	f.Fuzz(func(t *testing.T, in []byte, size int) {
		filter := &eventFilter{}
		size = max(1, size)
		total := 0
		for len(in) > 0 {
			n := min(size, len(in))
			out, ok := filter.feed(in[:n])
			total += len(out)
			if !ok {
				return
			}
			in = in[n:]
		}
		must.Greater(t, -1, total)
	})
}
