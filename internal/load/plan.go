// Package load holds the plan of a load test, generates the requests of a plan, and
// records their outcomes. The same plan and seed give the same requests. The package
// does no network I/O; package drive sends the requests.
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

// Limits for the values of a plan.
const (
	maxRate     = 100_000.0
	minDuration = 100 * time.Millisecond
	maxDuration = 24 * time.Hour
	maxTokens   = 100_000
	maxBytes    = 1 << 20
)

// Plan describes a load test.
type Plan struct {
	Name string `toml:"name"`
	Seed uint64 `toml:"seed"`
	// Duration is the time during which requests are sent.
	Duration tomlfile.Duration `toml:"duration"`
	// Warmup is the first part of Duration: its requests are sent but not counted.
	Warmup     tomlfile.Duration `toml:"warmup"`
	Workspaces []Workspace       `toml:"workspace"`
	Kinds      []Kind            `toml:"kind"`
	Events     []Event           `toml:"event"`
	Groups     GroupCriteria     `toml:"groups"`
}

// Workspace is a workspace whose callers send requests.
type Workspace struct {
	Name  string `toml:"name"`
	Token string `toml:"token"`
	// Weight is the workspace's share of the requests, relative to the other weights.
	Weight float64 `toml:"weight"`
}

// Form is the protocol form of a request.
type Form string

// The forms of requests.
const (
	// Generate requests tokens from an engine and gets a stream.
	Generate Form = "generate"
	// Call is a plain request to a service.
	Call Form = "call"
)

// Kind describes one kind of request of a plan.
type Kind struct {
	// Name labels the results. Kind is the request kind that the caller sends; it
	// defaults to Name.
	Name string `toml:"name"`
	Kind string `toml:"kind"`
	Form Form   `toml:"form"`
	// Path is the URL path of a call. Generate requests have a fixed path.
	Path string `toml:"path"`
	// Workspaces lists the workspaces that send this kind; empty means all.
	Workspaces []string `toml:"workspaces"`
	// Rate is the mean number of arrivals per second.
	Rate float64 `toml:"rate"`
	// From and Until bound the time of the arrivals; an Until of 0 means the end of the
	// plan.
	From  tomlfile.Duration `toml:"from"`
	Until tomlfile.Duration `toml:"until"`
	// InTimeLimit is the time within which a complete response counts as in time; it
	// defaults to Timeout.
	InTimeLimit tomlfile.Duration `toml:"in_time"`
	// FirstTokenLimit is the time within which a first token counts as in time; 0 means
	// none does.
	FirstTokenLimit tomlfile.Duration `toml:"first_token"`
	// Timeout is the time after which the caller gives up.
	Timeout tomlfile.Duration `toml:"timeout"`
	// KeyedRatio is the ratio of requests that carry an idempotency key.
	KeyedRatio float64 `toml:"keyed"`
	// ResendRatio is the ratio of keyed requests that the caller sends again with the
	// same key, ResendAfter later.
	ResendRatio float64           `toml:"resend"`
	ResendAfter tomlfile.Duration `toml:"resend_after"`
	// Prefixes is the number of distinct prompt prefixes of each workspace.
	Prefixes    int `toml:"prefixes"`
	PrefixBytes int `toml:"prefix_bytes"`
	BodyBytes   int `toml:"body_bytes"`
	// MinTokens and MaxTokens bound the number of tokens that a generate request asks
	// for.
	MinTokens int `toml:"min_tokens"`
	MaxTokens int `toml:"max_tokens"`
	// Unchecked disables the comparison of complete responses with the content that the
	// stand-ins derive from the request.
	Unchecked bool `toml:"unchecked"`
}

// Event is an edit by an operator if it names pools. Otherwise it injects a fault by
// one HTTP request.
type Event struct {
	At   tomlfile.Duration `toml:"at"`
	Name string            `toml:"name"`
	// Pools are the pools whose withdrawn failure domains are set to Withdrawn, in one
	// edit.
	Pools     []string `toml:"pools"`
	Withdrawn []string `toml:"withdrawn"`
	// Server is the name of a server given on the command line. The request is a POST
	// of Body to Path.
	Server string `toml:"server"`
	Path   string `toml:"path"`
	Body   string `toml:"body"`
}

