package demo

import (
	"bytes"
	"context"
	"testing"

	"github.com/shoenig/test/must"
)

func TestRunServesARequest(t *testing.T) {
	var out bytes.Buffer
	must.NoError(t, Run(context.Background(), &out), must.Sprint(out.String()))
	for _, want := range []string{"in force on 3 of 3", "Complete response of 6 tokens", "served by group-", "formed at", "Audit: edit", "shut down gracefully"} {
		must.StrContains(t, out.String(), want)
	}
}
