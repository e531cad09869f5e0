package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/admin"
	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/ids"
	"github.com/ragwortquay/ragwortquay/internal/operate"
	"github.com/ragwortquay/ragwortquay/internal/tablefile"
	"github.com/ragwortquay/ragwortquay/internal/tomlfile"
)

type applyCommand struct {
	env env
	fileFlag
	serverFlags
	Note     string        `long:"note" description:"reason, kept in the audit"`
	Prune    bool          `long:"prune" description:"drop the rows that the file lacks"`
	Wait     bool          `long:"wait" description:"wait until the edit is in force on all daemons"`
	Timeout  time.Duration `long:"timeout" default:"10s" description:"how long to wait"`
	Minority bool          `long:"minority" description:"edit through a daemon that does not see most of the others, because they are gone for good"`
	NewLog   bool          `long:"new-log" description:"open a log that was set up anew while no daemon that held the tables is left"`
}

func applyEntry(e env) entry {
	return entry{
		name:  "apply",
		short: "Apply a tables file",
		long: "Compares a tables file with the tables in force and submits the rows that differ as one edit: all of it " +
			"takes effect, or none. Rows that the file lacks stay, unless --prune is given. If another operator " +
			"changed one of the rows meanwhile, the edit is refused and the winner is named.",
		cmd: &applyCommand{env: e},
	}
}

// Execute submits the edit and prints the verdict.
func (c *applyCommand) Execute([]string) error {
	wanted, err := c.read()
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := callContext(c.Timeout)
	defer cancel()
	tables, err := client.Tables(ctx)
	if err != nil {
		return err
	}
	changes := changesFor(tables, wanted, c.Prune)
	if len(changes) == 0 {
		_, err := fmt.Fprintf(c.env.out, "nothing to change: the tables at %s are as the file says\n", tables.Position)
		return err
	}
	return c.submit(ctx, client, operate.ApplyRequest{
		RecordID: ids.New(), Note: c.Note, Changes: changes, AllowMinority: c.Minority, NewLog: c.NewLog, Wait: tomlfile.Duration(c.wait()),
	})
}

// glance is the time that is spent, without --wait, on asking the daemons.
const glance = 500 * time.Millisecond

// wait returns the time to wait for the edit to be in force.
func (c *applyCommand) wait() time.Duration {
	if c.Wait {
		return c.Timeout
	}
	return glance
}

func (c *applyCommand) submit(ctx context.Context, client *admin.Client, req operate.ApplyRequest) error {
	answer, err := client.Apply(ctx, req)
	if err != nil {
		if fault.As(err).Outcome == fault.NotRun {
			return err
		}
		return fault.Wrap(fault.KindOf(err), err, "run apply again, or look for the record in the audit", "whether edit %s was accepted is not known", req.RecordID)
	}
	if !answer.Accepted {
		return refused(answer)
	}
	printAccepted(c.env.out, answer)
	if s := answer.Propagation; c.Wait && s != nil && s.Applied < s.Daemons {
		return fault.New(fault.Timeout, "see status for these daemons", "after %s the edit is not yet in force on: %s", c.Timeout, strings.Join(s.Missing, ", "))
	}
	return nil
}

func refused(a operate.ApplyResponse) error {
	if w := a.Winner; w != nil {
		return fault.Refuse(fault.Conflict, "look at diff, then apply again", "refused at %s: %s; revision %d was written by %s at %s",
			a.Position, a.Reason, w.Revision, w.Author, w.At.UTC().Format(timeLayout))
	}
	return fault.Refuse(fault.Conflict, "correct the file", "refused at %s: %s", a.Position, a.Reason)
}

func printAccepted(out io.Writer, a operate.ApplyResponse) {
	fmt.Fprintf(out, "accepted at %s, record %s\n", a.Position, a.RecordID)
	for _, r := range a.Rows {
		if r.Revision == 0 {
			fmt.Fprintf(out, "  %s dropped\n", r.Row)
			continue
		}
		fmt.Fprintf(out, "  %s revision %d\n", r.Row, r.Revision)
	}
	if s := a.Propagation; s != nil {
		fmt.Fprintf(out, "in force on %d of %d daemons\n", s.Applied, s.Daemons)
	}
}

// changesFor returns the rows of wanted that differ from the tables, each based
// on the revision that the tables show.
func changesFor(tables operate.Tables, wanted tablefile.File, prune bool) []operate.Change {
	revisions := make(map[string]uint64)
	for _, p := range tables.Pools {
		revisions["pool/"+p.Pool.Name] = p.Stamp.Revision
	}
	for _, r := range tables.Routes {
		revisions["route/"+r.Route.Name] = r.Stamp.Revision
	}
	var out []operate.Change
	for _, d := range tablefile.Diff(tables.File(), wanted) {
		if d.Missing && !prune {
			continue
		}
		c := changeFor(d, wanted)
		c.Base = strconv.FormatUint(revisions[d.Name], 10)
		out = append(out, c)
	}
	return out
}

// changeFor turns one difference into a change. A row that the file has is in
// wanted: the difference was made from it.
func changeFor(d tablefile.RowDiff, wanted tablefile.File) operate.Change {
	if name, isPool := strings.CutPrefix(d.Name, "pool/"); isPool {
		if d.Missing {
			return operate.Change{DropPool: name}
		}
		i := slices.IndexFunc(wanted.Pools, func(p tablefile.Pool) bool { return p.Name == name })
		return operate.Change{SetPool: &wanted.Pools[i]}
	}
	name := strings.TrimPrefix(d.Name, "route/")
	if d.Missing {
		return operate.Change{DropRoute: name}
	}
	i := slices.IndexFunc(wanted.Routes, func(r tablefile.Route) bool { return r.Name == name })
	return operate.Change{SetRoute: &wanted.Routes[i]}
}
