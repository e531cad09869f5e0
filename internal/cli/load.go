package cli

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/load"
	"github.com/ragwortquay/ragwortquay/internal/load/drive"
)

type loadCommand struct {
	env         env
	Plan        string   `long:"plan" required:"yes" description:"file with the load plan"`
	Daemons     []string `long:"daemon" required:"yes" description:"host:port of a daemon's server for clients; may be given more than once"`
	Servers     []string `long:"server" description:"NAME=URL of a control server that the plan's events refer to; may be given more than once"`
	Engines     []string `long:"engines" description:"URL of a control server of stand-in engines, to sample their groups; may be given more than once"`
	Operators   []string `long:"operators" description:"URL of a daemon's operators' server, for the plan's table edits and the daemons' status; may be given more than once"`
	TokenFile   string   `long:"token-file" value-name:"FILE" env:"RAGWORTQUAY_TOKEN_FILE" description:"file that holds the operator's token"`
	AnyDaemon   bool     `long:"any-daemon" description:"also send to daemons that do not report that they are ready"`
	Out         string   `long:"out" description:"file to write the result to, as JSON"`
	Seed        *uint64  `long:"seed" description:"seed to use instead of the plan's"`
	MaxInflight int      `long:"max-inflight" description:"maximum number of requests in flight"`
}

func newLoadCommand(e env) subcommand {
	return subcommand{
		name:  "load",
		short: "Generate load from a plan and measure it",
		long: "Sends requests at the times that a plan sets, carries out the plan's events, and reports the outcomes. " +
			"The same plan and seed give the same requests. The summary goes to standard output, progress to standard error.",
		cmd: &loadCommand{env: e},
	}
}

// Execute runs the plan to its end or until SIGINT or SIGTERM.
func (c *loadCommand) Execute([]string) error {
	o, err := c.options()
	if err != nil {
		return err
	}
	d, err := drive.New(o)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	r, err := d.Run(ctx)
	if err != nil {
		return err
	}
	if err := c.writeResult(r); err != nil {
		return err
	}
	return r.WriteSummary(c.env.out)
}

func (c *loadCommand) options() (drive.Options, error) {
	p, err := load.ReadPlan(c.Plan)
	if err != nil {
		return drive.Options{}, err
	}
	if c.Seed != nil {
		p.Seed = *c.Seed
	}
	o := drive.Options{
		Plan: p, DaemonAddrs: c.Daemons, OnlyReady: !c.AnyDaemon, EngineURLs: c.Engines, Progress: c.env.err, MaxInflight: c.MaxInflight,
	}
	if len(c.Operators) > 0 {
		token, err := os.ReadFile(c.TokenFile)
		if err != nil {
			return o, fault.Wrap(fault.BadInput, err, "name a readable file that holds only the token", "read --token-file")
		}
		o.OperatorURLs, o.OperatorToken = c.Operators, strings.TrimSpace(string(token))
	}
	for _, text := range c.Servers {
		name, url, ok := strings.Cut(text, "=")
		if !ok {
			return o, fault.Invalid("server", "write NAME=http://HOST:PORT", "%q is not of the form NAME=URL", text)
		}
		o.Servers = append(o.Servers, drive.Server{Name: name, URL: url})
	}
	return o, nil
}

// writeResult writes the result to the file of --out, if there is one.
func (c *loadCommand) writeResult(r load.Result) error {
	if c.Out == "" {
		return nil
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fault.Wrap(fault.Internal, err, "report this as a bug", "encode the result")
	}
	const mode = 0o644
	if err := os.WriteFile(c.Out, append(data, '\n'), mode); err != nil {
		return fault.Wrap(fault.BadInput, err, "name a writable file with --out", "write the result")
	}
	return nil
}
