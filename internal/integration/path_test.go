package integration

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/procs"
	"github.com/ragwortquay/ragwortquay/internal/standin/oracle"
)

func engines(count string, more ...string) []procs.Args {
	return []procs.Args{append(procs.Args{"--count", count}, more...)}
}

// The whole path: an operator's edit, groups formed by records, and a streamed
// request answered whole through every daemon, also one that starts later.
func TestWholePath(t *testing.T) {
	c := startCluster(t, procs.Options{Daemons: 3, Engines: engines("6")})
	apply(t, c, tables{vms: 6}.toml())
	for _, d := range c.Daemons {
		r := served(t, c, d, "quote")
		must.Eq(t, oracle.ResponseText("hello", 3), r.Text)
		must.Eq(t, "ran", r.Outcome)
	}
	late, err := c.AddDaemon()
	must.NoError(t, err)
	must.NoError(t, c.WaitReady())
	must.Eq(t, oracle.ResponseText("hello", 3), served(t, c, late, "quote").Text)
	for _, e := range entries(t, c.Engines...) {
		must.False(t, e.GroupIncomplete)
	}
}
