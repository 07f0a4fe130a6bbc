package entry

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/clock"
	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/mesh"
	"github.com/primrosemoor/primrosemoor/owner"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/platform"
	"github.com/primrosemoor/primrosemoor/quota"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	// cluster guards against links to nodes of another program.
	cluster = "primrosemoor-entry"
	// peerCallTimeout bounds a question to another node.
	peerCallTimeout = time.Second
	// peerDialTimeout bounds the dial to another node: two ways between regions
	// and no repeated packet.
	peerDialTimeout = 500 * time.Millisecond
)

func newSelf(s *schema.GatewaySettings) datastore.Node {
	node := s.GetNode()
	return datastore.Node{
		Name: node.GetName(), Address: s.GetListen().GetPeers(),
		Zone: node.GetAvailabilityZone(), Region: node.GetRegion(), Started: time.Now(),
		Cores: s.GetResources().GetProcessorShare() * float64(s.GetResources().GetCores()),
	}
}

func newIdentity(self datastore.Node) peer.Identity {
	return peer.Identity{
		Cluster: cluster, Node: self.Name, AvailabilityZone: self.Zone, Incarnation: uint64(self.Started.UnixNano()),
	}
}

func newPool(id peer.Identity) *peer.Pool {
	return peer.NewPool(peer.PoolOptions{
		Identity: id, Meter: peer.NopMeter{}, DialTimeout: peerDialTimeout, CallTimeout: peerCallTimeout,
	})
}

func newServer(id peer.Identity) *peer.Server {
	return peer.NewServer(id, peer.NopMeter{}, nil)
}

// hub passes what one part learns to the others. The parts refer to each other
// in a circle, so that it is filled in after they were made.
type hub struct {
	mesh      *mesh.Manager
	balancer  *balance.Manager
	allowance *quota.Allowance
	retries   *quota.Retries
	datastore *datastore.Manager
}

func newHub() *hub { return &hub{} }

// Load implements mesh.Listener.
func (h *hub) Load(source, target string, use mesh.TargetUse) {
	load := balance.Load{Requests: use.Requests, PromptTokens: float64(use.PromptTokens)}
	h.balancer.Remote(source, target, load, time.Duration(use.StepMicros)*time.Microsecond)
}

// Lost implements mesh.Listener.
func (h *hub) Lost(source string) { h.balancer.Lost(source) }

// Booked implements mesh.Listener.
func (h *hub) Booked(team string, amount float64, level *int64) {
	h.allowance.Booked(team, amount, level)
}

// Waiting implements mesh.Listener.
func (h *hub) Waiting(source string, q mesh.Queue, waiting int) {
	h.balancer.Waiting(source, q.Service, q.Tier, waiting)
}

// Silent implements mesh.Listener.
func (h *hub) Silent(share float64, nodes int) {
	h.allowance.Silent(share)
	h.retries.SetNodes(nodes)
}

// Proof implements mesh.Prover.
func (h *hub) Proof() (uint64, time.Duration, bool) { return h.datastore.Proof() }

// Relayed implements mesh.Prover.
func (h *hub) Relayed(version uint64, proven clock.Instant, address string) {
	h.datastore.Relayed(version, proven, address)
}

func newMesh(h *hub, self datastore.Node, pool *peer.Pool, server *peer.Server, logger *log.Logger) *mesh.Manager {
	h.mesh = mesh.New(mesh.Options{
		Self: self, Pool: pool, Listener: h, Prover: h, Logger: logger,
	})
	server.HandleStream(schema.Method_METHOD_MESH, h.mesh.Serve)
	return h.mesh
}

func newBalancer(s *schema.GatewaySettings, h *hub, m *mesh.Manager, logger *log.Logger) *balance.Manager {
	regions := make(map[string]string)
	for _, z := range s.GetZones() {
		regions[z.GetName()] = z.GetRegion()
	}
	h.balancer = balance.NewManager(balance.Options{
		Node: s.GetNode().GetName(), Zone: s.GetNode().GetAvailabilityZone(), Regions: regions, Logger: logger,
		Publish: func(target string, own balance.Load, step time.Duration) {
			m.SetTarget(target, mesh.TargetUse{
				Requests: own.Requests, PromptTokens: int(own.PromptTokens), StepMicros: int(step.Microseconds()),
			})
		},
		PublishQueue: func(service string, tier, waiting int) { m.SetQueue(mesh.Queue{Service: service, Tier: tier}, waiting) },
	})
	return h.balancer
}

