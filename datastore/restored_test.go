package datastore_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/datastore"
)

func (f *fixture) usable(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen[id]
}

// overtake moves the store's revision on as changes of other kinds do.
func (s *fakeStore[T]) overtake() { s.set(func() { s.revision += 100 }) }

// rewrite replaces an item without an event, as a write that changes its sequence only.
func (s *fakeStore[T]) rewrite(name string, value T) {
	s.set(func() {
		c := s.items[name]
		c.Value = value
		s.items[name] = c
	})
}

// The next watch begins at a revision that was given out again and that the store has
// passed: it returns nothing of what changed before.
func TestChangeWithARevisionGivenOutAgainIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		time.Sleep(time.Second)
		older := f.configs.copy()
		f.configs.put("main", &catalog.Config{Version: 9})
		time.Sleep(time.Second)
		is.Equal(f.version(), uint64(9))
		f.configs.restore(older)
		f.configs.put("main", &catalog.Config{Version: 12})
		f.configs.overtake()
		time.Sleep(time.Second)
		is.Equal(f.version(), uint64(12))
	})
}

// A watch that is cut off does not fail, so that the next one must not wait long either.
func TestTargetThatDrainsAfterAWatchWasCutOffIsKnownInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		f.targets.set(func() { f.targets.cut = datastore.ErrWatchCut })
		time.Sleep(time.Second)
		older := f.targets.copy()
		f.targets.put("i-2", &catalog.Target{ID: "i-2", Service: "s"})
		time.Sleep(time.Second)
		f.targets.restore(older)
		f.targets.put("i-1", &catalog.Target{ID: "i-1", Service: "s", Draining: true})
		f.targets.overtake()
		time.Sleep(time.Second)
		is.True(f.has("i-1") && !f.usable("i-1"))
	})
}

// A node whose next watch begins after the store's return has no failed call, and waits
// at a store that has passed its revision: any other answer that names the era ends that.
func TestEraNamedByAnyAnswerEndsWatchesOfAnOlderOne(t *testing.T) {
	for name, learn := range map[string]func(*fixture){
		"another kind": func(f *fixture) { f.configs.restore(f.configs.copy()) },
		"another node": func(f *fixture) { f.manager.ApplyEra(2) },
		"a wrong node": func(f *fixture) { f.manager.ApplyEra(7) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := startFixture(t)
				time.Sleep(time.Second)
				older := f.nodes.copy()
				f.nodes.put("n-1", datastore.Node{Name: "n-1"})
				time.Sleep(time.Second) // The follower pauses after the change.
				f.nodes.restore(older)
				f.nodes.put("n-2", datastore.Node{Name: "n-2"})
				f.nodes.overtake()
				time.Sleep(5 * time.Second) // The next watch waits.
				is.Equal(len(f.manager.Snapshot(t.Context()).Nodes), 1)
				learn(f)
				time.Sleep(time.Second)
				nodes := f.manager.Snapshot(t.Context()).Nodes
				_, ok := nodes["n-2"]
				is.True(ok)
				watches, lists := 0, 0
				f.nodes.set(func() { watches, lists = f.nodes.watches, f.nodes.lists })
				time.Sleep(10 * time.Second)
				f.nodes.set(func() {
					is.True(f.nodes.watches-watches <= 3)
					is.Equal(f.nodes.lists, lists)
				})
			})
		})
	}
}

func TestConfigurationThatTheOlderCopyLacksStaysInForceAndProven(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		time.Sleep(time.Second)
		older := f.configs.copy()
		f.configs.put("main", &catalog.Config{Version: 9})
		time.Sleep(time.Second)
		f.configs.restore(older)
		for range 100 {
			time.Sleep(137 * time.Millisecond)
			is.Equal(f.version(), uint64(9))
			is.True(f.manager.KeysProven())
		}
		f.configs.put("main", &catalog.Config{Version: 9})
		time.Sleep(3 * time.Second)
		is.True(f.manager.ProofAge() < 2*time.Second)
		// The era now holds version 9: an older one shows a fault, and proves nothing.
		f.configs.put("main", &catalog.Config{Version: 3})
		time.Sleep(revocation + time.Second)
		is.Equal(f.version(), uint64(9))
		is.True(!f.manager.KeysProven())
	})
}

