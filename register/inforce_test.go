package register_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/register"
	"github.com/primrosemoor/primrosemoor/schema"
)

// Goals for the time from the acceptance of a change until it is active on every
// node, for clusters of the current and of the planned size.
const (
	goalCurrentSize = 3 * time.Second
	goalPlannedSize = 9 * time.Second
)

const (
	heartbeatInterval = time.Second
	zoneDelay         = 1500 * time.Microsecond
	regionDelay       = 20 * time.Millisecond
	storeDelay        = 5 * time.Millisecond
	watchersPerZone   = 2
	changesPerDay     = 18_000
)

// fleet is a cluster of managers spread over availability zones. They exchange
// revisions by heartbeats with their zone's reporter.
type fleet struct {
	store       *objects.Memory
	nodes       []*fleetNode
	zones       int
	pulledBytes atomic.Int64
	storeBytes  atomic.Int64
	accepted    sync.Map // revision to time.Time
}

// fleetNode is one manager and the times at which it adopted each revision.
type fleetNode struct {
	fleet   *fleet
	index   int
	manager *register.Manager
	mu      sync.Mutex
	adopted []adoption
}

type adoption struct {
	revision uint64
	at       time.Time
}

func startFleet(t *testing.T, nodes, zones int, config *schema.Config) *fleet {
	f := &fleet{store: objects.NewMemory(), zones: zones}
	install(t, f.store, config)
	f.store.Inject(func(objects.Operation, string) objects.Fault { return objects.Fault{Delay: storeDelay} })
	for i := range nodes {
		n := &fleetNode{fleet: f, index: i}
		n.manager = register.NewManager(register.Options{Store: meteredStore{f}, Peers: n, Seed: uint64(i + 1)})
		n.manager.SetWatchStore(i/zones < watchersPerZone)
		n.manager.Subscribe(n.adopt)
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		go n.manager.Run(t.Context())
		go n.heartbeats(t.Context())
	}
	return f
}

func (n *fleetNode) adopt(c *schema.Config) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.adopted = append(n.adopted, adoption{c.GetRevision(), time.Now()})
}

// heartbeats periodically reports this node's revision to the zone's reporter,
// and the reporter's revision to this node.
func (n *fleetNode) heartbeats(ctx context.Context) {
	reporter := n.fleet.nodes[n.index%n.fleet.zones]
	random := rand.New(rand.NewPCG(uint64(n.index), 2))
	sleep(ctx, time.Duration(random.Int64N(int64(heartbeatInterval))))
	for sleep(ctx, heartbeatInterval) {
		reporter.manager.ReportPeerRevision(n.address(), n.manager.Revision())
		n.manager.ReportPeerRevision(reporter.address(), reporter.manager.Revision())
	}
}

func (n *fleetNode) address() string { return fmt.Sprint(n.index) }

func (n *fleetNode) Addresses() []string {
	var others []string
	for _, other := range n.fleet.nodes {
		if other != n {
			others = append(others, other.address())
		}
	}
	return others
}

func (n *fleetNode) ConfigDelta(ctx context.Context, address string, r *schema.ConfigDeltaRequest) (*schema.ConfigDelta, error) {
	var to int
	if _, err := fmt.Sscan(address, &to); err != nil {
		return nil, err
	}
	delay := regionDelay
	if to%n.fleet.zones == n.index%n.fleet.zones {
		delay = zoneDelay
	}
	sleep(ctx, 2*delay)
	delta, err := n.fleet.nodes[to].manager.HandleDelta(ctx, peer.Identity{}, r)
	n.fleet.pulledBytes.Add(int64(proto.Size(r) + proto.Size(delta)))
	return delta, err
}

// meteredStore counts the bytes that nodes read from the store.
type meteredStore struct{ fleet *fleet }

func (s meteredStore) Get(ctx context.Context, key string) (objects.Object, error) {
	o, err := s.fleet.store.Get(ctx, key)
	s.fleet.storeBytes.Add(int64(len(o.Value)))
	return o, err
}

func (s meteredStore) Watch(ctx context.Context, prefix string, cursor uint64, wait time.Duration) (objects.Changes, error) {
	changes, err := s.fleet.store.Watch(ctx, prefix, cursor, wait)
	for _, o := range changes.Objects {
		s.fleet.storeBytes.Add(int64(len(o.Value)))
	}
	return changes, err
}

