package tablefile

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/tomlfile"
)

// Names of the tables in the file.
const (
	poolTable  = "pool"
	routeTable = "route"
)

// Parse decodes a tables file; name is used in errors. It returns all errors
// found, joined: syntax errors, unknown keys, invalid values, duplicate rows. If
// the file cannot be decoded, values and duplicates are not checked.
func Parse(name string, data []byte) (File, error) {
	var f File
	if err := tomlfile.Decode(name, data, &f); err != nil {
		return f, err
	}
	return f, f.check(name, indexLines(data))
}

func (f File) check(name string, lines lineIndex) error {
	var errs []error
	if len(f.Pools)+len(f.Routes) == 0 {
		errs = append(errs, fault.Invalid(name, "write [[pool]] and [[route]] tables", "file has no rows"))
	}
	pools := make(map[string]struct{})
	for i, p := range f.Pools {
		row := rowLocation{name: name, table: poolTable, index: i, lines: lines}
		errs = append(errs, row.locateErrors("pool."+p.Name+".", p.Row().Check())...)
		errs = append(errs, row.checkUnique(pools, p.Name))
	}
	routes := make(map[string]struct{})
	for i, r := range f.Routes {
		row := rowLocation{name: name, table: routeTable, index: i, lines: lines}
		errs = append(errs, row.locateErrors("route."+r.Name+".", r.Row().Check())...)
		errs = append(errs, row.checkUnique(routes, r.Name))
	}
	return errors.Join(errs...)
}

// rowLocation identifies a row of the file by its table and its index in it.
type rowLocation struct {
	name  string
	table string
	index int
	lines lineIndex
}

// locateErrors returns the validation errors of the row with the file name and
// line in their fields. The fields of err start with prefix, which is removed.
func (r rowLocation) locateErrors(prefix string, err error) []error {
	var out []error
	for _, e := range flattenErrors(err) {
		var invalid *fault.Error
		if !errors.As(e, &invalid) {
			out = append(out, e)
			continue
		}
		key := strings.TrimPrefix(invalid.Field, prefix)
		located := *invalid
		located.Field = r.field(key)
		out = append(out, &located)
	}
	return out
}

func (r rowLocation) field(key string) string {
	return fmt.Sprintf("%s:%d: %s.%s", r.name, r.lines.lookup(r.table, r.index, key), r.table, key)
}

func (r rowLocation) checkUnique(seen map[string]struct{}, row string) error {
	if _, dup := seen[row]; dup && row != "" {
		return fault.Invalid(r.field("name"), "use a unique name for each row", "row name %q is used twice", row)
	}
	seen[row] = struct{}{}
	return nil
}

// flattenErrors returns the errors that err joins, at any depth.
func flattenErrors(err error) []error {
	if err == nil {
		return nil
	}
	var joined interface{ Unwrap() []error }
	if _, ok := err.(*fault.Error); ok || !errors.As(err, &joined) {
		return []error{err}
	}
	var out []error
	for _, e := range joined.Unwrap() {
		out = append(out, flattenErrors(e)...)
	}
	return out
}

// lineIndex maps keys of rows, as returned by lineKey, to line numbers. An empty
// key stands for the header of the row.
type lineIndex map[string]int

func lineKey(table string, index int, key string) string {
	return fmt.Sprintf("%s/%d/%s", table, index, key)
}

// lookup returns the line of the key, or of the row's header if the row does not
// set the key.
func (l lineIndex) lookup(table string, index int, key string) int {
	if n, ok := l[lineKey(table, index, key)]; ok {
		return n
	}
	return l[lineKey(table, index, "")]
}

// indexLines returns the lines of all keys in data, which must be valid TOML.
func indexLines(data []byte) lineIndex {
	out := make(lineIndex)
	counts := make(map[string]int)
	current := ""
	var p unstable.Parser
	p.Reset(data)
	counter := newLineCounter(data)
	for p.NextExpression() {
		e := p.Expression()
		keys := e.Key()
		if !keys.Next() {
			continue
		}
		key := keys.Node()
		line := counter.lineAt(int(key.Raw.Offset))
		switch e.Kind {
		case unstable.ArrayTable:
			current = string(key.Data)
			counts[current]++
			out[lineKey(current, counts[current]-1, "")] = line
		case unstable.KeyValue:
			out[lineKey(current, counts[current]-1, string(key.Data))] = line
		default: // tables and comments contain no row keys
		}
	}
	return out
}

// lineCounter converts byte offsets to line numbers in one pass. Offsets must
// not decrease from call to call.
type lineCounter struct {
	data   []byte
	offset int
	line   int
}

func newLineCounter(data []byte) *lineCounter { return &lineCounter{data: data, line: 1} }

func (c *lineCounter) lineAt(offset int) int {
	for c.offset < offset && c.offset < len(c.data) {
		if c.data[c.offset] == '\n' {
			c.line++
		}
		c.offset++
	}
	return c.line
}