// An answer from before the store's return proves nothing about the state after it.
func TestAnswerOfAnOlderEraIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		f.configs.restore(f.configs.copy())
		time.Sleep(5 * time.Second)
		f.configs.set(func() { f.configs.era = 1 })
		f.configs.put("main", &catalog.Config{Version: 12})
		time.Sleep(revocation + time.Second)
		is.Equal(f.version(), uint64(3))
		is.True(!f.manager.KeysProven())
		f.configs.set(func() { f.configs.era = 2 })
		time.Sleep(3 * time.Second)
		is.Equal(f.version(), uint64(12))
		is.True(f.manager.KeysProven())
	})
}

func TestProofOfANewerEraIsTakenWithItsContent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		time.Sleep(time.Second)
		f.configs.set(func() { f.configs.down = true })
		f.snapshot = datastore.Snapshot{Version: 3, Era: 2, Configuration: []byte{3}}
		f.manager.ApplyProof(datastore.ConfigState{Version: 3, Era: 2}, virtualNow(), "peer")
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.manager.Table().Config.Raw, []byte{3})
		proven, _, _ := f.manager.Proof()
		is.Equal(proven, datastore.ConfigState{Version: 3, Era: 2})
	})
}

func TestTargetsThatTheOlderCopyLacksAreRetainedForAGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		time.Sleep(time.Second)
		older := f.targets.copy()
		f.targets.put("i-2", &catalog.Target{ID: "i-2", Service: "s", Sequence: 1})
		f.targets.put("i-3", &catalog.Target{ID: "i-3", Service: "s", Sequence: 1})
		time.Sleep(time.Second)
		f.targets.restore(older)
		for range 18 {
			time.Sleep(100 * time.Millisecond)
			is.True(f.usable("i-2") && f.usable("i-3"))
		}
		f.targets.put("i-2", &catalog.Target{ID: "i-2", Service: "s", Sequence: 1})
		time.Sleep(3 * time.Second)
		is.True(f.usable("i-2"))
		is.True(!f.has("i-3"))
	})
}

// The older copy shows a target as it was before it began to drain, or before it left.
func TestOlderCopyDoesNotTakeBackThatATargetLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		for _, id := range []string{"drains", "left", "other"} {
			f.targets.put(id, &catalog.Target{ID: id, Service: "s", Started: 100, Sequence: 5})
		}
		time.Sleep(time.Second)
		f.targets.rewrite("left", &catalog.Target{ID: "left", Service: "s", Started: 100, Sequence: 6})
		older := f.targets.copy()
		f.targets.rewrite("left", &catalog.Target{ID: "left", Service: "s", Started: 100, Sequence: 7})
		f.targets.put("drains", &catalog.Target{ID: "drains", Service: "s", Started: 100, Sequence: 7, Draining: true})
		f.targets.remove("left")
		time.Sleep(time.Second)
		is.True(!f.usable("drains") && !f.has("left"))
		f.targets.restore(older)
		for i := range 20 {
			time.Sleep(200 * time.Millisecond)
			is.True(!f.usable("drains"))
			is.True(!f.usable("left"))
			is.True(f.usable("other"))
			f.targets.put("other", &catalog.Target{ID: "other", Service: "s", Started: 100, Sequence: 6 + uint64(i)})
		}
		// What the target itself writes later counts at once, and so does a new start.
		f.targets.put("left", &catalog.Target{ID: "left", Service: "s", Started: 100, Sequence: 8})
		f.targets.put("drains", &catalog.Target{ID: "drains", Service: "s", Started: 900, Sequence: 1})
		time.Sleep(time.Second)
		is.True(f.usable("left"))
		is.True(f.usable("drains"))
	})
}

