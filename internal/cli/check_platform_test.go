package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

func TestCheckPlatformSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	must.NoError(t, os.WriteFile(path, []byte("node_name: front-1\nlisten: {front: nowhere}\n"), 0o600))
	var out strings.Builder
	err := (&checkCommand{Config: []string{path}, env: env{out: &out}}).Execute(nil)
	must.True(t, fault.Is(err, fault.BadInput))
	must.StrContains(t, err.Error(), "callers' address")
	must.StrContains(t, err.Error(), "zone is missing")
}
