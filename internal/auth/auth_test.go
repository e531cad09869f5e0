package auth

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const tokens = `
[[caller]]
workspace = "shops"
token = "0123456789abcdef-shops"
[[operator]]
name = "awa"
token = "0123456789abcdef-awa"
`

func writeFile(t *testing.T, path, content string, age time.Duration) {
	t.Helper()
	must.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	at := time.Now().Add(-age)
	must.NoError(t, os.Chtimes(path, at, at))
}

// forceCheck makes the next look-up check the file for changes, as after
// recheckInterval.
func (w *watchedFile) forceCheck() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastCheck = time.Time{}
}

func TestTokens(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tokens.toml")
	writeFile(t, path, tokens, time.Hour)
	tk, err := OpenTokens(path)
	must.NoError(t, err)

	ws, ok := tk.Workspace("0123456789abcdef-shops")
	must.True(t, ok)
	must.Eq(t, "shops", ws)
	_, ok = tk.Workspace("0123456789abcdef-awa")
	must.False(t, ok)
	op, ok := tk.Operator("0123456789abcdef-awa")
	must.True(t, ok)
	must.Eq(t, "awa", op)
	_, ok = tk.Operator("")
	must.False(t, ok)
}

func TestTokensReloadOnFileChange(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tokens.toml")
	writeFile(t, path, tokens, time.Hour)
	tk, err := OpenTokens(path)
	must.NoError(t, err)

	writeFile(t, path, "[[caller]]\nworkspace = \"shops\"\ntoken = \"another-long-token\"\n", time.Minute)
	tk.file.forceCheck()
	_, ok := tk.Workspace("another-long-token")
	must.True(t, ok)
	_, ok = tk.Workspace("0123456789abcdef-shops")
	must.False(t, ok)

	writeFile(t, path, "not toml [", time.Second)
	tk.file.forceCheck()
	_, ok = tk.Workspace("another-long-token")
	must.True(t, ok, must.Sprint("an invalid file must leave the previous tokens in use"))
}

func TestTokensFileErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tokens.toml")
	writeFile(t, path, "[[caller]]\nworkspace = \"\"\ntoken = \"short\"\n[[operator]]\nname = \"x\"\ntoken = \"short\"\n", time.Hour)
	_, err := OpenTokens(path)
	for _, want := range []string{"name is missing", "shorter", "used twice"} {
		must.ErrorContains(t, err, want)
	}
	_, err = OpenTokens(filepath.Join(t.TempDir(), "none"))
	must.Error(t, err)
}

func TestClusterKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	writeFile(t, path, "current-key-0123456789\nprevious-key-0123456789\n", time.Hour)
	k, err := OpenClusterKeys(path)
	must.NoError(t, err)
	must.Len(t, 2, k.Keys())
	must.Eq(t, "current-key-0123456789", string(k.Keys()[0]))

	writeFile(t, path, "short\n", time.Hour)
	_, err = OpenClusterKeys(path)
	must.ErrorContains(t, err, "shorter")
}