// A target that was taken for gone by mistake must not stay unused for good.
func TestTargetThatIsHeldToHaveLeftIsConsideredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		f.targets.put("i-2", &catalog.Target{ID: "i-2", Service: "s", Started: 100, Sequence: 5})
		time.Sleep(time.Second)
		older := f.targets.copy()
		f.targets.remove("i-2")
		time.Sleep(time.Second)
		f.targets.restore(older)
		time.Sleep(20 * time.Second)
		is.True(!f.usable("i-2"))
		time.Sleep(15 * time.Second)
		is.True(f.usable("i-2"))
	})
}

// gatedSource blocks the calls of one node.
type gatedSource[T any] struct {
	datastore.Source[T]
	blocked *atomic.Bool
}

func (s gatedSource[T]) Watch(ctx context.Context, revision uint64, wait time.Duration) ([]datastore.Change[T], datastore.Position, error) {
	if s.blocked.Load() {
		return nil, datastore.Position{}, errDown
	}
	return s.Source.Watch(ctx, revision, wait)
}

func (s gatedSource[T]) List(ctx context.Context) ([]datastore.Change[T], datastore.Position, error) {
	if s.blocked.Load() {
		return nil, datastore.Position{}, errDown
	}
	return s.Source.List(ctx)
}

// The reader did not see that a target began to drain and that the older copy took it
// back, but another node did: the reader's lists do not differ, and prove nothing to it.
func TestNodeThatSawWhatTheReaderMissedIsNotServedTheDifference(t *testing.T) {
	for name, takeBack := range map[string]func(*fakeStore[*catalog.Target], fakeState[*catalog.Target]){
		"the store came back from a copy": (*fakeStore[*catalog.Target]).restore,
		"history was gone": func(s *fakeStore[*catalog.Target], older fakeState[*catalog.Target]) {
			s.set(func() { s.items, s.revision, s.compacted = older.items, s.revision+100, s.revision+100 })
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var blocked, memberBlocked atomic.Bool
				z := startZoneWith(t, func(o *datastore.Options, owns bool) {
					o.Sources.Targets = gatedSource[*catalog.Target]{o.Sources.Targets, map[bool]*atomic.Bool{true: &blocked, false: &memberBlocked}[owns]}
				})
				z.putTarget(1, false)
				z.run(5 * time.Second)
				older := z.owner.targets.copy()
				blocked.Store(true)
				z.run(2 * time.Second) // The reader's last watch ends.
				z.putTarget(1, true)
				z.run(8 * time.Second)
				is.True(z.owner.usable("t-1"))
				is.True(z.member.has("t-1") && !z.member.usable("t-1"))
				memberBlocked.Store(true)
				time.Sleep(6 * time.Second) // Its last watch ends.
				takeBack(z.owner.targets, older)
				blocked.Store(false)
				z.run(3 * time.Second)
				memberBlocked.Store(false)
				z.run(drain)
				is.True(z.owner.usable("t-1"))
				is.True(z.member.usable("t-1"))
			})
		})
	}
}

// A node that relies on the reader has no failed call of its own, and keeps the targets
// that are missing after the store's return as the reader does.
func TestNodeThatReliesOnTheReaderRetainsWhatTheOlderCopyLacks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := startZone(t)
		z.putTarget(1, false)
		z.run(5 * time.Second)
		older := z.owner.targets.copy()
		z.putTarget(2, false)
		z.run(2 * time.Second)
		is.True(z.member.usable("t-2"))
		before := z.memberCalls.Load()
		z.owner.targets.restore(older)
		for range 6 {
			z.run(250 * time.Millisecond)
			is.True(z.owner.usable("t-2"))
			is.True(z.member.usable("t-2"))
		}
		z.run(2 * time.Second)
		is.True(!z.member.has("t-2"))
		is.Equal(z.memberCalls.Load(), before)
	})
}

// listCounter counts the lists of one node.
type listCounter[T any] struct {
	datastore.Source[T]
	lists *atomic.Int64
}

func (s listCounter[T]) List(ctx context.Context) ([]datastore.Change[T], datastore.Position, error) {
	s.lists.Add(1)
	return s.Source.List(ctx)
}

