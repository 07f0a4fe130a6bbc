package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/primrosemoor/primrosemoor/catalog"
)

// waitingRequest is a request that is charged and waits for a target. Its node refuses
// or sends it at decided, if the node has not restarted before.
type waitingRequest struct {
	charged, decided time.Time
	node             int
	on               *Allowance
	amount           float64
	refused          bool
}

// waitingRequests are the requests of a team that wait at the nodes of a cluster.
type waitingRequests struct {
	*cluster
	team    *catalog.Team
	waiting []waitingRequest
}

// add charges a request that waits for a time and is then refused or sent.
func (w *waitingRequests) add(node int, amount float64, wait time.Duration, refused bool) bool {
	if _, ok := w.nodes[node].Take(w.team, amount); !ok {
		return false
	}
	now := time.Now()
	w.waiting = append(w.waiting, waitingRequest{now, now.Add(wait), node, w.nodes[node], amount, refused})
	return true
}

// decide refunds the refused requests whose wait is over and records the others as booked
// at their charge, as the limit counts them. What waited at a node that has restarted
// stays charged at the other nodes and is not run.
func (w *waitingRequests) decide() {
	w.waiting = slices.DeleteFunc(w.waiting, func(r waitingRequest) bool {
		switch {
		case time.Now().Before(r.decided):
			return false
		case w.nodes[r.node] != r.on:
		case r.refused:
			r.on.Return(w.team, r.amount, r.charged)
		default:
			w.booked = append(w.booked, booking{r.charged, r.amount})
		}
		return true
	})
}

// sortBooked puts what was run in the order of its charges.
func (w *waitingRequests) sortBooked() {
	slices.SortFunc(w.booked, func(a, b booking) int { return a.at.Compare(b.at) })
}

// Whatever share of the charges is refunded, after whatever wait, and whichever nodes are
// partitioned or restarted: what is run stays within the limit and its slack in every
// window. Guards against refunds that give more than the charge took, such as one to a
// level that has been at its burst since.
func TestNoWindowExceedsTheLimitWithRefunds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(30_000, 400_000).Draw(rt, "rate")
		nodes := rapid.IntRange(1, 16).Draw(rt, "nodes")
		pressure := rapid.Float64Range(0.5, 6).Draw(rt, "pressure")
		refusedShare := rapid.Float64Range(0, 1).Draw(rt, "refused share")
		maxWait := time.Duration(rapid.IntRange(0, 3000).Draw(rt, "max wait ms")) * time.Millisecond
		// The load pauses for a part of each period, so that levels reach the burst.
		period := rapid.IntRange(1, 240).Draw(rt, "period")
		busy := rapid.Float64Range(0.1, 1).Draw(rt, "busy share")
		seed := rapid.Uint64().Draw(rt, "seed")
		restarts := rapid.SliceOfN(rapid.IntRange(0, 239), 0, 1).Draw(rt, "restart all nodes at")
		restartsOfOne := rapid.SliceOfN(rapid.IntRange(0, 239), 0, 4).Draw(rt, "restart one node at")
		partitions := rapid.SliceOfN(rapid.IntRange(0, 239), 0, 6).Draw(rt, "partition or rejoin a node at")
		synctest.Test(t, func(*testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			team := &catalog.Team{Name: "t", Rate: rate, Burst: rate, ByTokens: true}
			w := &waitingRequests{cluster: newCluster(nodes, 60*time.Millisecond), team: team}
			const step = 20 * time.Millisecond
			carry := 0.0
			for tick := range 240 * 5 {
				if at := tick / 5; tick%5 == 0 {
					if slices.Contains(restarts, at) {
						for i := range w.nodes {
							w.restart(i)
						}
					}
					if j := slices.Index(restartsOfOne, at); j >= 0 {
						w.restart(j % nodes)
					}
					if j := slices.Index(partitions, at); j >= 0 {
						w.setPartitioned(j%nodes, !w.partitioned[j%nodes])
					}
				}
				w.deliver()
				w.decide()
				if float64(tick/5%period) < busy*float64(period) {
					carry += rate * pressure * step.Seconds()
				}
				for carry > 0 {
					amount := randomTokens(r)
					carry -= amount
					wait := time.Duration(r.Float64() * float64(maxWait))
					w.add(r.IntN(nodes), amount, wait, r.Float64() < refusedShare)
				}
				time.Sleep(step)
			}
			w.sortBooked()
			if maxSum := w.maxInWindow(); maxSum > maxPerWindow(team) {
				rt.Fatalf("%.0f in a window, allowed %.0f", maxSum, maxPerWindow(team))
			}
		})
	})
}

