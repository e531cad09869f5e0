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
	leaving := listed(catalog.Engine{ID: "i-1", StartUnixMS: 100, Draining: true})
	cases := []struct {
		name      string
		listed    *catalog.Engine
		probe     Probe
		ended     bool
		announced bool
		undecided bool
	}{
		{"ended, the list lags", listed(*sent), ProbeRefused, true, false, false},
		{"started again", listed(catalog.Engine{ID: "i-1", StartUnixMS: 101}), ProbeAnswered, true, false, false},
		{"replaced within the round trip", listed(*sent), ProbeReplaced, true, false, false},
		{"connection reset, or a single answer broken off", listed(*sent), ProbeAnswered, false, false, false},
		{"cut off: its host does not answer", listed(*sent), ProbeSilent, false, false, true},
		{"stopped, or ended while it was leaving", leaving, ProbeRefused, true, true, false},
		{"replaced while it was leaving", leaving, ProbeReplaced, true, true, false},
		{"leaving, and an answer broken off", leaving, ProbeAnswered, false, true, false},
		{"ended after it had left the list", nil, ProbeRefused, true, true, false},
		{"cut off after it had left the list", nil, ProbeSilent, false, true, true},
	}
	for _, c := range cases {
		check := &endCheck{
			listed: func(string) (*catalog.Engine, bool) { return c.listed, c.listed != nil },
			probe:  func(context.Context, *catalog.Engine) Probe { return c.probe },
		}
		end := check.check(t.Context(), sent)
		must.Eq(t, c.ended, end.Ended, must.Sprint(c.name))
		must.Eq(t, c.announced, end.Announced, must.Sprint(c.name))
		must.Eq(t, c.undecided, end.Undecided, must.Sprint(c.name))
	}
}

// A host that does not answer is cut off: its engine may go on.
func TestSilentHostHasNotEnded(t *testing.T) {
	sent := &catalog.Engine{ID: "i-1", StartUnixMS: 100}
	check := &endCheck{
		listed: func(string) (*catalog.Engine, bool) { return sent, true },
		probe: func(ctx context.Context, _ *catalog.Engine) Probe {
			<-ctx.Done()
			return ProbeSilent
		},
	}
	end := check.check(t.Context(), sent)
	must.False(t, end.Ended)
	must.True(t, end.Undecided)
}
