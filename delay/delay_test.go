package delay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/delay"
)

func TestSleepReturnsAfterTheDurationOrWhenTheContextIsDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(delay.Sleep(ctx, 0))
		is.True(delay.Sleep(ctx, 600*time.Millisecond))
		is.True(!delay.Sleep(ctx, 600*time.Millisecond))
		is.True(!delay.Sleep(ctx, 0))
	})
}
