package datastore

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/logging"
)

// A connection to the store that falls silent is given up well before the node must know
// again what the store shows, at each size of a deployment.
func TestWatchesOfTheNodeThatReadsAreGivenUpInTime(t *testing.T) {
	const (
		contactTime = 4 * time.Second
		drain       = 2500 * time.Millisecond
		// newCall is the time for the pause after the call that failed, and for the next one.
		newCall = initialRetry + recoveryWait + 200*time.Millisecond
	)
	for _, nodes := range []int{6, 12, 60, 295} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			is := is.New(t)
			m := NewManager(Options{
				Drain: drain, Logger: logging.Discard(), Nodes: func() int { return nodes },
				ReadsForAll: func() bool { return true }, OwnsZone: func() bool { return true },
			})
			for _, wait := range []time.Duration{m.configWatchWait(), m.targetsWatchWait()} {
				is.True(wait+callSlack+newCall < contactTime)
			}
		})
	}
}