// Requests that are refused use nothing of the limit, at their own node and at others.
func TestRefundedRequestsUseNothingOfTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		team := &catalog.Team{Name: "t", Rate: 100_000, Burst: 100_000}
		w := &waitingRequests{cluster: newCluster(6, 60*time.Millisecond), team: team}
		time.Sleep(10 * time.Second)
		r := rand.New(rand.NewPCG(2, 1))
		limited, requests := 0, 0
		for range 1500 {
			w.deliver()
			w.decide()
			// 1.6 times the limit is asked for, of which seven tenths are refused.
			for range 2 {
				requests++
				if !w.add(r.IntN(6), 1600, 420*time.Millisecond, r.Float64() < 0.7) {
					limited++
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		is.True(requests > 0)
		is.True(float64(limited) < 0.02*float64(requests))
		// The levels stay together; bookings of 60 ms are on their way.
		lowest, highest := math.Inf(1), math.Inf(-1)
		for _, n := range w.nodes {
			n.refill(n.bucket("t"), team, time.Now())
			lowest, highest = min(lowest, n.bucket("t").level), max(highest, n.bucket("t").level)
		}
		is.True(highest-lowest < 0.2*team.Burst)
	})
}

// The level after a refund is that without the charge, also where it reached the burst in
// between. Guards against a refund on top of a level that has refilled.
func TestRefundGivesNoMoreThanTheChargeTook(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		team := &catalog.Team{Name: "t", Rate: 100_000, Burst: 100_000}
		a := NewAllowance(slack, nopPublisher{})
		a.SetNodes(1, 0)
		time.Sleep(20 * time.Second)
		level := func() float64 { return a.buckets["t"].level }
		charge := func(amount float64) time.Time {
			_, ok := a.Take(team, amount)
			is.True(ok)
			return time.Now()
		}
		at := charge(60_000)
		time.Sleep(100 * time.Millisecond)
		before := level()
		a.Return(team, 60_000, at)
		is.True(level() > before+45_000)
		is.True(level() <= 100_000)
		is.True(a.buckets["t"].used.sum < 1)

		time.Sleep(2 * time.Second)
		first, second := charge(20_000), charge(20_000)
		time.Sleep(time.Second) // The level has reached the burst again.
		charge(90_000)
		time.Sleep(20 * time.Millisecond)
		before = level()
		a.Return(team, 20_000, first)
		a.Return(team, 20_000, second)
		is.True(level() < before+5_000) // what refilled in 20 ms
		is.Equal(a.buckets["t"].used.sum, 90_000.0)
	})
}

// Two refunds share what the level was below the burst.
func TestRefundsTogetherStayBelowTheBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		team := &catalog.Team{Name: "t", Rate: 100_000, Burst: 100_000}
		a := NewAllowance(slack, nopPublisher{})
		a.SetNodes(1, 0)
		time.Sleep(20 * time.Second)
		a.Take(team, 50_000)
		a.Take(team, 50_000)
		charged := time.Now()
		rate := a.windowLimit(team) / slack.Window.Seconds()
		time.Sleep(time.Duration(70_000 / rate * float64(time.Second)))
		a.Take(team, 60_000) // The level was 30,000 below the burst.
		time.Sleep(20 * time.Millisecond)
		before := a.buckets["t"].level
		a.Return(team, 50_000, charged)
		a.Return(team, 50_000, charged)
		got := a.buckets["t"].level - before - rate*0.02
		is.True(got > 29_000 && got < 31_000)
	})
}

// What was refunded leaves the window at once, and only once: the sum does not fall below
// what others booked when the charge's time has passed.
func TestRefundIsRemovedWhereItWasBooked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		team := &catalog.Team{Name: "t", Rate: 100_000, Burst: 100_000}
		a := NewAllowance(slack, nopPublisher{})
		a.SetNodes(2, 0)
		time.Sleep(20 * time.Second)
		a.Take(team, 10_000)
		charged := time.Now()
		a.RecordRemote("t", 7_000, nil, 0)
		time.Sleep(3 * time.Second)
		a.Take(team, 500)
		a.RecordRemote("t", 300, nil, 0)
		b := a.buckets["t"]
		is.Equal(b.used.sum, 17_800.0)
		a.Return(team, 10_000, charged)
		is.Equal(b.used.sum, 7_800.0)
		is.Equal(b.ownUsed.sum, 500.0)
		a.RecordRemoteReturn("t", 7_000, 3*time.Second, nil)
		is.Equal(b.used.sum, 800.0)
		// More than was booked there is not removed from other bookings.
		a.RecordRemoteReturn("t", 7_000, 3*time.Second, nil)
		is.Equal(b.used.sum, 800.0)
		time.Sleep(6 * time.Second)
		b.used.advance(time.Now())
		is.Equal(b.used.sum, 800.0)
		level := b.level
		a.Return(team, 10_000, charged) // older than the window
		is.True(b.level <= max(level, team.Burst))
		is.Equal(b.used.sum, 800.0)
	})
}

