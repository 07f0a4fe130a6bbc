package balance_test

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/logging"
)

// limitCluster is some nodes that each choose targets for callers who never stop. What
// one node publishes reaches the others after a delay.
type limitCluster struct {
	mu    sync.Mutex
	nodes []*balance.Manager
	sends []time.Time
}

// useOneProcessor makes the test's goroutines take turns on one processor. With more, the
// race detector crashes: Go 1.26 may run timers of one bubble on two at the same moment, in
// one race context.
func useOneProcessor(t *testing.T) {
	t.Helper()
	former := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(former) })
}

// startLimitCluster starts nodes that share one target with plenty of slots.
func startLimitCluster(t *testing.T, count int, delay time.Duration) *limitCluster {
	t.Helper()
	useOneProcessor(t)
	c := &limitCluster{}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	broadcast := func(from int, f func(m *balance.Manager)) {
		time.AfterFunc(delay, func() {
			for i, m := range c.nodes {
				if i != from && ctx.Err() == nil {
					f(m)
				}
			}
		})
	}
	for i := range count {
		name := fmt.Sprint("n", i)
		m := balance.NewManager(balance.Options{
			Node: name, Zone: "a", Regions: map[string]string{"a": "r"}, Logger: logging.Discard(),
			Publish: func(target string, own balance.Use) {
				broadcast(i, func(m *balance.Manager) { m.SetRemoteUse(name, target, own) })
			},
			PublishSend:  func(target string) { broadcast(i, func(m *balance.Manager) { m.RecordRemoteSends(target, 1) }) },
			PublishQueue: func(string, int, int) {},
		})
		c.nodes = append(c.nodes, m)
	}
	for _, m := range c.nodes {
		running.Go(func() { m.Run(ctx) })
		m.ApplyTargets([]*catalog.Target{{ID: "i-1", Service: "s", Zone: "a", Slots: 1000}}, nil)
	}
	return c
}

// send lets each node send requests for a time, each of which is answered at once, and
// waits until the last one has ended.
func (c *limitCluster) send(length time.Duration, each time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var running sync.WaitGroup
	for _, m := range c.nodes {
		running.Go(func() {
			for ctx.Err() == nil {
				g, err := m.Acquire(ctx, &balance.Work{Service: "s", Arrived: time.Now(), Goal: time.Now().Add(time.Hour), Patience: time.Now().Add(time.Hour), End: time.Now().Add(time.Hour)})
				if err != nil {
					return
				}
				c.mu.Lock()
				c.sends = append(c.sends, time.Now())
				c.mu.Unlock()
				time.Sleep(each)
				g.Done(balance.Answered)
			}
		})
	}
	running.Wait()
}

// most returns the largest number of requests in a window that begins after an instant.
func (c *limitCluster) most(after time.Time, window time.Duration) int {
	most := 0
	for i, first := range c.sends {
		n := 0
		for _, t := range c.sends[i:] {
			if t.Sub(first) <= window {
				n++
			}
		}
		if first.After(after) {
			most = max(most, n)
		}
	}
	return most
}

// A target gets, in any 4 s, no more than 1.5 times what its limit allows and 5
// requests, and is used as far as it allows. One node of each zone chooses targets.
func TestNodesShareTheLimitOfATarget(t *testing.T) {
	for _, nodes := range []int{1, 3, 6, 13} {
		for _, limit := range []float64{0.5, 1, 2.9, 40} {
			t.Run(fmt.Sprintf("%d nodes, %v a second", nodes, limit), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					c := startLimitCluster(t, nodes, 50*time.Millisecond)
					c.nodes[0].RecordLimit("i-1", limit, true)
					time.Sleep(time.Second)
					began := time.Now()
					const length = 40 * time.Second
					go func() {
						for range 40 {
							time.Sleep(time.Second)
							c.nodes[0].RecordLimit("i-1", limit, true)
						}
					}()
					c.send(length, 10*time.Millisecond)
					const window = 4 * time.Second
					is.True(float64(c.most(began.Add(window), window)) <= 1.5*limit*window.Seconds()+5)
					is.True(float64(len(c.sends)) >= 0.9*limit*length.Seconds()-1)
					time.Sleep(time.Second)
				})
			})
		}
	}
}

