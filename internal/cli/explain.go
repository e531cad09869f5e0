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

// maxLogLine bounds a line of a log.
const maxLogLine = 1 << 20

type explainCommand struct {
	Args struct {
		ID string `positional-arg-name:"ID" required:"true" description:"the request's id"`
	} `positional-args:"yes"`
	env env
}

func explainEntry(e env) entry {
	return entry{
		name:  "explain",
		short: "Tell the story of one request from logs",
		long: "Reads the logs of any number of daemons from standard input, in any order, and prints what was decided about " +
			"the request with the given id, oldest first. Text before a line's JSON is passed over.",
		cmd: &explainCommand{env: e},
	}
}

// Execute reads standard input to its end.
func (c *explainCommand) Execute([]string) error {
	return explain(os.Stdin, c.env.out, c.Args.ID)
}

// decision is one line of a log about a request.
type decision struct {
	at     time.Time
	fields map[string]any
}

// hidden are the fields that every line has.
var hidden = []string{"time", "level", "msg", "request"}

func explain(in io.Reader, out io.Writer, id string) error {
	decisions, err := collect(in, id)
	if err != nil {
		return err
	}
	if len(decisions) == 0 {
		return fault.New(fault.NotFound, "give the logs of all daemons; ordinary successes are sampled", "no line about request %q", id)
	}
	slices.SortStableFunc(decisions, func(a, b decision) int { return a.at.Compare(b.at) })
	for _, d := range decisions {
		if _, err := fmt.Fprintf(out, "%8.3f s  %-16v %s\n", d.at.Sub(decisions[0].at).Seconds(), d.fields["msg"], details(d.fields)); err != nil {
			return err
		}
	}
	return nil
}

func collect(in io.Reader, id string) ([]decision, error) {
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
			return nil, fault.Wrap(fault.BadInput, err, "give logs as the daemons write them", "a line about the request has no time")
		}
		out = append(out, decision{at, fields})
	}
	return out, lines.Err()
}

// details formats a line's own fields in the order of their names.
func details(fields map[string]any) string {
	var names []string
	for name := range fields {
		if !slices.Contains(hidden, name) {
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
