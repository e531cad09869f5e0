package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/soak"
)

type soakCommand struct {
	env   env
	Seed  uint64        `long:"seed" default:"1" description:"seed of the first run"`
	Runs  uint64        `long:"runs" default:"1" description:"number of runs, with consecutive seeds"`
	For   time.Duration `long:"for" default:"30s" description:"duration of fault injection in each run"`
	Dir   string        `long:"dir" description:"directory for settings and logs; a new temporary one by default"`
	Quiet bool          `long:"quiet" description:"do not print the faults"`
}

func newSoakCommand(e env) subcommand {
	return subcommand{
		name:  "soak",
		short: "Inject faults into daemons and check what clients see",
		long: "Starts daemons of this program against stand-ins of the platform, injects faults from outside by a seeded schedule, " +
			"and checks the guarantees to clients and engines. It fails if one is violated. The same seed gives the same schedule.",
		cmd: &soakCommand{env: e},
	}
}

// Execute runs the seeds one after another.
func (c *soakCommand) Execute([]string) error {
	binary, err := os.Executable()
	if err != nil {
		return fault.Wrap(fault.Internal, err, "run the program by its full path", "find the program's executable")
	}
	if c.Dir == "" {
		if c.Dir, err = os.MkdirTemp("", "soak-"); err != nil {
			return fault.Wrap(fault.Internal, err, "set --dir", "create a temporary directory")
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	violations := 0
	for seed := c.Seed; seed < c.Seed+c.Runs; seed++ {
		r, err := c.run(ctx, binary, seed)
		if err != nil {
			return err
		}
		violations += len(r.Violations)
		fmt.Fprintln(c.env.out, r.String())
	}
	if violations > 0 {
		return fault.New(fault.Internal, "read the logs in "+c.Dir, "%d violations of guarantees", violations)
	}
	return nil
}

func (c *soakCommand) run(ctx context.Context, binary string, seed uint64) (soak.Result, error) {
	dir := filepath.Join(c.Dir, fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return soak.Result{}, fault.Wrap(fault.Internal, err, "set --dir", "create directory %s", dir)
	}
	return soak.Run(ctx, soak.Options{Binary: binary, Dir: dir, Seed: seed, FaultsFor: c.For, Log: c.printFault})
}

func (c *soakCommand) printFault(format string, args ...any) {
	if !c.Quiet {
		fmt.Fprintf(c.env.out, format+"\n", args...)
	}
}