func (s meteredStore) Put(ctx context.Context, key string, value []byte, expect objects.Version) (objects.Version, error) {
	return s.fleet.store.Put(ctx, key, value, expect)
}

func (s meteredStore) Delete(ctx context.Context, key string, expect objects.Version) error {
	return s.fleet.store.Delete(ctx, key, expect)
}

func (s meteredStore) List(ctx context.Context, prefix string) ([]objects.Object, error) {
	objects, err := s.fleet.store.List(ctx, prefix)
	for _, o := range objects {
		s.fleet.storeBytes.Add(int64(len(o.Value)))
	}
	return objects, err
}

func (s meteredStore) VMs(ctx context.Context) ([]objects.VMStatus, error) {
	return s.fleet.store.VMs(ctx)
}

// edit sets the generation of a VM and records when the change was accepted.
func (f *fleet) edit(t *testing.T, vm int, generation string) {
	base := accepted(t, f.store)
	want := proto.CloneOf(base)
	want.Vms[vm%len(want.Vms)].Generation = generation
	revision, err := register.Apply(t.Context(), f.store, register.Diff(base, want), "operator")
	if err != nil {
		t.Error(err)
		return
	}
	f.accepted.Store(revision, time.Now())
}

// propagationTimes returns, for each accepted revision, the time until the last
// node had adopted it or a later one.
func (f *fleet) propagationTimes(t *testing.T) []time.Duration {
	var times []time.Duration
	f.accepted.Range(func(revision, at any) bool {
		var last time.Time
		for _, n := range f.nodes {
			first, ok := n.firstAdopted(revision.(uint64))
			if !ok {
				t.Errorf("node %d never adopted revision %d", n.index, revision)
			}
			if first.After(last) {
				last = first
			}
		}
		times = append(times, max(0, last.Sub(at.(time.Time))))
		return true
	})
	return times
}

// firstAdopted returns when the node adopted revision or a later one.
func (n *fleetNode) firstAdopted(revision uint64) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	i, _ := slices.BinarySearchFunc(n.adopted, revision, func(a adoption, r uint64) int { return cmp.Compare(a.revision, r) })
	if i == len(n.adopted) {
		return time.Time{}, false
	}
	return n.adopted[i].at, true
}

// reversions counts the nodes that went to a lower revision.
func (f *fleet) reversions() int {
	count := 0
	for _, n := range f.nodes {
		if !slices.IsSortedFunc(n.adopted, func(a, b adoption) int { return cmp.Compare(a.revision, b.revision) }) {
			count++
		}
	}
	return count
}

// inForceResult holds the measurements of one case.
type inForceResult struct {
	Case             string  `json:"case"`
	Nodes            int     `json:"nodes"`
	Zones            int     `json:"availability_zones"`
	VMs              int     `json:"vms"`
	Changes          int     `json:"changes"`
	P50              float64 `json:"p50_s"`
	P99              float64 `json:"p99_s"`
	Max              float64 `json:"max_s"`
	PulledBytes      float64 `json:"pulled_bytes_per_change_and_node"`
	StoreBytes       float64 `json:"store_bytes_per_change_and_watcher"`
	StoreCallsPerSec float64 `json:"store_calls_per_s"`
	Reversions       int     `json:"reversions"`
}

// inForceCase describes a fleet and the changes made to its configuration.
type inForceCase struct {
	name                       string
	nodes, zones, vms          int
	changes                    int
	meanInterval, settle, goal time.Duration
}

