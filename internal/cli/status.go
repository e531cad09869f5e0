package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/operate"
)

type statusCommand struct {
	env env
	serverFlags
	JSON bool `long:"json" description:"print JSON"`
}

func newStatusCommand(e env) subcommand {
	return subcommand{
		name:  "status",
		short: "Print the status of the system as seen by one daemon",
		long:  "Prints problems that need attention, then the daemons and the pools with their replicas.",
		cmd:   &statusCommand{env: e},
	}
}

// Execute prints the status.
func (c *statusCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := callContext(0)
	defer cancel()
	s, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		if err := json.NewEncoder(c.env.out).Encode(s); err != nil {
			return fault.Wrap(fault.Internal, err, "check the standard output", "print the status")
		}
		return nil
	}
	return printStatus(c.env.out, s)
}

func printStatus(out io.Writer, s operate.Status) error {
	fmt.Fprintf(out, "%s at %s: %s, %s\n", s.Daemon, s.At.UTC().Format(timeLayout), s.ServingStatus.Mode, s.ServingStatus.Reason)
	fmt.Fprintf(out, "position %s, digest %s, %s\n", s.Position, s.Digest, logAgeText(s))
	printProblems(out, problems(s))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printMembers(w, s.Members)
	for i := range s.Pools {
		printPool(w, &s.Pools[i])
	}
	return w.Flush()
}

func logAgeText(s operate.Status) string {
	if !s.LogEverRead {
		return "log was never read"
	}
	return "log read " + time.Duration(s.LogAge).String() + " ago"
}

func printProblems(out io.Writer, list []string) {
	if len(list) == 0 {
		fmt.Fprint(out, "\nNothing needs attention.\n")
		return
	}
	fmt.Fprintf(out, "\nNEEDS ATTENTION (%d)\n", len(list))
	for _, p := range list {
		fmt.Fprintf(out, "  ! %s\n", p)
	}
}

// problems returns the problems that need an operator's attention: those of the
// daemon itself, then those of other daemons, then those of pools.
func problems(s operate.Status) []string {
	var out []string
	if s.NotReady != "" {
		out = append(out, s.Daemon+" is not ready for requests: "+s.NotReady)
	}
	if !s.ServingStatus.Majority {
		out = append(out, s.Daemon+" does not see a majority of the joined daemons")
	}
	out = append(out, memberProblems(s)...)
	for i := range s.Pools {
		out = append(out, poolProblems(&s.Pools[i])...)
	}
	return out
}

func memberProblems(s operate.Status) []string {
	var out []string
	for _, m := range s.Members {
		switch {
		case m.Joined && !m.Live:
			out = append(out, "daemon "+m.ID+" has joined but does not answer")
		case m.Position == s.Position && m.Digest != "" && m.Digest != s.Digest:
			out = append(out, "daemon "+m.ID+" holds another state at the same position: restart the one that most others differ from")
		}
	}
	return out
}

func poolProblems(p *operate.Pool) []string {
	var out []string
	serving := 0
	for _, r := range p.Replicas {
		switch r.Status {
		case "serving":
			serving++
		case "broken":
			out = append(out, fmt.Sprintf("pool %s: replica %s is broken: %s", p.Name, r.ID, r.Reason))
		}
	}
	if len(p.Replicas) > 0 && serving == 0 {
		out = append([]string{"pool " + p.Name + " has no serving replica"}, out...)
	}
	if len(p.Withdrawn) > 0 {
		out = append(out, "pool "+p.Name+" has withdrawn failure domains: "+strings.Join(p.Withdrawn, ", "))
	}
	return out
}

func printMembers(w io.Writer, members []operate.Member) {
	fmt.Fprintln(w, "\nDAEMON\tSTATE\tDOMAIN\tPOSITION\tLOG AGE\tADDRESS")
	for _, m := range members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", m.ID, memberState(m), orDash(m.FailureDomain), orDash(m.Position), time.Duration(m.LogAge), orDash(m.Addr))
	}
}

func memberState(m operate.Member) string {
	switch {
	case m.Joined && m.Live:
		return "live"
	case m.Live:
		return "live, not joined"
	default:
		return "SILENT"
	}
}

func printPool(w io.Writer, p *operate.Pool) {
	fmt.Fprintf(w, "\nPOOL %s\t%s %s\trevision %d\t%d VMs\thome %s\t%s\n",
		p.Name, p.Kind, strings.TrimSpace(p.Model+" "+p.Version), p.Revision, p.VMs, orDash(p.Home), withdrawnText(p))
	for _, r := range p.Replicas {
		fmt.Fprintf(w, "  %s\t%s\t%s\tinflight %d\t%s\t%s\n", r.ID, r.Status, r.FailureDomain, r.Inflight, r.Leader, r.Reason)
	}
	if len(p.Replicas) == 0 {
		for _, g := range p.Groups {
			fmt.Fprintf(w, "  group-%s\tformed\t%s\t\t%s\t\n", g.FencingToken, g.At.UTC().Format(timeLayout), strings.Join(g.Members, " "))
		}
	}
	if len(p.AwaitingRelease) > 0 {
		fmt.Fprintf(w, "  awaiting release\t%s\n", strings.Join(p.AwaitingRelease, " "))
	}
}

func withdrawnText(p *operate.Pool) string {
	if len(p.Withdrawn) == 0 {
		return ""
	}
	return "withdrawn: " + strings.Join(p.Withdrawn, " ")
}

func orDash(v string) string {
	if v == "" {
		return "-"
	}
	return v
}