// Answers take half a second, in which requests are sent to a target that has stated a
// limit and whose answer has not come.
func TestRequestsSentBeforeTheLimitWasKnownCountAgainstIt(t *testing.T) {
	for _, nodes := range []int{1, 3, 6} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const limit, early = 1.8, 12
				c := startLimitCluster(t, nodes, 50*time.Millisecond)
				began := time.Now()
				c.send(490*time.Millisecond, 500*time.Millisecond*time.Duration(nodes)/early)
				is.Equal(len(c.sends), early)
				time.Sleep(time.Millisecond) // Reports of the same instant may overtake each other here.
				c.nodes[0].RecordLimit("i-1", limit, true)
				time.Sleep(150 * time.Millisecond) // All nodes know what the others have sent.
				c.send(8*time.Second, 10*time.Millisecond)
				is.True(float64(c.most(began.Add(-1), 4*time.Second)) <= 1.5*limit*4+5)
				is.True(len(c.sends) >= early+5) // A third of what the limit allows in 8 s.
				time.Sleep(time.Second)
			})
		})
	}
}

func TestLimitEndsWhenATargetStatesNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startLimitCluster(t, 2, 10*time.Millisecond)
		c.nodes[0].RecordLimit("i-1", 1, true)
		time.Sleep(time.Second)
		c.nodes[1].RecordLimit("i-1", 0, false) // It was not stated there before.
		c.nodes[0].RecordLimit("i-1", 0, false)
		time.Sleep(time.Second)
		c.send(time.Second, 10*time.Millisecond)
		is.True(len(c.sends) > 100)
		time.Sleep(time.Second)
	})
}

func TestLimitExpiresAtATargetThatIsNotHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startLimitCluster(t, 2, 10*time.Millisecond)
		c.nodes[0].RecordLimit("i-1", 1, true)
		time.Sleep(10 * time.Second)
		c.send(time.Second, 10*time.Millisecond)
		is.True(len(c.sends) < 10)
		time.Sleep(time.Minute)
		c.send(time.Second, 10*time.Millisecond)
		is.True(len(c.sends) > 100)
		time.Sleep(time.Second)
	})
}

func TestTargetThatTakesNothingIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startLimitCluster(t, 1, 0)
		c.nodes[0].RecordLimit("i-1", 0, true)
		c.send(30*time.Second, 10*time.Millisecond)
		is.True(len(c.sends) > 0)
		is.True(c.most(time.Time{}, 4*time.Second) <= 5)
	})
}

func TestShareOfSilentNodesInALimitIsLeftToThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startLimitCluster(t, 1, 0)
		c.nodes[0].SetSilentShare(0.75)
		c.nodes[0].RecordLimit("i-1", 8, true)
		c.send(10*time.Second, 10*time.Millisecond)
		is.True(len(c.sends) <= 10*2+4)
		is.True(len(c.sends) >= 10*2-2)
	})
}

func TestRequestsWaitForALimitedTargetUntilTheirPatienceEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startLimitCluster(t, 1, 0)
		c.nodes[0].RecordLimit("i-1", 0.05, true)
		c.send(time.Second, 10*time.Millisecond)
		c.nodes[0].RecordRemoteSends("i-1", 1) // So that the next one is 4 s away at least.
		w := work()
		began := time.Now()
		_, err := c.nodes[0].Acquire(t.Context(), w)
		var refusal *balance.Refusal
		is.True(errors.As(err, &refusal))
		is.True(refusal.RetryAfter > 0)
		is.True(time.Since(began) <= w.Patience.Sub(w.Arrived)+100*time.Millisecond)
	})
}
