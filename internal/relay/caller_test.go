package relay

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/admission"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
)

// A caller stays the same when its route becomes public, or its key is replaced.
func TestCallerOutlastsChangesOfItsRoute(t *testing.T) {
	cfg := &catalog.Config{Tenants: []catalog.Tenant{{Name: "a", Keys: []string{"old", "new"}}, {Name: "b", Keys: []string{"other"}}}}
	cfg.BuildIndex()
	cases := []struct {
		name, key string
		// tenant is that of a route that needs a key.
		tenant, want string
	}{
		{"route that needs a key", "old", "a", "a"},
		{"public route", "old", "", "a"},
		{"public route, another key of the tenant", "new", "", "a"},
		{"public route, another tenant", "other", "", "b"},
		{"public route, no key", "", "", ""},
		{"public route, a withdrawn key", "gone", "", ""},
	}
	for _, c := range cases {
		j := &job{req: &Request{APIKey: c.key}, tenant: c.tenant}
		must.Eq(t, c.want, j.caller(cfg), must.Sprint(c.name))
	}
}

// TestResumedStreamsAreNotLate guards against streams that their clients continue, which
// have less time left, being put after new requests.
func TestResumedStreamsAreNotLate(t *testing.T) {
	for lastEvent, want := range map[string]admission.Standing{"": admission.Late, "7": admission.New} {
		r, route := New(Options{}), &catalog.Route{Timeout: 6 * time.Second}
		first := &job{Relay: r, req: &Request{ClientTimeout: 6 * time.Second}, route: route}
		first.classify()
		must.Eq(t, admission.New, first.standing)
		j := &job{Relay: r, req: &Request{ClientTimeout: 4 * time.Second, LastEventID: lastEvent}, route: route}
		j.classify()
		must.Eq(t, want, j.standing, must.Sprint(lastEvent))
	}
}

// TestKeyIsCheckedByTheConfigurationOfTheSend lets time pass between the admission of a
// request and its send. It guards against a key that was taken away meanwhile, and against
// the confirmation of a later configuration that makes an earlier one look current.
func TestKeyIsCheckedByTheConfigurationOfTheSend(t *testing.T) {
	config := func(version int64, tenants ...catalog.Tenant) *catalog.Config {
		cfg := &catalog.Config{Version: version, Tenants: tenants}
		cfg.BuildIndex()
		return cfg
	}
	admitted := config(1, catalog.Tenant{Name: "a", Keys: []string{"k"}})
	kept := config(2, catalog.Tenant{Name: "a", Keys: []string{"k", "l"}})
	taken := config(3, catalog.Tenant{Name: "a", Keys: []string{"l"}})
	moved := config(4, catalog.Tenant{Name: "a"}, catalog.Tenant{Name: "b", Keys: []string{"k"}})
	r := New(Options{StrictRevoke: true, RevokeBound: 5 * time.Second, ConfigBound: 2 * time.Second})
	for _, c := range []struct {
		name   string
		cfg    *catalog.Config
		age    time.Duration
		tenant string
		sends  int
		want   *Cause
	}{
		{"unchanged", admitted, 0, "a", 0, nil},
		{"unchanged and old", admitted, 4 * time.Second, "a", 0, cause(NotReady)},
		{"key kept", kept, 0, "a", 0, nil},
		{"key taken away", taken, 0, "a", 0, cause(UnknownKey)},
		{"key taken away by a configuration that is not confirmed", taken, 3 * time.Second, "a", 0, cause(NotReady)},
		{"key of another tenant now", moved, 0, "a", 0, cause(UnknownKey)},
		{"key taken away after the first send", taken, 0, "a", 1, nil},
		{"sent before, and old", taken, 4 * time.Second, "a", 1, cause(NotReady)},
		{"public route", taken, time.Hour, "", 0, nil},
	} {
		j := &job{Relay: r, req: &Request{APIKey: "k"}, tenant: c.tenant, config: admitted, sends: c.sends}
		refusal := j.checkKey(c.cfg, c.age, time.Second)
		if c.want == nil {
			must.Nil(t, refusal, must.Sprint(c.name))
			continue
		}
		must.NotNil(t, refusal, must.Sprint(c.name))
		must.Eq(t, *c.want, refusal.Cause, must.Sprint(c.name))
	}
}

func cause(c Cause) *Cause { return &c }
