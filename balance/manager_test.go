package balance_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/logging"
)

// start runs a manager with one plain target of two slots.
func start(t *testing.T) (*balance.Manager, func() balance.Load) {
	t.Helper()
	var mu sync.Mutex
	var published balance.Load
	m := startWith(t, func(_ string, own balance.Use) {
		mu.Lock()
		defer mu.Unlock()
		published = own.Load
	})
	return m, func() balance.Load {
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		return published
	}
}

// startWith runs a manager with one plain target of two slots, which publishes its use of
// that.
func startWith(t *testing.T, publish func(string, balance.Use)) *balance.Manager {
	t.Helper()
	m := balance.NewManager(balance.Options{
		Node: "n1", Zone: "a", Regions: map[string]string{"a": "r"}, Logger: logging.Discard(),
		Publish: publish, PublishSend: func(string) {}, PublishQueue: func(string, int, int) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		m.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	m.ApplyTargets([]*catalog.Target{{ID: "i-1", Service: "s", Zone: "a", Slots: 2}}, nil)
	return m
}

func work() *balance.Work {
	now := time.Now()
	return &balance.Work{
		Service: "s", Arrived: now, Goal: now.Add(time.Second), Patience: now.Add(4 * time.Second), End: now.Add(4 * time.Second),
	}
}

func TestSlotIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, load := start(t)
		for range 10 {
			var grants []*balance.Grant
			for range 2 {
				g, err := m.Acquire(t.Context(), work())
				is.NoErr(err)
				grants = append(grants, g)
			}
			is.Equal(load().Requests, 2)
			for i, r := range []balance.Result{balance.Answered, balance.Abandoned} {
				grants[i].Done(r)
			}
			is.Equal(load().Requests, 0)
		}
	})
}

func TestRequestWaitsForASlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, _ := start(t)
		first, err := m.Acquire(t.Context(), work())
		is.NoErr(err)
		_, err = m.Acquire(t.Context(), work())
		is.NoErr(err)
		time.AfterFunc(300*time.Millisecond, func() { first.Done(balance.Answered) })
		began := time.Now()
		_, err = m.Acquire(t.Context(), work())
		is.NoErr(err)
		is.Equal(time.Since(began), 300*time.Millisecond)
	})
}

func TestCancelledAcquireLeavesNoLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, load := start(t)
		var grants []*balance.Grant
		for range 2 {
			g, err := m.Acquire(t.Context(), work())
			is.NoErr(err)
			grants = append(grants, g)
		}
		cause := errors.New("left")
		ctx, cancel := context.WithCancelCause(t.Context())
		time.AfterFunc(100*time.Millisecond, func() { cancel(cause) })
		_, err := m.Acquire(ctx, work())
		is.Equal(err, cause)
		for _, g := range grants {
			g.Done(balance.Answered)
		}
		is.Equal(load().Requests, 0)
	})
}

func TestRequestWithoutASlotIsRefusedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, _ := start(t)
		for range 2 {
			_, err := m.Acquire(t.Context(), work())
			is.NoErr(err)
		}
		began := time.Now()
		_, err := m.Acquire(t.Context(), work())
		var refused *balance.Refusal
		is.True(errors.As(err, &refused))
		is.True(refused.RetryAfter > 0)
		is.True(time.Since(began) <= 4*time.Second+20*time.Millisecond)
	})
}

func TestServiceWithoutTargetsRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, _ := start(t)
		w := work()
		w.Service = "unknown"
		began := time.Now()
		_, err := m.Acquire(t.Context(), w)
		var refused *balance.Refusal
		is.True(errors.As(err, &refused))
		is.Equal(time.Since(began), time.Duration(0))
	})
}

func TestRemoteLoadsCountUntilTheirNodeIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, _ := start(t)
		m.SetRemoteUse("n2", "i-1", balance.Use{Load: balance.Load{Requests: 2}})
		time.AfterFunc(500*time.Millisecond, func() { m.RemoveSource("n2") })
		began := time.Now()
		_, err := m.Acquire(t.Context(), work())
		is.NoErr(err)
		is.Equal(time.Since(began), 500*time.Millisecond)
	})
}

