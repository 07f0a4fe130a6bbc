package register_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/register"
	"github.com/primrosemoor/primrosemoor/schema"
)

// linkDelay is the one-way latency between nodes of a cluster in tests.
const linkDelay = 20 * time.Millisecond

// cluster is a set of managers that call each other within the process.
type cluster struct {
	store        *objects.Memory
	mu           sync.Mutex
	managers     map[string]*register.Manager
	disconnected map[string]bool
	bytes        map[string]int
}

func newCluster() *cluster {
	return &cluster{
		store:        objects.NewMemory(),
		managers:     make(map[string]*register.Manager),
		disconnected: make(map[string]bool),
		bytes:        make(map[string]int),
	}
}

// start runs a manager until the test ends and checks that its revision only
// increases.
func (c *cluster) start(t *testing.T, address string, watcher bool) *register.Manager {
	m := register.NewManager(register.Options{Store: c.store, Peers: peerLink{c, address}, Seed: uint64(len(c.managers) + 1)})
	m.SetWatchStore(watcher)
	var last uint64
	m.Subscribe(func(config *schema.Config) {
		if config.GetRevision() <= last {
			t.Errorf("%s went from revision %d to %d", address, last, config.GetRevision())
		}
		last = config.GetRevision()
	})
	c.mu.Lock()
	c.managers[address] = m
	c.mu.Unlock()
	go m.Run(t.Context())
	return m
}

// heartbeat periodically exchanges revisions between the first node and every
// other, as heartbeats do.
func (c *cluster) heartbeat(t *testing.T, interval time.Duration) {
	go func() {
		for sleep(t.Context(), interval) {
			c.mu.Lock()
			all := make([]string, 0, len(c.managers))
			for address := range c.managers {
				all = append(all, address)
			}
			c.mu.Unlock()
			slices.Sort(all)
			hub := c.manager(all[0])
			for _, address := range all {
				hub.ReportPeerRevision(address, c.manager(address).Revision())
				c.manager(address).ReportPeerRevision(all[0], hub.Revision())
			}
		}
	}()
}

func (c *cluster) manager(address string) *register.Manager {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.managers[address]
}

func (c *cluster) setDisconnected(address string, disconnected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected[address] = disconnected
}

// peerLink connects one node to the others.
type peerLink struct {
	cluster *cluster
	self    string
}

func (l peerLink) Addresses() []string {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	var others []string
	for address := range l.cluster.managers {
		if address != l.self {
			others = append(others, address)
		}
	}
	slices.Sort(others)
	return others
}

func (l peerLink) ConfigDelta(ctx context.Context, address string, r *schema.ConfigDeltaRequest) (*schema.ConfigDelta, error) {
	l.cluster.mu.Lock()
	m := l.cluster.managers[address]
	disconnected := l.cluster.disconnected[address] || l.cluster.disconnected[l.self]
	l.cluster.mu.Unlock()
	if disconnected || m == nil {
		return nil, fault.New(schema.ErrorKind_ERROR_KIND_UNREACHABLE, "disconnected", "")
	}
	sleep(ctx, 2*linkDelay)
	delta, err := m.HandleDelta(ctx, peer.Identity{Node: l.self}, r)
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	l.cluster.bytes[l.self] += sizeOf(r) + sizeOf(delta)
	return delta, err
}

func outage(objects.Operation, string) objects.Fault {
	return objects.Fault{Unavailable: true}
}

func TestChangeReachesEveryNodeThroughOneWatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		config := install(t, c.store, loadExample(t))
		for i := range 8 {
			c.start(t, fmt.Sprintf("n%d", i), i == 3)
		}
		c.heartbeat(t, time.Second)
		time.Sleep(5 * time.Second)
		_, err := register.Apply(t.Context(), c.store, withLeaving(config, 0), "x")
		is.NoErr(err)
		time.Sleep(3 * time.Second)
		for address, m := range c.managers {
			is.Equal(m.Revision(), uint64(2)) // Active on every node.
			is.Equal(len(register.Diff(m.Current(), accepted(t, c.store))), 0)
			is.True(c.bytes[address] < 64_000)
		}
	})
}

