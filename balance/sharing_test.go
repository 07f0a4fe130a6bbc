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

// lone is a manager of one target with one slot, where teams share fairly.
type lone struct {
	*testing.T
	manager *balance.Manager
}

func newLone(t *testing.T) lone {
	l := lone{t, balance.NewManager(balance.Options{
		Node: "n1", Zone: "a", Regions: map[string]string{"a": "r"}, Logger: logging.Discard(),
		Publish: func(string, balance.Use) {}, PublishSend: func(string) {}, PublishQueue: func(string, int, int) {},
		FairShares: true,
	})}
	go l.manager.Run(t.Context())
	return l
}

func (l lone) applyTargets() {
	l.manager.ApplyTargets([]*catalog.Target{{ID: "i-1", Service: "s", Zone: "a", Slots: 1}}, nil)
}

func (l lone) acquire(team string) *balance.Grant {
	now := time.Now()
	grant, err := l.manager.Acquire(l.Context(), &balance.Work{
		Service: "s", Team: team, Arrived: now, Goal: now.Add(time.Second), Patience: now.Add(time.Second), End: now.Add(time.Second),
	})
	is.New(l.T).NoErr(err)
	return grant
}

// order returns the order in which requests of teams that wait, and have arrived in this
// order, are granted the target.
func (l lone) order(teams ...string) (order []string) {
	first := l.acquire("other")
	granted := make(chan string, len(teams))
	for _, team := range teams {
		go func() {
			grant := l.acquire(team)
			granted <- team
			grant.Done(balance.Answered)
		}()
		synctest.Wait()
	}
	first.Done(balance.Answered)
	for range teams {
		order = append(order, <-granted)
	}
	return order
}

// A node that has just started hears the shares of other zones before it knows the targets.
// Those that do not change are not reported again, so it must not lose them.
func TestSharesHeardBeforeTheTargetsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLone(t)
		l.manager.SetRemoteShare("b", "s", fairshare.Key{Team: "large"}, fairshare.Use{Granted: 100})
		l.applyTargets()
		is.New(t).Equal(l.order("large", "small"), []string{"small", "large"})
	})
}

// A team whose requests were granted a target and did not run has got no work, and must not
// wait behind one that has.
func TestGrantsThatDidNotRunCountForNoShare(t *testing.T) {
	for _, result := range []balance.Result{balance.Unsent, balance.Rejected} {
		t.Run(result.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLone(t)
				l.applyTargets()
				l.acquire("served").Done(balance.Answered)
				for range 3 {
					l.acquire("unserved").Done(result)
				}
				is.New(t).Equal(l.order("unserved", "served"), []string{"unserved", "served"})
			})
		})
	}
}

// Where the queue of a zone is empty for moments only, other zones must go on counting what
// its teams were granted: a team would be within its share there at each such moment.
func TestGrantedWorkIsPublishedForSomeTimeAfterTheQueueIsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		published := make(map[string]fairshare.Use)
		var mu sync.Mutex
		use := func(team string) fairshare.Use {
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			return published[team]
		}
		l := lone{t, balance.NewManager(balance.Options{
			Node: "n1", Zone: "a", Regions: map[string]string{"a": "r"}, Logger: logging.Discard(),
			Publish: func(string, balance.Use) {}, PublishSend: func(string) {}, PublishQueue: func(string, int, int) {},
			FairShares: true,
			PublishShare: func(_ string, k fairshare.Key, u fairshare.Use) {
				mu.Lock()
				defer mu.Unlock()
				published[k.Team] = u
			},
		})}
		go l.manager.Run(t.Context())
		l.applyTargets()
		l.order("large", "small")
		time.Sleep(500 * time.Millisecond)
		is.True(use("large").Granted > 0.5 && use("large").Waiting == 0)
		time.Sleep(10 * time.Second)
		is.Equal(use("large"), fairshare.Use{})
		is.Equal(use("small"), fairshare.Use{})
	})
}
