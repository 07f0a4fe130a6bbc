package admission

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// simulation runs several owners of one service in virtual time, over a network
// that delays, loses and reorders messages.
type simulation struct {
	t       *rapid.T
	now     time.Time
	owners  []*testOwner
	pending []message
	waiting map[*testWaiter]bool
	sheds   int
}

type testOwner struct {
	*Owner
	node        string
	group       string
	pausedUntil time.Time
	permits     []uint64
	nextTick    time.Time
	// partitionedUntil is the time until which messages to and from the owner are
	// lost.
	partitionedUntil time.Time
	// lastReceived is when a message from each other owner was last handled, and
	// lastUnreachable is when this owner last considered it unreachable.
	lastReceived    map[string]time.Time
	lastUnreachable map[string]time.Time
}

type testWaiter struct {
	*Waiter
	owner *testOwner
	// shedWhileWaiting lists the more important requests that were shed while
	// this one waited.
	shedWhileWaiting []shedEvent
}

// shedEvent records which owner shed a request, and when.
type shedEvent struct {
	by *testOwner
	at time.Time
}

// message is a pending delivery to an owner.
type message struct {
	at      time.Time
	to      *testOwner
	deliver func(now time.Time)
}

const simulatedTiers = 3

func newSimulation(t *rapid.T, owners int, mutate func(*Owner)) *simulation {
	sim := &simulation{t: t, now: time.Unix(1_700_000_000, 0), waiting: make(map[*testWaiter]bool)}
	config := &schema.Config{
		Tiers:    []*schema.Tier{{Name: "t0"}, {Name: "t1", Rank: 1}, {Name: "t2", Rank: 2}},
		Services: []*schema.Service{{Name: "llm", Kind: schema.ServiceKind_SERVICE_KIND_ENGINE}},
	}
	var members []*schema.Member
	for i := range owners {
		zone := fmt.Sprintf("z%d", i)
		config.AvailabilityZones = append(config.AvailabilityZones, &schema.AvailabilityZone{Name: zone, Region: zone})
		config.Vms = append(config.Vms, &schema.VM{Name: "vm" + zone, AvailabilityZone: zone,
			Workloads: []*schema.Workload{{Service: "llm", Models: []string{"m"}}}})
		members = append(members, &schema.Member{Node: fmt.Sprintf("n%d", i), AvailabilityZone: zone,
			State: schema.MemberState_MEMBER_STATE_ACTIVE})
	}
	snapshot := topology.Build(config, members, topology.Options{})
	for i := range owners {
		o := &testOwner{node: fmt.Sprintf("n%d", i), group: fmt.Sprintf("llm/z%d/0", i), nextTick: sim.now,
			lastReceived: make(map[string]time.Time), lastUnreachable: make(map[string]time.Time)}
		o.Owner = NewOwner(OwnerOptions{Node: o.node, Settings: &schema.SchedulingSettings{MaxQueueRequests: 2},
			PermitNumberBase: uint64(i) << 32, SendFloorUpdate: sim.floorSender(o)})
		o.hardMaxQueue = 1 << 20
		o.onShed = func(shed *Waiter) { sim.recordShed(o, shed) }
		mutate(o.Owner)
		sim.owners = append(sim.owners, o)
	}
	for _, o := range sim.owners {
		o.Apply(sim.now, snapshot)
	}
	return sim
}

// floorSender returns a SendFloorUpdate that exchanges updates over the simulated
// network.
func (sim *simulation) floorSender(from *testOwner) SendFloorUpdate {
	return func(sent time.Time, node string, u *schema.FloorUpdate) {
		to := sim.owners[slices.IndexFunc(sim.owners, func(o *testOwner) bool { return o.node == node })]
		answered := false
		sim.schedule(from, floorUpdateTimeout, func(now time.Time) {
			if !answered {
				answered = true
				from.HandleFloorAck(now, sent, node, u.GetService(), nil)
			}
		})
		if sim.lost(from, to) {
			return
		}
		u = proto.Clone(u).(*schema.FloorUpdate)
		sim.schedule(to, sim.delay(), func(now time.Time) {
			to.lastReceived[from.node] = now
			ack := proto.Clone(to.HandleFloorUpdate(now, from.node, u)).(*schema.FloorAck)
			if sim.lost(from, to) {
				return
			}
			sim.schedule(from, sim.delay(), func(now time.Time) {
				if !answered {
					answered = true
					from.lastReceived[node] = now
					from.HandleFloorAck(now, sent, node, u.GetService(), ack)
				}
			})
		})
	}
}

// lost reports whether a message between two owners is dropped.
func (sim *simulation) lost(from, to *testOwner) bool {
	if sim.now.Before(from.partitionedUntil) || sim.now.Before(to.partitionedUntil) {
		return true
	}
	return rapid.IntRange(0, 9).Draw(sim.t, "loss") == 0
}

