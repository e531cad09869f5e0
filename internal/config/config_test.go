package config

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

const validSettings = `
[daemon]
id = "entry-01"
failure_domain = "plateau"
[listen]
callers = "127.0.0.1:8080"
operators = "127.0.0.1:8081"
peers = "127.0.0.1:8082"
[secrets]
cluster_key_file = "cluster.key"
tokens_file = "tokens.toml"
[platform]
log = "http://127.0.0.1:9000"
vms = "http://127.0.0.1:9001"
weights = "http://127.0.0.1:9002"
`

func TestParse(t *testing.T) {
	s, err := Parse("d.toml", []byte(validSettings))
	must.NoError(t, err)
	must.Eq(t, "entry-01", s.Daemon.ID)
	must.Eq(t, Default().Limits, s.Limits)
}

func TestParseErrorNamesFieldOrRemedy(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"unknown key", `id = "entry-01"`, "id = \"x\"\ncolour = 1", "d.toml:4: daemon.colour"},
		{"wrong type", `id = "entry-01"`, `id = 7`, "d.toml:3"},
		{"port", "127.0.0.1:8080", "127.0.0.1:99999", "listen.callers"},
		{"host name", "127.0.0.1:8080", "entry:80", "use an IP address"},
		{"same address", "127.0.0.1:8081", "127.0.0.1:8080", "listen"},
		{"missing id", `id = "entry-01"`, "", "daemon.id"},
		{"url", "http://127.0.0.1:9000", "127.0.0.1:9000", "platform.log"},
		{"key age", "[secrets]", "[once]\nmax_key_age = \"20h\"\n[secrets]", "once.max_key_age"},
		{"repair", "[secrets]", "[groups]\nrepair = \"luck\"\n[secrets]", "groups.repair"},
		{"duration", "[secrets]", "[members]\nprobe_interval = \"soon\"\n[secrets]", "d.toml:10"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse("d.toml", []byte(strings.Replace(validSettings, tc.old, tc.new, 1)))
			must.ErrorContains(t, err, tc.want)
			must.True(t, fault.Is(err, fault.BadInput))
		})
	}
}

func TestParseReportsAllErrors(t *testing.T) {
	invalid := strings.NewReplacer("8080", "99999", `id = "entry-01"`, `id = 7`, "http://127.0.0.1:9001", "x").Replace(validSettings)
	_, err := Parse("d.toml", []byte(invalid))
	for _, want := range []string{"listen.callers", "d.toml:3", "platform.vms"} {
		must.ErrorContains(t, err, want)
	}
}

func TestCheckConsistency(t *testing.T) {
	a, err := Parse("a", []byte(validSettings))
	must.NoError(t, err)
	b := a
	b.Once.Shards = 3
	err = CheckConsistency([]Settings{a, b})
	for _, want := range []string{"daemon.id", "listen.peers", "once.shards"} {
		must.ErrorContains(t, err, want)
	}
	must.NoError(t, CheckConsistency([]Settings{a}))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("[daemon]\nid=1\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		if err == nil && s.Check() != nil {
			t.Fatal("Parse accepted settings that do not pass Check")
		}
	})
}
