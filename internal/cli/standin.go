package cli

import (
	"context"
	"encoding/json"
	"io"
	"os/signal"
	"syscall"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/platform"
)

func newStandinCommand(e env) subcommand {
	return subcommand{
		name:  "standin",
		short: "Run a stand-in for the platform or for targets",
		long:  "Runs test doubles of the platform's services and of targets, with faults that are controlled over HTTP.",
		children: []subcommand{
			newStandinLogCommand(e), newStandinVMsCommand(e), newStandinWeightsCommand(e),
			newStandinEnginesCommand(e), newStandinServiceCommand(e), newStandinProxyCommand(e),
		},
	}
}

// standinAddress is the JSON line that a stand-in prints once its socket is bound.
type standinAddress struct {
	// Addr is the host:port of the service, or of the control server.
	Addr string        `json:"addr"`
	VMs  []platform.VM `json:"vms,omitempty"`
}

func printAddress(out io.Writer, s standinAddress) error {
	if err := json.NewEncoder(out).Encode(s); err != nil {
		return fault.Wrap(fault.Internal, err, "check the standard output", "print the stand-in's address")
	}
	return nil
}

// standinServer is a stand-in with one address.
type standinServer interface {
	Addr() string
	Run(ctx context.Context) error
}

// serveStandin prints the address of s and runs it until SIGTERM or SIGINT.
func serveStandin(out io.Writer, s standinServer, vms []platform.VM) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := printAddress(out, standinAddress{Addr: s.Addr(), VMs: vms}); err != nil {
		return err
	}
	return s.Run(ctx)
}
