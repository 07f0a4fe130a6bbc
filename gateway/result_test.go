package gateway

import (
	"testing"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/balance"
)

// A complete response that reports a failure is no success of its target, which would
// otherwise look idle and draw more requests.
func TestCompleteResponseTellsWhetherItsTargetFailed(t *testing.T) {
	is := is.New(t)
	for status, want := range map[int]balance.Result{
		200: balance.Answered, 404: balance.Answered, 500: balance.Failed, 502: balance.Failed, 504: balance.Abandoned,
	} {
		is.Equal(resultOf(status), want)
	}
}
