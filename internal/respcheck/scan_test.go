package respcheck

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestHeadScanner feeds responses in pieces of each size up to the whole.
func TestHeadScanner(t *testing.T) {
	cases := []struct {
		text  string
		valid bool
	}{
		{"HTTP/1.1 200 OK\r\nX: 1\r\n\r\nbody with no colon\r\nX Odd: 1\r\n", true},
		{"HTTP/1.1 200\r\n\r\n", true},
		{"HTTP/1.0 599 ?\nX: 1\n\nX Odd: 1\n", true},
		{"HTTP/1.1 200 a b: c\r\nX:\t a b : c \xe9\r\nY:\r\n\r\n", true},
		{"HTTP/1.1 200 OK\r\nX: a\r\n b c: d\r\n\te\r\nY: 1\r\n\r\n", true},
		{"HTTP/1.1 000 ?\r\n\r\n", false},
		{"HTTP/1.1 199 ?\r\n\r\n", false},
		{"HTTP/1.1 600 ?\r\n\r\n", false},
		{"HTTP/1.1 +20 ?\r\n\r\n", false},
		{"HTTP/1.1  200 OK\r\n\r\n", false},
		{"\r\nHTTP/1.1 200 OK\r\n\r\n", false},
		{"HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n", false},
		{"HTTP/1.1 200 OK\r\nX: 1\r\nX-Odd : 1\r\n\r\n", false},
		{"HTTP/1.1 200 OK\r\nX\tOdd: 1\r\n\r\n", false},
		{"HTTP/1.1 200 OK\r\nX-\x00: 1\r\n\r\n", false},
		{"HTTP/1.1 200 OK\r\n: 1\r\n\r\n", false},
		{"HTTP/1.1 200 OK\r\nno-colon\r\n\r\n", false},
		{"HTTP/1.1 200 OK\nno-colon\n\n", false},
		{"HTTP/1.1 200 OK\r\n\rX: 1\r\n\r\n", false},
		{"HTTP/1.1 200 OK\r\nX: a\r\n b\r\nX Odd: 1\r\n\r\n", false},
	}
	for _, c := range cases {
		var s HeadScanner
		for size := 1; size <= len(c.text); size++ {
			s.Reset()
			var err error
			for rest := []byte(c.text); len(rest) > 0 && err == nil; {
				n := min(size, len(rest))
				err = s.Scan(rest[:n])
				rest = rest[n:]
			}
			must.Eq(t, c.valid, err == nil, must.Sprintf("%q in pieces of %d: %v", c.text, size, err))
		}
	}
}
