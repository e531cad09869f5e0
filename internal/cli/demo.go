package cli

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/ragwortquay/ragwortquay/internal/demo"
	"github.com/ragwortquay/ragwortquay/internal/logging"
)

type demoCommand struct {
	Logs bool `long:"logs" description:"also print the daemons' logs"`
	env  env
}

func newDemoCommand(e env) subcommand {
	return subcommand{
		name:  "demo",
		short: "Run a small system on loopback and serve one request",
		long: "Starts stand-ins of the platform, four engines and three daemons in one process, applies tables, " +
			"serves one request, prints the response, the groups and the audit trail, and exits.",
		cmd: &demoCommand{env: e},
	}
}

// Execute runs the demonstration.
func (c *demoCommand) Execute([]string) error {
	logs := io.Discard
	if c.Logs {
		logs = c.env.err
	}
	if err := logging.Setup(logs, 0); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return demo.Run(ctx, c.env.out)
}
