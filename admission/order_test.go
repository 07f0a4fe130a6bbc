package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/primrosemoor/primrosemoor/internal/rapidtest"
)

const (
	historySteps = 60
	// mutantSeeds is the number of histories in which the mutant must violate
	// the order at least once.
	mutantSeeds = 200
)

func TestMain(m *testing.M) { rapidtest.Main(m, "20260102", "1000") }

// runHistory simulates a random interleaving of requests, returns, pauses and
// network partitions.
func runHistory(t *rapid.T, mutate func(*Owner)) *simulation {
	sim := newSimulation(t, rapid.IntRange(2, 4).Draw(t, "owners"), mutate)
	for range historySteps {
		o := sim.owners[rapid.IntRange(0, len(sim.owners)-1).Draw(t, "owner")]
		switch rapid.IntRange(0, 15).Draw(t, "step") {
		default:
			sim.enqueueBurst(o)
		case 5, 6, 7:
			sim.returnPermit(o)
		case 8, 9, 10, 11:
			sim.advance(drawDuration(t, "step", 300*time.Millisecond))
		case 12:
			sim.advance(drawDuration(t, "jump", 8*time.Second))
		case 13:
			o.pausedUntil = later(o.pausedUntil, sim.now.Add(drawDuration(t, "pause", 9*time.Second)))
		case 14:
			o.partitionedUntil = sim.now.Add(drawDuration(t, "cut", 9*time.Second))
		}
	}
	sim.drain()
	return sim
}

// enqueueBurst sends several permit requests of one rank to an owner.
func (sim *simulation) enqueueBurst(o *testOwner) {
	rank := rapid.IntRange(0, simulatedTiers-1).Draw(sim.t, "rank")
	deadline := rapid.SampledFrom([]time.Duration{time.Minute, time.Second}).Draw(sim.t, "deadline")
	for range rapid.IntRange(1, 4).Draw(sim.t, "count") {
		sim.enqueue(o, uint32(rank), deadline)
	}
}

func drawDuration(t *rapid.T, label string, most time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(1, int(most/time.Millisecond)).Draw(t, label)) * time.Millisecond
}

// drain advances time and returns permits, so that every owner can serve the
// requests that are left.
func (sim *simulation) drain() {
	for range 30 {
		sim.advance(300 * time.Millisecond)
		for _, o := range sim.owners {
			sim.returnPermit(o)
		}
	}
}

// After a request is shed, no less important request that waited at the same
// time may be dispatched by any owner.
func TestNoLowerTierIsDispatchedAfterAHigherWasShed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runHistory(t, func(*Owner) {})
	})
}

// Checks that the simulation detects an owner that sheds without waiting for
// the acknowledgements of its siblings, and that the histories shed requests of
// every rank.
func TestOrderCheckDetectsSkippedAcknowledgement(t *testing.T) {
	detected := 0
	var shed [MaxRanks]uint64
	for seed := range mutantSeeds {
		if violated, _ := violatesOrder(seed, func(o *Owner) { o.skipAck = true }); violated {
			detected++
		}
		violated, sim := violatesOrder(seed, func(*Owner) {})
		if violated {
			t.Fatalf("seed %d violates the order without the mutant", seed)
		}
		for _, o := range sim.owners {
			for rank, n := range o.Counts().Shed {
				shed[rank] += n
			}
		}
	}
	if detected == 0 {
		t.Fatal("no history detects the skipped acknowledgement")
	}
	for rank := range simulatedTiers {
		if shed[rank] == 0 {
			t.Fatalf("no history sheds rank %d", rank)
		}
	}
	t.Logf("mutant detected in %d of %d histories; sheds by rank %v", detected, mutantSeeds, shed[:simulatedTiers])
}

// violatesOrder reports whether a seeded history fails, and returns its final
// state.
func violatesOrder(seed int, mutate func(*Owner)) (violated bool, sim *simulation) {
	history := rapid.Custom(func(t *rapid.T) bool {
		defer func() { violated = violated || recover() != nil }()
		sim = runHistory(t, mutate)
		return true
	})
	history.Example(seed)
	return violated, sim
}
