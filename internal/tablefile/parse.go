package tablefile

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/tomlfile"
)

// Tables of the file.
const (
	poolTable  = "pool"
	routeTable = "route"
)

// Parse decodes the file named name and returns it with every mistake found,
// joined: wrong syntax, unknown keys, values out of range, rows named twice.
func Parse(name string, data []byte) (File, error) {
	var f File
	if err := tomlfile.Decode(name, data, &f); err != nil {
		return f, err
	}
	return f, f.check(name, findLines(data))
}

func (f File) check(name string, at lines) error {
	var errs []error
	if len(f.Pools)+len(f.Routes) == 0 {
		errs = append(errs, fault.Invalid(name, "write [[pool]] and [[route]] tables", "file holds no rows"))
	}
	pools := make(map[string]struct{})
	for i, p := range f.Pools {
		row := rowPlace{name: name, table: poolTable, index: i, at: at}
		errs = append(errs, row.place("pool."+p.Name+".", p.Row().Check())...)
		errs = append(errs, row.once(pools, p.Name))
	}
	routes := make(map[string]struct{})
	for i, r := range f.Routes {
		row := rowPlace{name: name, table: routeTable, index: i, at: at}
		errs = append(errs, row.place("route."+r.Name+".", r.Row().Check())...)
		errs = append(errs, row.once(routes, r.Name))
	}
	return errors.Join(errs...)
}

// rowPlace is where a row stands in the file.
type rowPlace struct {
	name  string
	table string
	index int
	at    lines
}

// place gives each mistake of the row its line. The field of a mistake starts
// with prefix.
func (r rowPlace) place(prefix string, err error) []error {
	var out []error
	for _, e := range flatten(err) {
		var mistake *fault.Error
		if !errors.As(e, &mistake) {
			out = append(out, e)
			continue
		}
		key := strings.TrimPrefix(mistake.Field, prefix)
		c := *mistake
		c.Field = r.field(key)
		out = append(out, &c)
	}
	return out
}

func (r rowPlace) field(key string) string {
	return fmt.Sprintf("%s:%d: %s.%s", r.name, r.at.find(r.table, r.index, key), r.table, key)
}

func (r rowPlace) once(seen map[string]struct{}, row string) error {
	if _, dup := seen[row]; dup && row != "" {
		return fault.Invalid(r.field("name"), "give each row a name of its own", "%q is named twice", row)
	}
	seen[row] = struct{}{}
	return nil
}

func flatten(err error) []error {
	if err == nil {
		return nil
	}
	var joined interface{ Unwrap() []error }
	if _, ok := err.(*fault.Error); ok || !errors.As(err, &joined) {
		return []error{err}
	}
	var out []error
	for _, e := range joined.Unwrap() {
		out = append(out, flatten(e)...)
	}
	return out
}

// lines gives the line of each key of each row.
type lines map[string]int

func lineKey(table string, index int, key string) string {
	return fmt.Sprintf("%s/%d/%s", table, index, key)
}

// find returns the line of the key, or of the row's header if the key is not
// written there.
func (l lines) find(table string, index int, key string) int {
	if n, ok := l[lineKey(table, index, key)]; ok {
		return n
	}
	return l[lineKey(table, index, "")]
}

// findLines walks the file's expressions. The file has been decoded before, so
// it is well formed.
func findLines(data []byte) lines {
	out := make(lines)
	counts := make(map[string]int)
	current := ""
	var p unstable.Parser
	p.Reset(data)
	count := newLineCounter(data)
	for p.NextExpression() {
		e := p.Expression()
		keys := e.Key()
		if !keys.Next() {
			continue
		}
		key := keys.Node()
		line := count.line(int(key.Raw.Offset))
		switch e.Kind {
		case unstable.ArrayTable:
			current = string(key.Data)
			counts[current]++
			out[lineKey(current, counts[current]-1, "")] = line
		case unstable.KeyValue:
			out[lineKey(current, counts[current]-1, string(key.Data))] = line
		default: // other expressions hold no row
		}
	}
	return out
}

// lineCounter turns growing offsets into line numbers in one pass.
type lineCounter struct {
	data []byte
	at   int
	n    int
}

func newLineCounter(data []byte) *lineCounter { return &lineCounter{data: data, n: 1} }

func (c *lineCounter) line(offset int) int {
	for c.at < offset && c.at < len(c.data) {
		if c.data[c.at] == '\n' {
			c.n++
		}
		c.at++
	}
	return c.n
}
