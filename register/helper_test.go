package register_test

import (
	"context"
	"testing"
	"time"
)

// deadline returns the test's context with a timeout.
func deadline(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}
