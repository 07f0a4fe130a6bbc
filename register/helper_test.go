package register_test

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// deadline returns the test's context with a timeout.
func deadline(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// sleep waits for d and reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func sizeOf(m proto.Message) int { return proto.Size(m) }
