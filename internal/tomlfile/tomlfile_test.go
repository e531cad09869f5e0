package tomlfile

import (
	"testing"

	"github.com/shoenig/test/must"
)

type sample struct {
	Name string
	Port int
	Wait Duration
	Sub  struct{ On bool }
}

func TestDecodeReportsAllErrors(t *testing.T) {
	const file = `name = 3
port = "x"
nonsense = 1
wait = "soon"
[sub]
on = true
off = 2
`
	var s sample
	err := Decode("f.toml", []byte(file), &s)
	for _, want := range []string{"f.toml:1", "f.toml:2", "f.toml:3: nonsense", "f.toml:4", "f.toml:7: sub.off"} {
		must.ErrorContains(t, err, want)
	}
	must.True(t, s.Sub.On)
}

// TestDecodeTerminatesOnSyntaxError guards against an endless loop: Decode clears a
// line and decodes again after each error, also in input that is not TOML.
func TestDecodeTerminatesOnSyntaxError(t *testing.T) {
	var s sample
	must.ErrorContains(t, Decode("f.toml", []byte("name = \"a\n[["), &s), "f.toml:1")
	must.NoError(t, Decode("f.toml", []byte("wait = \"2s\"\n"), &s))
}
