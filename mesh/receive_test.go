package mesh

import (
	"context"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/internal/rapidtest"
	"github.com/primrosemoor/primrosemoor/logging"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "1", "200") }

// nopListener ignores all notifications.
type nopListener struct{}

func (nopListener) TargetLoad(string, string, TargetUse) {}
func (nopListener) SourceSilent(string)                  {}
func (nopListener) Booked(string, float64, *int64)       {}
func (nopListener) QueueLength(string, Queue, int)       {}
func (nopListener) SilentShare(float64, int)             {}

// drawUpdate draws an update with any values, also those that no node sends.
func drawUpdate(t *rapid.T) *schema.MeshUpdate {
	use := func() *schema.MeshUse {
		u := &schema.MeshUse{}
		for range rapid.IntRange(0, 3).Draw(t, "entries") {
			ref := rapid.Uint32().Draw(t, "ref")
			name := rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "name")
			u.Targets = append(u.Targets, &schema.MeshTarget{Ref: ref, Id: name, Requests: rapid.Uint32().Draw(t, "requests"), StepMicros: ref})
			u.Teams = append(u.Teams, &schema.MeshTeam{Ref: ref, Name: name, Booked: rapid.Uint64().Draw(t, "booked")}, nil)
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
			m.handleUpdate(rapid.SampledFrom(inbounds).Draw(rt, "from"), decoded)
			ack := &schema.MeshAck{}
			m.addObjects(ack, decoded)
		}
		l := &link{manager: m}
		l.applyObjects(&schema.MeshAck{Targets: &schema.MeshChanges{Objects: []*schema.MeshObject{nil, {}}}}, 0)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		m.deliver(ctx)
	})
}
