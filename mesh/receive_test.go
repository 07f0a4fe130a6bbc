package mesh

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/primrosemoor/primrosemoor/clock"
	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/internal/rapidtest"
	"github.com/primrosemoor/primrosemoor/logging"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "1", "200") }

// nopListener ignores all notifications.
type nopListener struct{}

func (nopListener) TargetLoad(string, string, TargetUse)            {}
func (nopListener) SourceSilent(string)                             {}
func (nopListener) Booked(string, float64, *int64, time.Duration)   {}
func (nopListener) ShareReported(string, ShareKey, Share)           {}
func (nopListener) QueueLength(string, Queue, int)                  {}
func (nopListener) SilentShare(float64, int)                        {}
func (nopListener) Returned(string, float64, time.Duration, *int64) {}

// drawUpdate draws an update with any values, also those that no node sends.
func drawUpdate(t *rapid.T) *schema.MeshUpdate {
	use := func() *schema.MeshUse {
		u := &schema.MeshUse{}
		for range rapid.IntRange(0, 3).Draw(t, "entries") {
			ref := rapid.Uint32().Draw(t, "ref")
			name := rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "name")
			u.Targets = append(u.Targets, &schema.MeshTarget{Ref: ref, Id: name, Requests: rapid.Uint32().Draw(t, "requests"), StepMicros: ref})
			u.Teams = append(u.Teams, &schema.MeshTeam{Ref: ref, Name: name, Booked: rapid.Uint64().Draw(t, "booked"), Returned: rapid.Uint64().Draw(t, "returned"), ReturnedDelay: rapid.Uint64().Draw(t, "returned delay")}, nil)
			u.Queues = append(u.Queues, &schema.MeshQueue{Ref: ref, Service: name, Tier: rapid.Uint32().Draw(t, "tier"), Waiting: ref})
		}
		return u
	}
	u := &schema.MeshUpdate{
		SentAt: rapid.Int64().Draw(t, "sent at"), Leaving: rapid.Bool().Draw(t, "leaving"),
		Address: rapid.SampledFrom([]string{"", "10.0.0.1:1", "nonsense"}).Draw(t, "address"), TargetsRevision: rapid.Uint64().Draw(t, "revision"),
	}
	if rapid.Bool().Draw(t, "own") {
		u.Own = use()
	}
	for range rapid.IntRange(0, 3).Draw(t, "zones") {
		u.Zones = append(u.Zones, &schema.MeshZone{
			Zone: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "zone"), Use: use(), Silent: rapid.Uint32().Draw(t, "silent"),
		})
	}
	for range rapid.IntRange(0, 3).Draw(t, "crashes") {
		u.Crashes = append(u.Crashes, nil, &schema.MeshCrash{
			Target: rapid.Uint64().Draw(t, "target"), Features: rapid.SliceOf(rapid.Uint64()).Draw(t, "features"), AgeMicros: rapid.Uint64().Draw(t, "age"),
		})
		u.Survivals = append(u.Survivals, nil, &schema.MeshSurvival{Feature: rapid.Uint64().Draw(t, "feature"), AgeMicros: rapid.Uint64().Draw(t, "age")})
	}
	return u
}

// Whatever another node sends, the node that receives it goes on.
func TestMalformedUpdatesDoNoHarm(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := New(Options{Self: datastore.Node{Name: "a1", Zone: "a"}, Listener: nopListener{}, Logger: logging.Discard()})
		m.SetNodes(map[string]datastore.Node{"a1": {Name: "a1", Zone: "a"}, "a2": {Name: "a2", Zone: "a"}, "b1": {Name: "b1", Zone: "b"}})
		inbounds := []*inbound{
			newInbound(peer.Identity{Node: "a2", AvailabilityZone: "a"}), newInbound(peer.Identity{Node: "b1", AvailabilityZone: "b"}), newInbound(peer.Identity{}),
		}
		for range rapid.IntRange(1, 20).Draw(rt, "updates") {
			u := drawUpdate(rt)
			raw, err := proto.Marshal(u)
			if err != nil {
				rt.Fatal(err)
			}
			decoded := &schema.MeshUpdate{}
			if err := proto.Unmarshal(raw, decoded); err != nil {
				rt.Fatal(err)
			}
			m.member = rapid.Bool().Draw(rt, "member")
			in := rapid.SampledFrom(inbounds).Draw(rt, "from")
			m.handleUpdate(in, decoded)
			ack := &schema.MeshAck{}
			m.addObjects(ack, decoded, in)
		}
		l := &link{manager: m}
		l.applyObjects(&schema.MeshAck{Targets: &schema.MeshChanges{Objects: []*schema.MeshObject{nil, {}}}}, 0)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		m.deliver(ctx)
	})
}

