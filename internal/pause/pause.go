// Package pause waits for a time that a context may cut short.
package pause

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends, and reports whether ctx is still alive. It
// returns at once if d is not positive.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