// A request whose target another node chose counts here once that node is gone.
func TestAdoptedRequestTakesASlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, load := start(t)
		r := m.Adopt(work(), "i-1", true)
		is.Equal(load().Requests, 1)
		r.SpeedSampled(balance.Sample{})
		r.Ended(balance.Answered, balance.Sample{})
		is.Equal(load().Requests, 0)
		m.Adopt(work(), "unknown", false).Ended(balance.Answered, balance.Sample{})
		is.Equal(load().Requests, 0)
	})
}

func TestUnreachableTargetIsInBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, _ := start(t)
		g, err := m.Acquire(t.Context(), work())
		is.NoErr(err)
		g.Done(balance.Unreachable)
		began := time.Now()
		_, err = m.Acquire(t.Context(), work())
		is.NoErr(err)
		is.True(time.Since(began) >= 500*time.Millisecond)
	})
}

// A stopping node must not block on events that the manager no longer receives.
func TestNothingBlocksOnceTheManagerHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := balance.NewManager(balance.Options{
			Logger: logging.Discard(), Publish: func(string, balance.Use) {}, PublishSend: func(string) {}, PublishQueue: func(string, int, int) {},
		})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		m.Run(ctx)
		const submissions = 5000 // more than the event queue holds
		for range submissions {
			m.SetRemoteUse("n2", "i-1", balance.Use{Load: balance.Load{Requests: 1}})
			m.SetRemoteWaiting("n2", "s", 1, 1)
			m.ApplyTargets(nil, nil)
		}
		is.Equal(m.Status(t.Context()), nil)
		_, err := m.Acquire(t.Context(), work())
		var refusal *balance.Refusal
		is.True(errors.As(err, &refusal))
	})
}

// A request that waits is refused as soon as its service has no target left, as one
// that arrives then is.
func TestWaitingRequestIsRefusedWhenItsServiceLosesAllTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, _ := start(t)
		for range 2 {
			_, err := m.Acquire(t.Context(), work())
			is.NoErr(err)
		}
		time.AfterFunc(100*time.Millisecond, func() { m.ApplyTargets(nil, nil) })
		began := time.Now()
		_, err := m.Acquire(t.Context(), work())
		var refusal *balance.Refusal
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Reason, balance.ReasonNoTarget)
		is.True(time.Since(began) < time.Second)
	})
}

func TestTargetIsNotBlamedForANodeThatFellSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, _ := start(t)
		for _, result := range []balance.Result{balance.Unreported, balance.Superseded} {
			g, err := m.Acquire(t.Context(), work())
			is.NoErr(err)
			time.Sleep(2 * time.Second) // The response is overdue.
			g.Done(result)
			began := time.Now()
			g, err = m.Acquire(t.Context(), work())
			is.NoErr(err)
			is.Equal(time.Since(began), time.Duration(0))
			g.Done(balance.Answered)
		}
	})
}

// A node that has lost its links fails at each target. Once that is known, the others get
// the targets again.
func TestTargetThatOneNodeCannotReachServesOthersOnceThatIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, _ := start(t)
		request := func(node string) *balance.Work {
			w := work()
			w.Node, w.Patience = node, w.Arrived.Add(40*time.Millisecond)
			return w
		}
		g, err := m.Acquire(t.Context(), request("n2"))
		is.NoErr(err)
		g.Done(balance.Unreachable)
		_, err = m.Acquire(t.Context(), request("n3"))
		is.True(err != nil)
		m.ForgiveFailures("n2", "other")
		_, err = m.Acquire(t.Context(), request("n3"))
		is.True(err != nil)
		m.ForgiveFailures("n2", "s")
		for _, node := range []string{"n3", "n2", "n3"} {
			g, err = m.Acquire(t.Context(), request(node))
			is.NoErr(err)
			g.Done(map[string]balance.Result{"n2": balance.Unreported, "n3": balance.Answered}[node])
		}
	})
}

func TestBrittleTargetIsPublishedUntilItNoLongerSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		var published balance.Use
		m := startWith(t, func(_ string, own balance.Use) {
			mu.Lock()
			defer mu.Unlock()
			published = own
		})
		isBrittle := func() bool {
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			return published.Brittle
		}
		m.RecordBrittle("i-1", true)
		is.True(isBrittle())
		m.RecordBrittle("i-1", false)
		is.True(!isBrittle())
		m.RecordBrittle("i-1", true)
		is.True(isBrittle())
		time.Sleep(20 * time.Second)
		is.True(!isBrittle()) // It has not answered for long.
	})
}
