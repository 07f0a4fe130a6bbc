package bench

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/admission"
	"github.com/primrosemoor/primrosemoor/scheduling"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// costCase is the size of a group whose permit decisions are timed.
type costCase struct {
	targets, teams, models, blocks int
}

// queuedRequests is the number of requests in the queue while decisions are timed.
const queuedRequests = 1024

// fullGroup is an owner of one group with a full queue.
type fullGroup struct {
	owner   *admission.Owner
	group   string
	granted []*schema.Permit
	size    costCase
	next    int
	now     time.Time
}

func newFullGroup(size costCase) *fullGroup {
	f := &fullGroup{size: size, group: service + "/z/0", now: epoch}
	config := &schema.Config{
		AvailabilityZones: []*schema.AvailabilityZone{{Name: "z", Region: "z"}},
		Tiers:             []*schema.Tier{{Name: "t0"}, {Name: "t1", Rank: 1}, {Name: "t2", Rank: 2}},
		Services:          []*schema.Service{{Name: service, Kind: schema.ServiceKind_SERVICE_KIND_ENGINE}},
	}
	for i := range size.targets {
		w := &schema.Workload{Service: service}
		for m := range size.models {
			w.Models = append(w.Models, fmt.Sprintf("m%d", m))
		}
		config.Vms = append(config.Vms, &schema.VM{Name: fmt.Sprintf("vm%d", i), AvailabilityZone: "z", Workloads: []*schema.Workload{w}})
	}
	f.owner = admission.NewOwner(admission.OwnerOptions{Node: "n",
		Settings: &schema.SchedulingSettings{MaxQueueRequests: 2 * queuedRequests}})
	members := []*schema.Member{{Node: "n", AvailabilityZone: "z", State: schema.MemberState_MEMBER_STATE_ACTIVE}}
	f.owner.Apply(f.now, topology.Build(config, members, topology.Options{TargetsPerGroup: size.targets}))
	for range queuedRequests + 4*size.targets {
		f.enqueue()
	}
	return f
}

// enqueue requests a permit for a large request, so that few run concurrently.
func (f *fullGroup) enqueue() {
	f.next++
	blocks := make([]uint64, f.size.blocks)
	for i := range blocks {
		blocks[i] = uint64(f.next*f.size.blocks + i)
	}
	r := &schema.PermitRequest{
		Group: f.group, Service: service, Model: fmt.Sprintf("m%d", f.next%f.size.models), Team: teamName(f.next % f.size.teams),
		Tier: uint32(f.next % tiers), PromptTokens: 6000, PrefixBlocks: blocks, Deadline: durationpb.New(time.Hour),
	}
	f.owner.Enqueue(f.now, admission.NewWaiter(f.now, r, func(reply *schema.PermitReply, _ error) {
		if p := reply.GetPermit(); p != nil {
			f.granted = append(f.granted, p)
		}
	}))
}

// returnPermit returns the oldest permit, which makes the owner grant others.
func (f *fullGroup) returnPermit() {
	f.now = f.now.Add(10 * time.Millisecond)
	p := f.granted[0]
	f.granted = f.granted[1:]
	f.owner.Return(f.now, &schema.PermitReturn{Number: p.GetNumber(), Group: f.group,
		Result: schema.PermitResult_PERMIT_RESULT_CANCELLED})
}

// decisionCost times one choice among candidates.
func decisionCost(candidates int) testing.BenchmarkResult {
	policy := &scheduling.Policy{FirstTokenGoal: 810 * time.Millisecond, TokenTimeGoal: tokenTimeGoal}
	list := make([]scheduling.Candidate, candidates)
	for i := range list {
		list[i] = scheduling.Candidate{Name: "vm", Models: []string{model}, PrefillRate: 4000,
			TokenTime: 10 * time.Millisecond, LimitTokens: 1e6}
	}
	r := &scheduling.Request{Model: model, PromptTokens: 1000, OutputTokens: 100, Remaining: time.Minute}
	buffer := make([]scheduling.Score, 0, candidates)
	return testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			scheduling.Decide(policy, r, list, nil, buffer)
		}
	})
}

// cost is the mean time and number of allocations of one operation.
type cost struct {
	time   time.Duration
	allocs uint64
}

const (
	costRounds      = 20
	returnsPerRound = queuedRequests / 4
)

// permitCost measures the return of a permit and the grants that follow while the
// queue is full.
func permitCost(size costCase) cost {
	var total time.Duration
	var allocs uint64
	returns := 0
	for range costRounds {
		f := newFullGroup(size)
		before := mallocs()
		begin := time.Now()
		for range returnsPerRound {
			if len(f.granted) == 0 {
				break
			}
			f.returnPermit()
			returns++
		}
		total += time.Since(begin)
		allocs += mallocs() - before
	}
	return cost{total / time.Duration(returns), allocs / uint64(returns)}
}

func mallocs() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}

// groupMemory returns the heap size of one group with a full queue, in bytes.
func groupMemory(size costCase) uint64 {
	before := heapBytes()
	f := newFullGroup(size)
	after := heapBytes()
	runtime.KeepAlive(f)
	return after - min(before, after)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
