package limits

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/primrosemoor/primrosemoor/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "20261204", "100") }

// tolerance allows for rounding errors in sums of floating-point shares.
const tolerance = 1e-6

func TestSharesAreMaxMinFairAndSumToTheAmount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := rapid.Float64Range(0, 1000).Draw(t, "amount")
		demands := rapid.SliceOfN(rapid.Float64Range(0, 500), 1, 20).Draw(t, "demands")
		shares := maxMinShares(amount, demands)
		total := 0.0
		for i, s := range shares {
			total += s
			for j, other := range shares {
				if s < demands[i]-tolerance && other > s+tolerance {
					t.Fatalf("demand %d of %v gets only %v, while demand %d gets %v", i, demands[i], s, j, other)
				}
			}
		}
		if total > amount+tolerance || total < amount-tolerance {
			t.Fatalf("shares sum to %v instead of %v", total, amount)
		}
	})
}

func TestGrantsInForceNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 12).Draw(t, "nodes")
		limit := amounts{
			requests: rapid.Float64Range(0, 100).Draw(t, "requests"),
			tokens:   rapid.Float64Range(0, 1e5).Draw(t, "tokens"),
			inFlight: float64(rapid.IntRange(0, 40).Draw(t, "inFlight")),
		}
		a := newAllocator()
		now := time.Unix(0, 0)
		inForce := make(map[string]grant)
		for range rapid.IntRange(1, 60).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			node := fmt.Sprint(rapid.IntRange(0, nodes-1).Draw(t, "node"))
			demand := amounts{
				requests: rapid.Float64Range(0, 200).Draw(t, "demand"),
				tokens:   rapid.Float64Range(0, 2e5).Draw(t, "demandTokens"),
				inFlight: float64(rapid.IntRange(0, 60).Draw(t, "demandInFlight")),
			}
			expires := now.Add(3 * time.Second)
			if demand == (amounts{}) {
				continue
			}
			extra, ok := a.allocate(now, expires, "team", node, nodes, limit, demand)
			if !ok {
				t.Fatal("nothing was granted although no previous allocator's grants are in force")
			}
			inForce[node] = grant{extra: extra, expires: expires}
			var sum amounts
			for other, g := range inForce {
				if now.Before(g.expires) {
					sum = sum.plus(g.extra)
				} else {
					delete(inForce, other)
				}
			}
			for range nodes {
				sum = sum.plus(limit.baseShare(nodes))
			}
			if sum.requests > limit.requests+tolerance || sum.tokens > limit.tokens+tolerance || sum.inFlight > limit.inFlight+tolerance {
				t.Fatalf("shares in force sum to %+v, the limit is %+v", sum, limit)
			}
		}
	})
}

func TestNewAllocatorGrantsNothingUntilOlderGrantsExpire(t *testing.T) {
	a := newAllocator()
	now := time.Unix(0, 0)
	a.reset(now.Add(3 * time.Second))
	limit := amounts{requests: 10}
	if _, ok := a.allocate(now.Add(2*time.Second), now.Add(5*time.Second), "t", "n", 1, limit, limit); ok {
		t.Fatal("granted while grants of a previous allocator may be in force")
	}
	if _, ok := a.allocate(now.Add(3*time.Second), now.Add(6*time.Second), "t", "n", 1, limit, limit); !ok {
		t.Fatal("not granted after the older grants expired")
	}
}

func TestGrantForTokensLeavesTheOtherLimitsAtAnEvenShare(t *testing.T) {
	a := newAllocator()
	now := time.Unix(0, 0)
	limit := amounts{requests: 60, tokens: 1e5, inFlight: 60}
	extra, _ := a.allocate(now, now.Add(3*time.Second), "t", "n", 6, limit, amounts{tokens: 5000})
	if extra.inFlight < 9 || extra.requests < 9 {
		t.Fatalf("a node that demands only tokens was granted %+v", extra)
	}
}

func TestNodeStillAdmitsAfterReleasingItsGrant(t *testing.T) {
	now := time.Unix(0, 0)
	limit := amounts{inFlight: 40}
	b := newBucket(now, "t", limit, 6, nil)
	b.applyGrant(now, now.Add(3*time.Second), amounts{inFlight: 6})
	now = now.Add(time.Second)
	demand, needsReport := b.demand(now, time.Second)
	if demand != (amounts{}) || !needsReport {
		t.Fatalf("an idle node reported demand %+v, needsReport %t", demand, needsReport)
	}
	a := newAllocator()
	if _, ok := a.allocate(now, now.Add(3*time.Second), "t", "n", 6, limit, demand); ok {
		t.Fatal("a grant was made for a demand of zero")
	}
	for range 6 {
		if err := b.allow(now, 1); err != nil {
			t.Fatal(err)
		}
	}
}

func BenchmarkAllow(b *testing.B) {
	bucketOfTeam := newBucket(time.Now(), "t", amounts{1e12, 1e12, 1e12}, 1, nil)
	l := New(Options{Node: "n"})
	l.view.Store(&view{buckets: map[string]*bucket{"t": bucketOfTeam}})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if l.Allow("t", 100) == nil {
				l.ChargeOutput("t", 100)
			}
		}
	})
}
