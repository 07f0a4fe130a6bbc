package control

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/membership"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

// MembershipCase is one measurement of nodes at rest, or under a stream of
// configuration revisions.
type MembershipCase struct {
	Zones    int
	PerZone  int
	Settings *schema.MembershipSettings
	// RevisionEvery is the time between two revisions; zero means none.
	RevisionEvery time.Duration
	Duration      time.Duration
}

// MembershipResult is what one MembershipCase gave. Bytes are payload, sent
// and received.
type MembershipResult struct {
	Zones              int     `json:"zones"`
	Nodes              int     `json:"nodes"`
	RevisionEveryS     float64 `json:"revision_every_s"`
	HeartbeatMs        int64   `json:"heartbeat_ms"`
	MemberBytes        float64 `json:"member_bytes_per_s"`
	ReporterBytes      float64 `json:"reporter_peer_bytes_per_s"`
	ReporterStoreBytes float64 `json:"reporter_store_bytes_per_s"`
	ReadsPerSecond     float64 `json:"platform_reads_per_s"`
	WritesPerSecond    float64 `json:"platform_writes_per_s"`
	ProcessorShare     float64 `json:"processor_share_per_node"`
	MemoryBytes        float64 `json:"heap_bytes_per_node"`
	DetectionZoneMs    float64 `json:"death_seen_in_zone_ms"`
	DetectionAllMs     float64 `json:"death_seen_everywhere_ms"`
	WrongViews         int     `json:"nodes_with_a_wrong_view_at_the_end"`
}

// cluster is the nodes of one measurement.
type cluster struct {
	store *meter
	mu    sync.Mutex
	nodes map[string]*clusterNode
	order []*clusterNode
	// storeOf returns the object API as a node reaches it; nil means store.
	storeOf func(node string) objects.Store
	// cut reports whether the link between two nodes is down; nil means never.
	cut func(from, to string) bool
}

type clusterNode struct {
	*membership.Manager
	cluster *cluster
	name    string
	zone    string
	stop    context.CancelFunc
	bytes   atomic.Int64
}

var errStopped = errors.New("node is stopped")

// Heartbeat implements membership.Peers.
func (n *clusterNode) Heartbeat(ctx context.Context, address string, h *schema.Heartbeat) (*schema.HeartbeatReply, error) {
	n.cluster.mu.Lock()
	to := n.cluster.nodes[address]
	n.cluster.mu.Unlock()
	if to == nil || n.cluster.cut != nil && n.cluster.cut(n.name, address) {
		return nil, errStopped
	}
	reply, err := to.HandleHeartbeat(ctx, peer.Identity{Node: n.name, AvailabilityZone: n.zone}, h)
	if err != nil {
		return nil, err
	}
	size := int64(proto.Size(h) + proto.Size(reply))
	n.bytes.Add(size)
	to.bytes.Add(size)
	return reply, nil
}

func (c *cluster) start(ctx context.Context, m MembershipCase, zone, index int) {
	n := &clusterNode{cluster: c, zone: fmt.Sprintf("zone-%02d", zone)}
	n.name = fmt.Sprintf("%s-node-%03d", n.zone, index)
	var store objects.Store = c.store
	if c.storeOf != nil {
		store = c.storeOf(n.name)
	}
	n.Manager = membership.New(membership.Options{
		Self: &schema.Member{
			Node: n.name, AvailabilityZone: n.zone, Region: fmt.Sprintf("region-%d", zone/2),
			PeerAddress: n.name, State: schema.MemberState_MEMBER_STATE_ACTIVE, ConfigRevision: 1,
		},
		Store:    store,
		Peers:    n,
		Settings: m.Settings,
	})
	ctx, n.stop = context.WithCancel(ctx)
	c.mu.Lock()
	c.nodes[n.name] = n
	c.mu.Unlock()
	c.order = append(c.order, n)
	go func() { _ = n.Run(ctx) }()
}

