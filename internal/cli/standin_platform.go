package cli

import (
	"time"

	"github.com/ragwortquay/ragwortquay/internal/standin/logsvc"
	"github.com/ragwortquay/ragwortquay/internal/standin/vmlist"
	"github.com/ragwortquay/ragwortquay/internal/standin/weights"
)

type standinLogCommand struct {
	env         env
	Listen      string        `long:"listen" default:"127.0.0.1:0" description:"host:port to listen on"`
	KeepRecords int           `long:"keep-records" description:"number of records kept per stream; 0 keeps all"`
	KeepFor     time.Duration `long:"keep-for" description:"time for which a record is kept; 0 keeps all"`
	AppendRate  int           `long:"append-rate" description:"maximum appends per second of all clients; 0 sets no maximum"`
}

func newStandinLogCommand(e env) subcommand {
	return subcommand{
		name:  "log",
		short: "Run the log service",
		long:  "Runs the append-only log. Faults: POST /v1/faults. Counters: GET /v1/stats.",
		cmd:   &standinLogCommand{env: e},
	}
}

// Execute serves until SIGTERM or SIGINT.
func (c *standinLogCommand) Execute([]string) error {
	s, err := logsvc.New(logsvc.Options{
		Addr: c.Listen, MaxRecords: c.KeepRecords, MaxAge: c.KeepFor, AppendsPerSecond: c.AppendRate,
	})
	if err != nil {
		return err
	}
	return serveStandin(c.env.out, s, nil)
}

type standinVMsCommand struct {
	env    env
	Listen string        `long:"listen" default:"127.0.0.1:0" description:"host:port to listen on"`
	Lag    time.Duration `long:"lag" default:"1s" description:"time until an edit is visible"`
}

func newStandinVMsCommand(e env) subcommand {
	return subcommand{
		name:  "vms",
		short: "Run the VM list",
		long:  "Runs the list of VMs. Edits: POST /v1/vms. Faults: POST /v1/faults.",
		cmd:   &standinVMsCommand{env: e},
	}
}

// Execute serves until SIGTERM or SIGINT.
func (c *standinVMsCommand) Execute([]string) error {
	s, err := vmlist.New(vmlist.Options{Addr: c.Listen, Lag: c.Lag})
	if err != nil {
		return err
	}
	return serveStandin(c.env.out, s, nil)
}

type standinWeightsCommand struct {
	env        env
	Listen     string        `long:"listen" default:"127.0.0.1:0" description:"host:port to listen on"`
	Concurrent int           `long:"concurrent" default:"4" description:"maximum number of concurrent fetches"`
	Load       time.Duration `long:"load" default:"1s" description:"duration of one fetch"`
}

func newStandinWeightsCommand(e env) subcommand {
	return subcommand{
		name:  "weights",
		short: "Run the weight store",
		long:  "Runs the rate-limited weight store. Load: GET /v1/loads. Faults: POST /v1/faults.",
		cmd:   &standinWeightsCommand{env: e},
	}
}

// Execute serves until SIGTERM or SIGINT.
func (c *standinWeightsCommand) Execute([]string) error {
	s, err := weights.New(weights.Options{Addr: c.Listen, MaxConcurrentFetches: c.Concurrent, FetchTime: c.Load})
	if err != nil {
		return err
	}
	return serveStandin(c.env.out, s, nil)
}
