package datastore_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/datastore"
)

const (
	drain = 2500 * time.Millisecond
	// relayInterval is the time between two acknowledgements of the zone's owner.
	relayInterval = 250 * time.Millisecond
)

// countingSource counts the calls of one node.
type countingSource[T any] struct {
	datastore.Source[T]
	calls *atomic.Int64
}

func (s countingSource[T]) List(ctx context.Context) ([]datastore.Change[T], datastore.Position, error) {
	s.calls.Add(1)
	return s.Source.List(ctx)
}

func (s countingSource[T]) Watch(ctx context.Context, revision uint64, wait time.Duration) ([]datastore.Change[T], datastore.Position, error) {
	s.calls.Add(1)
	return s.Source.Watch(ctx, revision, wait)
}

// zone is the owner of a zone and another node of it.
type zone struct {
	owner, member *fixture
	// memberCalls counts the member's calls to the store.
	memberCalls atomic.Int64
	// memberFetches counts the snapshots that the member takes from the owner.
	memberFetches atomic.Int64
	// cut stops the owner from passing on what it reads.
	cut bool
}

// startZone starts an owner that reads the store and another node that takes from it
// what it reads.
func startZone(t *testing.T) *zone {
	t.Helper()
	return startZoneWith(t, func(*datastore.Options, bool) {})
}

// startZoneWith starts a zone; edit may change the options of the owner and of the other
// node.
func startZoneWith(t *testing.T, edit func(o *datastore.Options, owns bool)) *zone {
	t.Helper()
	stores := &fixture{
		configs: newFakeStore[*catalog.Config](),
		targets: newFakeStore[*catalog.Target](),
		nodes:   newFakeStore[datastore.Node](),
	}
	stores.configs.put("main", &catalog.Config{Version: 3, Raw: []byte{3}})
	stores.targets.put("i-1", &catalog.Target{ID: "i-1", Service: "s"})
	z := &zone{}
	options := func(owns bool) func(*datastore.Options) {
		return func(o *datastore.Options) {
			o.Drain = drain
			o.OwnsZone = func() bool { return owns }
			o.ReadsForAll = o.OwnsZone
			o.Nodes = func() int { return 20 }
			if !owns {
				o.Sources.Configurations = countingSource[*catalog.Config]{o.Sources.Configurations, &z.memberCalls}
				o.Sources.Targets = countingSource[*catalog.Target]{o.Sources.Targets, &z.memberCalls}
				o.Sources.Nodes = countingSource[datastore.Node]{o.Sources.Nodes, &z.memberCalls}
				o.SnapshotReader.Fetch = func(ctx context.Context, _ string, _ bool) (datastore.Snapshot, error) {
					z.memberFetches.Add(1)
					return z.owner.manager.Snapshot(ctx), nil
				}
			}
			edit(o, owns)
		}
	}
	z.owner, z.member = stores.startPeer(t, options(true)), stores.startPeer(t, options(false))
	return z
}

// run passes on what the owner reads for a duration.
func (z *zone) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(relayInterval) {
		if z.cut {
			continue
		}
		for _, kind := range []datastore.Kind{datastore.KindTargets, datastore.KindNodes} {
			sent := virtualNow()
			if d, age, ok := z.owner.manager.Changes(kind, z.member.manager.Position(kind)); ok {
				z.member.manager.ApplyChanges(kind, d, sent.Add(-age))
			}
		}
		config, age, ok := z.owner.manager.Proof()
		if ok {
			z.member.manager.ApplyProof(config, virtualNow().Add(-age), "owner")
		}
	}
}

func (z *zone) putTarget(i int, draining bool) {
	id := fmt.Sprint("t-", i)
	z.owner.targets.put(id, &catalog.Target{ID: id, Service: "s", Draining: draining})
}

// A node whose zone has an owner calls the store no more once it has started,
// whatever changes, and knows of each change soon after the owner.
func TestNodeTakesChangesFromTheOwnerOfItsZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := startZone(t)
		z.run(5 * time.Second)
		before := z.memberCalls.Load()
		for i := range 20 {
			z.putTarget(i, false)
			z.run(time.Second)
			is.True(z.member.has(fmt.Sprint("t-", i)))
		}
		is.Equal(z.memberCalls.Load(), before)
		z.owner.targets.remove("t-3")
		z.run(time.Second)
		is.True(!z.member.has("t-3"))
		is.True(z.member.has("t-4"))
	})
}

