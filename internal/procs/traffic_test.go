package procs

import (
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestParseMetrics(t *testing.T) {
	page := "# TYPE a gauge\na 12\nb{x=\"1\"} 3\nc 1.5e+03\nbroken\nd word\n"
	got, err := parseMetrics(strings.NewReader(page))
	must.NoError(t, err)
	must.Eq(t, 12.0, got["a"])
	must.Eq(t, 1500.0, got["c"])
	must.MapNotContainsKeys(t, got, []string{"#", "broken", "d"})
}

func TestIOCountsOwnReads(t *testing.T) {
	before, _, err := processIO(os.Getpid())
	must.NoError(t, err)
	data, err := os.ReadFile("/proc/self/status")
	must.NoError(t, err)
	after, _, err := processIO(os.Getpid())
	must.NoError(t, err)
	must.GreaterEq(t, int64(len(data)), after-before)
}
