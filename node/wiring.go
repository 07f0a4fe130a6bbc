package node

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/admission"
	"github.com/primrosemoor/primrosemoor/dispatch"
	"github.com/primrosemoor/primrosemoor/engine"
	"github.com/primrosemoor/primrosemoor/explain"
	"github.com/primrosemoor/primrosemoor/front"
	"github.com/primrosemoor/primrosemoor/ledger"
	"github.com/primrosemoor/primrosemoor/limits"
	"github.com/primrosemoor/primrosemoor/logging"
	"github.com/primrosemoor/primrosemoor/membership"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/peertls"
	"github.com/primrosemoor/primrosemoor/placement"
	"github.com/primrosemoor/primrosemoor/probe"
	"github.com/primrosemoor/primrosemoor/quarantine"
	"github.com/primrosemoor/primrosemoor/register"
	"github.com/primrosemoor/primrosemoor/routing"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/telemetry"
	"github.com/primrosemoor/primrosemoor/topology"
)

func newLogger(s *schema.Settings) (*log.Logger, error) {
	return logging.New(s.GetLog())
}

func newTelemetry() (*telemetry.Telemetry, error) {
	return telemetry.New()
}

// newIdentity uses the start time as the incarnation number, because a node
// persists no state across restarts.
func newIdentity(s *schema.Settings) peer.Identity {
	return peer.Identity{
		Cluster:          s.GetNode().GetCluster(),
		Node:             s.GetNode().GetName(),
		AvailabilityZone: s.GetNode().GetAvailabilityZone(),
		Incarnation:      uint64(time.Now().UnixNano()),
	}
}

func newLocation(s *schema.Settings) routing.Location {
	return routing.Location{
		Node:             s.GetNode().GetName(),
		AvailabilityZone: s.GetNode().GetAvailabilityZone(),
		Region:           s.GetNode().GetRegion(),
	}
}

func newStore(s *schema.Settings, o Options) (objects.Store, error) {
	if o.Store != nil {
		return o.Store, nil
	}
	return objects.NewHTTP(s.GetPlatform(), s.GetNode().GetSourceAddress())
}

func newTLS(s *schema.Settings) (peertls.Configs, error) {
	return peertls.Load(s.GetPeer())
}

func newPool(s *schema.Settings, id peer.Identity, c peertls.Configs, t *telemetry.Telemetry) *peer.Pool {
	return peer.NewPool(peer.PoolOptions{
		Identity:      id,
		Meter:         t,
		TLS:           c.Client,
		SourceAddress: s.GetNode().GetSourceAddress(),
		DialTimeout:   s.GetPeer().GetDialTimeout().AsDuration(),
		CallTimeout:   s.GetPeer().GetCallTimeout().AsDuration(),
	})
}

func newServer(id peer.Identity, c peertls.Configs, t *telemetry.Telemetry) *peer.Server {
	return peer.NewServer(id, t, c.Server)
}

func newPeerClient(s *schema.Settings, pool *peer.Pool, current *topology.Current) *peerClient {
	return &peerClient{
		pool:    pool,
		current: current,
		self:    s.GetNode().GetName(),
		zone:    s.GetNode().GetAvailabilityZone(),
	}
}

func newMembership(s *schema.Settings, id peer.Identity, store objects.Store, peers *peerClient, logger *log.Logger) *membership.Manager {
	address := s.GetPeer().GetAdvertiseAddress()
	if address == "" {
		address = s.GetPeer().GetListenAddress()
	}
	return membership.New(membership.Options{
		Self: &schema.Member{
			Node:             id.Node,
			AvailabilityZone: id.AvailabilityZone,
			Region:           s.GetNode().GetRegion(),
			PeerAddress:      address,
			Incarnation:      id.Incarnation,
			State:            schema.MemberState_MEMBER_STATE_ACTIVE,
		},
		Store:    store,
		Peers:    peers,
		Settings: s.GetMembership(),
		Seeds:    s.GetPeer().GetSeeds(),
		Logger:   logger,
	})
}

func newRegister(store objects.Store, peers *peerClient, members *membership.Manager, logger *log.Logger) *register.Manager {
	peers.members = members
	return register.NewManager(register.Options{Store: store, Peers: peers, Logger: logger})
}

func newLedger(s *schema.Settings, store objects.Store, peers *peerClient, logger *log.Logger) *ledger.Manager {
	return ledger.New(ledger.Options{
		Node:     s.GetNode().GetName(),
		Store:    store,
		Settings: s.GetLedger(),
		Peers:    peers,
		Logger:   logger,
	})
}

