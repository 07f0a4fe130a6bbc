package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/primrosemoor/primrosemoor/clock"
	"github.com/primrosemoor/primrosemoor/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "7", "100") }

// Nodes that see few requests, restart, or all start at the same moment must not exceed the
// bound on the share of a version that may be bad.
func TestShareOfAllNodesStaysBelowTheBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 3))
		nodes, requests := rapid.IntRange(1, 300).Draw(rt, "nodes"), rapid.IntRange(1, 20000).Draw(rt, "requests")
		restart := rapid.Float64Range(0, 0.01).Draw(rt, "restarts")
		type node struct {
			sends, tries uint64
			start        float64
		}
		all := make([]node, nodes)
		for i := range all {
			all[i].start = random.Float64()
		}
		tries := 0
		for range requests {
			n := &all[random.IntN(nodes)]
			if random.Float64() < restart {
				*n = node{start: random.Float64()}
			}
			if mayTry(n.sends, n.tries, testShare, n.start) {
				n.tries++
				tries++
			}
			n.sends++
		}
		if float64(tries) > bound*float64(requests)+50 {
			rt.Fatalf("%d of %d requests", tries, requests)
		}
	})
}

func TestEachNodeKeepsToItsShare(t *testing.T) {
	is := is.New(t)
	const requests = 1000
	tries := uint64(0)
	for sends := range uint64(requests) {
		if mayTry(sends, tries, testShare, 0.5) {
			tries++
		}
	}
	is.True(tries >= 59 && tries <= 61)
}

func TestNextPhase(t *testing.T) {
	const d = time.Minute
	sound := Progress{Phase: Trial, Elapsed: 40 * time.Second, Duration: d, Evidence: Sufficient, NewTargets: 3, OldTargets: 3}
	shifted := sound
	shifted.Phase, shifted.Elapsed, shifted.InPhase = Shifting, 48*time.Second, 8*time.Second
	for _, c := range []struct {
		name string
		from Progress
		edit func(p *Progress)
		want Phase
	}{
		{"an order that nobody has taken on", sound, func(p *Progress) { p.Phase, p.Elapsed = Ordered, 0 }, Trial},
		{"a sound version after the trial", sound, nil, Shifting},
		{"a sound version before half of the time", sound, func(p *Progress) { p.Elapsed = 29 * time.Second }, Trial},
		{"a version with few responses", sound, func(p *Progress) { p.Evidence = Missing }, Trial},
		{"a version with few responses in the end", sound, func(p *Progress) { p.Evidence, p.Elapsed = Missing, 50*time.Second }, Reverted},
		{"no response on a quiet service in the end", sound, func(p *Progress) { p.Evidence, p.Elapsed = Scarce, 50*time.Second }, Shifting},
		{"no targets of the version", sound, func(p *Progress) { p.NewTargets, p.Elapsed = 0, 50*time.Second }, Reverted},
		{"a bad version under trial", sound, func(p *Progress) { p.Bad, p.Elapsed = true, time.Second }, Reverted},
		{"a version that is bad under load", shifted, func(p *Progress) { p.Bad = true }, Reverted},
		{"requests at the old targets", shifted, func(p *Progress) { p.OldRunning = 1 }, Shifting},
		{"requests at the old targets at the end", shifted, func(p *Progress) { p.OldRunning, p.Elapsed = 1, 56*time.Second }, Completed},
		{"no requests at the old targets", shifted, nil, Completed},
		{"no requests at the old targets a moment after the shift", shifted, func(p *Progress) { p.InPhase = time.Second }, Shifting},
		{"the new targets have gone", shifted, func(p *Progress) { p.NewTargets, p.Elapsed = 0, 56*time.Second }, Reverted},
		{"a bad version that has completed", shifted, func(p *Progress) { p.Phase, p.Bad = Completed, true }, Completed},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := c.from
			if c.edit != nil {
				c.edit(&p)
			}
			is.New(t).Equal(p.Next(), c.want)
		})
	}
}

// Two nodes that decide at once could complete and revert the same rollout.
func TestAnotherNodeDecidesOnceTheLeaseHasExpired(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	l := lease{holder: "n1", length: leaseOf(time.Minute), seen: now}
	is.Equal(l.length, 4800*time.Millisecond)
	is.True(l.mayDecide("n1", now))
	is.True(!l.renewDue("n1", now.Add(2*time.Second)))
	is.True(l.renewDue("n1", now.Add(2400*time.Millisecond)))
	is.True(!l.mayDecide("n2", now.Add(4800*time.Millisecond)))
	is.True(l.mayDecide("n2", now.Add(4800*time.Millisecond+1)))
	is.True(l.renewDue("n2", now.Add(5*time.Second)))
	is.True(lease{}.mayDecide("n2", now))
	for d := 10 * time.Second; d < time.Hour; d += time.Second {
		is.True(leaseOf(d)+readerDelay <= endMargin(d)) // A decider that fails in the end misses the time limit.
	}
}
