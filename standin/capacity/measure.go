package capacity

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/register"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

const (
	settleTime     = 5 * time.Second
	idleTime       = 10 * time.Second
	changeCount    = 8
	changeInterval = 250 * time.Millisecond
)

// idleCost is the cost of a cluster without requests and changes.
type idleCost struct {
	// cpu is the fraction of a core that one node uses.
	cpu float64
	// sent is the rate in bytes per second at which one node sends to peers.
	sent float64
	// heap is the live heap of one node in bytes.
	heap float64
	// reads, writes and bytes are the calls of the object API and their payload
	// per second, for the whole cluster.
	reads  float64
	writes float64
	bytes  float64
	// report is the size of the largest zone report in bytes.
	report float64
}

// measureIdle measures n nodes without requests and changes.
func measureIdle(n int) (idleCost, error) {
	empty := liveHeap()
	c, err := startCluster(n, makeConfig(n*vmsPerNode, targetTeams))
	if err != nil {
		return idleCost{}, err
	}
	defer c.stop()
	time.Sleep(settleTime)
	store, sent, cpu := c.counters.read(), c.bytesSent(), cpuTime()
	time.Sleep(idleTime)
	seconds := idleTime.Seconds()
	nodes := float64(n)
	used := c.counters.read().minus(store)
	return idleCost{
		cpu:    (cpuTime() - cpu).Seconds() / seconds / nodes,
		sent:   float64(c.bytesSent()-sent) / seconds / nodes,
		heap:   float64(liveHeap()-empty) / nodes,
		reads:  float64(used.reads) / seconds,
		writes: float64(used.writes) / seconds,
		bytes:  float64(used.bytes) / seconds,
		report: c.maxObjectBytes("membership/report/"),
	}, nil
}

// maxObjectBytes returns the size of the largest object under a prefix.
func (c *cluster) maxObjectBytes(prefix string) float64 {
	objects, err := c.memory.List(context.Background(), prefix)
	if err != nil {
		return 0
	}
	size := 0
	for _, o := range objects {
		size = max(size, len(o.Value))
	}
	return float64(size)
}

// changeCost is the cost of a configuration change in a cluster.
type changeCost struct {
	// p50 and max are the median and the maximum time from the acceptance of a
	// change until it is in force at a node, over all nodes and changes.
	p50 time.Duration
	max time.Duration
	// sent is the number of bytes that one node sends to peers for one change,
	// and cpu is the CPU time that it uses in seconds.
	sent float64
	cpu  float64
	// head and part are the sizes in bytes of the configuration's head and of its
	// largest part.
	head float64
	part float64
	// rss is the resident memory of the process divided by the number of nodes,
	// in bytes.
	rss float64
}

// measureChanges applies changeCount changes one after the other and subtracts
// the usage of the idle cluster.
func measureChanges(n, vms int) (changeCost, error) {
	c, err := startCluster(n, makeConfig(vms, targetTeams))
	if err != nil {
		return changeCost{}, err
	}
	defer c.stop()
	time.Sleep(settleTime)
	idle := c.idleUsage()
	began, sent, cpu := time.Now(), c.bytesSent(), cpuTime()
	var times []time.Duration
	for i := range changeCount {
		elapsed, err := c.applyChange(i)
		if err != nil {
			return changeCost{}, err
		}
		times = append(times, elapsed...)
		time.Sleep(changeInterval)
	}
	slices.Sort(times)
	used := usage{sent: float64(c.bytesSent() - sent), cpu: (cpuTime() - cpu).Seconds()}
	used = used.minusIdle(idle, time.Since(began))
	per := float64(n * changeCount)
	return changeCost{
		p50:  times[len(times)/2],
		max:  times[len(times)-1],
		sent: used.sent / per,
		cpu:  used.cpu / per,
		head: c.maxObjectBytes("config/head"),
		part: c.maxObjectBytes("config/part/"),
		rss:  residentMemory() / float64(n),
	}, nil
}