// After an outage all nodes read for themselves and learn of the new era at once: hundreds
// of lists, when one is enough.
func TestNodesThatRelyOnTheReaderDoNotListAfterTheStoreCameBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var lists atomic.Int64
		z := startZoneWith(t, func(o *datastore.Options, owns bool) {
			if !owns {
				o.Sources.Configurations = listCounter[*catalog.Config]{o.Sources.Configurations, &lists}
				o.Sources.Targets = listCounter[*catalog.Target]{o.Sources.Targets, &lists}
			}
		})
		z.putTarget(1, false)
		z.run(5 * time.Second)
		is.Equal(lists.Load(), int64(2))
		configs, targets := z.owner.configs, z.owner.targets
		olderConfig, olderTargets := configs.copy(), targets.copy()
		configs.set(func() { configs.down = true })
		targets.set(func() { targets.down = true })
		z.run(10 * time.Second)
		is.True(!z.member.manager.KeysProven())
		configs.restore(olderConfig)
		targets.restore(olderTargets)
		configs.set(func() { configs.down = false })
		targets.set(func() { targets.down = false })
		z.putTarget(2, false)
		z.run(3 * time.Second)
		is.True(z.member.usable("t-2"))
		is.True(z.member.manager.KeysProven())
		z.run(10 * time.Second)
		is.Equal(lists.Load(), int64(2))
		is.Equal(z.memberFetches.Load(), int64(1))
	})
}

// A node of a release that knows no eras, or one that has not learned of the new era,
// proves nothing about the items of this one.
func TestProofFromANodeOfAnOlderEraDoesNotStandIn(t *testing.T) {
	for name, at := range map[string]datastore.Position{
		"without eras": {Revision: 1 << 40}, "of an older era": {Era: 1, Revision: 1 << 40},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				z := startZone(t)
				z.owner.targets.restore(z.owner.targets.copy())
				z.putTarget(1, false)
				z.run(5 * time.Second)
				z.putTarget(1, true)
				for range int(drain / relayInterval) {
					z.member.manager.ApplyChanges(datastore.KindTargets, datastore.Delta{Position: at}, virtualNow())
					time.Sleep(relayInterval)
				}
				is.True(!z.member.usable("t-1"))
			})
		})
	}
}

// The number of nodes divides the teams' limits, so that fewer nodes would each take more
// until the lost ones have announced themselves again.
func TestNodesThatTheOlderCopyLacksAreRetainedAndAnnounceThemselvesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var known, lost atomic.Int64
		f := &fixture{configs: newFakeStore[*catalog.Config](), targets: newFakeStore[*catalog.Target](), nodes: newFakeStore[datastore.Node]()}
		f.nodes.put("n-2", datastore.Node{Name: "n-2"})
		f.start(t, func(o *datastore.Options) {
			o.Self = "n-1"
			o.OnNodes = func(nodes map[string]datastore.Node) { known.Store(int64(len(nodes))) }
			o.OnUnlisted = func() { lost.Add(1) }
		})
		time.Sleep(time.Second) // The first list lacks this node, which has not announced itself yet.
		older := f.nodes.copy()
		announce := func() {
			f.nodes.put("n-1", datastore.Node{Name: "n-1"})
			at := datastore.Position{}
			f.nodes.set(func() { at = datastore.Position{Era: f.nodes.era, Revision: f.nodes.revision} })
			f.manager.Announced(at)
		}
		announce()
		f.nodes.put("n-3", datastore.Node{Name: "n-3"})
		time.Sleep(20 * time.Second)
		is.Equal(known.Load(), int64(3))
		is.Equal(lost.Load(), int64(0))
		f.nodes.restore(older)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			is.Equal(known.Load(), int64(3))
		}
		is.Equal(lost.Load(), int64(1))
		announce()
		time.Sleep(20 * time.Second)
		is.Equal(known.Load(), int64(2)) // n-3 did not announce itself again
		is.Equal(lost.Load(), int64(1))
	})
}
