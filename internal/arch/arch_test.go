package arch

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	module = "github.com/ragwortquay/ragwortquay/"
	root   = "../.."
)

// pure are the packages that decide: typed state and a time in, typed actions out.
var pure = []string{
	"fault", "ids", "shard", "table", "state", "replica", "quorum", "member", "group", "limit", "retry", "once", "audit",
	"catalog", "placement", "balance",
}

// transports must not be reachable from a pure package.
var transports = []string{"net", "net/http", "github.com/valyala/fasthttp", "github.com/vmihailenco/msgpack/v5"}

// graph maps a package directory, such as internal/state, to its imports
// outside of tests.
type graph map[string]map[string]bool

func load(t *testing.T) graph {
	t.Helper()
	g := graph{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		dir, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		if g[dir] == nil {
			g[dir] = map[string]bool{}
		}
		for _, imp := range f.Imports {
			name, err := strconv.Unquote(imp.Path.Value)
			if err != nil {
				return err
			}
			g[dir][name] = true
		}
		return nil
	})
	must.NoError(t, err)
	must.True(t, len(g) > len(pure))
	return g
}

// reach returns all that the package imports, through packages of this module.
func (g graph) reach(dir string, seen map[string]bool) map[string]bool {
	for imp := range g[dir] {
		if seen[imp] {
			continue
		}
		seen[imp] = true
		if rest, ok := strings.CutPrefix(imp, module); ok {
			g.reach(rest, seen)
		}
	}
	return seen
}

func TestDecisionsImportNoTransport(t *testing.T) {
	g := load(t)
	for _, p := range pure {
		dir := "internal/" + p
		if g[dir] == nil {
			t.Fatalf("package %s does not exist; mend the list", dir)
		}
		reached := g.reach(dir, map[string]bool{})
		for _, banned := range transports {
			must.False(t, reached[banned], must.Sprintf("%s reaches %s", dir, banned))
		}
		for _, layer := range []string{"wire", "platform", "target", "peer", "front", "admin"} {
			must.False(t, reached[module+"internal/"+layer], must.Sprintf("%s reaches %s", dir, layer))
		}
	}
}

func TestOnlyWireEncodesMessages(t *testing.T) {
	for dir, imports := range load(t) {
		if imports["github.com/vmihailenco/msgpack/v5"] {
			must.Eq(t, "internal/wire", dir)
		}
	}
}

func TestMainOnlyDispatches(t *testing.T) {
	g := load(t)
	for imp := range g["cmd/ragwortquay"] {
		must.True(t, imp == "os" || imp == module+"internal/cli", must.Sprintf("main imports %s", imp))
	}
}

func TestTestDoublesStayOutOfTheDaemon(t *testing.T) {
	g := load(t)
	for dep := range g.reach("internal/daemon", map[string]bool{}) {
		for _, double := range []string{"standin", "faultproxy", "load"} {
			must.False(t, strings.HasPrefix(dep, module+"internal/"+double), must.Sprintf("daemon reaches %s", dep))
		}
	}
}

// TestOnlyThePlatformFolderKnowsItsNames looks for the platform's headers, calls
// and fields outside platform/ and the stand-ins.
func TestOnlyThePlatformFolderKnowsItsNames(t *testing.T) {
	names := []string{
		"Response-Seal", "Not-Executed", "Token-Counts", "Prompt-Prefix", "Expect-Instance", "Server-Load", "Deadline-Ms",
		"fencing_token", "close_mode", "api_keys", "cold_remaining_ms", "keyed.op", "keyed.servers", "log-read", "log-newest", "log-join",
	}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		allowed := strings.HasPrefix(path, root+"/platform/") || strings.HasPrefix(path, root+"/internal/standin/")
		if err != nil || d.IsDir() || allowed || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		src, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, name := range names {
			must.False(t, strings.Contains(string(src), name), must.Sprintf("%s names %s", path, name))
		}
		return nil
	})
	must.NoError(t, err)
}