func newOwner(self datastore.Node, b *balance.Manager, m *mesh.Manager, d *datastore.Manager, pool *peer.Pool, server *peer.Server, logger *log.Logger) *owner.Manager {
	o := owner.NewManager(owner.Options{
		Self: self.Name, Balancer: b, Members: m, Targets: d, Pool: pool, Logger: logger,
	})
	server.HandleStream(schema.Method_METHOD_OWNER, o.Serve)
	return o
}

func newAllowance(s *schema.GatewaySettings, h *hub, m *mesh.Manager) *quota.Allowance {
	h.allowance = quota.NewAllowance(limitSlack(s.GetBounds()), m.Book)
	return h.allowance
}

func newDatastore(s *schema.GatewaySettings, self datastore.Node, h *hub, store *platform.Store, pool *peer.Pool, server *peer.Server, logger *log.Logger) *datastore.Manager {
	h.datastore = datastore.NewManager(datastore.Options{
		Sources: datastore.Sources{
			Configurations: store.Configurations(),
			Targets:        store.Targets(),
			Nodes:          store.Nodes(),
		},
		Relay: datastore.Relay{
			Fetch: func(ctx context.Context, address string) (datastore.Passed, error) {
				return fetch(ctx, pool, address)
			},
			DecodeConfig: platform.DecodeConfig,
			DecodeTarget: platform.DecodeTarget,
		},
		Revocation: s.GetBounds().GetRevocation().AsDuration(),
		Drain:      s.GetBounds().GetDrain().AsDuration(),
		Owns:       func() bool { return h.mesh.Owner().Name == self.Name },
		Logger:     logger,
		OnTargets: func(targets []*catalog.Target, services map[string]*catalog.Service) {
			h.balancer.ApplyTargets(targets, services)
		},
		OnNodes: func(nodes map[string]datastore.Node) { h.mesh.SetNodes(nodes) },
	})
	serveBeliefs(server, h.datastore)
	return h.datastore
}

// serveBeliefs answers other nodes that the store does not answer.
func serveBeliefs(server *peer.Server, d *datastore.Manager) {
	peer.Handle(server, schema.Method_METHOD_BELIEFS, func() *schema.BeliefsRequest { return &schema.BeliefsRequest{} },
		func(ctx context.Context, _ peer.Identity, _ *schema.BeliefsRequest) (*schema.BeliefsReply, error) {
			p := d.Pass(ctx)
			reply := &schema.BeliefsReply{
				Version: p.Version, Configuration: p.Configuration, Targets: p.Targets, ProofAgeMicros: uint64(p.Age.Microseconds()),
			}
			for _, n := range p.Nodes {
				reply.Nodes = append(reply.Nodes, &schema.MeshNode{Name: n.Name, Address: n.Address, Zone: n.Zone, Region: n.Region, Cores: n.Cores})
			}
			return reply, nil
		})
}

func fetch(ctx context.Context, pool *peer.Pool, address string) (datastore.Passed, error) {
	reply := &schema.BeliefsReply{}
	if err := pool.Call(ctx, address, schema.Method_METHOD_BELIEFS, &schema.BeliefsRequest{}, reply); err != nil {
		return datastore.Passed{}, err
	}
	nodes := make(map[string]datastore.Node, len(reply.GetNodes()))
	for _, n := range reply.GetNodes() {
		nodes[n.GetName()] = datastore.Node{Name: n.GetName(), Address: n.GetAddress(), Zone: n.GetZone(), Region: n.GetRegion(), Cores: n.GetCores()}
	}
	return datastore.Passed{
		Version: reply.GetVersion(), Configuration: reply.GetConfiguration(), Targets: reply.GetTargets(), Nodes: nodes,
		Age: time.Duration(reply.GetProofAgeMicros()) * time.Microsecond,
	}, nil
}
