// Package delay provides a sleep that ends early when a context is done.
package delay

import (
	"context"
	"time"
)

// Sleep waits for d, or until ctx is done, and reports whether d passed first. If d
// is zero or less, it does not wait and reports whether ctx is not done yet.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