func newQuarantine(store objects.Store, peers *peerClient, logger *log.Logger) *quarantine.Manager {
	return quarantine.New(quarantine.Options{Store: store, Broadcaster: peers, Logger: logger})
}

func newLimits(s *schema.Settings, peers *peerClient, logger *log.Logger) *limits.Limiter {
	return limits.New(limits.Options{Node: s.GetNode().GetName(), Peers: peers, Logger: logger})
}

func newAdmission(s *schema.Settings, peers *peerClient, quarantined *quarantine.Manager, logger *log.Logger) *admission.Manager {
	return admission.New(admission.Options{
		Node:                s.GetNode().GetName(),
		Region:              s.GetNode().GetRegion(),
		Settings:            s.GetScheduling(),
		Peers:               peers,
		FingerprintScreener: quarantined,
		Logger:              logger,
	})
}

// targetTimeout bounds one placement order or state request to a target.
const targetTimeout = 2 * time.Second

// maxTargetHeadBytes bounds the head of a target's answer to one.
const maxTargetHeadBytes = 64 << 10

// newTargetClient returns the client for placement orders and state requests.
func newTargetClient(s *schema.Settings) *http.Client {
	dialer := &net.Dialer{Timeout: targetTimeout}
	if ip := net.ParseIP(s.GetNode().GetSourceAddress()); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxResponseHeaderBytes: maxTargetHeadBytes}
	return &http.Client{Transport: transport, Timeout: targetTimeout}
}

func newPlacement(s *schema.Settings, store objects.Store, members *membership.Manager, logger *log.Logger) *placement.Manager {
	return placement.New(placement.Options{
		Node:    s.GetNode().GetName(),
		Store:   store,
		Targets: placement.HTTPTargets{Client: newTargetClient(s)},
		Current: members.IsCurrent,
		Logger:  logger,
	})
}

func newProber(s *schema.Settings, manager *admission.Manager, current *topology.Current, logger *log.Logger) *probe.Prober {
	return probe.New(probe.Options{
		Node:          s.GetNode().GetName(),
		Admission:     manager,
		SourceAddress: s.GetNode().GetSourceAddress(),
		Logger:        logger,
	}, current)
}

func newPermits(location routing.Location, pool *peer.Pool, manager *admission.Manager, current *topology.Current, logger *log.Logger) *routing.Permits {
	return routing.NewPermits(location, pool, manager, current, logger)
}

func newClaims(location routing.Location, pool *peer.Pool, manager *ledger.Manager, current *topology.Current) *routing.Claims {
	return routing.NewClaims(location, pool, manager, current)
}

func newEngine(s *schema.Settings) *engine.Client {
	return engine.NewClient(engine.Options{SourceAddress: s.GetNode().GetSourceAddress()})
}

func newSigner(s *schema.Settings) (*dispatch.Signer, error) {
	signer, err := dispatch.NewSigner(s.GetPeer().GetTicketKey())
	if err != nil {
		return nil, fmt.Errorf("read the ticket key: %w", err)
	}
	return signer, nil
}

func newDispatcher(s *schema.Settings, permits *routing.Permits, claims *routing.Claims, recorder *explain.Recorder,
	client *engine.Client, signer *dispatch.Signer, t *telemetry.Telemetry) *dispatch.Dispatcher {
	return dispatch.New(dispatch.Options{
		Node:              s.GetNode().GetName(),
		Region:            s.GetNode().GetRegion(),
		Permits:           explain.RecordingPermits{Permits: permits, Recorder: recorder},
		Claims:            claims,
		Engine:            client,
		Signer:            signer,
		Meter:             t,
		MaxStreamDuration: s.GetHttp().GetMaxStreamDuration().AsDuration(),
		MaxStoredOutcome:  int(s.GetLedger().GetMaxStoredOutcomeBytes()),
	})
}

// frontServer is the HTTP server for clients.
type frontServer struct {
	handler *front.Front
	server  *http.Server
}

func newFront(s *schema.Settings, d *dispatch.Dispatcher, signer *dispatch.Signer, current *topology.Current,
	members *membership.Manager, limiter *limits.Limiter, st *processState, t *telemetry.Telemetry, logger *log.Logger) *frontServer {
	handler := front.New(front.Options{
		Settings:   s.GetHttp(),
		Snapshot:   current.Load,
		Dispatcher: d,
		Signer:     signer,
		Ready:      func() error { return st.ready(current, members) },
		Limits:     limiter,
		Telemetry:  t,
		Logger:     logger,
	})
	return &frontServer{handler: handler, server: handler.NewServer()}
}
