package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/admission"
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

const testGroup = "llm/a/0"

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

var noOptions = topology.Options{}

func testConfig(targets int) *schema.Config {
	c := &schema.Config{
		Revision:          1,
		AvailabilityZones: []*schema.AvailabilityZone{{Name: "a", Region: "r1"}, {Name: "b", Region: "r2"}, {Name: "c", Region: "r3"}},
		Tiers:             []*schema.Tier{{Name: "high", Rank: 0}, {Name: "middle", Rank: 1}, {Name: "low", Rank: 2}},
		Services: []*schema.Service{
			{Name: "llm", Kind: schema.ServiceKind_SERVICE_KIND_ENGINE, Models: []string{"m"}},
			{Name: "app", Kind: schema.ServiceKind_SERVICE_KIND_PLAIN, MaxConcurrency: 2},
		},
	}
	for i := range targets {
		c.Vms = append(c.Vms, &schema.VM{
			Name: fmt.Sprintf("vm%d", i), AvailabilityZone: "a",
			Workloads: []*schema.Workload{
				{Service: "llm", Address: fmt.Sprintf("10.0.0.%d:1", i), Models: []string{"m"}},
				{Service: "app", Address: fmt.Sprintf("10.0.0.%d:2", i)},
			},
		})
	}
	return c
}

func member(node, zone string) *schema.Member {
	return &schema.Member{Node: node, AvailabilityZone: zone, State: schema.MemberState_MEMBER_STATE_ACTIVE}
}

func testTopology(targets int, options topology.Options) *topology.Snapshot {
	return topology.Build(testConfig(targets), []*schema.Member{member("n0", "a")}, options)
}

// result is the answer to one waiter.
type result struct {
	reply *schema.PermitReply
	err   error
}

func (r *result) kind() schema.ErrorKind { return fault.KindOf(r.err) }

func newOwner(settings *schema.SchedulingSettings, targets int) *admission.Owner {
	o := admission.NewOwner(admission.OwnerOptions{Node: "n0", Settings: settings, Explain: true})
	o.Apply(start, testTopology(targets, noOptions))
	return o
}

func enqueue(o *admission.Owner, now time.Time, r *schema.PermitRequest) *result {
	out := &result{}
	if r.Group == "" {
		r.Group = testGroup
	}
	if r.Model == "" && r.Group == testGroup {
		r.Model = "m"
	}
	o.Enqueue(now, admission.NewWaiter(now, r, func(reply *schema.PermitReply, err error) {
		out.reply, out.err = reply, err
	}))
	return out
}

// fill enqueues large requests until one has to wait, and returns the granted
// ones.
func fill(o *admission.Owner, now time.Time) (granted []*result) {
	for {
		r := enqueue(o, now, &schema.PermitRequest{PromptTokens: 8000, Team: "filler"})
		if r.reply == nil {
			return granted
		}
		granted = append(granted, r)
	}
}

func returnPermit(o *admission.Owner, now time.Time, r *result) {
	p := r.reply.GetPermit()
	o.Return(now, &schema.PermitReturn{Number: p.GetNumber(), Group: p.GetGroup(),
		Result: schema.PermitResult_PERMIT_RESULT_CANCELLED})
}

func TestHigherTierIsServedFirst(t *testing.T) {
	is := is.New(t)
	o := newOwner(nil, 1)
	running := fill(o, start)
	low := enqueue(o, start, &schema.PermitRequest{PromptTokens: 8000, Tier: 2})
	high := enqueue(o, start, &schema.PermitRequest{PromptTokens: 8000, Tier: 0, Team: "t"})
	returnPermit(o, start, running[0])
	returnPermit(o, start, running[0])
	is.True(high.reply.GetPermit() != nil || low.reply.GetPermit() == nil)
	is.True(low.reply == nil)
}

func TestTeamsShareByWeight(t *testing.T) {
	is := is.New(t)
	o := newOwner(nil, 1)
	first := enqueue(o, start, &schema.PermitRequest{PromptTokens: 8000, Team: "x"})
	var big, small []*result
	for range 20 {
		big = append(big, enqueue(o, start, &schema.PermitRequest{PromptTokens: 8000, Team: "big"}))
	}
	for range 5 {
		small = append(small, enqueue(o, start, &schema.PermitRequest{PromptTokens: 8000, Team: "small"}))
	}
	running := first
	served := map[string]int{}
	for range 10 {
		returnPermit(o, start, running)
		for team, list := range map[string][]*result{"big": big, "small": small} {
			for i, r := range list {
				if r.reply.GetPermit() != nil {
					served[team]++
					running = r
					list[i] = &result{}
				}
			}
		}
	}
	is.Equal(served["small"], 5)
	is.Equal(served["big"], 5)
}

