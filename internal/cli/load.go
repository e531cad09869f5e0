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
	env       env
	Plan      string   `long:"plan" required:"yes" description:"file with the plan"`
	Daemons   []string `long:"daemon" required:"yes" description:"host:port of a front door; may be given more than once"`
	Servers   []string `long:"server" description:"NAME=URL that the plan's events refer to; may be given more than once"`
	Engines   []string `long:"engines" description:"URL of a control server of stand-in engines, to measure groups; may be given more than once"`
	Operators []string `long:"operators" description:"URL of a daemon's operators' server, for the plan's moves and the daemons' status; may be given more than once"`
	TokenFile string   `long:"token-file" value-name:"FILE" env:"RAGWORTQUAY_TOKEN_FILE" description:"file that holds the operator's token"`
	Any       bool     `long:"any-daemon" description:"send also to daemons that do not answer that they are ready"`
	Out       string   `long:"out" description:"file for the result as JSON"`
	Seed      *uint64  `long:"seed" description:"replaces the plan's seed"`
	Max       int      `long:"max-inflight" description:"bound of the requests under way"`
}

func loadEntry(e env) entry {
	return entry{
		name:  "load",
		short: "Send load by a plan and measure",
		long: "Sends requests at the times that a plan asks for, carries out its events, and reports what became of them. " +
			"The same plan and seed give the same requests. The summary goes to the standard output, progress to the standard error.",
		cmd: &loadCommand{env: e},
	}
}

// Execute runs the plan; SIGINT or SIGTERM ends it early.
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
	if err := c.store(r); err != nil {
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
		Plan: p, DaemonAddrs: c.Daemons, OnlyReady: !c.Any, EngineURLs: c.Engines, Progress: c.env.err, MaxInflight: c.Max,
	}
	if len(c.Operators) > 0 {
		token, err := os.ReadFile(c.TokenFile)
		if err != nil {
			return o, fault.Wrap(fault.BadInput, err, "name a readable file that holds the token alone", "--token-file")
		}
		o.OperatorURLs, o.OperatorToken = c.Operators, strings.TrimSpace(string(token))
	}
	for _, text := range c.Servers {
		name, url, ok := strings.Cut(text, "=")
		if !ok {
			return o, fault.Invalid("server", "write NAME=http://HOST:PORT", "%q is no server", text)
		}
		o.Servers = append(o.Servers, drive.Server{Name: name, URL: url})
	}
	return o, nil
}

func (c *loadCommand) store(r load.Result) error {
	if c.Out == "" {
		return nil
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fault.Wrap(fault.Internal, err, "report this", "encode the result")
	}
	const mode = 0o644
	if err := os.WriteFile(c.Out, append(data, '\n'), mode); err != nil {
		return fault.Wrap(fault.BadInput, err, "name a file that can be written", "store the result")
	}
	return nil
}
