package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestForgivenFailuresLeaveThoseOfOtherNodes(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name                        string
		failed                      []string
		forgiven                    string
		inBackoff, onTrial, expired bool
	}{
		{"its own", []string{"a", "a", "a"}, "a", false, false, false},
		{"another one's", []string{"a"}, "b", true, true, false},
		{"both", []string{"a", "b", "a"}, "a", true, true, false},
		{"none", nil, "a", false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := health{}
			for _, node := range c.failed {
				h.recordFailure(node, now)
			}
			h.forgive(c.forgiven)
			is.Equal(h.inBackoff(now), c.inBackoff)
			is.Equal(h.onTrial(), c.onTrial)
			h.recordSuccess()
			is.True(!h.onTrial())
		})
	}
}

func TestTargetWithTheHungRequestsOfANodeWithoutLinksDoesNotStandStill(t *testing.T) {
	is := is.New(t)
	p := newTestPool(3*time.Millisecond, 3*time.Millisecond, 3*time.Millisecond)
	p.enqueue(p.work("r", 0, func(w *Work) { w.Node = "n2" }))
	p.assignNow()
	var hung *target
	for _, t := range p.targets {
		if len(t.prefilling) > 0 {
			hung = t
		}
	}
	p.now = p.now.Add(5 * time.Second)
	is.True(hung.overdue(p.now))
	hung.neverOverdue("n3")
	is.True(hung.overdue(p.now))
	hung.neverOverdue("n2")
	is.True(!hung.overdue(p.now))
}