func TestLeavingTargetGetsNoPermit(t *testing.T) {
	is := is.New(t)
	o := newOwner(nil, 2)
	o.Apply(start, testTopology(2, topology.Options{LeavingVMs: []string{"vm0"}}))
	for i := range 20 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		r := enqueue(o, now, &schema.PermitRequest{PromptTokens: 10})
		is.Equal(r.reply.GetPermit().GetTarget(), "vm1/llm")
	}
}

func TestUnknownModelIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	r := enqueue(newOwner(nil, 1), start, &schema.PermitRequest{Model: "other"})
	is.Equal(r.kind(), schema.ErrorKind_ERROR_KIND_NO_TARGET)
	is.Equal(fault.From(r.err).Outcome, schema.Outcome_OUTCOME_NOT_RUN)
}

func TestFullQueueShedsTheLowestTierFirst(t *testing.T) {
	is := is.New(t)
	o := newOwner(&schema.SchedulingSettings{MaxQueueRequests: 3}, 1)
	fill(o, start)
	low := enqueue(o, start, &schema.PermitRequest{PromptTokens: 8000, Tier: 2})
	middle := enqueue(o, start, &schema.PermitRequest{PromptTokens: 8000, Tier: 1})
	enqueue(o, start, &schema.PermitRequest{PromptTokens: 8000, Tier: 0})
	is.Equal(low.kind(), schema.ErrorKind_ERROR_KIND_OVERLOADED)
	is.NoErr(middle.err)
	enqueue(o, start, &schema.PermitRequest{PromptTokens: 8000, Tier: 0})
	is.Equal(middle.kind(), schema.ErrorKind_ERROR_KIND_OVERLOADED)
}

func TestWaitEndsAtTheDeadline(t *testing.T) {
	is := is.New(t)
	o := newOwner(nil, 1)
	fill(o, start)
	r := enqueue(o, start, &schema.PermitRequest{PromptTokens: 2000, Deadline: durationpb.New(time.Second)})
	o.Tick(start.Add(900 * time.Millisecond))
	is.NoErr(r.err)
	o.Tick(start.Add(time.Second))
	is.Equal(r.kind(), schema.ErrorKind_ERROR_KIND_DEADLINE)
}

func TestLostPermitExpiresAndItsLateReturnIsIgnored(t *testing.T) {
	is := is.New(t)
	o := newOwner(nil, 1)
	running := fill(o, start)
	later := start.Add(time.Hour)
	o.Tick(later)
	is.Equal(o.Counts().LostPermits, uint64(len(running)))
	returnPermit(o, later, running[0])
	is.True(o.Status()[1].GetTargets()[0].GetOutstandingTokens() >= 0)
	is.Equal(o.Status()[1].GetTargets()[0].GetInFlight(), uint32(0))
}

func TestPermitOfADepartedEntryIsReleased(t *testing.T) {
	is := is.New(t)
	o := newOwner(nil, 1)
	enqueue(o, start, &schema.PermitRequest{PromptTokens: 8000, EntryNode: "gone"})
	o.Apply(start, testTopology(1, noOptions))
	o.Tick(start)
	is.Equal(o.Counts().LostPermits, uint64(1))
}

func TestPlainServiceIsBoundedByConcurrency(t *testing.T) {
	is := is.New(t)
	o := newOwner(nil, 2)
	for i := range 4 {
		r := enqueue(o, start, &schema.PermitRequest{Group: "app/a/0"})
		is.True(r.reply.GetPermit() != nil)
		is.Equal(r.reply.GetPermit().GetTarget(), fmt.Sprintf("vm%d/app", i%2))
	}
	r := enqueue(o, start, &schema.PermitRequest{Group: "app/a/0"})
	is.True(r.reply == nil)
}

func TestWaitersAreRefusedAsNotOwnerAfterOwnerChange(t *testing.T) {
	is := is.New(t)
	o := newOwner(nil, 1)
	fill(o, start)
	r := enqueue(o, start, &schema.PermitRequest{PromptTokens: 8000})
	o.Apply(start, topology.Build(testConfig(1), []*schema.Member{member("n1", "a")}, noOptions))
	is.Equal(r.kind(), schema.ErrorKind_ERROR_KIND_NOT_OWNER)
}