// A node that starts beside others lists the store once and watches nothing.
func TestNodeThatStartsBesideOthersOnlyLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := startZone(t)
		time.Sleep(500 * time.Millisecond)
		z.run(20 * time.Second)
		is.Equal(z.memberCalls.Load(), int64(3))
	})
}

// An owner that has to list the store again passes on what changed meanwhile, not all
// objects.
func TestOwnerThatListsAgainPassesOnTheDifference(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := startZone(t)
		z.run(5 * time.Second)
		before := z.owner.manager.Position(datastore.KindTargets)
		z.owner.targets.set(func() { z.owner.targets.compacted = 1 << 30 })
		z.putTarget(5, false)
		z.owner.targets.remove("i-1")
		time.Sleep(3 * time.Second)
		z.owner.targets.set(func() { z.owner.targets.compacted = 0 })
		d, _, ok := z.owner.manager.Changes(datastore.KindTargets, before)
		is.True(ok)
		is.True(!d.Complete)
		is.Equal(len(d.Objects), 2)
	})
}

// A node that no longer hears from the owner, or whose owner no longer reads the
// store, learns in time from the store itself that a target drains.
func TestDrainingIsKnownInTimeWithoutTheOwner(t *testing.T) {
	for name, fail := range map[string]func(z *zone){
		"owner is silent": func(z *zone) { z.cut = true },
		// Its watch is still waiting, and what it passes on no longer gets younger.
		"owner stands still": func(z *zone) {
			d, age, _ := z.owner.manager.Changes(datastore.KindTargets, datastore.Position{})
			proven := virtualNow().Add(-age)
			z.cut = true
			go func() {
				for range 20 {
					z.member.manager.ApplyChanges(datastore.KindTargets, d, proven)
					time.Sleep(relayInterval)
				}
			}()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				z := startZone(t)
				z.putTarget(1, false)
				for range 7 {
					z.cut = false
					z.run(5*time.Second + 130*time.Millisecond)
					is.True(z.member.has("t-1"))
					fail(z)
					z.owner.targets.remove("t-1")
					z.run(drain)
					is.True(!z.member.has("t-1"))
					z.putTarget(1, false)
					z.run(5 * time.Second)
				}
			})
		})
	}
}

// A node that missed more changes than the owner keeps reads the store, and then
// follows the owner again. Only a node that could not list the store gets all objects.
func TestNodeThatMissedManyChangesReadsForItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := startZone(t)
		for i := range 50 {
			z.putTarget(i, false)
		}
		z.run(5 * time.Second)
		missed := z.member.manager.Position(datastore.KindTargets)
		for range 60 {
			for i := range 50 {
				z.putTarget(i, false)
			}
			time.Sleep(time.Second)
		}
		z.owner.targets.remove("t-9")
		time.Sleep(time.Second)
		_, _, ok := z.owner.manager.Changes(datastore.KindTargets, missed)
		is.True(!ok)
		all, _, ok := z.owner.manager.Changes(datastore.KindTargets, datastore.Position{Revision: 1})
		is.True(ok)
		is.True(all.Complete)
		is.Equal(len(all.Objects), 50) // i-1 and t-0 to t-49 without t-9
		z.run(3 * time.Second)
		is.True(!z.member.has("t-9"))
		is.True(z.member.has("t-8"))
		calls := z.memberCalls.Load()
		z.putTarget(77, false)
		z.run(time.Second)
		is.True(z.member.has("t-77"))
		is.Equal(z.memberCalls.Load(), calls)
	})
}

func TestWhatAnotherNodeReadBeforeAnOutageDoesNotEndIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logged := &lines{}
		z := startZoneWith(t, func(o *datastore.Options, owns bool) {
			o.Nodes = func() int { return 6 }
			if !owns {
				logged.log(o)
			}
		})
		z.putTarget(2, false)
		z.run(2 * time.Second)
		z.owner.targets.set(func() { z.owner.targets.down = true })
		z.run(8 * time.Second)
		is.Equal(logged.count("store_lost"), 1)
		is.Equal(logged.count("store_regained"), 0)
		z.owner.targets.remove("t-2") // Its entry lapses.
		z.owner.targets.set(func() { z.owner.targets.down = false })
		z.run(1500 * time.Millisecond)
		is.Equal(logged.count("store_regained"), 1)
		is.True(z.member.has("t-2"))
	})
}