// What a node refunds while it is cut off is its own again at once, and never more than
// its share. Guards against refunds by which the sides of a partition pass the limit
// together.
func TestPartitionedNodeUsesOnlyItsShareWithRefunds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		team := &catalog.Team{Name: "t", Rate: 120_000, Burst: 120_000}
		w := &waitingRequests{cluster: newCluster(6, 20*time.Millisecond), team: team}
		time.Sleep(10 * time.Second)
		w.setPartitioned(0, true)
		r := rand.New(rand.NewPCG(1, 1))
		for range 1000 {
			w.deliver()
			w.decide()
			w.add(0, 1000, 400*time.Millisecond, r.Float64() < 0.6)
			time.Sleep(10 * time.Millisecond)
		}
		ran := 0.0
		for _, b := range w.booked {
			ran += b.amount
		}
		share := team.Rate / 6 * 10
		is.True(ran >= 0.85*share)
		is.True(ran <= 1.1*(share+team.Burst/6))
	})
}

// Most charges are refunded for a while, and then none, because targets have become free.
// What hundreds of nodes run stays within the limit and its slack. Guards against nodes
// that expect refunds of the same charges and use them before they come, and against nodes
// that all begin at once when the window has room again.
func TestManyNodesStayWithinTheLimitWhenRefundsEnd(t *testing.T) {
	for _, k := range []struct {
		nodes int
		seed  uint64
	}{{12, 4}, {60, 4}, {60, 31}, {60, 48}, {74, 31}, {74, 48}, {300, 4}} {
		nodes := k.nodes
		for _, refused := range []float64{0.5, 0.9} {
			t.Run(fmt.Sprint(nodes, " nodes, ", refused, " refused, seed ", k.seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					team := &catalog.Team{Name: "t", Rate: 350_000, Burst: 350_000, ByTokens: true}
					w := &waitingRequests{cluster: newCluster(nodes, 250*time.Millisecond), team: team}
					r := rand.New(rand.NewPCG(k.seed, uint64(nodes)))
					load := func(d time.Duration, refused float64) {
						for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
							w.deliver()
							w.decide()
							for requested := 0.0; requested < 5*team.Rate*0.02; {
								amount := randomTokens(r)
								requested += amount
								w.add(r.IntN(nodes), amount, 420*time.Millisecond, r.Float64() < refused)
							}
						}
					}
					time.Sleep(20 * time.Second)
					for range 2 {
						load(9*time.Second, refused)
						load(9*time.Second, 0)
					}
					w.sortBooked()
					if maxSum := w.maxInWindow(); maxSum > maxPerWindow(team) {
						t.Errorf("%.0f in a window, allowed %.0f", maxSum, maxPerWindow(team))
					}
				})
			})
		}
	}
}

// A refund of what a node booked while it was silent is used again at once, although the
// booking was offset against what was left to that node.
func TestLateRefundOfASilentNodeIsGivenBackAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		team := &catalog.Team{Name: "t", Rate: 100_000, Burst: 100_000, ByTokens: true}
		a := NewAllowance(slack, nopPublisher{})
		a.SetNodes(2, 0)
		time.Sleep(20 * time.Second)
		a.SetNodes(2, 0.5)
		for range 40 {
			time.Sleep(50 * time.Millisecond)
			a.Take(team, 5_000)
		}
		a.SetNodes(2, 0)
		a.RecordRemote("t", 80_000, nil, 2*time.Second)
		a.Take(team, 1_000)
		b := a.buckets["t"]
		level, used := b.level, b.used.sum
		a.RecordRemoteReturn("t", 30_000, 500*time.Millisecond, nil)
		is.True(b.level >= level+29_999)
		is.True(b.level <= level+30_001)
		is.True(b.used.sum < used-29_999)
	})
}

// The time that a refund takes with a full window of records, for docs/CAPACITY.md.
// A refund of another node for a charge that has left the window, such as that of a request
// which its target turned away after 8 s, takes nothing from what was booked since. Guards
// against slots of the window that are looked up by the number of one that has left it: what
// other requests use would be admitted a second time.
func TestRemoteRefundOlderThanTheWindowRemovesNothing(t *testing.T) {
	for _, age := range []time.Duration{8500 * time.Millisecond, 9 * time.Second, 15 * time.Second} {
		t.Run(age.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a := NewAllowance(Slack{Window: 8 * time.Second}, nopPublisher{})
				a.SetNodes(2, 0)
				// Bookings in each slot of the window.
				for range 160 {
					time.Sleep(125 * time.Millisecond)
					a.RecordRemote("t", 100, nil, 0)
				}
				b := a.bucket("t")
				before := b.used.sum
				a.RecordRemoteReturn("t", 1000, age, nil)
				is.Equal(b.used.sum, before)
			})
		})
	}
}

func BenchmarkRefund(b *testing.B) {
	team := &catalog.Team{Name: "t", Rate: 1e9, Burst: 1e9, ByTokens: true}
	a := NewAllowance(slack, nopPublisher{})
	a.SetNodes(2, 0)
	for b.Loop() {
		a.Take(team, 1)
		a.Return(team, 1, time.Now().Add(-500*time.Millisecond))
	}
}
