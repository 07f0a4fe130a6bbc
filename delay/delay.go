// Package delay waits for a time or for the end of a context.
package delay

import (
	"context"
	"time"
)

// Sleep waits for d and reports whether it passed before ctx ended. With d of
// zero or less it reports whether ctx is still open.
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
