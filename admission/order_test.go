package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/primrosemoor/primrosemoor/internal/rapidtest"
)

const (
	historySteps = 60
	// mutantSeeds is the number of histories in which a mutant must show.
	mutantSeeds = 200
)

func TestMain(m *testing.M) { rapidtest.Main(m, "20260102", "1000") }

// runHistory draws one interleaving of requests, returns, pauses and cuts.
func runHistory(t *rapid.T, mutate func(*Owner)) *world {
	w := newWorld(t, rapid.IntRange(2, 4).Draw(t, "owners"), mutate)
	for range historySteps {
		o := w.owners[rapid.IntRange(0, len(w.owners)-1).Draw(t, "owner")]
		switch rapid.IntRange(0, 15).Draw(t, "step") {
		default:
			w.burst(o)
		case 5, 6, 7:
			w.giveBack(o)
		case 8, 9, 10, 11:
			w.advance(drawDuration(t, "step", 300*time.Millisecond))
		case 12:
			w.advance(drawDuration(t, "jump", 8*time.Second))
		case 13:
			o.pausedUntil = later(o.pausedUntil, w.now.Add(drawDuration(t, "pause", 9*time.Second)))
		case 14:
			o.cutUntil = w.now.Add(drawDuration(t, "cut", 9*time.Second))
		}
	}
	w.settle()
	return w
}

// burst asks an owner for several permits of one rank.
func (w *world) burst(o *testOwner) {
	rank := rapid.IntRange(0, worldTiers-1).Draw(w.t, "rank")
	deadline := rapid.SampledFrom([]time.Duration{time.Minute, time.Second}).Draw(w.t, "deadline")
	for range rapid.IntRange(1, 4).Draw(w.t, "count") {
		w.enqueue(o, uint32(rank), deadline)
	}
}

func drawDuration(t *rapid.T, label string, most time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(1, int(most/time.Millisecond)).Draw(t, label)) * time.Millisecond
}

// settle lets every owner serve what it still may.
func (w *world) settle() {
	for range 30 {
		w.advance(300 * time.Millisecond)
		for _, o := range w.owners {
			w.giveBack(o)
		}
	}
}

func TestNoLowerTierIsDispatchedAfterAHigherWasShed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runHistory(t, func(*Owner) {})
	})
}

func TestSkippedAcknowledgementBreaksTheOrder(t *testing.T) {
	caught := 0
	var shed [MaxRanks]uint64
	for seed := range mutantSeeds {
		if broken, _ := breaksOrder(seed, func(o *Owner) { o.skipAck = true }); broken {
			caught++
		}
		broken, w := breaksOrder(seed, func(*Owner) {})
		if broken {
			t.Fatalf("seed %d breaks the order without the mutant", seed)
		}
		for _, o := range w.owners {
			for rank, n := range o.Counts().Shed {
				shed[rank] += n
			}
		}
	}
	if caught == 0 {
		t.Fatal("the histories do not notice a skipped acknowledgement")
	}
	for rank := range worldTiers {
		if shed[rank] == 0 {
			t.Fatalf("no history sheds rank %d", rank)
		}
	}
	t.Logf("mutant caught in %d of %d histories; sheds by rank %v", caught, mutantSeeds, shed[:worldTiers])
}

// breaksOrder reports whether a seeded history fails, and its last state.
func breaksOrder(seed int, mutate func(*Owner)) (broken bool, w *world) {
	history := rapid.Custom(func(t *rapid.T) bool {
		defer func() { broken = broken || recover() != nil }()
		w = runHistory(t, mutate)
		return true
	})
	history.Example(seed)
	return broken, w
}
