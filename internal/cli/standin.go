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

func standinEntry(e env) entry {
	return entry{
		name:  "standin",
		short: "Run a stand-in for the platform or for targets",
		long:  "Runs test doubles of the platform's services and of targets, with faults that are switched over HTTP.",
		children: []entry{
			standinLogEntry(e), standinVMsEntry(e), standinWeightsEntry(e),
			standinEnginesEntry(e), standinServiceEntry(e), standinProxyEntry(e),
		},
	}
}

// started is the one line that a stand-in prints once it serves.
type started struct {
	// Addr is the host:port of the service, or of the control server.
	Addr string        `json:"addr"`
	VMs  []platform.VM `json:"vms,omitempty"`
}

func announce(out io.Writer, s started) error {
	if err := json.NewEncoder(out).Encode(s); err != nil {
		return fault.Wrap(fault.Internal, err, "check the standard output", "print the address")
	}
	return nil
}

// standin is a server with one address.
type standin interface {
	Addr() string
	Run(ctx context.Context) error
}

// serveStandin announces s and runs it until SIGTERM or SIGINT.
func serveStandin(out io.Writer, s standin, vms []platform.VM) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := announce(out, started{Addr: s.Addr(), VMs: vms}); err != nil {
		return err
	}
	return s.Run(ctx)
}
