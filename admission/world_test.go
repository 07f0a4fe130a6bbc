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

// world runs several owners of one service over a network that delays, loses
// and reorders messages, in virtual time.
type world struct {
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
	// cutUntil is until when messages to and from the owner are lost.
	cutUntil time.Time
	// heard and parted are when a message of another owner was last handled,
	// and when the owner last held the other to be split.
	heard  map[string]time.Time
	parted map[string]time.Time
}

type testWaiter struct {
	*Waiter
	owner *testOwner
	// outranked lists more important requests shed while this one waited.
	outranked []shedding
}

type shedding struct {
	by *testOwner
	at time.Time
}

// message is delivered to an owner at a time.
type message struct {
	at      time.Time
	to      *testOwner
	deliver func(now time.Time)
}

const worldTiers = 3

func newWorld(t *rapid.T, owners int, mutate func(*Owner)) *world {
	w := &world{t: t, now: time.Unix(1_700_000_000, 0), waiting: make(map[*testWaiter]bool)}
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
		o := &testOwner{node: fmt.Sprintf("n%d", i), group: fmt.Sprintf("llm/z%d/0", i), nextTick: w.now,
			heard: make(map[string]time.Time), parted: make(map[string]time.Time)}
		o.Owner = NewOwner(OwnerOptions{Node: o.node, Settings: &schema.SchedulingSettings{MaxQueueRequests: 2},
			FirstNumber: uint64(i) << 32, SendFloor: w.sender(o)})
		o.hardQueue = 1 << 20
		o.onShed = func(shed *Waiter) { w.checkShed(o, shed) }
		mutate(o.Owner)
		w.owners = append(w.owners, o)
	}
	for _, o := range w.owners {
		o.Apply(w.now, snapshot)
	}
	return w
}

// sender exchanges updates over the faulty network.
func (w *world) sender(from *testOwner) SendFloor {
	return func(sent time.Time, node string, u *schema.FloorUpdate) {
		to := w.owners[slices.IndexFunc(w.owners, func(o *testOwner) bool { return o.node == node })]
		answered := false
		w.post(from, floorTimeout, func(now time.Time) {
			if !answered {
				answered = true
				from.FloorAnswered(now, sent, node, u.GetService(), nil)
			}
		})
		if w.lost(from, to) {
			return
		}
		u = proto.Clone(u).(*schema.FloorUpdate)
		w.post(to, w.delay(), func(now time.Time) {
			to.heard[from.node] = now
			ack := proto.Clone(to.Floor(now, from.node, u)).(*schema.FloorAck)
			if w.lost(from, to) {
				return
			}
			w.post(from, w.delay(), func(now time.Time) {
				if !answered {
					answered = true
					from.heard[node] = now
					from.FloorAnswered(now, sent, node, u.GetService(), ack)
				}
			})
		})
	}
}

func (w *world) lost(from, to *testOwner) bool {
	if w.now.Before(from.cutUntil) || w.now.Before(to.cutUntil) {
		return true
	}
	return rapid.IntRange(0, 9).Draw(w.t, "loss") == 0
}

func (w *world) delay() time.Duration {
	ms := rapid.OneOf(rapid.IntRange(0, 40), rapid.IntRange(0, 2500)).Draw(w.t, "delay")
	return time.Duration(ms) * time.Millisecond
}

func (w *world) post(to *testOwner, delay time.Duration, deliver func(time.Time)) {
	w.pending = append(w.pending, message{w.now.Add(delay), to, deliver})
}

// advance moves time on, delivering messages and ticks in order. A paused
// owner gets both when it wakes.
func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for {
		m, at := w.nextMessage()
		o := slices.MinFunc(w.owners, func(a, b *testOwner) int { return a.tickAt().Compare(b.tickAt()) })
		switch {
		case m >= 0 && !at.After(end) && !at.After(o.tickAt()):
			w.now = later(w.now, at)
			deliver := w.pending[m].deliver
			w.pending = slices.Delete(w.pending, m, m+1)
			deliver(w.now)
			w.observe()
		case !o.tickAt().After(end):
			w.now = later(w.now, o.tickAt())
			o.nextTick = w.now.Add(4 * tickInterval)
			o.Tick(w.now)
		default:
			w.now = end
			return
		}
	}
}

func (o *testOwner) tickAt() time.Time {
	return later(o.nextTick, o.pausedUntil)
}

func (w *world) nextMessage() (index int, at time.Time) {
	index = -1
	for i, m := range w.pending {
		due := later(m.at, m.to.pausedUntil)
		if index < 0 || due.Before(at) {
			index, at = i, due
		}
	}
	return index, at
}

func (w *world) paused(o *testOwner) bool { return w.now.Before(o.pausedUntil) }

// enqueue asks an owner for a permit that fills its target.
func (w *world) enqueue(o *testOwner, rank uint32, deadline time.Duration) {
	if w.paused(o) {
		return
	}
	tw := &testWaiter{owner: o}
	asked := &schema.PermitRequest{Group: o.group, Model: "m", Tier: rank, PromptTokens: 10000, Hops: maxHops,
		Deadline: durationpb.New(deadline)}
	tw.Waiter = NewWaiter(w.now, asked, func(reply *schema.PermitReply, _ error) {
		delete(w.waiting, tw)
		if p := reply.GetPermit(); p != nil {
			o.permits = append(o.permits, p.GetNumber())
			w.checkGrant(tw)
		}
	})
	w.waiting[tw] = true
	o.Enqueue(w.now, tw.Waiter)
}

// giveBack returns the oldest permit of an owner.
func (w *world) giveBack(o *testOwner) {
	if w.paused(o) || len(o.permits) == 0 {
		return
	}
	number := o.permits[0]
	o.permits = o.permits[1:]
	o.Return(w.now, &schema.PermitReturn{Number: number, Group: o.group,
		Result: schema.PermitResult_PERMIT_RESULT_CANCELLED})
}

// checkShed marks the less important requests that wait now on any owner.
func (w *world) checkShed(by *testOwner, shed *Waiter) {
	w.sheds++
	for tw := range w.waiting {
		if tw.rank > shed.rank && tw.Waiter != shed {
			tw.outranked = append(tw.outranked, shedding{by, w.now})
		}
	}
}

// checkGrant fails if a marked request is dispatched, unless the two owners
// have lost each other.
func (w *world) checkGrant(tw *testWaiter) {
	w.observe()
	for _, s := range tw.outranked {
		if !tw.owner.partedSince(s.by, s.at) && !s.by.partedSince(tw.owner, s.at) {
			w.t.Fatalf("%s dispatched a request of rank %d that waited while %s shed a more important one",
				tw.owner.node, tw.rank, s.by.node)
		}
	}
}

func (o *testOwner) partedSince(other *testOwner, since time.Time) bool {
	return o != other && !o.parted[other.node].Before(since)
}

// observe notes which owners hold each other to be split, and fails if one
// does so too early.
func (w *world) observe() {
	for _, o := range w.owners {
		for _, s := range o.pools["llm"].siblings {
			if !s.split {
				continue
			}
			o.parted[s.node] = w.now
			if w.now.Sub(o.heard[s.node]) < SplitAfter {
				w.t.Fatalf("%s gave up %s too early", o.node, s.node)
			}
		}
	}
}

// String keeps draws short in the output of a failure.
func (o *testOwner) String() string { return o.node }
