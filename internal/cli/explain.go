package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

type explainCommand struct {
	Args struct {
		ID string `positional-arg-name:"ID" required:"true" description:"the request's id"`
	} `positional-args:"yes"`
	env env
}

func newExplainCommand(e env) subcommand {
	return subcommand{
		name:  "explain",
		short: "Print the decisions on one request from logs",
		long: "Reads the logs of any number of daemons from standard input, in any order, and prints the decisions on " +
			"the request with the given id, oldest first. Text before the JSON of a line is ignored.",
		cmd: &explainCommand{env: e},
	}
}

// Execute prints the decisions that it finds on standard input.
func (c *explainCommand) Execute([]string) error {
	return explain(os.Stdin, c.env.out, c.Args.ID)
}

// decision is a log line about a request.
type decision struct {
	at     time.Time
	fields map[string]any
}

// commonFields are the fields that every line has; they are not printed with the
// others.
var commonFields = []string{"time", "level", "msg", "request"}

// explain prints the log lines of in that are about the request, sorted by time
// and with the time since the first.
func explain(in io.Reader, out io.Writer, id string) error {
	decisions, err := collectDecisions(in, id)
	if err != nil {
		return err
	}
	if len(decisions) == 0 {
		return fault.New(fault.NotFound, "give the logs of all daemons; ordinary successes are sampled", "no log line about request %q", id)
	}
	slices.SortStableFunc(decisions, func(a, b decision) int { return a.at.Compare(b.at) })
	for _, d := range decisions {
		if _, err := fmt.Fprintf(out, "%8.3f s  %-16v %s\n", d.at.Sub(decisions[0].at).Seconds(), d.fields["msg"], formatFields(d.fields)); err != nil {
			return err
		}
	}
	return nil
}

// collectDecisions returns the log lines that are about the request, in the order
// of the input.
func collectDecisions(in io.Reader, id string) ([]decision, error) {
	var out []decision
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 0, 64<<10), maxLogLine)
	for lines.Scan() {
		start := strings.IndexByte(lines.Text(), '{')
		if start < 0 || !strings.Contains(lines.Text(), id) {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal([]byte(lines.Text()[start:]), &fields); err != nil || fields["request"] != id {
			continue
		}
		text, _ := fields["time"].(string)
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return nil, fault.Wrap(fault.BadInput, err, "give the daemons' logs unchanged", "log line about request %q has no valid time", id)
		}
		out = append(out, decision{at, fields})
	}
	return out, lines.Err()
}

// formatFields formats all but the common fields of a line, sorted by name.
func formatFields(fields map[string]any) string {
	var names []string
	for name := range fields {
		if !slices.Contains(commonFields, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = fmt.Sprintf("%s=%v", name, fields[name])
	}
	return strings.Join(parts, " ")
}
