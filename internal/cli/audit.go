package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/audit"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/operate"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

// auditFlags select entries of the audit trail.
type auditFlags struct {
	Row    string `long:"row" value-name:"NAME" description:"only entries about a row, group, VM or daemon, such as pool/assistant or vm/a1"`
	Author string `long:"author" description:"only entries by an operator or a daemon"`
	Kind   string `long:"kind" choice:"edit" choice:"form" choice:"retire" choice:"release" choice:"join" choice:"leave" choice:"open" choice:"garbled" description:"only entries of a kind"`
	JSON   bool   `long:"json" description:"print JSON lines"`
}

func (f auditFlags) filter() audit.Filter {
	return audit.Filter{Subject: f.Row, Author: f.Author, Kind: audit.Kind(f.Kind)}
}

type auditCommand struct {
	env env
	serverFlags
	auditFlags
	Since string `long:"since" value-name:"WHEN" description:"only entries since a time such as 2026-01-02T15:04:05Z, or an age such as 2h"`
	Limit int    `long:"limit" default:"200" description:"number of newest entries to print; 0 prints all"`
}

func newAuditCommand(e env) subcommand {
	return subcommand{
		name:  "audit",
		short: "Print who changed what",
		long: "Prints the audit trail as far back as the log keeps its records: edits with their changed fields, refused " +
			"edits with the write that they conflict with, groups formed and retired, VMs released, and daemons that joined or left.",
		cmd: &auditCommand{env: e},
	}
}

// Execute prints the selected entries.
func (c *auditCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	filter := c.filter()
	filter.Limit = c.Limit
	if filter.Since, err = parseSince(c.Since, time.Now()); err != nil {
		return err
	}
	ctx, cancel := callContext(0)
	defer cancel()
	header, entries, err := client.Audit(ctx, operate.AuditRequest{Filter: filter})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSONLines(c.env.out, header, entries)
	}
	printAuditHeader(c.env.out, header)
	return printEntries(c.env.out, entries)
}

// parseSince parses a time, or an age as a duration before now. An empty text is
// the zero time.
func parseSince(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if age, err := time.ParseDuration(text); err == nil {
		return now.Add(-age), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return at, fault.Invalid("--since", "write a time such as 2026-01-02T15:04:05Z, or an age such as 2h", "%q is neither a time nor an age", text)
	}
	return at, nil
}

func printJSONLines(out io.Writer, header operate.AuditHeader, entries []audit.Entry) error {
	enc := json.NewEncoder(out)
	if err := enc.Encode(header); err != nil {
		return fault.Wrap(fault.Internal, err, "check the standard output", "print the audit trail")
	}
	for i := range entries {
		if err := enc.Encode(&entries[i]); err != nil {
			return fault.Wrap(fault.Internal, err, "check the standard output", "print the audit trail")
		}
	}
	return nil
}

func printAuditHeader(out io.Writer, h operate.AuditHeader) {
	switch {
	case h.Complete:
		fmt.Fprintf(out, "The trail is complete: it begins with the stream, at %s.\n", h.Begin)
	case h.Snapshot != "":
		fmt.Fprintf(out, "The log keeps records from %s on; what came before is in the snapshot at %s.\n", h.Begin, h.Snapshot)
	default:
		fmt.Fprintf(out, "The log keeps records from %s on, and no snapshot reaches back to it: verdicts are unknown.\n", h.Begin)
	}
}

func printEntries(out io.Writer, entries []audit.Entry) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TIME\tPOSITION\tAUTHOR\tKIND\tRESULT\tWHAT")
	for i := range entries {
		printEntry(w, &entries[i])
	}
	return w.Flush()
}

func printEntry(w io.Writer, e *audit.Entry) {
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", e.At.UTC().Format(timeLayout), e.Position, e.Author, e.Kind, e.Result, entrySummary(e))
	for _, r := range e.Rows {
		fmt.Fprintf(w, "\t\t\t\t\t  %s\n", rowLine(r))
	}
}

// entrySummary formats what the entry is about, without its rows.
func entrySummary(e *audit.Entry) string {
	var parts []string
	for _, p := range []string{e.Subject, e.Detail, e.Note, e.Reason} {
		if p != "" {
			parts = append(parts, p)
		}
	}
	if e.Winner != nil {
		parts = append(parts, fmt.Sprintf("revision %d by %s won", e.Winner.Revision, e.Winner.Author))
	}
	if e.DuplicateOf != "" {
		parts = append(parts, "repeats "+e.DuplicateOf)
	}
	return strings.Join(parts, "; ")
}

// rowLine formats the change of a row.
func rowLine(r audit.RowChange) string {
	s := fmt.Sprintf("%s from revision %d", r.Name, r.Base)
	if r.Revision > 0 {
		s += fmt.Sprintf(" to %d", r.Revision)
	}
	if r.Dropped {
		return s + ", dropped"
	}
	for _, f := range r.Fields {
		s += fmt.Sprintf(", %s: %s -> %s", f.Field, orNone(f.Old), orNone(f.New))
	}
	return s
}

type watchCommand struct {
	env env
	serverFlags
	auditFlags
}

func newWatchCommand(e env) subcommand {
	return subcommand{
		name:  "watch",
		short: "Print new entries of the audit trail",
		long:  "Prints entries of the audit trail as they are appended, until SIGTERM or SIGINT.",
		cmd:   &watchCommand{env: e},
	}
}

// longPollTimeout is how long the server holds one request open while there are no
// new entries.
const longPollTimeout = 20 * time.Second

// Execute prints new entries until SIGTERM or SIGINT.
func (c *watchCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	last, err := state.ParsePosition(status.Position)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		filter := c.filter()
		filter.After = &last
		header, entries, err := client.Audit(ctx, operate.AuditRequest{Filter: filter, Wait: longPollTimeout})
		if err != nil {
			return err
		}
		if err := c.print(entries); err != nil {
			return err
		}
		if end, err := state.ParsePosition(header.End); err == nil && last.Before(end) {
			last = end
		}
	}
	return nil
}

func (c *watchCommand) print(entries []audit.Entry) error {
	enc := json.NewEncoder(c.env.out)
	for i := range entries {
		if !c.JSON {
			printEntry(c.env.out, &entries[i])
			continue
		}
		if err := enc.Encode(&entries[i]); err != nil {
			return fault.Wrap(fault.Internal, err, "check the standard output", "print the audit trail")
		}
	}
	return nil
}