// residentMemory returns the resident set size of the process in bytes, after
// unused memory has been returned to the operating system.
func residentMemory() float64 {
	debug.FreeOSMemory()
	content, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var total, resident float64
	if _, err := fmt.Sscan(string(content), &total, &resident); err != nil {
		return 0
	}
	return resident * float64(os.Getpagesize())
}

// measureEditCPU returns the CPU time in seconds of one edit by the operator,
// without any node.
func measureEditCPU(vms int) (float64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), settleLimit)
	defer cancel()
	c := &cluster{memory: objects.NewMemory()}
	changes := register.Diff(&schema.Config{}, makeConfig(vms, targetTeams))
	if _, err := register.Apply(ctx, c.memory, changes, clusterName); err != nil {
		return 0, fmt.Errorf("apply the configuration: %w", err)
	}
	cpu := cpuTime()
	for i := range changeCount {
		if _, err := c.edit(ctx, i); err != nil {
			return 0, err
		}
	}
	return (cpuTime() - cpu).Seconds() / changeCount, nil
}

// usage is the resource usage of all nodes of a cluster: bytes sent to peers and
// CPU time in seconds.
type usage struct {
	sent float64
	cpu  float64
}

// minusIdle subtracts the usage of the idle cluster over the duration, given its
// usage per second. The result is never negative.
func (u usage) minusIdle(idle usage, d time.Duration) usage {
	return usage{
		sent: max(u.sent-idle.sent*d.Seconds(), 0),
		cpu:  max(u.cpu-idle.cpu*d.Seconds(), 0),
	}
}

// idleUsage measures the usage per second of all nodes without changes.
func (c *cluster) idleUsage() usage {
	sent, cpu := c.bytesSent(), cpuTime()
	time.Sleep(settleTime)
	return usage{
		sent: float64(c.bytesSent()-sent) / settleTime.Seconds(),
		cpu:  (cpuTime() - cpu).Seconds() / settleTime.Seconds(),
	}
}

// applyChange edits one VM, waits until the change is in force at all nodes and
// returns the time until then for each node.
func (c *cluster) applyChange(i int) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), settleLimit)
	defer cancel()
	revision, err := c.edit(ctx, i)
	if err != nil {
		return nil, err
	}
	return c.waitForRevision(revision)
}

// edit marks the first i+1 VMs as leaving, one more than the edit before, as an
// operator does. It returns the new revision.
func (c *cluster) edit(ctx context.Context, i int) (uint64, error) {
	base, err := register.Read(ctx, c.memory)
	if err != nil {
		return 0, fmt.Errorf("read the configuration: %w", err)
	}
	next := makeConfig(len(base.GetVms()), targetTeams)
	for leaving := range i + 1 {
		next.Vms[leaving].State = schema.VMState_VM_STATE_LEAVING
	}
	revision, err := register.Apply(ctx, c.memory, register.Diff(base, next), clusterName)
	if err != nil {
		return 0, fmt.Errorf("apply a change: %w", err)
	}
	return revision, nil
}

// measureTopology returns the mean time to build a topology snapshot.
func measureTopology(vms, nodes int) time.Duration {
	config := makeConfig(vms, targetTeams)
	members := make([]*schema.Member, nodes)
	for i := range members {
		zone := zoneOf(i)
		members[i] = &schema.Member{
			Node:             fmt.Sprintf("node-%03d", i),
			AvailabilityZone: zone.GetName(),
			Region:           zone.GetRegion(),
			State:            schema.MemberState_MEMBER_STATE_ACTIVE,
		}
	}
	const rounds = 5
	began := time.Now()
	for range rounds {
		topology.Build(config, members, topology.Options{})
	}
	return time.Since(began) / rounds
}

// measureConfigMemory returns the heap in bytes that one node's configuration and
// topology use at a number of VMs.
func measureConfigMemory(vms int) float64 {
	before := liveHeap()
	config := makeConfig(vms, targetTeams)
	snapshot := topology.Build(config, nil, topology.Options{})
	used := float64(liveHeap() - before)
	runtime.KeepAlive(config)
	runtime.KeepAlive(snapshot)
	return used
}

// liveHeap returns the bytes of heap objects in use. It collects twice, since
// pooled objects and objects with finalizers survive the first collection.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
