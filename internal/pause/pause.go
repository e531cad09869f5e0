// Package pause provides a sleep that ends early when a context ends.
package pause

import (
	"context"
	"time"
)

// For blocks for d or until ctx ends, whichever comes first, and reports whether
// ctx is still active. A d that is not positive causes no wait.
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