func (sim *simulation) delay() time.Duration {
	ms := rapid.OneOf(rapid.IntRange(0, 40), rapid.IntRange(0, 2500)).Draw(sim.t, "delay")
	return time.Duration(ms) * time.Millisecond
}

// schedule adds a message that is delivered to an owner after a delay.
func (sim *simulation) schedule(to *testOwner, delay time.Duration, deliver func(time.Time)) {
	sim.pending = append(sim.pending, message{sim.now.Add(delay), to, deliver})
}

// advance advances the time and runs the messages and ticks that are due, in
// order. Those of a paused owner are delayed until its pause ends.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for {
		m, at := sim.nextMessage()
		o := slices.MinFunc(sim.owners, func(a, b *testOwner) int { return a.tickAt().Compare(b.tickAt()) })
		switch {
		case m >= 0 && !at.After(end) && !at.After(o.tickAt()):
			sim.now = later(sim.now, at)
			deliver := sim.pending[m].deliver
			sim.pending = slices.Delete(sim.pending, m, m+1)
			deliver(sim.now)
			sim.checkUnreachable()
		case !o.tickAt().After(end):
			sim.now = later(sim.now, o.tickAt())
			o.nextTick = sim.now.Add(4 * tickInterval)
			o.Tick(sim.now)
		default:
			sim.now = end
			return
		}
	}
}

func (o *testOwner) tickAt() time.Time {
	return later(o.nextTick, o.pausedUntil)
}

func (sim *simulation) nextMessage() (index int, at time.Time) {
	index = -1
	for i, m := range sim.pending {
		due := later(m.at, m.to.pausedUntil)
		if index < 0 || due.Before(at) {
			index, at = i, due
		}
	}
	return index, at
}

func (sim *simulation) paused(o *testOwner) bool { return sim.now.Before(o.pausedUntil) }

// enqueue sends an owner a permit request that is large enough to fill its
// target.
func (sim *simulation) enqueue(o *testOwner, rank uint32, deadline time.Duration) {
	if sim.paused(o) {
		return
	}
	tw := &testWaiter{owner: o}
	request := &schema.PermitRequest{Group: o.group, Model: "m", Tier: rank, PromptTokens: 10000, Hops: maxHops,
		Deadline: durationpb.New(deadline)}
	tw.Waiter = NewWaiter(sim.now, request, func(reply *schema.PermitReply, _ error) {
		delete(sim.waiting, tw)
		if p := reply.GetPermit(); p != nil {
			o.permits = append(o.permits, p.GetNumber())
			sim.checkGrant(tw)
		}
	})
	sim.waiting[tw] = true
	o.Enqueue(sim.now, tw.Waiter)
}

// returnPermit returns the oldest permit of an owner.
func (sim *simulation) returnPermit(o *testOwner) {
	if sim.paused(o) || len(o.permits) == 0 {
		return
	}
	number := o.permits[0]
	o.permits = o.permits[1:]
	o.Return(sim.now, &schema.PermitReturn{Number: number, Group: o.group,
		Result: schema.PermitResult_PERMIT_RESULT_CANCELLED})
}

// recordShed adds the shed to all less important requests that now wait at any
// owner.
func (sim *simulation) recordShed(by *testOwner, shed *Waiter) {
	sim.sheds++
	for tw := range sim.waiting {
		if tw.rank > shed.rank && tw.Waiter != shed {
			tw.shedWhileWaiting = append(tw.shedWhileWaiting, shedEvent{by, sim.now})
		}
	}
}

// checkGrant fails if a more important request was shed while the granted one
// waited, unless one of the two owners has considered the other unreachable
// since then.
func (sim *simulation) checkGrant(tw *testWaiter) {
	sim.checkUnreachable()
	for _, s := range tw.shedWhileWaiting {
		if !tw.owner.unreachableSince(s.by, s.at) && !s.by.unreachableSince(tw.owner, s.at) {
			sim.t.Fatalf("%s dispatched a request of rank %d that waited while %s shed a more important one",
				tw.owner.node, tw.rank, s.by.node)
		}
	}
}

func (o *testOwner) unreachableSince(other *testOwner, since time.Time) bool {
	return o != other && !o.lastUnreachable[other.node].Before(since)
}

// checkUnreachable records which owners consider others unreachable. It fails
// if one does so less than SiblingTimeout after the last message from the other.
func (sim *simulation) checkUnreachable() {
	for _, o := range sim.owners {
		for _, s := range o.coordinators["llm"].siblings {
			if !s.unreachable {
				continue
			}
			o.lastUnreachable[s.node] = sim.now
			if sim.now.Sub(o.lastReceived[s.node]) < SiblingTimeout {
				sim.t.Fatalf("%s considered %s unreachable too early", o.node, s.node)
			}
		}
	}
}

// String returns the node name, which keeps drawn owners short in the output of
// a failure.
func (o *testOwner) String() string { return o.node }
