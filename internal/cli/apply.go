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
	tablesFileFlag
	serverFlags
	Note     string        `long:"note" description:"reason for the edit, shown in the audit trail"`
	Prune    bool          `long:"prune" description:"drop the rows that the file lacks"`
	Wait     bool          `long:"wait" description:"wait until all daemons have applied the edit"`
	Timeout  time.Duration `long:"timeout" default:"10s" description:"time limit for --wait"`
	Minority bool          `long:"minority" description:"edit on a daemon that does not see a majority of the joined daemons, because the others are gone for good"`
	NewLog   bool          `long:"new-log" description:"open a recreated log without tables, because no daemon has them any more"`
}

func newApplyCommand(e env) subcommand {
	return subcommand{
		name:  "apply",
		short: "Apply a tables file",
		long: "Compares a tables file with the current tables and submits the rows that differ as one atomic edit. " +
			"Rows that the file lacks are kept, unless --prune is given. If another operator has changed one of the " +
			"rows in the meantime, the edit is refused with the author and revision of that change.",
		cmd: &applyCommand{env: e},
	}
}

// Execute submits the edit and prints the verdict.
func (c *applyCommand) Execute([]string) error {
	desired, err := c.readTables()
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
	changes := changesFor(tables, desired, c.Prune)
	if len(changes) == 0 {
		_, err := fmt.Fprintf(c.env.out, "nothing to change: the tables at position %s match the file\n", tables.Position)
		return err
	}
	return c.submit(ctx, client, operate.ApplyRequest{
		RecordID: ids.New(), Note: c.Note, Changes: changes, AllowMinority: c.Minority, NewLog: c.NewLog, Wait: tomlfile.Duration(c.waitTime()),
	})
}

// defaultWait is how long apply waits for the daemons to apply the edit without
// --wait, so that it can print how many have done so.
const defaultWait = 500 * time.Millisecond

// waitTime returns how long to wait until all daemons have applied the edit.
func (c *applyCommand) waitTime() time.Duration {
	if c.Wait {
		return c.Timeout
	}
	return defaultWait
}

// submit sends the edit and prints the verdict. A refused edit is an error; so is,
// with --wait, an edit that not all daemons have applied in time.
func (c *applyCommand) submit(ctx context.Context, client *admin.Client, req operate.ApplyRequest) error {
	resp, err := client.Apply(ctx, req)
	if err != nil {
		if fault.As(err).Outcome == fault.NotRun {
			return err
		}
		return fault.Wrap(fault.KindOf(err), err, "run apply again, or look for the record in the audit trail", "it is not known whether edit %s was accepted", req.RecordID)
	}
	if !resp.Accepted {
		return refusedError(resp)
	}
	printAccepted(c.env.out, resp)
	if p := resp.Propagation; c.Wait && p != nil && p.Applied < p.Daemons {
		return fault.New(fault.Timeout, "check these daemons with status", "edit not applied after %s on daemons: %s", c.Timeout, strings.Join(p.Missing, ", "))
	}
	return nil
}

func refusedError(resp operate.ApplyResponse) error {
	if w := resp.Winner; w != nil {
		return fault.Refuse(fault.Conflict, "look at diff, then apply again", "edit refused at %s: %s; revision %d was written by %s at %s",
			resp.Position, resp.Reason, w.Revision, w.Author, w.At.UTC().Format(timeLayout))
	}
	return fault.Refuse(fault.Conflict, "correct the file", "edit refused at %s: %s", resp.Position, resp.Reason)
}

func printAccepted(out io.Writer, resp operate.ApplyResponse) {
	fmt.Fprintf(out, "accepted at %s, record %s\n", resp.Position, resp.RecordID)
	for _, r := range resp.Rows {
		if r.Revision == 0 {
			fmt.Fprintf(out, "  %s dropped\n", r.Row)
			continue
		}
		fmt.Fprintf(out, "  %s revision %d\n", r.Row, r.Revision)
	}
	if p := resp.Propagation; p != nil {
		fmt.Fprintf(out, "in force on %d of %d daemons\n", p.Applied, p.Daemons)
	}
}

// changesFor returns the changes that turn the tables into desired, each based on
// the row's revision in the tables. Rows that desired lacks are dropped only if
// prune is set.
func changesFor(tables operate.Tables, desired tablefile.File, prune bool) []operate.Change {
	revisions := make(map[string]uint64)
	for _, p := range tables.Pools {
		revisions["pool/"+p.Pool.Name] = p.Stamp.Revision
	}
	for _, r := range tables.Routes {
		revisions["route/"+r.Route.Name] = r.Stamp.Revision
	}
	var out []operate.Change
	for _, d := range tablefile.Diff(tables.File(), desired) {
		if d.Missing && !prune {
			continue
		}
		c := changeFor(d, desired)
		c.Base = strconv.FormatUint(revisions[d.Name], 10)
		out = append(out, c)
	}
	return out
}

// changeFor returns the change for a difference between the tables and desired. The
// row must be in desired unless the difference is that desired lacks it.
func changeFor(d tablefile.RowDiff, desired tablefile.File) operate.Change {
	if name, isPool := strings.CutPrefix(d.Name, "pool/"); isPool {
		if d.Missing {
			return operate.Change{DropPool: name}
		}
		i := slices.IndexFunc(desired.Pools, func(p tablefile.Pool) bool { return p.Name == name })
		return operate.Change{SetPool: &desired.Pools[i]}
	}
	name := strings.TrimPrefix(d.Name, "route/")
	if d.Missing {
		return operate.Change{DropRoute: name}
	}
	i := slices.IndexFunc(desired.Routes, func(r tablefile.Route) bool { return r.Name == name })
	return operate.Change{SetRoute: &desired.Routes[i]}
}
