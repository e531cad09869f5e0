package integration

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/procs"
	"github.com/ragwortquay/ragwortquay/internal/standin/oracle"
)

// engineArgs returns the flags of one process of stand-in engines.
func engineArgs(count string, more ...string) []procs.Args {
	return []procs.Args{append(procs.Args{"--count", count}, more...)}
}

// After an operator's edit, groups must form and every daemon must serve a complete
// streamed response, including a daemon that starts later.
func TestEndToEnd(t *testing.T) {
	c := startCluster(t, procs.Options{Daemons: 3, Engines: engineArgs("6")})
	applyTables(t, c, testTables{vms: 6}.toml())
	for _, d := range c.Daemons {
		r := waitServed(t, c, d, "quote")
		must.Eq(t, oracle.ResponseText("hello", 3), r.Text)
		must.Eq(t, "ran", r.Outcome)
	}
	late, err := c.AddDaemon()
	must.NoError(t, err)
	must.NoError(t, c.WaitReady())
	must.Eq(t, oracle.ResponseText("hello", 3), waitServed(t, c, late, "quote").Text)
	for _, e := range journalEntries(t, c.Engines...) {
		must.False(t, e.GroupIncomplete)
	}
}
