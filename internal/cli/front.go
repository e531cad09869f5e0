package cli

import (
	"context"
	"errors"
	"net"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/edge"
	"github.com/ragwortquay/ragwortquay/internal/logging"
	"github.com/ragwortquay/ragwortquay/platform"
)

// zoneCostFlag is the cost of traffic between zones.
type zoneCostFlag struct {
	ZoneCost float64 `long:"zone-cost-ms-per-mb" value-name:"MS" description:"milliseconds by which an engine in another zone must be better, for each MB of the request and its answer; 0 for none"`
}

var defaultZoneCost = zoneCostFlag{balance.DefaultZoneCost}

// frontCommand runs the daemon of package edge, which takes its settings from the
// platform. It does not use package front, the callers' HTTP server of the daemon
// that the serve command runs.
type frontCommand struct {
	MetricsPort int `long:"metrics-port" value-name:"PORT" description:"port that serves metrics; 0 serves none"`
	zoneCostFlag
	env env
}

func newFrontCommand(e env) subcommand {
	return subcommand{
		name:  "front",
		short: "Run a daemon on the platform's machines",
		long: "Runs one daemon with the settings file that the platform provides; " + platform.SettingsEnv + " names it. " +
			"SIGTERM drains it: it reports that it is not ready, finishes the requests in flight and exits.",
		cmd: &frontCommand{zoneCostFlag: defaultZoneCost, env: e},
	}
}

// Execute runs the daemon until SIGTERM or SIGINT and drains it.
func (c *frontCommand) Execute([]string) error {
	settings, err := platform.ReadSettings(platform.SettingsPath())
	if err := errors.Join(err, edge.CheckZoneCost(c.ZoneCost)); err != nil {
		return err
	}
	settings.ZoneCost = c.ZoneCost
	out := logging.NewAsyncWriter(c.env.out)
	defer out.Close()
	if err := logging.Setup(out, 0); err != nil {
		return err
	}
	if c.MetricsPort > 0 {
		settings.MetricsAddr = net.JoinHostPort(settings.IP, strconv.Itoa(c.MetricsPort))
	}
	d := edge.New(settings, platform.Connect(settings.StoreAddr))
	// SIGHUP is ignored: no setting can change while the process runs, and the
	// default action would end the process.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return d.Run(ctx)
}