func TestNewNodeInAnOutageTakesTheHighestRevisionOfItsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		config := install(t, c.store, loadExample(t))
		stale := c.start(t, "a-stale", false)
		time.Sleep(time.Second)
		c.setDisconnected("a-stale", true)
		fresh := c.start(t, "b-fresh", true)
		time.Sleep(time.Second)
		_, err := register.Apply(t.Context(), c.store, withLeaving(config, 0), "x")
		is.NoErr(err)
		time.Sleep(time.Second)
		is.Equal(fresh.Revision(), uint64(2))
		c.store.Inject(outage)
		is.Equal(stale.Revision(), uint64(1))
		c.setDisconnected("a-stale", false)
		m := c.start(t, "c-new", false)
		time.Sleep(time.Minute)
		is.Equal(m.Revision(), uint64(2))
		is.Equal(stale.Revision(), uint64(2))
	})
}

func TestNodeThatKnowsNoPeerStartsOnceTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		install(t, c.store, loadExample(t))
		c.store.Inject(outage)
		m := c.start(t, "alone", true)
		time.Sleep(time.Hour)
		is.True(m.Current() == nil)
		c.store.Inject(nil)
		time.Sleep(3 * time.Second)
		is.Equal(m.Revision(), uint64(1))
	})
}

func TestPeriodicComparisonMakesUpForALostNotification(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		config := install(t, c.store, loadExample(t))
		c.start(t, "watcher", true)
		unnotified := c.start(t, "deaf", false) // Receives no revisions by heartbeats.
		time.Sleep(time.Second)
		_, err := register.Apply(t.Context(), c.store, withLeaving(config, 0), "x")
		is.NoErr(err)
		time.Sleep(2 * register.DefaultCompareInterval)
		is.Equal(unnotified.Revision(), uint64(2))
	})
}

func TestChangeAcceptedDuringAWatchersOutageIsAdoptedAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		config := install(t, c.store, loadExample(t))
		m := c.start(t, "watcher", true)
		time.Sleep(time.Second)
		c.store.Inject(func(operation objects.Operation, _ string) objects.Fault {
			return objects.Fault{Unavailable: operation == objects.OperationWatch}
		})
		time.Sleep(time.Minute)
		_, err := register.Apply(t.Context(), c.store, withLeaving(config, 0), "x")
		is.NoErr(err)
		c.store.Inject(nil)
		time.Sleep(3 * time.Second)
		is.Equal(m.Revision(), uint64(2))
	})
}

func TestHeadWhosePartsCouldNotBeReadIsReadAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		config := install(t, c.store, loadExample(t))
		m := c.start(t, "watcher", true)
		time.Sleep(time.Second)
		_, err := register.Apply(t.Context(), c.store, withLeaving(config, 0), "x")
		is.NoErr(err)
		c.store.Inject(func(operation objects.Operation, key string) objects.Fault {
			read := operation == objects.OperationGet && strings.HasPrefix(key, "config/part/")
			return objects.Fault{Unavailable: read}
		})
		time.Sleep(100 * time.Millisecond)
		is.Equal(m.Revision(), uint64(1))
		c.store.Inject(nil)
		time.Sleep(2 * time.Second)
		is.Equal(m.Revision(), uint64(2))
	})
}

func TestStoreThatLostRevisionsDoesNotRevertANode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster()
		config := install(t, c.store, loadExample(t))
		m := c.start(t, "watcher", true)
		time.Sleep(time.Second)
		backup, err := c.store.Get(t.Context(), register.HeadKey)
		is.NoErr(err)
		_, err = register.Apply(t.Context(), c.store, withLeaving(config, 0), "x")
		is.NoErr(err)
		time.Sleep(time.Second)
		now, err := c.store.Get(t.Context(), register.HeadKey)
		is.NoErr(err)
		_, err = c.store.Put(t.Context(), register.HeadKey, backup.Value, now.Version)
		is.NoErr(err)
		time.Sleep(10 * time.Minute)
		is.Equal(m.Revision(), uint64(2))
	})
}
