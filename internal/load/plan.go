// Package load is the pure core of the load tool: the plan, the requests that
// follow from it, and the record of what became of them. The same plan and seed
// give the same requests. It sends nothing; package drive does.
package load

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/tomlfile"
)

// Bounds of a plan.
const (
	maxRate     = 100_000.0
	minDuration = 100 * time.Millisecond
	maxDuration = 24 * time.Hour
	maxTokens   = 100_000
	maxBytes    = 1 << 20
)

// Plan is one experiment.
type Plan struct {
	Name string `toml:"name"`
	Seed uint64 `toml:"seed"`
	// Duration is the time during which requests arrive.
	Duration tomlfile.Duration `toml:"duration"`
	// Warmup is its first part, which is sent but not counted.
	Warmup     tomlfile.Duration `toml:"warmup"`
	Workspaces []Workspace       `toml:"workspace"`
	Kinds      []Kind            `toml:"kind"`
	Events     []Event           `toml:"event"`
	Groups     GroupCriteria            `toml:"groups"`
}

// Workspace is one customer's callers.
type Workspace struct {
	Name  string `toml:"name"`
	Token string `toml:"token"`
	// Weight is its share of the requests.
	Weight float64 `toml:"weight"`
}

// Form is how a kind of request looks.
type Form string

// The forms.
const (
	// Generate asks for tokens and gets a stream.
	Generate Form = "generate"
	// Call asks a plain service.
	Call Form = "call"
)

// Kind is one sort of request.
type Kind struct {
	// Name labels the results; Kind is what the caller names, Name if empty.
	Name string `toml:"name"`
	Kind string `toml:"kind"`
	Form Form   `toml:"form"`
	// Path is used by calls.
	Path string `toml:"path"`
	// Workspaces limits the kind to some; all if empty.
	Workspaces []string `toml:"workspaces"`
	// Rate is the mean number of arrivals per second.
	Rate float64 `toml:"rate"`
	// From and Until bound its arrivals; an Until of zero is the plan's end.
	From  tomlfile.Duration `toml:"from"`
	Until tomlfile.Duration `toml:"until"`
	// InTimeLimit is the time within which the whole answer counts as in time.
	InTimeLimit tomlfile.Duration `toml:"in_time"`
	// FirstTokenLimit is the bound for the first token; zero is none.
	FirstTokenLimit tomlfile.Duration `toml:"first_token"`
	// Timeout is the time after which the caller gives up.
	Timeout tomlfile.Duration `toml:"timeout"`
	// KeyedRatio is the share of requests that carry an idempotency key.
	KeyedRatio float64 `toml:"keyed"`
	// ResendRatio is the share of keyed requests that the caller sends again, with
	// the same key, ResendAfter later.
	ResendRatio      float64           `toml:"resend"`
	ResendAfter tomlfile.Duration `toml:"resend_after"`
	// Prefixes is the number of prompt prefixes that a workspace uses.
	Prefixes    int `toml:"prefixes"`
	PrefixBytes int `toml:"prefix_bytes"`
	BodyBytes   int `toml:"body_bytes"`
	// MinTokens and MaxTokens bound the length of an answer.
	MinTokens int `toml:"min_tokens"`
	MaxTokens int `toml:"max_tokens"`
	// Unchecked answers are not compared with what the stand-ins answer.
	Unchecked bool `toml:"unchecked"`
}

// Event is an operator's move, if it names pools, or else a fault: one HTTP
// request.
type Event struct {
	At   tomlfile.Duration `toml:"at"`
	Name string            `toml:"name"`
	// Pools are those whose withdrawn failure domains become Withdrawn, in one edit.
	Pools     []string `toml:"pools"`
	Withdrawn []string `toml:"withdrawn"`
	// Server names one of the servers given on the command line; the request is
	// a POST of Body to Path.
	Server string `toml:"server"`
	Path   string `toml:"path"`
	Body   string `toml:"body"`
}

// IsEdit reports whether the event is an operator's move.
func (e Event) IsEdit() bool { return len(e.Pools) > 0 }

// GroupCriteria say what counts as a complete group when downtime is measured.
type GroupCriteria struct {
	Size int `toml:"size"`
	// Expected is the number of groups that should serve; 0 takes the most seen.
	Expected int `toml:"expected"`
}

// ReadPlan reads and checks the plan in a file.
func ReadPlan(path string) (Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, fault.Wrap(fault.BadInput, err, "name a readable plan", "read the plan")
	}
	return ParsePlan(path, data)
}

