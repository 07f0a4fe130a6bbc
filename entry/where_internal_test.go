package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/clock"
	"github.com/primrosemoor/primrosemoor/logging"
	"github.com/primrosemoor/primrosemoor/rollout"
	"github.com/primrosemoor/primrosemoor/schema"
)

// An operator who asks during a rollout must not be shown a target of the reverted version.
func TestDescribedRequestKeepsToTheVersionsOfARollout(t *testing.T) {
	is := is.New(t)
	table := catalog.NewTable(&catalog.Config{})
	now := time.Unix(1000, 0)
	rollouts := rollout.New(rollout.Options{
		Zone: "a", Process: "n", Bound: 0.1, Logger: logging.Discard(),
		Now: func() clock.Instant { return clock.Instant(now.UnixNano()) },
	})
	rollouts.UpdateTargets([]*catalog.Target{{ID: "i-1", Service: "s", Version: "v1"}, {ID: "i-2", Service: "s", Version: "v2"}})
	rollouts.Apply("other", "b", rollout.Reports{List: []rollout.Report{{
		Order: rollout.Order{Service: "s", Target: "v2", Duration: time.Minute, Revision: 5}, Phase: rollout.Reverted,
	}}})
	for _, version := range []string{"", "v2"} {
		w, err := describedWork(table, rollouts, &schema.WhereRequest{Service: "s", Version: version}, now)
		is.NoErr(err)
		is.True(w.Allows(&catalog.Target{ID: "i-1", Version: "v1"}) == (version == ""))
		is.True(!w.Allows(&catalog.Target{ID: "i-2", Version: "v2"}))
	}
	w, err := describedWork(table, nil, &schema.WhereRequest{Service: "s"}, now)
	is.NoErr(err)
	is.True(w.Allows(&catalog.Target{ID: "i-2", Version: "v2"})) // rollouts are off
}
