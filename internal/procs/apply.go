package procs

import (
	"context"
	"os"
	"os/exec"
	"strconv"
	"sync/atomic"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// tableFileSeq numbers the table files, so that each has a name of its own.
var tableFileSeq atomic.Int64

// RunCommand runs the binary with args until it exits and returns its standard
// output and standard error.
func (c *Cluster) RunCommand(ctx context.Context, args ...string) (string, error) {
	out, err := exec.CommandContext(ctx, c.opts.Binary, args...).CombinedOutput()
	if err != nil {
		return string(out), fault.Wrap(fault.Internal, err, "check the command's output", "command %v failed: %s", args, out)
	}
	return string(out), nil
}

// RunOperatorCommand runs an operator's command against d with the operator's token.
func (c *Cluster) RunOperatorCommand(ctx context.Context, d *Daemon, command string, args ...string) (string, error) {
	token := c.path("operator.token")
	if err := os.WriteFile(token, []byte(OperatorToken+"\n"), 0o600); err != nil {
		return "", err
	}
	full := append([]string{command, "--server", "http://" + d.OperatorsAddr, "--token-file", token}, args...)
	return c.RunCommand(ctx, full...)
}

// ApplyTables applies the tables through d and waits until all daemons have applied
// them.
func (c *Cluster) ApplyTables(ctx context.Context, d *Daemon, tables string) (string, error) {
	file := c.path("tables-" + strconv.FormatInt(tableFileSeq.Add(1), 10) + ".toml")
	if err := os.WriteFile(file, []byte(tables), 0o600); err != nil {
		return "", err
	}
	return c.RunOperatorCommand(ctx, d, "apply", "-f", file, "--wait")
}