func (c inForceCase) run(t *testing.T) (r inForceResult) {
	synctest.Test(t, func(t *testing.T) {
		config := loadExample(t)
		config.Vms = nil
		for i := range c.vms {
			config.Vms = append(config.Vms, bareVM(fmt.Sprintf("vm-%04d", i)))
		}
		f := startFleet(t, c.nodes, c.zones, config)
		time.Sleep(30 * time.Second) // Lets the fleet settle, in virtual time.
		pulledBytes, storeBytes, calls, began := f.pulledBytes.Load(), f.storeBytes.Load(), f.calls(), time.Now()
		f.makeChanges(t, c)
		time.Sleep(c.settle)
		times := f.propagationTimes(t)
		r = inForceResult{Case: c.name, Nodes: c.nodes, Zones: c.zones, VMs: c.vms, Changes: len(times), Reversions: f.reversions()}
		r.P50, r.P99, r.Max = quantiles(times)
		watchers := min(c.nodes, c.zones*watchersPerZone)
		n := float64(max(1, len(times)))
		r.PulledBytes = float64(f.pulledBytes.Load()-pulledBytes) / n / float64(c.nodes)
		r.StoreBytes = float64(f.storeBytes.Load()-storeBytes) / n / float64(watchers)
		r.StoreCallsPerSec = float64(f.calls()-calls) / time.Since(began).Seconds()
	})
	return r
}

func (f *fleet) calls() uint64 {
	return f.store.Calls(objects.OperationGet) + f.store.Calls(objects.OperationWatch) + f.store.Calls(objects.OperationPut) + f.store.Calls(objects.OperationList)
}

// makeChanges makes the case's changes: all at once, or at exponentially
// distributed intervals if meanInterval is set.
func (f *fleet) makeChanges(t *testing.T, c inForceCase) {
	random := rand.New(rand.NewPCG(7, uint64(c.nodes)))
	var edits sync.WaitGroup
	for i := range c.changes {
		if c.meanInterval > 0 {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(c.meanInterval)))
		}
		edits.Go(func() { f.edit(t, i, fmt.Sprint(i)) })
	}
	edits.Wait()
}

func quantiles(times []time.Duration) (p50, p99, most float64) {
	h := hdrhistogram.New(1, time.Hour.Microseconds(), 3)
	for _, d := range times {
		_ = h.RecordValue(d.Microseconds())
	}
	seconds := func(us int64) float64 { return float64(us) / 1e6 }
	return seconds(h.ValueAtQuantile(50)), seconds(h.ValueAtQuantile(99)), seconds(h.Max())
}

func inForceCases() []inForceCase {
	meanInterval := time.Duration(float64(24*time.Hour) / changesPerDay)
	cases := []inForceCase{
		{name: "day", nodes: 8, zones: 3, vms: 15, changes: 200, meanInterval: meanInterval, settle: time.Minute, goal: goalCurrentSize},
		{name: "burst", nodes: 8, zones: 3, vms: 100, changes: 50, settle: time.Minute, goal: goalCurrentSize},
	}
	if os.Getenv("PRIMROSEMOOR_RESULTS") == "" {
		return cases
	}
	for _, nodes := range []int{16, 32, 52, 104, 208, 400} {
		cases = append(cases,
			inForceCase{name: "day", nodes: nodes, zones: 13, vms: 500, changes: 200, meanInterval: meanInterval, settle: time.Minute, goal: goalPlannedSize},
			inForceCase{name: "burst", nodes: nodes, zones: 13, vms: 500, changes: 50, settle: time.Minute, goal: goalPlannedSize})
	}
	return append(cases,
		inForceCase{name: "day", nodes: 52, zones: 13, vms: 5200, changes: 100, meanInterval: meanInterval, settle: time.Minute, goal: goalPlannedSize},
		inForceCase{name: "burst", nodes: 52, zones: 13, vms: 5200, changes: 50, settle: time.Minute, goal: goalPlannedSize})
}

// TestChangesAreInForceWithinTheGoal measures, in virtual time, how long a
// change takes to become active on every node. If PRIMROSEMOOR_RESULTS is set to
// a path, it also runs the larger fleets and writes all results there as JSON.
func TestChangesAreInForceWithinTheGoal(t *testing.T) {
	var results []inForceResult
	for _, c := range inForceCases() {
		r := c.run(t)
		t.Logf("%+v", r)
		results = append(results, r)
		if r.Max > c.goal.Seconds() {
			t.Errorf("%s at %d nodes: active on all nodes after %.2f s, the goal is %v", c.name, c.nodes, r.Max, c.goal)
		}
		if r.Reversions > 0 {
			t.Errorf("%s at %d nodes: %d reversions", c.name, c.nodes, r.Reversions)
		}
	}
	path := os.Getenv("PRIMROSEMOOR_RESULTS")
	if path == "" {
		return
	}
	text, err := json.MarshalIndent(results, "", "  ")
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}
