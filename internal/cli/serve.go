package cli

import (
	"context"
	"encoding/json"
	"os/signal"
	"syscall"

	"github.com/ragwortquay/ragwortquay/internal/config"
	"github.com/ragwortquay/ragwortquay/internal/daemon"
	"github.com/ragwortquay/ragwortquay/internal/logging"
)

type serveCommand struct {
	Config string `short:"c" long:"config" value-name:"FILE" required:"true" description:"settings file (TOML)"`
	env    env
}

// addresses is the JSON line that serve prints once the daemon's sockets are bound.
type addresses struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

func newServeCommand(e env) subcommand {
	return subcommand{
		name:  "serve",
		short: "Run a daemon",
		long: "Runs one daemon with the given settings. SIGTERM or SIGINT drains it: it reports to the load balancer that " +
			"it is not ready, finishes the requests in flight, hands over its state and exits.",
		cmd: &serveCommand{env: e},
	}
}

// Execute runs the daemon until SIGTERM or SIGINT and drains it.
func (c *serveCommand) Execute([]string) error {
	settings, err := config.Read(c.Config)
	if err != nil {
		return err
	}
	if err := logging.Setup(c.env.err, settings.Log.Verbosity); err != nil {
		return err
	}
	d, err := daemon.New(settings)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(c.env.out).Encode(addresses{d.CallersAddr(), d.OperatorsAddr(), d.PeersAddr()}); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return d.Run(ctx)
}