// MeasureMembership runs the nodes, measures their cost, then stops one and
// measures when the others see it.
func MeasureMembership(ctx context.Context, m MembershipCase) MembershipResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	heap := heapBytes()
	c := &cluster{store: &meter{Store: newStore()}, nodes: make(map[string]*clusterNode)}
	for i := range m.PerZone {
		for zone := range m.Zones {
			c.start(ctx, m, zone, i)
		}
	}
	total := m.Zones * m.PerZone
	c.await(c.order, total, time.Minute)
	time.Sleep(5 * m.Settings.GetSuspectAfter().AsDuration())
	result := c.cost(m)
	result.MemoryBytes = float64(heapBytes()-heap) / float64(total)
	result.WrongViews = c.wrong(c.order, total)
	c.death(m, &result)
	return result
}

// cost measures over the case's duration.
func (c *cluster) cost(m MembershipCase) MembershipResult {
	before, processor, begin := c.store.usage(), processorTime(), time.Now()
	bytes := make(map[*clusterNode]int64)
	for _, n := range c.order {
		bytes[n] = n.bytes.Load()
	}
	c.pass(m)
	seconds := time.Since(begin).Seconds()
	used := c.store.usage().since(before)
	result := MembershipResult{
		Zones:              m.Zones,
		Nodes:              len(c.order),
		RevisionEveryS:     m.RevisionEvery.Seconds(),
		HeartbeatMs:        m.Settings.GetHeartbeatInterval().AsDuration().Milliseconds(),
		ReadsPerSecond:     float64(used.reads) / seconds,
		WritesPerSecond:    float64(used.writes) / seconds,
		ReporterStoreBytes: float64(used.sent+used.received) / seconds / float64(m.Zones),
		ProcessorShare:     (processorTime() - processor).Seconds() / seconds / float64(len(c.order)),
	}
	for _, n := range c.order {
		rate := float64(n.bytes.Load()-bytes[n]) / seconds
		if n.Reporter() == n.name {
			result.ReporterBytes += rate / float64(m.Zones)
			continue
		}
		result.MemberBytes += rate / float64(len(c.order)-m.Zones)
	}
	return result
}

// pass lets the case's duration pass, with its revisions.
func (c *cluster) pass(m MembershipCase) {
	if m.RevisionEvery == 0 {
		time.Sleep(m.Duration)
		return
	}
	revision := uint64(1)
	for begin := time.Now(); time.Since(begin) < m.Duration; {
		revision++
		for _, n := range c.order {
			n.SetRevision(revision)
		}
		time.Sleep(m.RevisionEvery)
	}
}

// death stops a node that is not a reporter.
func (c *cluster) death(m MembershipCase, result *MembershipResult) {
	var dead *clusterNode
	var zone, rest []*clusterNode
	for _, n := range c.order {
		if dead == nil && n.Reporter() != n.name {
			dead = n
			continue
		}
		rest = append(rest, n)
	}
	if dead == nil {
		return
	}
	for _, n := range rest {
		if n.zone == dead.zone {
			zone = append(zone, n)
		}
	}
	c.mu.Lock()
	delete(c.nodes, dead.name)
	c.mu.Unlock()
	dead.stop()
	begin := time.Now()
	c.await(zone, len(c.order)-1, time.Minute)
	result.DetectionZoneMs = float64(time.Since(begin).Milliseconds())
	c.await(rest, len(c.order)-1, time.Minute)
	result.DetectionAllMs = float64(time.Since(begin).Milliseconds())
}

// await waits until the nodes see count members.
func (c *cluster) await(nodes []*clusterNode, count int, limit time.Duration) {
	for begin := time.Now(); time.Since(begin) < limit && c.wrong(nodes, count) > 0; {
		time.Sleep(5 * time.Millisecond)
	}
}

// wrong returns how many of the nodes do not see count members.
func (c *cluster) wrong(nodes []*clusterNode, count int) int {
	wrong := 0
	for _, n := range nodes {
		if len(n.Members()) != count {
			wrong++
		}
	}
	return wrong
}

func heapBytes() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

// Intervals returns membership settings with the given intervals.
func Intervals(heartbeat, suspect, report time.Duration) *schema.MembershipSettings {
	return &schema.MembershipSettings{
		HeartbeatInterval: durationpb.New(heartbeat),
		SuspectAfter:      durationpb.New(suspect),
		ReportInterval:    durationpb.New(report),
	}
}

var _ objects.Store = (*meter)(nil)
