package procs

import (
	"context"
	"os"
	"os/exec"
	"strconv"
	"sync/atomic"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

var tableFiles atomic.Int64

// RunCommand runs a command of the binary to its end and returns its output.
func (c *Cluster) RunCommand(ctx context.Context, args ...string) (string, error) {
	out, err := exec.CommandContext(ctx, c.opts.Binary, args...).CombinedOutput()
	if err != nil {
		return string(out), fault.Wrap(fault.Internal, err, "read its output", "%v: %s", args, out)
	}
	return string(out), nil
}

// RunOperatorCommand runs an operator's command against the daemon.
func (c *Cluster) RunOperatorCommand(ctx context.Context, d *Daemon, command string, args ...string) (string, error) {
	token := c.path("operator.token")
	if err := os.WriteFile(token, []byte(OperatorToken+"\n"), 0o600); err != nil {
		return "", err
	}
	full := append([]string{command, "--server", "http://" + d.OperatorsAddr, "--token-file", token}, args...)
	return c.RunCommand(ctx, full...)
}

// ApplyTables puts the tables in force and waits until they are on all daemons.
func (c *Cluster) ApplyTables(ctx context.Context, d *Daemon, tables string) (string, error) {
	file := c.path("tables-" + strconv.FormatInt(tableFiles.Add(1), 10) + ".toml")
	if err := os.WriteFile(file, []byte(tables), 0o600); err != nil {
		return "", err
	}
	return c.RunOperatorCommand(ctx, d, "apply", "-f", file, "--wait")
}
