package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// One caller that states an absurd length must not make the capacity of the service look so
// large that no other team is over its share.
func TestAbsurdLengthOfOneTeamLeavesTheSharesOfOthers(t *testing.T) {
	is := is.New(t)
	p := newTestPool(2 * time.Millisecond)
	p.sharing = newSharing()
	of := func(team string, output float64) *Work {
		return p.work("r", 1, func(w *Work) { w.Team, w.PromptTokens, w.EstimatedOutputTokens = team, 600, output })
	}
	p.recordGrant(of("absurd", 1e15), p.now)
	for range 500 {
		p.recordGrant(of("large", 100), p.now)
	}
	for range 200 {
		p.enqueue(of("large", 100), of("small", 100))
	}
	p.markOverShare(p.now)
	for _, w := range p.waiting {
		is.Equal(w.overShare, w.work.Team == "large")
	}
}
