package logging

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// stuck blocks all writes until it is released.
type stuck struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

func TestAsyncNeverBlocksAndKeepsErrorsLongest(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	a := NewAsyncWriter(out)
	for range 2 * queueLines {
		_, err := a.Write([]byte("{\"level\":\"INFO\"}\n"))
		must.NoError(t, err)
	}
	for range errorReserve {
		_, err := a.Write([]byte("{\"level\":\"ERROR\"}\n"))
		must.NoError(t, err)
	}
	ordinary, errs := a.Dropped()
	must.Positive(t, ordinary)
	must.Zero(t, errs)
	close(out.release)
	a.Close()
	must.Eq(t, errorReserve, strings.Count(out.String(), "ERROR"))
}