// bookings counts what a listener is told.
type bookings struct {
	nopListener
	sum float64
}

func (b *bookings) Booked(_ string, amount float64, _ *int64, _ time.Duration) { b.sum += amount }

// deliver passes the pending notifications to a listener.
func deliver(m *Manager, l Listener) {
	m.mu.Lock()
	pending := m.pending
	m.pending = nil
	m.mu.Unlock()
	for _, n := range pending {
		n(l)
	}
}

// newNode returns the manager of a node, which knows of those of the same zone and
// others, all named by their zones.
func newNode(name string, all ...string) *Manager {
	nodes := make(map[string]datastore.Node)
	for _, n := range append(all, name) {
		nodes[n] = datastore.Node{Name: n, Zone: n[:1]}
	}
	m := New(Options{Self: nodes[name], Listener: nopListener{}, Logger: logging.Discard()})
	m.SetNodes(nodes)
	return m
}

func identity(name string, incarnation uint64) peer.Identity {
	return peer.Identity{Node: name, AvailabilityZone: name[:1], Incarnation: incarnation}
}

// bookedUse is a report of what team t has booked.
func bookedUse(booked uint64) *schema.MeshUse {
	return &schema.MeshUse{Teams: []*schema.MeshTeam{{Ref: 1, Name: "t", Booked: booked}}}
}

// A node whose link broke and that reports on a new stream loses no bookings and has
// none counted twice. After its restart its counters are others.
func TestBookingsSurviveAReconnect(t *testing.T) {
	is := is.New(t)
	l := &bookings{}
	m := newNode("a1", "a2")
	report := func(in *inbound, booked uint64) float64 {
		m.handleUpdate(in, &schema.MeshUpdate{Own: bookedUse(booked)})
		deliver(m, l)
		return l.sum
	}
	in := newInbound(identity("a2", 1))
	is.Equal(report(in, 100), 0.0) // older than the stream
	is.Equal(report(in, 130), 30.0)
	in = newInbound(identity("a2", 1))
	is.Equal(report(in, 180), 80.0) // 50 were booked between the streams
	is.Equal(report(in, 190), 90.0)
	time.Sleep(feedTakeoverDelay + 10*time.Millisecond)
	in = newInbound(identity("a2", 2))
	is.Equal(report(in, 20), 90.0)
	is.Equal(report(in, 25), 95.0)
}

// Bookings that a zone's new owner reports after the last report of the old one, and
// before its reports count, are counted and passed on. Guards against a loss of half a
// second of a zone's bookings.
func TestBookingsBeforeATakeoverAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &bookings{}
		m := newNode("b1", "b2", "a1", "a2")
		report := func(in *inbound, booked uint64) float64 {
			m.handleUpdate(in, &schema.MeshUpdate{Zones: []*schema.MeshZone{{Zone: "a", Use: bookedUse(booked)}}})
			deliver(m, l)
			return l.sum
		}
		old, next := newInbound(identity("a1", 1)), newInbound(identity("a2", 1))
		is.Equal(report(old, 1000), 0.0)
		is.Equal(report(next, 400), 0.0)
		is.Equal(report(next, 410), 0.0) // The old owner reports these, too.
		time.Sleep(20 * time.Millisecond)
		is.Equal(report(old, 1010), 10.0)
		time.Sleep(20 * time.Millisecond)
		is.Equal(report(next, 410), 10.0)
		for range 5 {
			time.Sleep(80 * time.Millisecond)
			is.Equal(report(next, next.feeds["a"].teams["t"].Booked+20), 10.0)
		}
		time.Sleep(100 * time.Millisecond)
		is.Equal(report(next, 510+7), 10.0+100+7)
		is.Equal(m.zones["a"].forwarded.since(0).teams["t"].Booked, uint64(117))
		is.Equal(report(next, 520), 10.0+110)
	})
}

