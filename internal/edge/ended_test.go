package edge

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

func TestEndOfAnEngineIsToldFromOtherBreaks(t *testing.T) {
	sent := &catalog.Engine{ID: "i-1", Addr: "10.0.0.1:80", StartUnixMS: 100}
	listed := func(e catalog.Engine) *catalog.Engine { return &e }
	cases := []struct {
		name    string
		listed  *catalog.Engine
		refuses bool
		ended   bool
	}{
		{"ended, the list lags", listed(*sent), true, true},
		{"started again", listed(catalog.Engine{ID: "i-1", StartUnixMS: 101}), false, true},
		{"connection reset, or a single answer broken off", listed(*sent), false, false},
		{"planned stop", listed(catalog.Engine{ID: "i-1", StartUnixMS: 100, Draining: true}), true, false},
		{"left the list before, stopped or cut off", nil, true, false},
	}
	for _, c := range cases {
		check := &endCheck{
			listed:  func(string) (*catalog.Engine, bool) { return c.listed, c.listed != nil },
			refuses: func(context.Context, string) bool { return c.refuses },
		}
		must.Eq(t, c.ended, check.check(t.Context(), sent).Ended, must.Sprint(c.name))
	}
}

// A host that does not answer is cut off: its engine may go on.
func TestSilentHostHasNotEnded(t *testing.T) {
	sent := &catalog.Engine{ID: "i-1", StartUnixMS: 100}
	check := &endCheck{
		listed: func(string) (*catalog.Engine, bool) { return sent, true },
		refuses: func(ctx context.Context, _ string) bool {
			<-ctx.Done()
			return false
		},
	}
	must.False(t, check.check(t.Context(), sent).Ended)
}
