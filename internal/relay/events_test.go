package relay

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func sse(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: t\n\n", i)
	}
	return b.String()
}

func TestEventsPassOnOnlyWholeOnes(t *testing.T) {
	for size := 1; size <= 20; size++ {
		ev := &events{}
		var out strings.Builder
		for in := sse(1, 5) + "id: 6\nda"; len(in) > 0; {
			n := min(size, len(in))
			got, ok := ev.add([]byte(in[:n]))
			must.True(t, ok)
			out.Write(got)
			in = in[n:]
		}
		must.Eq(t, sse(1, 5), out.String())
		must.True(t, ev.partial())
		must.Eq(t, "5", ev.lastID())
		ev.restart()
		must.False(t, ev.partial())
	}
}

func TestEventsOfAResumedStream(t *testing.T) {
	cases := []struct {
		name, last, in, out string
		ok                  bool
	}{
		{"goes on after the last", "2", sse(3, 4), sse(3, 4), true},
		{"repeats what the client has", "2", sse(1, 4), sse(3, 4), true},
		{"leaves one out", "2", sse(4, 5), "", false},
		{"begins anew", "", sse(1, 2), sse(1, 2), true},
		{"has no ids", "", "data: x\n\n", "data: x\n\n", true},
		{"has lines that end with CR", "", "id: 1\r\ndata: x\r\n\r\n", "id: 1\r\ndata: x\r\n\r\n", true},
	}
	for _, c := range cases {
		ev := &events{}
		ev.resumeAt(c.last)
		out, ok := ev.add([]byte(c.in))
		must.Eq(t, c.ok, ok, must.Sprint(c.name))
		must.Eq(t, c.out, string(out), must.Sprint(c.name))
	}
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte(sse(1, 3)), 4)
	f.Add([]byte("id: 9\n\n\r\n\r\n"), 1)
	f.Fuzz(func(t *testing.T, in []byte, size int) {
		ev := &events{}
		size = max(1, size)
		total := 0
		for len(in) > 0 {
			n := min(size, len(in))
			out, ok := ev.add(in[:n])
			total += len(out)
			if !ok {
				return
			}
			in = in[n:]
		}
		must.Greater(t, -1, total)
	})
}