// What a process booked while it was not heard, on the same stream or until it has
// opened a new one, is counted when it is heard again.
func TestBookingsOfASilentProcessAreCountedWhenItIsHeard(t *testing.T) {
	for _, reconnect := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			l := &bookings{}
			m := newNode("a1", "a2")
			report := func(in *inbound, booked uint64) float64 {
				m.handleUpdate(in, &schema.MeshUpdate{Own: bookedUse(booked)})
				deliver(m, l)
				return l.sum
			}
			in := newInbound(identity("a2", 1))
			report(in, 100)
			is.Equal(report(in, 130), 30.0)
			time.Sleep(silenceTimeout + 100*time.Millisecond)
			m.checkSilence(time.Now())
			is.True(m.nodes["a2"].active == nil)
			if reconnect {
				in = newInbound(identity("a2", 1))
			}
			is.Equal(report(in, 180), 80.0)
			is.Equal(m.zoneSums.since(0).teams["t"].Booked, uint64(80))
			is.Equal(report(newInbound(identity("a2", 2)), 500), 80.0) // Another process.
		})
	}
}

// What a member of a large zone has booked itself never comes back to it as bookings
// of others, also not while the owner does not hear it.
func TestMemberThatIsNotHeardIsNotToldItsOwnBookings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newNode("a1", "a2", "a3")
		book := func(name string, booked uint64) *inbound {
			in := newInbound(identity(name, 1))
			m.handleUpdate(in, &schema.MeshUpdate{})
			m.handleUpdate(in, &schema.MeshUpdate{Own: bookedUse(booked)})
			return in
		}
		book("a2", 30)
		book("a3", 5)
		is.Equal(m.restSince(0, "a2").teams["t"].Booked, uint64(5))
		time.Sleep(silenceTimeout + 100*time.Millisecond)
		m.checkSilence(time.Now())
		is.Equal(m.restSince(0, "a2").teams["t"].Booked, uint64(5))
	})
}

// manyObjects is a node that has read many targets.
type manyObjects struct{}

func (manyObjects) Era() uint64     { return 0 }
func (manyObjects) ApplyEra(uint64) {}
func (manyObjects) Position(datastore.Kind) datastore.Position {
	return datastore.Position{Revision: 9}
}
func (manyObjects) Changes(_ datastore.Kind, since datastore.Position) (datastore.Delta, time.Duration, bool) {
	return datastore.Delta{Position: datastore.Position{Revision: 9}, Complete: since.Revision < 5, Objects: make([]datastore.Object, 3000)}, 0, true
}
func (manyObjects) ApplyChanges(datastore.Kind, datastore.Delta, clock.Instant) {}

// A node that asks again before it has applied all objects does not get all of them
// again. Guards against a storm when hundreds of nodes start together.
func TestAllObjectsAreNotSentAgainAtOnce(t *testing.T) {
	is := is.New(t)
	m := New(Options{Self: datastore.Node{Name: "a1", Zone: "a"}, Listener: nopListener{}, ObjectRelay: manyObjects{}, Logger: logging.Discard()})
	in := newInbound(peer.Identity{Node: "a2", AvailabilityZone: "a"})
	ask := func(revision uint64) *schema.MeshChanges {
		ack := &schema.MeshAck{}
		m.addObjects(ack, &schema.MeshUpdate{TargetsRevision: revision}, in)
		return ack.GetTargets()
	}
	is.Equal(len(ask(1).GetObjects()), 3000)
	is.Equal(ask(1), nil)
	is.True(ask(7) != nil) // Changes are sent whenever they are asked for.
}
