package cli

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

const explainLog = `
  1.2 front-2 {"time":"2026-01-01T00:00:01.500Z","level":"INFO","msg":"refused","request":"r1","cause":"no_engine","reason":"all engines are busy"}
not a line of JSON {r1}
{"time":"2026-01-01T00:00:01.250Z","level":"INFO","msg":"retry","request":"r1","sends":1,"why":"engine i-1 stands still"}
{"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"request","request":"r10","outcome":"answered"}
{"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"engine suspected","request":"r1","engine":"i-1","silent_ms":450}
`

func TestExplainSortsDecisionsOfOneRequest(t *testing.T) {
	var out strings.Builder
	must.NoError(t, explain(strings.NewReader(explainLog), &out, "r1"))
	must.Eq(t, strings.Join([]string{
		"   0.000 s  engine suspected engine=i-1 silent_ms=450",
		"   0.250 s  retry            sends=1 why=engine i-1 stands still",
		"   0.500 s  refused          cause=no_engine reason=all engines are busy", "",
	}, "\n"), out.String())
}

func TestExplainFailsForUnknownRequest(t *testing.T) {
	err := explain(strings.NewReader(explainLog), &strings.Builder{}, "r2")
	must.True(t, fault.Is(err, fault.NotFound))
}
