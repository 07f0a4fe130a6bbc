package datastore_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/datastore"
)

// One list with a wrong era, which is higher than the store's, must cost only itself.
func TestOneListWithAWrongEraDoesNotStopANodeForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		time.Sleep(5 * time.Second)
		f.configs.set(func() { f.configs.era, f.configs.compacted = 99, 1<<30 })
		time.Sleep(4 * time.Second) // The node lists under the wrong era.
		f.configs.set(func() { f.configs.era, f.configs.compacted = 1, 0 })
		f.configs.put("main", &catalog.Config{Version: 12})
		time.Sleep(time.Minute)
		is.Equal(f.version(), uint64(12))
		is.True(f.manager.KeysProven())
	})
}

// must still end the watches of the other kinds.
func TestWrongEraDoesNotHideTheNextReturnOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		time.Sleep(time.Second)
		f.manager.ApplyEra(7)
		time.Sleep(20 * time.Second)
		older := f.nodes.copy()
		f.nodes.put("n-1", datastore.Node{Name: "n-1"})
		time.Sleep(time.Second) // The follower pauses after the change.
		f.nodes.restore(older)
		f.nodes.put("n-2", datastore.Node{Name: "n-2"})
		f.nodes.overtake()
		time.Sleep(5 * time.Second) // The next watch waits.
		f.configs.restore(f.configs.copy())
		time.Sleep(3 * time.Second)
		_, ok := f.manager.Snapshot(t.Context()).Nodes["n-2"]
		is.True(ok)
	})
}

// A wrong era in another node's proof must not make the store's older copy stale for good.
func TestWrongEraOfAProofDoesNotStopTheProofAfterTheNextReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		time.Sleep(time.Second)
		older := f.configs.copy()
		f.configs.put("main", &catalog.Config{Version: 9, Raw: []byte{9}})
		time.Sleep(time.Second)
		f.snapshot = datastore.Snapshot{Version: 9, Era: 99, Configuration: []byte{9}}
		f.manager.ApplyProof(datastore.ConfigState{Version: 9, Era: 99}, virtualNow(), "peer")
		time.Sleep(5 * time.Second)
		f.configs.restore(older)
		time.Sleep(2 * revocation)
		is.True(f.manager.KeysProven())
	})
}

// One list of the reader with a wrong era must not stop the nodes that rely on it.
func TestOneListOfTheReaderWithAWrongEraDoesNotStopTheOthersForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := startZone(t)
		z.run(5 * time.Second)
		z.owner.targets.set(func() { z.owner.targets.era, z.owner.targets.compacted = 99, 1<<30 })
		z.run(4 * time.Second) // The reader lists under the wrong era; the member takes it over.
		z.owner.targets.set(func() { z.owner.targets.era, z.owner.targets.compacted = 1, 0 })
		z.putTarget(1, false)
		z.run(time.Minute)
		is.True(z.member.usable("t-1"))
	})
}

// Nor the nodes that start later, although they have listed the store as it is.
func TestOneListOfTheReaderWithAWrongEraDoesNotStopANodeThatStartsLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := startZone(t)
		z.run(5 * time.Second)
		z.owner.targets.set(func() { z.owner.targets.era, z.owner.targets.compacted = 99, 1<<30 })
		z.run(4 * time.Second)
		z.owner.targets.set(func() { z.owner.targets.era, z.owner.targets.compacted = 1, 0 })
		z.run(2 * time.Second)
		z.member = z.owner.startPeer(t, func(o *datastore.Options) {
			o.Drain = drain
			o.OwnsZone = func() bool { return false }
			o.ReadsForAll = o.OwnsZone
			o.Nodes = func() int { return 20 }
		})
		time.Sleep(200 * time.Millisecond)
		z.run(5 * time.Second)
		z.putTarget(1, false)
		z.run(time.Minute)
		is.True(z.member.usable("t-1"))
	})
}

// not stop a node for good.
func TestStoreThatNoLongerNamesItsEraIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		time.Sleep(5 * time.Second)
		f.configs.set(func() { f.configs.era = 0 })
		f.configs.put("main", &catalog.Config{Version: 12})
		time.Sleep(time.Minute)
		is.Equal(f.version(), uint64(12))
	})
}