// ParsePlan reads and checks a plan.
func ParsePlan(name string, data []byte) (Plan, error) {
	var p Plan
	if err := tomlfile.Decode(name, data, &p); err != nil {
		return Plan{}, err
	}
	for i := range p.Kinds {
		p.Kinds[i].setDefaults()
	}
	return p, p.check()
}

func (k *Kind) setDefaults() {
	if k.Kind == "" {
		k.Kind = k.Name
	}
	if k.Form == "" {
		k.Form = Generate
	}
	if k.Form == Generate {
		k.Path = "/v1/generate"
	}
	if k.Timeout == 0 {
		k.Timeout = tomlfile.Duration(30 * time.Second)
	}
	if k.InTimeLimit == 0 {
		k.InTimeLimit = k.Timeout
	}
}

func (p Plan) check() error {
	errs := []error{
		checkName("name", p.Name),
		checkSpan("duration", p.Duration, minDuration, maxDuration),
		checkSpan("warmup", p.Warmup, 0, time.Duration(p.Duration)),
		checkCount("workspace", len(p.Workspaces)),
		checkCount("kind", len(p.Kinds)),
	}
	for i, w := range p.Workspaces {
		errs = append(errs, w.check(fmt.Sprintf("workspace[%d]", i)))
	}
	for i, k := range p.Kinds {
		errs = append(errs, k.check(fmt.Sprintf("kind[%d]", i), p))
	}
	for i, e := range p.Events {
		errs = append(errs, e.check(fmt.Sprintf("event[%d]", i), time.Duration(p.Duration)))
	}
	return errors.Join(errs...)
}

func (w Workspace) check(at string) error {
	return errors.Join(checkName(at+".name", w.Name), checkName(at+".token", w.Token), checkNumber(at+".weight", w.Weight, 0, maxRate))
}

func (k Kind) check(at string, p Plan) error {
	errs := []error{
		checkName(at+".name", k.Name),
		checkName(at+".path", k.Path),
		checkNumber(at+".rate", k.Rate, 0, maxRate),
		checkNumber(at+".keyed", k.KeyedRatio, 0, 1),
		checkNumber(at+".resend", k.ResendRatio, 0, 1),
		checkNumber(at+".prefixes", float64(k.Prefixes), 0, maxBytes),
		checkNumber(at+".prefix_bytes", float64(k.PrefixBytes), 0, maxBytes),
		checkNumber(at+".body_bytes", float64(k.BodyBytes), 0, maxBytes),
		checkSpan(at+".from", k.From, 0, time.Duration(p.Duration)),
		checkSpan(at+".until", k.Until, 0, time.Duration(p.Duration)),
		checkSpan(at+".timeout", k.Timeout, time.Millisecond, maxDuration),
	}
	if k.Form != Generate && k.Form != Call {
		errs = append(errs, fault.Invalid(at+".form", "use generate or call", "%q is no form", k.Form))
	}
	if k.Form == Generate && (k.MinTokens < 1 || k.MaxTokens < k.MinTokens || k.MaxTokens > maxTokens) {
		errs = append(errs, fault.Invalid(at+".max_tokens", "set 1 <= min_tokens <= max_tokens", "%d to %d tokens", k.MinTokens, k.MaxTokens))
	}
	for _, name := range k.Workspaces {
		if !slices.ContainsFunc(p.Workspaces, func(w Workspace) bool { return w.Name == name }) {
			errs = append(errs, fault.Invalid(at+".workspaces", "name a workspace of the plan", "%q is not in the plan", name))
		}
	}
	return errors.Join(errs...)
}

func (e Event) check(at string, end time.Duration) error {
	errs := []error{checkName(at+".name", e.Name), checkSpan(at+".at", e.At, 0, end)}
	if !e.IsEdit() {
		errs = append(errs, checkName(at+".server", e.Server), checkName(at+".path", e.Path))
	}
	return errors.Join(errs...)
}

func checkName(field, v string) error {
	if v == "" {
		return fault.Invalid(field, "set it", "value is missing")
	}
	return nil
}

func checkCount(field string, n int) error {
	if n == 0 {
		return fault.Invalid(field, "give at least one", "none in the plan")
	}
	return nil
}

func checkNumber(field string, v, low, high float64) error {
	if !(v >= low && v <= high) {
		return fault.Invalid(field, fmt.Sprintf("use a number from %g to %g", low, high), "%g is out of range", v)
	}
	return nil
}

func checkSpan(field string, d tomlfile.Duration, low, high time.Duration) error {
	if v := time.Duration(d); v < low || v > high {
		return fault.Invalid(field, fmt.Sprintf("use a duration from %s to %s", low, high), "%s is out of range", v)
	}
	return nil
}