func TestTargetThatRefusesNewWorkIsPaused(t *testing.T) {
	is := is.New(t)
	o := newOwner(&schema.SchedulingSettings{}, 2)
	first := enqueue(o, start, plainRequest()).reply.GetPermit()
	o.Return(start, &schema.PermitReturn{
		Number: first.GetNumber(), Group: plainGroup, Result: schema.PermitResult_PERMIT_RESULT_REFUSED,
	})
	for range 2 {
		next := enqueue(o, start, plainRequest()).reply.GetPermit()
		is.True(next.GetTarget() != first.GetTarget())
	}
}

func TestTargetThatAnnouncesLeavingGetsNoNewPermits(t *testing.T) {
	is := is.New(t)
	o := newOwner(&schema.SchedulingSettings{}, 2)
	o.SetTargetState(start, "vm0/app", true, nil)
	for range 2 {
		is.Equal(enqueue(o, start, plainRequest()).reply.GetPermit().GetTarget(), "vm1/app")
	}
	waiting := enqueue(o, start, plainRequest())
	is.True(waiting.reply == nil)
	o.SetTargetState(start, "vm0/app", false, nil)
	is.Equal(waiting.reply.GetPermit().GetTarget(), "vm0/app")
}

func TestUnloadedModelIsServedByAnotherTarget(t *testing.T) {
	is := is.New(t)
	o := newOwner(&schema.SchedulingSettings{}, 2)
	o.SetTargetState(start, "vm0/llm", false, []string{"other"})
	for range 3 {
		r := enqueue(o, start, &schema.PermitRequest{Service: "llm", PromptTokens: 10, MaxOutputTokens: 10})
		is.Equal(r.reply.GetPermit().GetTarget(), "vm1/llm")
	}
}

func TestExpiryOfDeadlineNotStatedByTheCallerCountsAsShed(t *testing.T) {
	is := is.New(t)
	o := newOwner(nil, 1)
	fill(o, start)
	wait := durationpb.New(5 * time.Second)
	high := enqueue(o, start, &schema.PermitRequest{PromptTokens: 8000, Deadline: wait})
	low := enqueue(o, start, &schema.PermitRequest{PromptTokens: 8000, Tier: 2})
	o.Tick(start.Add(4900 * time.Millisecond))
	o.Tick(start.Add(5 * time.Second))
	o.Tick(start.Add(5050 * time.Millisecond))
	is.Equal(high.kind(), schema.ErrorKind_ERROR_KIND_DEADLINE)
	is.Equal(low.kind(), schema.ErrorKind_ERROR_KIND_OVERLOADED)
}

// A request that waited at another owner, or for its claim, must not be
// dispatched if a more important request was shed after it arrived.
func TestRequestThatWaitedElsewhereDoesNotOvertakeAShedOne(t *testing.T) {
	const shedFor = 20 * time.Second
	cases := map[string]func(o *admission.Owner){
		"shed here": func(o *admission.Owner) {
			running := fill(o, start)
			middle := enqueue(o, start, &schema.PermitRequest{PromptTokens: 8000, Tier: 1})
			enqueue(o, start, &schema.PermitRequest{PromptTokens: 8000, Tier: 0})
			if middle.err == nil {
				t.Error("the request of tier 1 was not shed")
			}
			for _, r := range running {
				returnPermit(o, start, r)
			}
		},
		"shed by a sibling": func(o *admission.Owner) {
			o.HandleFloorUpdate(start, "n1", &schema.FloorUpdate{Service: "llm", Owner: "n1", Sequence: 1, Floor: 0, Keep: 0})
			o.HandleFloorUpdate(start.Add(time.Second), "n1", &schema.FloorUpdate{Service: "llm", Owner: "n1", Sequence: 2, Floor: admission.MaxRanks - 1, Keep: admission.MaxRanks - 1})
		},
	}
	for name, shed := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := newOwner(&schema.SchedulingSettings{MaxQueueRequests: 1}, 2)
			shed(o)
			now := start
			for now.Before(start.Add(shedFor)) {
				now = now.Add(100 * time.Millisecond)
				o.Tick(now)
			}
			early := &schema.PermitRequest{PromptTokens: 10, Tier: 2, Waited: durationpb.New(shedFor + time.Second)}
			is.Equal(enqueue(o, now, early).kind(), schema.ErrorKind_ERROR_KIND_OVERLOADED)
			is.NoErr(enqueue(o, now, &schema.PermitRequest{PromptTokens: 10, Tier: 2}).err)
		})
	}
}
