package dispatch

import (
	"context"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Keys decides which attempt of a keyed request may run.
type Keys interface{}

// once serves a request that must run at most once.
func (d *Dispatcher) once(_ context.Context, j *job) (*Answer, error) {
	if j.req.Key == "" {
		return nil, fault.Invalid("Idempotency-Key", "send a key that is unique to this order", "route %q runs requests at most once and needs a key", j.route.Name)
	}
	return nil, fault.Refuse(fault.Unavailable, "use an idempotent route", "keyed requests are not served yet")
}
