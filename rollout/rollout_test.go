package rollout

import (
	"context"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/balance"
)

// Callers have to be moved to a sound version before the time limit.
func TestSoundVersionIsCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var shifted time.Duration
		c := playRollout(t, sound, func(c *cluster, elapsed time.Duration) {
			if c.store.phase() == Trial {
				is.True(float64(c.sent) <= 0.08*float64(c.requests)+50)
				shifted = elapsed
			}
		})
		is.Equal(c.store.phase(), Completed)
		is.True(shifted > 10*time.Second) // The trial ended before half of the time.
		is.Equal(c.nodes[5].request("chat"), "v2")
		is.True(len(c.store.writes) < 30) // Calls to the store are priced.
	})
}

// Each way to be bad, and each failure on the way, has to end with the version reverted and
// few callers that saw it.
func TestBadVersionIsRevertedAndSeenByFew(t *testing.T) {
	once := func(at time.Duration, do func(*cluster)) func(*cluster, time.Duration) {
		done := false
		return func(c *cluster, elapsed time.Duration) {
			if elapsed >= at && !done {
				done = true
				do(c)
			}
		}
	}
	later := func(route string, elapsed time.Duration) (balance.Result, time.Duration) {
		if elapsed < 5*time.Second {
			return sound(route, elapsed)
		}
		return failing(0.3)(route, elapsed)
	}
	for _, test := range []struct {
		name   string
		after  behaviour
		during func(*cluster, time.Duration)
	}{
		{"fails always", failing(1), nil},
		{"fails in a part", failing(0.2), nil},
		{"fails later", later, nil},
		{"is slow", func(string, time.Duration) (balance.Result, time.Duration) {
			return balance.Answered, 150 * time.Millisecond
		}, nil},
		{"fails on one route", func(route string, elapsed time.Duration) (balance.Result, time.Duration) {
			if route == "book" {
				return failing(0.3)(route, elapsed)
			}
			return sound(route, elapsed)
		}, nil},
		{"fails after the shift", func(route string, elapsed time.Duration) (balance.Result, time.Duration) {
			if elapsed < 12500*time.Millisecond {
				return sound(route, elapsed)
			}
			return failing(0.3)(route, elapsed)
		}, nil},
		{"the decider is killed", later, once(3*time.Second, func(c *cluster) { c.kill(0) })},
		{"all nodes are killed", later, once(3*time.Second, func(c *cluster) {
			for i := range c.nodes {
				c.kill(i)
				c.start(i, 3)
			}
		})},
		{"the store is lost", later, once(3*time.Second, func(c *cluster) {
			c.store.setDown(true)
			time.AfterFunc(6*time.Second, func() { c.store.setDown(false) })
		})},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := playRollout(t, test.after, test.during)
				is.Equal(c.store.phase(), Reverted)
				c.checkExposure(is)
				t.Logf("%d requests, %d to the new version, %d bad", c.requests, c.sent, c.bad)
			})
		})
	}
}

func (c *cluster) kill(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[i].stop()
	c.nodes[i] = nil
}

func TestSoundVersionIsCompletedAfterTheDeciderIsKilled(t *testing.T) {
	// Before and after the shift, which comes after 12 s, and before the end.
	for _, at := range []time.Duration{3 * time.Second, 11900 * time.Millisecond, 12100 * time.Millisecond, 13500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			killed := false
			c := playRollout(t, sound, func(c *cluster, elapsed time.Duration) {
				if elapsed > at && !killed {
					killed = true
					c.kill(0)
				}
			})
			is.Equal(c.store.phase(), Completed)
		})
	}
}

// A node that is cut off does not learn that a version is bad.
func TestNodeThatIsCutOffSendsNothingToAVersionUnderTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		served := make(map[string]int)
		playRollout(t, sound, func(c *cluster, elapsed time.Duration) {
			c.mu.Lock()
			c.nodes[5].cutOff = elapsed > 2*time.Second
			c.mu.Unlock()
			if elapsed > 5*time.Second {
				for range 20 {
					served[c.nodes[5].request("chat")]++
				}
			}
		})
		is.Equal(slicesOf(served), []string{"v1"})
	})
}

// Targets of a new version may be listed before the order, or at a node that has just started.
func TestNodeThatDoesNotKnowTheOrdersUsesTheVersionThatServesForLongest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, sound)
		c.store.setDown(true)
		n := c.start(0, 1)
		c.listNew()
		served := make(map[string]int)
		c.run(3*time.Second, func() { served[n.request("chat")]++ })
		is.Equal(slicesOf(served), []string{"v1"})
		c.store.setDown(false)
		c.run(5*time.Second, nil)
		for range 50 {
			served[n.request("chat")]++
		}
		is.Equal(len(served), 2) // Versions of several releases serve side by side without an order.
	})
}

// A stream that began at a version must not go on at another one, whatever the phase.
func TestStreamOfARevertedVersionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := playRollout(t, failing(1), nil)
		_, err := c.nodes[2].balancer.Acquire(t.Context(), &balance.Work{Service: "s", Route: "chat", Version: "v2"})
		is.True(err != nil)
		grant, err := c.nodes[2].balancer.Acquire(t.Context(), &balance.Work{Service: "s", Route: "chat", Version: "v1"})
		is.NoErr(err)
		is.Equal(grant.Target.Version, "v1")
	})
}

func slicesOf(served map[string]int) (versions []string) {
	for v := range maps.Keys(served) {
		versions = append(versions, v)
	}
	return versions
}

// Callers must not wait for a version under trial of which no target answers.
func TestFewRequestsWaitForAVersionWithoutFreeTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, sound)
		n := c.start(0, 1)
		c.run(2*time.Second, nil)
		c.order(20 * time.Second)
		c.run(time.Second, nil)
		n.balancer.Next = fullVersion{n, "v2"}
		began := time.Now()
		for range 1000 {
			is.Equal(n.request("chat"), "v1")
		}
		is.True(time.Since(began) <= 2*tryWait)
	})
}

// fullVersion lets requests for a version wait.
type fullVersion struct {
	*clusterNode
	version string
}

func (f fullVersion) Acquire(ctx context.Context, w *balance.Work) (*balance.Grant, error) {
	if w.Version == f.version {
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
	return f.clusterNode.Acquire(ctx, w)
}
