package capacity

import (
	"context"
	"fmt"
	"net"
	"time"

	"go.uber.org/fx"

	"github.com/primrosemoor/primrosemoor/node"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/register"
	"github.com/primrosemoor/primrosemoor/routing"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/settings"
	"github.com/primrosemoor/primrosemoor/topology"
)

const (
	clusterName  = "capacity"
	startTimeout = 20 * time.Second
	settleLimit  = 30 * time.Second
	pollInterval = 5 * time.Millisecond
)

// cluster is a set of nodes in this process that share an in-memory object API
// and communicate over real connections on loopback.
type cluster struct {
	memory   *objects.Memory
	counters *storeCounters
	nodes    []*member
}

// member is one running node.
type member struct {
	app     *fx.App
	pool    *peer.Pool
	server  *peer.Server
	current *topology.Current
	permits *routing.Permits
	claims  *routing.Claims
	place   routing.Location
}

// startCluster applies the configuration, starts n nodes and waits until the
// configuration is in force at all of them and each sees all members.
func startCluster(n int, config *schema.Config) (*cluster, error) {
	c := &cluster{memory: objects.NewMemory(), counters: &storeCounters{}}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	changes := register.Diff(&schema.Config{}, config)
	if _, err := register.Apply(ctx, c.memory, changes, clusterName); err != nil {
		return nil, fmt.Errorf("apply the configuration: %w", err)
	}
	for i := range n {
		if err := c.startNode(i); err != nil {
			c.stop()
			return nil, err
		}
	}
	if err := c.waitForMembers(n); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

func (c *cluster) startNode(i int) error {
	s, err := nodeSettings(i)
	if err != nil {
		return err
	}
	m := &member{}
	store := countingStore{Store: c.memory, counters: c.counters}
	m.app = node.New(s, node.Options{Store: store},
		fx.Populate(&m.pool, &m.server, &m.current, &m.permits, &m.claims, &m.place))
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := m.app.Start(ctx); err != nil {
		return fmt.Errorf("start node %d: %w", i, err)
	}
	c.nodes = append(c.nodes, m)
	return nil
}

func nodeSettings(i int) (*schema.Settings, error) {
	callers, err := freeAddress()
	if err != nil {
		return nil, err
	}
	peers, err := freeAddress()
	if err != nil {
		return nil, err
	}
	s := settings.Default()
	zone := zoneOf(i)
	s.Node = &schema.NodeSettings{
		Name:             fmt.Sprintf("node-%03d", i),
		Cluster:          clusterName,
		AvailabilityZone: zone.GetName(),
		Region:           zone.GetRegion(),
	}
	s.Http.ListenAddress = callers
	s.Peer.ListenAddress = peers
	s.Log.Level = "error"
	return s, nil
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// bytesSent returns the bytes that all nodes together have sent to peers.
func (c *cluster) bytesSent() uint64 {
	var total peer.Traffic
	for _, m := range c.nodes {
		total = total.Add(m.pool.Traffic()).Add(m.server.Traffic())
	}
	return total.Sent
}

// waitForMembers waits until every node sees n members.
func (c *cluster) waitForMembers(n int) error {
	return c.waitUntil(func(s *topology.Snapshot) bool { return len(s.Members) == n && s.Revision() > 0 })
}

// waitForRevision waits until a revision is in force at every node and returns
// the time until then for each node.
func (c *cluster) waitForRevision(revision uint64) ([]time.Duration, error) {
	start := time.Now()
	times := make([]time.Duration, len(c.nodes))
	reached := 0
	for reached < len(c.nodes) {
		if time.Since(start) > settleLimit {
			return nil, fmt.Errorf("revision %d is in force at %d of %d nodes after %v", revision, reached, len(c.nodes), settleLimit)
		}
		for i, m := range c.nodes {
			if times[i] == 0 && m.current.Load().Revision() >= revision {
				times[i] = time.Since(start)
				reached++
			}
		}
		time.Sleep(pollInterval)
	}
	return times, nil
}

// waitUntil waits until the condition holds for the topology of every node, or
// returns an error after settleLimit.
func (c *cluster) waitUntil(done func(*topology.Snapshot) bool) error {
	deadline := time.Now().Add(settleLimit)
	for _, m := range c.nodes {
		for !done(m.current.Load()) {
			if time.Now().After(deadline) {
				return fmt.Errorf("the cluster did not settle in %v", settleLimit)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// stop stops all nodes concurrently.
func (c *cluster) stop() {
	done := make(chan struct{}, len(c.nodes))
	for _, m := range c.nodes {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
			defer cancel()
			_ = m.app.Stop(ctx)
			done <- struct{}{}
		}()
	}
	for range c.nodes {
		<-done
	}
}
