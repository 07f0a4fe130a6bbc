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
	settleTime  = 5 * time.Second
	restTime    = 10 * time.Second
	changeCount = 8
	changeGap   = 250 * time.Millisecond
)

// atRest is the cost of an idle cluster.
type atRest struct {
	// cpu is the share of a core that one node uses.
	cpu float64
	// sent is the bytes a second that one node sends to peers.
	sent float64
	// heap is the live heap of one node in bytes.
	heap float64
	// reads, writes and bytes are the whole cluster's calls of the object API
	// a second and the bytes they carried.
	reads  float64
	writes float64
	bytes  float64
	// report is the size of the largest zone report in bytes.
	report float64
}

// measureRest runs n nodes without requests.
func measureRest(n int) (atRest, error) {
	empty := liveHeap()
	c, err := startCluster(n, makeConfig(n*vmsPerNode, targetTeams))
	if err != nil {
		return atRest{}, err
	}
	defer c.stop()
	time.Sleep(settleTime)
	store, sent, cpu := c.use.read(), c.traffic(), cpuTime()
	time.Sleep(restTime)
	seconds := restTime.Seconds()
	nodes := float64(n)
	used := c.use.read().minus(store)
	return atRest{
		cpu:    (cpuTime() - cpu).Seconds() / seconds / nodes,
		sent:   float64(c.traffic()-sent) / seconds / nodes,
		heap:   float64(liveHeap()-empty) / nodes,
		reads:  float64(used.reads) / seconds,
		writes: float64(used.writes) / seconds,
		bytes:  float64(used.bytes) / seconds,
		report: c.largest("membership/report/"),
	}, nil
}

// largest returns the size of the largest object under a prefix.
func (c *cluster) largest(prefix string) float64 {
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

// change is the cost of configuration changes in a cluster.
type change struct {
	// p50 and max are the times from acceptance until in force at a node, over
	// all nodes and changes.
	p50 time.Duration
	max time.Duration
	// sent is the bytes that one node sends to peers for one change.
	sent float64
	cpu  float64
	// head and part are the sizes of the configuration's objects in bytes.
	head float64
	part float64
	// rss is the process's resident memory for one node, in bytes.
	rss float64
}

// measureChanges applies single changes one after the other.
func measureChanges(n, vms int) (change, error) {
	c, err := startCluster(n, makeConfig(vms, targetTeams))
	if err != nil {
		return change{}, err
	}
	defer c.stop()
	time.Sleep(settleTime)
	rest := c.restUse()
	began, sent, cpu := time.Now(), c.traffic(), cpuTime()
	var times []time.Duration
	for i := range changeCount {
		took, err := c.applyOne(i)
		if err != nil {
			return change{}, err
		}
		times = append(times, took...)
		time.Sleep(changeGap)
	}
	slices.Sort(times)
	used := use{sent: float64(c.traffic() - sent), cpu: (cpuTime() - cpu).Seconds()}
	used = used.without(rest, time.Since(began))
	per := float64(n * changeCount)
	return change{
		p50:  times[len(times)/2],
		max:  times[len(times)-1],
		sent: used.sent / per,
		cpu:  used.cpu / per,
		head: c.largest("config/head"),
		part: c.largest("config/part/"),
		rss:  residentMemory() / float64(n),
	}, nil
}

// residentMemory returns the process's resident set in bytes after unused
// memory has been given back.
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

// measureOperator returns the processor time, in seconds, of one edit without
// any node.
func measureOperator(vms int) (float64, error) {
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

// use is what all nodes of a cluster spend: bytes sent to peers and seconds of
// processor time.
type use struct {
	sent float64
	cpu  float64
}

// without subtracts what a cluster at rest spends in the time, given its use
// in a second.
func (u use) without(rest use, d time.Duration) use {
	return use{
		sent: max(u.sent-rest.sent*d.Seconds(), 0),
		cpu:  max(u.cpu-rest.cpu*d.Seconds(), 0),
	}
}

// restUse returns what all nodes spend in a second without changes.
func (c *cluster) restUse() use {
	sent, cpu := c.traffic(), cpuTime()
	time.Sleep(settleTime)
	return use{
		sent: float64(c.traffic()-sent) / settleTime.Seconds(),
		cpu:  (cpuTime() - cpu).Seconds() / settleTime.Seconds(),
	}
}

// applyOne edits one VM and waits until the change is in force.
func (c *cluster) applyOne(i int) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), settleLimit)
	defer cancel()
	revision, err := c.edit(ctx, i)
	if err != nil {
		return nil, err
	}
	return c.waitForRevision(revision)
}

// edit marks one more VM as leaving, as an operator does.
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

// measureTopology returns the time to derive a snapshot at a size.
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

// measureConfigMemory returns the live heap of one node's configuration and
// topology at a number of VMs.
func measureConfigMemory(vms int) float64 {
	before := liveHeap()
	config := makeConfig(vms, targetTeams)
	snapshot := topology.Build(config, nil, topology.Options{})
	used := float64(liveHeap() - before)
	runtime.KeepAlive(config)
	runtime.KeepAlive(snapshot)
	return used
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
