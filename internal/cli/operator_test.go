package cli

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/ragwortquay/ragwortquay/internal/admin"
	"github.com/ragwortquay/ragwortquay/internal/control"
	"github.com/ragwortquay/ragwortquay/internal/operate"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/standin/logsvc"
	"github.com/ragwortquay/ragwortquay/internal/tablefile"
	"github.com/ragwortquay/ragwortquay/internal/view"
)

const operatorToken = "0123456789abcdef-awa"

// singleOperator is an Authenticator that knows one operator.
type singleOperator struct{}

// Operator returns awa for operatorToken.
func (singleOperator) Operator(token string) (string, bool) { return "awa", token == operatorToken }

// runInBackground runs the server until the end of the test and checks that it
// then returns no error.
func runInBackground(t *testing.T, server func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server(ctx) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
}

// operatorServer starts a log stand-in and an operators' server, waits until its
// daemon may serve, and returns the flags that select the server.
func operatorServer(t *testing.T) []string {
	t.Helper()
	svc, err := logsvc.New(logsvc.Options{Addr: "127.0.0.1:0"})
	must.NoError(t, err)
	runInBackground(t, svc.Run)
	log, err := platform.NewLog(platform.Options{URL: svc.URL()})
	must.NoError(t, err)
	v := view.New()
	m := control.New(control.Options{Self: "d1", Addr: "127.0.0.1:1", Log: log, View: v, ReadInterval: 10 * time.Millisecond})
	runInBackground(t, m.Run)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := admin.New(admin.Options{
		Listener: ln, Auth: singleOperator{}, Service: operate.New(operate.Options{Self: "d1", View: v, Control: m}),
	})
	runInBackground(t, s.Run)
	joined := func() bool { _, ok := v.Daemon("d1"); return ok && m.ServingStatus().MayServe() }
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(joined), wait.Timeout(30*time.Second), wait.Gap(time.Millisecond)))

	token := filepath.Join(t.TempDir(), "token")
	must.NoError(t, os.WriteFile(token, []byte(operatorToken+"\n"), 0o600))
	return []string{"--server", "http://" + ln.Addr().String(), "--token-file", token}
}

func writeTables(t *testing.T, limit string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "tables.toml")
	text := "[[pool]]\nname = \"orders\"\nkind = \"service\"\nvms = [\"s1\"]\nlimit = " + limit + "\n"
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// runCommand runs the command line, checks its exit status and returns its output.
func runCommand(t *testing.T, status int, args ...string) string {
	t.Helper()
	var out bytes.Buffer
	must.Eq(t, status, Main(args, &out, &out), must.Sprint(out.String()))
	return out.String()
}

func TestOperatorCommands(t *testing.T) {
	server := operatorServer(t)
	with := func(args ...string) []string { return append(args, server...) }
	file := writeTables(t, "8")

	must.StrContains(t, runCommand(t, exitOK, with("diff", "-f", file)...), "limit: (none) -> 8")
	out := runCommand(t, exitOK, with("apply", "-f", file, "--wait", "--note", "open")...)
	must.StrContains(t, out, "accepted at 1/1")
	must.StrContains(t, out, "pool/orders revision 1")
	must.StrContains(t, out, "in force on 1 of 1 daemons")
	must.StrContains(t, runCommand(t, exitOK, with("apply", "-f", file)...), "nothing to change")
	must.StrContains(t, runCommand(t, exitOK, with("diff", "-f", file)...), "no difference")

	printed := runCommand(t, exitOK, with("get")...)
	must.StrContains(t, printed, "# revision 1 by awa")
	_, err := tablefile.Parse("printed", []byte(printed))
	must.NoError(t, err)

	must.StrContains(t, runCommand(t, exitOK, with("status")...), "Nothing needs attention")
	trail := runCommand(t, exitOK, with("audit", "--author", "awa")...)
	must.StrContains(t, trail, "The trail is complete")
	must.StrContains(t, trail, "pool/orders from revision 0 to 1")
	must.StrContains(t, runCommand(t, exitOK, with("audit", "--json", "--row", "daemon/d1")...), `"kind":"join"`)

	must.StrContains(t, runCommand(t, exitUsage, with("apply", "-f", writeTables(t, "0"))...), "tables.toml:5: pool.limit")
	must.StrContains(t, runCommand(t, exitUsage, with("audit", "--since", "soon")...), "--since")
	must.StrContains(t, runCommand(t, exitUsage, "status"), "--server")
}

func TestApplyConflictNamesWinner(t *testing.T) {
	server := operatorServer(t)
	flags := serverFlags{Server: server[1], TokenFile: server[3]}
	client, err := flags.client()
	must.NoError(t, err)
	var out bytes.Buffer
	c := &applyCommand{env: env{out: &out, err: &out}, serverFlags: flags}
	change := operate.Change{Base: "0", SetPool: &tablefile.Pool{Name: "p", Kind: "service", VMs: []string{"a"}, Limit: 1}}
	req := operate.ApplyRequest{Changes: []operate.Change{change}}
	must.NoError(t, c.submit(t.Context(), client, req))
	err = c.submit(t.Context(), client, req)
	must.ErrorContains(t, err, "revision 1 was written by awa")
	must.ErrorContains(t, err, "look at diff")
}
