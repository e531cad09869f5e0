package respcheck

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

type scanCase struct {
	text  string
	valid bool
}

// TestHeadScanner feeds responses in pieces of each size up to the whole.
func TestHeadScanner(t *testing.T) {
	cases := []scanCase{
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
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"HTTP/0.9 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"HTTP/1.2 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		{"HTTP/1.0 200 OK\r\nX: 1\r\ntransfer-ENCODING:chunked\r\n\r\n", false},
		{"HTTP/1.0 200 OK\r\nX: Transfer-Encoding: chunked\r\n transfer-encoding: chunked\r\n\r\n", true},
		{"HTTP/1.0 200 OK\r\n" + strings.Repeat("x", maxTextBytes) + "Transfer-Encoding: chunked\r\n\r\n", true},
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
	for _, n := range []int{maxTextBytes - 1, maxTextBytes, maxTextBytes + 1, 3*maxTextBytes + 1} {
		name := strings.Repeat("x", n)
		for text, valid := range map[string]bool{name: true, " " + name: true, name + " ": false, name + " x": false, name[1:] + "\t" + name: false, name + "\r\n": false} {
			cases = append(cases, scanCase{"HTTP/1.1 200 OK\r\nX: 1\r\n" + text + ": 1\r\n\r\n", valid})
		}
	}
	for _, c := range cases {
		s := HeadScanner{FinalOnly: true}
		for size := 1; size <= len(c.text); size++ {
			s.Reset()
			var err error
			for rest := []byte(c.text); len(rest) > 0 && err == nil; {
				n := min(size, len(rest))
				err = s.Scan(rest[:n])
				rest = rest[n:]
			}
			must.Eq(t, c.valid, err == nil, must.Sprintf("%q in pieces of %d: %v", c.text, size, err))
			must.Eq(t, c.valid, s.Ended(), must.Sprintf("%q in pieces of %d", c.text, size))
		}
	}
}

// TestHeadScannerLeavesTheStatusToTheParser scans heads of all statuses.
func TestHeadScannerLeavesTheStatusToTheParser(t *testing.T) {
	for text, lines := range map[string]int{
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n": 2,
		"HTTP/1.1 000 ?\r\nX: 1\r\n\r\n\r\n":                   3,
		"HTTP/1.1 200 OK\nX: 1\n Y\n\n\n":                      4,
	} {
		var s HeadScanner
		must.NoError(t, s.Scan([]byte(text)), must.Sprint(text))
		must.True(t, s.Ended(), must.Sprint(text))
		must.Eq(t, lines, s.Lines(), must.Sprint(text))
		s.Reset()
		must.False(t, s.Ended())
		must.Eq(t, 0, s.Lines())
		must.Error(t, s.Scan([]byte("HTTP/1.1 100 Continue\r\nX Odd: 1\r\n")))
	}
}
