package balance_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/fairshare"
	"github.com/primrosemoor/primrosemoor/logging"
)

// overload plays callers of several teams at a plain service with room for 20 requests a
// second, and counts what each team asked for and was served.
type overload struct {
	manager *balance.Manager
	mu      sync.Mutex
	asked   map[string]int
	served  map[string]int
}

const serviceTime = 100 * time.Millisecond

func playOverload(t *testing.T, fair bool, perSecond map[string]int) *overload {
	t.Helper()
	o := &overload{asked: make(map[string]int), served: make(map[string]int)}
	o.manager = balance.NewManager(balance.Options{
		Node: "n1", Zone: "a", Regions: map[string]string{"a": "r"}, Logger: logging.Discard(),
		Publish: func(string, balance.Use) {}, PublishSend: func(string) {}, PublishQueue: func(string, int, int) {},
		FairShares: fair, PublishShare: func(string, fairshare.Key, fairshare.Use) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { o.manager.Run(ctx) })
	o.manager.ApplyTargets([]*catalog.Target{{ID: "i-1", Service: "s", Zone: "a", Slots: 2}}, nil)
	for team, rate := range perSecond {
		running.Go(func() { o.send(ctx, team, rate, &running) })
	}
	time.Sleep(12 * time.Second)
	cancel()
	running.Wait()
	return o
}

// send sends the requests of a team at a steady rate.
func (o *overload) send(ctx context.Context, team string, perSecond int, running *sync.WaitGroup) {
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			running.Go(func() { o.request(ctx, team) })
		case <-ctx.Done():
			return
		}
	}
}

func (o *overload) request(ctx context.Context, team string) {
	now := time.Now()
	grant, err := o.manager.Acquire(ctx, &balance.Work{
		Service: "s", Team: team, Route: "r", Arrived: now, Goal: now.Add(300 * time.Millisecond),
		Patience: now.Add(time.Second), End: now.Add(time.Second),
	})
	o.mu.Lock()
	o.asked[team]++
	if err == nil {
		o.served[team]++
	}
	o.mu.Unlock()
	if err == nil {
		time.Sleep(serviceTime)
		grant.Done(balance.Answered)
	}
}

func (o *overload) share(team string) float64 {
	return float64(o.served[team]) / float64(o.asked[team])
}

// One team sends 60 requests a second and five others 2 each, where 20 can be served. Without
// shares the small teams are refused as often as the large one.
func TestSmallTeamsAreServedWhileALargeOneOverloadsTheService(t *testing.T) {
	rates := map[string]int{"large": 60}
	for i := range 5 {
		rates[fmt.Sprintf("small%d", i)] = 2
	}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		without := playOverload(t, false, rates)
		with := playOverload(t, true, rates)
		for i := range 5 {
			team := fmt.Sprintf("small%d", i)
			t.Logf("%s: %.2f without shares, %.2f with", team, without.share(team), with.share(team))
			is.True(without.share(team) < 0.5) // the load is the one that shares answer
			is.True(with.share(team) >= 0.95)
		}
		t.Logf("large: %.2f without shares, %.2f with", without.share("large"), with.share("large"))
		is.True(with.share("large") >= 0.1) // gets what the others leave
	})
}

// Teams that ask for the same are served alike, whether shares are in force or not.
func TestEqualTeamsAreServedAlike(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := playOverload(t, true, map[string]int{"a": 20, "b": 20, "c": 20})
		for _, team := range []string{"a", "b", "c"} {
			t.Logf("%s: %.2f of %d", team, o.share(team), o.asked[team])
			is.True(o.share(team) >= 0.25 && o.share(team) <= 0.42) // a third each
		}
	})
}

// A node that has just started hears the shares of other zones before it knows the targets.
// Those that do not change are not reported again, so it must not lose them.
func TestSharesHeardBeforeTheTargetsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := balance.NewManager(balance.Options{
			Node: "n1", Zone: "a", Regions: map[string]string{"a": "r"}, Logger: logging.Discard(),
			Publish: func(string, balance.Use) {}, PublishSend: func(string) {}, PublishQueue: func(string, int, int) {},
			FairShares: true,
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go m.Run(ctx)
		m.SetRemoteShare("b", "s", fairshare.Key{Team: "large"}, fairshare.Use{Granted: 100})
		m.ApplyTargets([]*catalog.Target{{ID: "i-1", Service: "s", Zone: "a", Slots: 1}}, nil)
		acquire := func(team string) *balance.Grant {
			now := time.Now()
			grant, err := m.Acquire(ctx, &balance.Work{
				Service: "s", Team: team, Arrived: now, Goal: now.Add(time.Second), Patience: now.Add(time.Second), End: now.Add(time.Second),
			})
			is.NoErr(err)
			return grant
		}
		first := acquire("other")
		granted := make(chan string, 2)
		for _, team := range []string{"large", "small"} {
			go func() {
				grant := acquire(team)
				granted <- team
				grant.Done(balance.Answered)
			}()
			synctest.Wait()
		}
		first.Done(balance.Answered)
		is.Equal(<-granted, "small")
		is.Equal(<-granted, "large")
	})
}
