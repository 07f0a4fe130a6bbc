package entry

import (
	"context"
	"strings"
	"time"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/clock"
	"github.com/primrosemoor/primrosemoor/culprit"
	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/fairshare"
	"github.com/primrosemoor/primrosemoor/mesh"
	"github.com/primrosemoor/primrosemoor/owner"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/platform"
	"github.com/primrosemoor/primrosemoor/quota"
	"github.com/primrosemoor/primrosemoor/resume"
	"github.com/primrosemoor/primrosemoor/rollout"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	// clusterName is exchanged between peers, which reject connections from nodes
	// of another program.
	clusterName = "primrosemoor-entry"
	// peerCallTimeout bounds a call to another node.
	peerCallTimeout = time.Second
	// peerDialTimeout bounds the dial to another node: two one-way trips between
	// regions, without a retransmitted packet.
	peerDialTimeout = 500 * time.Millisecond
	// targetBooking precedes the id of a target in the name of bookings against its
	// limit. No name of a team begins with it.
	targetBooking = "\x00target/"
	// limitUnit is the number of units of mesh.TargetUse.LimitMillis in one request a
	// second.
	limitUnit = 1000
)

func newSelf(s *schema.GatewaySettings) datastore.Node {
	node := s.GetNode()
	return datastore.Node{
		Name: node.GetName(), Address: s.GetListen().GetPeers(),
		Zone: node.GetAvailabilityZone(), Region: node.GetRegion(), Started: time.Now(),
		Cores: s.GetResources().GetProcessorShare() * s.GetResources().GetCores(),
	}
}