// IsEdit reports whether the event is an edit by an operator.
func (e Event) IsEdit() bool { return len(e.Pools) > 0 }

// GroupCriteria define complete groups for the measurement of downtime.
type GroupCriteria struct {
	Size int `toml:"size"`
	// Expected is the number of groups that should serve; 0 means the largest number
	// that a sample showed.
	Expected int `toml:"expected"`
}

// ReadPlan reads and validates a plan file.
func ReadPlan(path string) (Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, fault.Wrap(fault.BadInput, err, "name a readable plan file", "read plan file %s", path)
	}
	return ParsePlan(path, data)
}

// ParsePlan parses and validates a plan. The name is used in error messages.
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
		checkNotEmpty("name", p.Name),
		checkDuration("duration", p.Duration, minDuration, maxDuration),
		checkDuration("warmup", p.Warmup, 0, time.Duration(p.Duration)),
		checkListNotEmpty("workspace", len(p.Workspaces)),
		checkListNotEmpty("kind", len(p.Kinds)),
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
	return errors.Join(checkNotEmpty(at+".name", w.Name), checkNotEmpty(at+".token", w.Token), checkRange(at+".weight", w.Weight, 0, maxRate))
}

func (k Kind) check(at string, p Plan) error {
	errs := []error{
		checkNotEmpty(at+".name", k.Name),
		checkNotEmpty(at+".path", k.Path),
		checkRange(at+".rate", k.Rate, 0, maxRate),
		checkRange(at+".keyed", k.KeyedRatio, 0, 1),
		checkRange(at+".resend", k.ResendRatio, 0, 1),
		checkRange(at+".prefixes", float64(k.Prefixes), 0, maxBytes),
		checkRange(at+".prefix_bytes", float64(k.PrefixBytes), 0, maxBytes),
		checkRange(at+".body_bytes", float64(k.BodyBytes), 0, maxBytes),
		checkDuration(at+".from", k.From, 0, time.Duration(p.Duration)),
		checkDuration(at+".until", k.Until, 0, time.Duration(p.Duration)),
		checkDuration(at+".timeout", k.Timeout, time.Millisecond, maxDuration),
	}
	if k.Form != Generate && k.Form != Call {
		errs = append(errs, fault.Invalid(at+".form", "use generate or call", "%q is not a form of request", k.Form))
	}
	if k.Form == Generate && (k.MinTokens < 1 || k.MaxTokens < k.MinTokens || k.MaxTokens > maxTokens) {
		errs = append(errs, fault.Invalid(at+".max_tokens", "set 1 <= min_tokens <= max_tokens", "min_tokens %d and max_tokens %d are not a valid range", k.MinTokens, k.MaxTokens))
	}
	for _, name := range k.Workspaces {
		if !slices.ContainsFunc(p.Workspaces, func(w Workspace) bool { return w.Name == name }) {
			errs = append(errs, fault.Invalid(at+".workspaces", "name a workspace of the plan", "workspace %q is not in the plan", name))
		}
	}
	return errors.Join(errs...)
}

func (e Event) check(at string, end time.Duration) error {
	errs := []error{checkNotEmpty(at+".name", e.Name), checkDuration(at+".at", e.At, 0, end)}
	if !e.IsEdit() {
		errs = append(errs, checkNotEmpty(at+".server", e.Server), checkNotEmpty(at+".path", e.Path))
	}
	return errors.Join(errs...)
}

func checkNotEmpty(field, v string) error {
	if v == "" {
		return fault.Invalid(field, "set it", "value is missing")
	}
	return nil
}

func checkListNotEmpty(field string, n int) error {
	if n == 0 {
		return fault.Invalid(field, "give at least one", "the plan has none")
	}
	return nil
}

func checkRange(field string, v, low, high float64) error {
	if !(v >= low && v <= high) {
		return fault.Invalid(field, fmt.Sprintf("use a number from %g to %g", low, high), "%g is out of range", v)
	}
	return nil
}

func checkDuration(field string, d tomlfile.Duration, low, high time.Duration) error {
	if v := time.Duration(d); v < low || v > high {
		return fault.Invalid(field, fmt.Sprintf("use a duration from %s to %s", low, high), "%s is out of range", v)
	}
	return nil
}
