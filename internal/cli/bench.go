package cli

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/ragwortquay/ragwortquay/internal/bench"
	"github.com/ragwortquay/ragwortquay/internal/fault"
)

type benchCommand struct {
	env  env
	Runs int    `long:"runs" default:"3" description:"number of runs"`
	Seed uint64 `long:"seed" default:"1" description:"seed of the first run; each further run adds 1"`
	Keep bool   `long:"keep" description:"keep the temporary directory with the processes' logs"`
	Args struct {
		Name string `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
}

func newBenchCommand(e env) subcommand {
	var names []string
	for _, x := range bench.Experiments() {
		names = append(names, x.Name+" ("+x.Summary+")")
	}
	return subcommand{
		name:  "bench",
		short: "Run an experiment of docs/MEASUREMENTS.md",
		long: "Starts daemons and stand-ins of this program on loopback and measures them. Prints one JSON line per run, " +
			"then minimum, median and maximum. NAME is one of: " + strings.Join(names, ", ") + ".",
		cmd: &benchCommand{env: e},
	}
}

// Execute runs the experiment; SIGINT or SIGTERM ends it early.
func (c *benchCommand) Execute([]string) error {
	e, err := bench.Find(c.Args.Name)
	if err != nil {
		return err
	}
	if c.Runs < 1 {
		return fault.Invalid("runs", "give at least 1", "number of runs is %d", c.Runs)
	}
	self, err := os.Executable()
	if err != nil {
		return fault.Wrap(fault.Internal, err, "run the program by its path", "find the program's executable")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return e.Run(ctx, bench.Options{Binary: self, Runs: c.Runs, Seed: c.Seed, KeepFiles: c.Keep, Out: c.env.out})
}
