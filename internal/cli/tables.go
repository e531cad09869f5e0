package cli

import (
	"fmt"
	"io"

	"github.com/ragwortquay/ragwortquay/internal/operate"
	"github.com/ragwortquay/ragwortquay/internal/tablefile"
)

type getCommand struct {
	env env
	serverFlags
}

func newGetCommand(e env) subcommand {
	return subcommand{
		name:  "get",
		short: "Print the current tables",
		long:  "Prints both tables as a file that apply accepts, with a comment on each row's revision and author.",
		cmd:   &getCommand{env: e},
	}
}

// Execute prints the tables.
func (c *getCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := callContext(0)
	defer cancel()
	tables, err := client.Tables(ctx)
	if err != nil {
		return err
	}
	return printTables(c.env.out, tables)
}

func printTables(out io.Writer, t operate.Tables) error {
	fmt.Fprintf(out, "# Tables at position %s.\n", t.Position)
	for _, p := range t.Pools {
		if err := printRow(out, p.Stamp, tablefile.File{Pools: []tablefile.Pool{p.Pool}}); err != nil {
			return err
		}
	}
	for _, r := range t.Routes {
		if err := printRow(out, r.Stamp, tablefile.File{Routes: []tablefile.Route{r.Route}}); err != nil {
			return err
		}
	}
	return nil
}

func printRow(out io.Writer, s operate.Stamp, row tablefile.File) error {
	text, err := tablefile.Format(row)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "\n# revision %d by %s at %s, position %s\n%s", s.Revision, s.Author, s.At.UTC().Format(timeLayout), s.Position, text)
	return err
}

type diffCommand struct {
	env env
	tablesFileFlag
	serverFlags
}

func newDiffCommand(e env) subcommand {
	return subcommand{
		name:  "diff",
		short: "Compare a tables file with the current tables",
		long:  "Prints the fields that apply would change, with old and new values, and the rows that the file lacks.",
		cmd:   &diffCommand{env: e},
	}
}

// Execute prints the differences.
func (c *diffCommand) Execute([]string) error {
	desired, err := c.readTables()
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := callContext(0)
	defer cancel()
	tables, err := client.Tables(ctx)
	if err != nil {
		return err
	}
	printDiff(c.env.out, tables.Position, tablefile.Diff(tables.File(), desired))
	return nil
}

func printDiff(out io.Writer, pos string, rows []tablefile.RowDiff) {
	if len(rows) == 0 {
		fmt.Fprintf(out, "no difference from the tables at %s\n", pos)
		return
	}
	for _, r := range rows {
		if r.Missing {
			fmt.Fprintf(out, "%s is not in the file (apply --prune drops it)\n", r.Name)
			continue
		}
		fmt.Fprintln(out, r.Name)
		for _, f := range r.Fields {
			fmt.Fprintf(out, "  %s: %s -> %s\n", f.Field, orNone(f.Old), orNone(f.New))
		}
	}
}

func orNone(v string) string {
	if v == "" {
		return "(none)"
	}
	return v
}
