package cli

import (
	"strings"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/faultproxy"
)

type standinProxyCommand struct {
	env     env
	Control string   `long:"control" default:"127.0.0.1:0" description:"host:port of the control server"`
	Links   []string `long:"link" description:"link to forward, as NAME=tcp|udp,LISTEN,TARGET; may be given more than once"`
}

func newStandinProxyCommand(e env) subcommand {
	return subcommand{
		name:  "proxy",
		short: "Run a fault-injecting TCP and UDP proxy",
		long:  "Forwards links and injects faults into them. Links: GET and POST /v1/links. Faults: POST /v1/faults.",
		cmd:   &standinProxyCommand{env: e},
	}
}

// Execute forwards the links until SIGTERM or SIGINT.
func (c *standinProxyCommand) Execute([]string) error {
	p, err := faultproxy.New(c.Control)
	if err != nil {
		return err
	}
	for _, text := range c.Links {
		o, err := parseLink(text)
		if err != nil {
			return err
		}
		if _, err := p.AddLink(o); err != nil {
			return err
		}
	}
	return serveStandin(c.env.out, p, nil)
}

// parseLink parses the value of --link.
func parseLink(text string) (faultproxy.LinkOptions, error) {
	name, rest, ok := strings.Cut(text, "=")
	parts := strings.Split(rest, ",")
	if !ok || name == "" || len(parts) != 3 {
		return faultproxy.LinkOptions{}, fault.Invalid("link", "write NAME=tcp,127.0.0.1:0,127.0.0.1:9000", "%q is not a link", text)
	}
	return faultproxy.LinkOptions{Name: name, Network: faultproxy.Network(parts[0]), Listen: parts[1], Target: parts[2]}, nil
}
