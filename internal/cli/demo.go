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
	Logs bool `long:"logs" description:"show the daemons' logs as well"`
	env  env
}

func demoEntry(e env) entry {
	return entry{
		name:  "demo",
		short: "Run a whole small system on loopback and serve one request",
		long: "Starts the platform's stand-ins, four engines and three daemons in one process, applies tables, " +
			"serves a real request through the front door, shows the answer, the groups and the audit record, and ends.",
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