func newIdentity(self datastore.Node) peer.Identity {
	return peer.Identity{
		Cluster: clusterName, Node: self.Name, AvailabilityZone: self.Zone, Incarnation: uint64(self.Started.UnixNano()),
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

// forwarder forwards events from one component to the others. The components
// depend on each other in a cycle, so each field is set when its component is
// constructed, after the forwarder.
type forwarder struct {
	mesh      *mesh.Manager
	balancer  *balance.Manager
	owner     *owner.Manager
	allowance *quota.Allowance
	retries   *quota.Retries
	datastore *datastore.Manager
	streams   *resume.Registry
	archive   *resume.Archive
	rollouts  *rollout.Manager
	listed    listedNodes
	unlisted  unlisted
}

// unlisted signals that the store has lost this node's announcement.
type unlisted chan struct{}

func (u unlisted) signal() {
	select {
	case u <- struct{}{}:
	default:
	}
}

// clear drops a signal that has not been received.
func (u unlisted) clear() {
	select {
	case <-u:
	default:
	}
}

func newForwarder() *forwarder { return &forwarder{unlisted: make(unlisted, 1)} }

// TargetLoad implements mesh.Listener.
func (f *forwarder) TargetLoad(source, target string, use mesh.TargetUse) {
	f.balancer.SetRemoteUse(source, target, balance.Use{
		Load:  balance.Load{Requests: use.Requests, PromptTokens: float64(use.PromptTokens), MemoryTokens: float64(use.MemoryTokens)},
		Step:  time.Duration(use.StepMicros) * time.Microsecond,
		Limit: float64(use.LimitMillis) / limitUnit, Brittle: use.Brittle, Report: decodeTargetReport(use.Report),
	})
}

// SourceSilent implements mesh.Listener.
func (f *forwarder) SourceSilent(source string) { f.balancer.RemoveSource(source) }

// Booked implements mesh.Listener.
func (f *forwarder) Booked(team string, amount float64, level *int64, over time.Duration) {
	if target, ok := strings.CutPrefix(team, targetBooking); ok {
		f.balancer.RecordRemoteSends(target, amount)
		return
	}
	f.allowance.RecordRemote(team, amount, level, over)
}

// Returned implements mesh.Listener. What was booked against a target's limit is never
// refunded.
func (f *forwarder) Returned(team string, amount float64, delay time.Duration, level *int64) {
	f.allowance.RecordRemoteReturn(team, amount, delay, level)
}

// QueueLength implements mesh.Listener.
func (f *forwarder) QueueLength(source string, q mesh.Queue, waiting int) {
	f.balancer.SetRemoteWaiting(source, q.Service, q.Tier, waiting)
}

// ShareReported implements mesh.Listener.
func (f *forwarder) ShareReported(source string, k mesh.ShareKey, share mesh.Share) {
	f.balancer.SetRemoteShare(source, k.Service, fairshare.Key{Team: k.Team, Tier: k.Tier}, fairshare.Use{
		Granted: float64(share.GrantedMillis) / millisPerSecond, Waiting: float64(share.WaitingMillis) / millisPerSecond,
	})
}

// millisPerSecond converts the work of teams, which nodes exchange in thousandths of a second.
const millisPerSecond = 1000

// SilentShare implements mesh.Listener.
func (f *forwarder) SilentShare(share float64, nodes int) {
	f.allowance.SetNodes(nodes, share)
	f.retries.SetNodes(nodes)
	f.balancer.SetSilentShare(share)
}

// Proof implements mesh.ProofRelay.
func (f *forwarder) Proof() (datastore.ConfigState, time.Duration, bool) { return f.datastore.Proof() }

// ApplyProof implements mesh.ProofRelay.
func (f *forwarder) ApplyProof(c datastore.ConfigState, proven clock.Instant, address string) {
	f.datastore.ApplyProof(c, proven, address)
}

// Era implements mesh.ObjectRelay.
func (f *forwarder) Era() uint64 { return f.datastore.Era() }

// ApplyEra implements mesh.ObjectRelay.
func (f *forwarder) ApplyEra(era uint64) { f.datastore.ApplyEra(era) }

// Position implements mesh.ObjectRelay.
func (f *forwarder) Position(k datastore.Kind) datastore.Position { return f.datastore.Position(k) }

// Changes implements mesh.ObjectRelay.
func (f *forwarder) Changes(k datastore.Kind, since datastore.Position) (datastore.Delta, time.Duration, bool) {
	return f.datastore.Changes(k, since)
}

// ApplyChanges implements mesh.ObjectRelay.
func (f *forwarder) ApplyChanges(k datastore.Kind, d datastore.Delta, proven clock.Instant) {
	f.datastore.ApplyChanges(k, d, proven)
}

func newCulprits(f *forwarder, logger *log.Logger) *culprit.Manager {
	return culprit.New(func() { f.mesh.CrashesChanged() }, logger)
}

func newMesh(f *forwarder, self datastore.Node, pool *peer.Pool, server *peer.Server, culprits *culprit.Manager, streams *resume.Registry, rollouts *rollout.Manager, logger *log.Logger) *mesh.Manager {
	f.mesh = mesh.New(mesh.Options{
		Self: self, Pool: pool, Listener: f, ProofRelay: f, ObjectRelay: f, CrashRelay: culprits, StreamRelay: streams, RolloutRelay: rolloutRelay(rollouts), Logger: logger,
	})
	server.HandleStream(schema.Method_METHOD_MESH, f.mesh.Serve)
	return f.mesh
}

func newBalancer(s *schema.GatewaySettings, f *forwarder, m *mesh.Manager, logger *log.Logger) *balance.Manager {
	regions := make(map[string]string)
	for _, z := range s.GetZones() {
		regions[z.GetName()] = z.GetRegion()
	}
	f.balancer = balance.NewManager(balance.Options{
		Node: s.GetNode().GetName(), Zone: s.GetNode().GetAvailabilityZone(), Regions: regions, Drain: s.GetBounds().GetDrain().AsDuration(), Logger: logger,
		Publish: func(target string, own balance.Use) {
			m.SetTarget(target, mesh.TargetUse{
				Requests: own.Requests, PromptTokens: int(own.PromptTokens), MemoryTokens: int(own.MemoryTokens), StepMicros: int(own.Step.Microseconds()),
				LimitMillis: int(own.Limit * limitUnit), Brittle: own.Brittle, Report: encodeTargetReport(own.Report, m.Owner().Name == s.GetNode().GetName()),
			})
		},
		PublishSend:  func(target string) { m.Book(targetBooking+target, 1, nil) },
		PublishQueue: func(service string, tier, waiting int) { m.SetQueue(mesh.Queue{Service: service, Tier: tier}, waiting) },
		FairShares:   s.GetSharing().GetFair(),
		PublishShare: func(service string, k fairshare.Key, u fairshare.Use) {
			m.SetShare(mesh.ShareKey{Service: service, Team: k.Team, Tier: k.Tier}, mesh.Share{
				GrantedMillis: int(u.Granted * millisPerSecond), WaitingMillis: int(u.Waiting * millisPerSecond),
			})
		},
	})
	return f.balancer
}

func newOwner(self datastore.Node, f *forwarder, b *balance.Manager, m *mesh.Manager, d *datastore.Manager, pool *peer.Pool, server *peer.Server, logger *log.Logger) *owner.Manager {
	f.owner = owner.NewManager(owner.Options{
		Self: self.Name, Balancer: b, Members: m, Targets: d, Pool: pool, Logger: logger,
	})
	server.HandleStream(schema.Method_METHOD_OWNER, f.owner.Serve)
	return f.owner
}

func newAllowance(s *schema.GatewaySettings, f *forwarder, m *mesh.Manager) *quota.Allowance {
	f.allowance = quota.NewAllowance(limitSlack(s.GetBounds()), m)
	return f.allowance
}

func newDatastore(s *schema.GatewaySettings, self datastore.Node, f *forwarder, store *platform.Store, pool *peer.Pool, server *peer.Server, logger *log.Logger) *datastore.Manager {
	f.datastore = datastore.NewManager(datastore.Options{
		Sources: datastore.Sources{
			Configurations: store.Configurations(),
			Targets:        store.Targets(),
			Nodes:          store.Nodes(),
		},
		SnapshotReader: datastore.SnapshotReader{
			Fetch: func(ctx context.Context, address string, configOnly bool) (datastore.Snapshot, error) {
				return fetchSnapshot(ctx, pool, address, configOnly)
			},
			DecodeConfig: platform.DecodeConfig,
			DecodeTarget: platform.DecodeTarget,
		},
		Revocation:  s.GetBounds().GetRevocation().AsDuration(),
		Drain:       s.GetBounds().GetDrain().AsDuration(),
		OwnsZone:    func() bool { return f.mesh.Owner().Name == self.Name },
		ReadsForAll: func() bool { return f.mesh.ReadsForAll() },
		Nodes:       func() int { return f.mesh.Nodes() },
		Logger:      logger,
		OnTargets: func(targets []*catalog.Target, services map[string]*catalog.Service) {
			if f.rollouts != nil {
				f.rollouts.UpdateTargets(targets)
			}
			f.streams.Update(f.datastore.Table().Config.Routes, targets)
			f.balancer.ApplyTargets(f.streams.Admit(targets), services)
			f.archive.Wake()
		},
		OnNodes: func(nodes map[string]datastore.Node) {
			f.listed.set(nodes)
			f.mesh.SetNodes(nodes)
		},
		Self:       self.Name,
		OnUnlisted: func() { f.unlisted.signal() },
	})
	serveSnapshot(server, f.datastore)
	return f.datastore
}

// serveSnapshot serves METHOD_BELIEFS: it returns this node's configuration,
// targets and nodes to other nodes that get no response from the store.
func serveSnapshot(server *peer.Server, d *datastore.Manager) {
	peer.Handle(server, schema.Method_METHOD_BELIEFS, func() *schema.BeliefsRequest { return &schema.BeliefsRequest{} },
		func(ctx context.Context, _ peer.Identity, q *schema.BeliefsRequest) (*schema.BeliefsReply, error) {
			p := d.Snapshot(ctx)
			reply := &schema.BeliefsReply{
				Version: p.Version, Era: p.Era, Configuration: p.Configuration, ProofAgeMicros: uint64(p.Age.Microseconds()),
			}
			if q.GetConfigurationOnly() {
				return reply, nil
			}
			reply.Targets = p.Targets
			for _, n := range p.Nodes {
				reply.Nodes = append(reply.Nodes, &schema.MeshNode{Name: n.Name, Address: n.Address, Zone: n.Zone, Region: n.Region, Cores: n.Cores})
			}
			return reply, nil
		})
}

// fetchSnapshot reads the configuration, and the targets and the nodes unless only
// that is wanted, from the node at address.
func fetchSnapshot(ctx context.Context, pool *peer.Pool, address string, configOnly bool) (datastore.Snapshot, error) {
	reply := &schema.BeliefsReply{}
	if err := pool.Call(ctx, address, schema.Method_METHOD_BELIEFS, &schema.BeliefsRequest{ConfigurationOnly: configOnly}, reply); err != nil {
		return datastore.Snapshot{}, err
	}
	nodes := make(map[string]datastore.Node, len(reply.GetNodes()))
	for _, n := range reply.GetNodes() {
		nodes[n.GetName()] = datastore.Node{Name: n.GetName(), Address: n.GetAddress(), Zone: n.GetZone(), Region: n.GetRegion(), Cores: n.GetCores()}
	}
	return datastore.Snapshot{
		Version: reply.GetVersion(), Era: reply.GetEra(), Configuration: reply.GetConfiguration(), Targets: reply.GetTargets(), Nodes: nodes,
		Age: time.Duration(reply.GetProofAgeMicros()) * time.Microsecond,
	}, nil
}
