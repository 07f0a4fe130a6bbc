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

// MembershipCase is the configuration of one measurement of idle nodes, with or
// without a stream of configuration revisions.
type MembershipCase struct {
	Zones    int
	PerZone  int
	Settings *schema.MembershipSettings
	// RevisionEvery is the interval between revisions; zero means that there are
	// none.
	RevisionEvery time.Duration
	Duration      time.Duration
}

// MembershipResult is the result of one MembershipCase. Bytes are the payload
// sent and received, without protocol overhead.
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

// cluster holds the nodes of one measurement.
type cluster struct {
	store *countingStore
	mu    sync.Mutex
	nodes map[string]*clusterNode
	order []*clusterNode
	// storeOf returns the object API client of a node; if nil, all nodes use
	// store.
	storeOf func(node string) objects.Store
	// cut reports whether the link between two nodes is cut; if nil, no link is.
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

var errUnreachable = errors.New("node is unreachable")

// Heartbeat implements membership.Peers. It fails if the receiver is stopped or
// the link to it is cut.
func (n *clusterNode) Heartbeat(ctx context.Context, address string, h *schema.Heartbeat) (*schema.HeartbeatReply, error) {
	n.cluster.mu.Lock()
	to := n.cluster.nodes[address]
	n.cluster.mu.Unlock()
	if to == nil || n.cluster.cut != nil && n.cluster.cut(n.name, address) {
		return nil, errUnreachable
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

func (c *cluster) startNode(ctx context.Context, m MembershipCase, zone, index int) {
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

// MeasureMembership starts the nodes, measures their cost, then stops one node
// and measures the time until the others detect it.
func MeasureMembership(ctx context.Context, m MembershipCase) MembershipResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	heap := heapBytes()
	c := &cluster{store: &countingStore{Store: newStore()}, nodes: make(map[string]*clusterNode)}
	for i := range m.PerZone {
		for zone := range m.Zones {
			c.startNode(ctx, m, zone, i)
		}
	}
	total := m.Zones * m.PerZone
	c.awaitMembers(c.order, total, time.Minute)
	time.Sleep(5 * m.Settings.GetSuspectAfter().AsDuration())
	result := c.measureCost(m)
	result.MemoryBytes = float64(heapBytes()-heap) / float64(total)
	result.WrongViews = c.wrongViews(c.order, total)
	c.measureDetection(m, &result)
	return result
}

// measureCost measures the traffic and CPU time over the case's duration.
func (c *cluster) measureCost(m MembershipCase) MembershipResult {
	before, processor, begin := c.store.usage(), cpuTime(), time.Now()
	bytes := make(map[*clusterNode]int64)
	for _, n := range c.order {
		bytes[n] = n.bytes.Load()
	}
	c.publishRevisions(m)
	seconds := time.Since(begin).Seconds()
	used := c.store.usage().minus(before)
	result := MembershipResult{
		Zones:              m.Zones,
		Nodes:              len(c.order),
		RevisionEveryS:     m.RevisionEvery.Seconds(),
		HeartbeatMs:        m.Settings.GetHeartbeatInterval().AsDuration().Milliseconds(),
		ReadsPerSecond:     float64(used.reads) / seconds,
		WritesPerSecond:    float64(used.writes) / seconds,
		ReporterStoreBytes: float64(used.sent+used.received) / seconds / float64(m.Zones),
		ProcessorShare:     (cpuTime() - processor).Seconds() / seconds / float64(len(c.order)),
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

// publishRevisions publishes the case's revisions on all nodes for its duration.
// Without revisions it only waits.
func (c *cluster) publishRevisions(m MembershipCase) {
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

// measureDetection stops a node that is not a reporter and measures the time
// until all nodes in its zone, and all nodes, have removed it.
func (c *cluster) measureDetection(m MembershipCase, result *MembershipResult) {
	var stopped *clusterNode
	var zone, others []*clusterNode
	for _, n := range c.order {
		if stopped == nil && n.Reporter() != n.name {
			stopped = n
			continue
		}
		others = append(others, n)
	}
	if stopped == nil {
		return
	}
	for _, n := range others {
		if n.zone == stopped.zone {
			zone = append(zone, n)
		}
	}
	c.mu.Lock()
	delete(c.nodes, stopped.name)
	c.mu.Unlock()
	stopped.stop()
	begin := time.Now()
	c.awaitMembers(zone, len(c.order)-1, time.Minute)
	result.DetectionZoneMs = float64(time.Since(begin).Milliseconds())
	c.awaitMembers(others, len(c.order)-1, time.Minute)
	result.DetectionAllMs = float64(time.Since(begin).Milliseconds())
}

// awaitMembers waits until all of the nodes see count members or the limit has
// passed.
func (c *cluster) awaitMembers(nodes []*clusterNode, count int, limit time.Duration) {
	for begin := time.Now(); time.Since(begin) < limit && c.wrongViews(nodes, count) > 0; {
		time.Sleep(5 * time.Millisecond)
	}
}

// wrongViews returns the number of nodes that do not see count members.
func (c *cluster) wrongViews(nodes []*clusterNode, count int) int {
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

var _ objects.Store = (*countingStore)(nil)
