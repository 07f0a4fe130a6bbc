package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"go.uber.org/fx"
	"golang.org/x/net/netutil"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/explain"
	"github.com/primrosemoor/primrosemoor/gateway"
	"github.com/primrosemoor/primrosemoor/logging"
	"github.com/primrosemoor/primrosemoor/mesh"
	"github.com/primrosemoor/primrosemoor/owner"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/platform"
	"github.com/primrosemoor/primrosemoor/quota"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/telemetry"
	"github.com/primrosemoor/primrosemoor/upstream"
)

// parts are what one entry node consists of.
type parts struct {
	fx.In

	Settings  *schema.GatewaySettings
	Lines     *logging.Bounded
	Logger    *log.Logger
	Metrics   *telemetry.Entry
	Self      datastore.Node
	Store     *platform.Store
	Pool      *peer.Pool
	Server    *peer.Server
	Mesh      *mesh.Manager
	Datastore *datastore.Manager
	Balancer  *balance.Manager
	Owner     *owner.Manager
	Allowance *quota.Allowance
	Upstream  *upstream.Client
	Gateway   *gateway.Gateway
	Retries   *quota.Retries
	Decisions *explain.Recorder
	Reload    Reload `optional:"true"`
}

// lifecycle starts the parts in order and stops them after the requests in
// flight have ended.
type lifecycle struct {
	parts
	cancel    context.CancelFunc
	running   sync.WaitGroup
	callers   *http.Server
	readiness *http.Server
	metrics   *http.Server
	draining  atomic.Bool
	seeds     atomic.Pointer[[]string]
}

func appendLifecycle(lc fx.Lifecycle, p parts) {
	l := &lifecycle{parts: p}
	l.seeds.Store(&p.Settings.Seeds)
	lc.Append(fx.Hook{OnStart: l.start, OnStop: l.stop})
}

const (
	// headerTimeout bounds the head of a request; the configuration's limit is
	// known only later, and is shorter.
	headerTimeout = 15 * time.Second
	// headerBytes bounds the head of a request.
	headerBytes = 64 << 10
	// callersShare is one over the part of the descriptors that callers may take.
	callersShare = 2
)

func (l *lifecycle) start(context.Context) error {
	listen := l.Settings.GetListen()
	callers, err := net.Listen("tcp4", listen.GetCallers())
	if err != nil {
		return fmt.Errorf("listen.callers: %w", err)
	}
	readiness, err := net.Listen("tcp4", listen.GetReadiness())
	if err != nil {
		return fmt.Errorf("listen.readiness: %w", err)
	}
	peers, err := net.Listen("tcp4", listen.GetPeers())
	if err != nil {
		return fmt.Errorf("listen.peers: %w", err)
	}
	l.serveOperators()
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.running.Go(func() {
		if err := l.Server.Serve(peers); err != nil {
			l.Logger.Error().Str("event", "listener_failed").Str("address", listen.GetPeers()).Err(err).Msg("")
		}
	})
	for _, run := range []func(context.Context){l.Balancer.Run, l.Mesh.Run, l.Owner.Run, l.sayAble, l.Datastore.Run, l.Upstream.Run, l.announce, l.askSeeds, l.reload} {
		l.running.Go(func() { run(ctx) })
	}
	l.callers = &http.Server{Handler: l.Gateway, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerBytes}
	l.readiness = &http.Server{Handler: http.HandlerFunc(l.answerReady), ReadHeaderTimeout: headerTimeout}
	if err := l.serveMetrics(); err != nil {
		return err
	}
	l.serve(l.callers, netutil.LimitListener(callers, int(l.Settings.GetResources().GetFileDescriptors()/callersShare)))
	l.serve(l.readiness, readiness)
	l.Logger.Info().Str("event", "started").Str("node", l.Settings.GetNode().GetName()).
		Str("zone", l.Settings.GetNode().GetAvailabilityZone()).Str("callers", listen.GetCallers()).Msg("")
	return nil
}

func (l *lifecycle) serve(s *http.Server, listener net.Listener) {
	l.running.Go(func() {
		if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			l.Logger.Error().Str("event", "listener_failed").Str("address", listener.Addr().String()).Err(err).Msg("")
		}
	})
}

// answerReady tells the balancer whether to send connections here.
func (l *lifecycle) answerReady(w http.ResponseWriter, _ *http.Request) {
	if l.draining.Load() || !l.Datastore.Ready() || !l.Datastore.KeysProven() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

const (
	// ableAfter is the time from a start after which a node has heard what is
	// outstanding at the targets, so that it can choose for its zone.
	ableAfter    = time.Second
	ableInterval = 100 * time.Millisecond
)

// sayAble tells the others whether this node can own its zone, until ctx ends.
func (l *lifecycle) sayAble(ctx context.Context) {
	tick := time.NewTicker(ableInterval)
	defer tick.Stop()
	began := time.Now()
	for {
		select {
		case now := <-tick.C:
			l.Mesh.SetAble(now.Sub(began) >= ableAfter && l.Datastore.Ready() && l.Datastore.KeysProven())
		case <-ctx.Done():
			return
		}
	}
}

// announce writes this node's object until the store has taken it.
func (l *lifecycle) announce(ctx context.Context) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, announceTimeout)
		err := l.Store.Announce(call, l.Self)
		cancel()
		if err == nil {
			return
		}
		l.Logger.Warn().Str("event", "announce_failed").Err(err).Msg("")
		select {
		case <-time.After(announceRetry):
		case <-ctx.Done():
		}
	}
}

// askSeeds asks other nodes for what the store does not tell, until the node is
// ready.
func (l *lifecycle) askSeeds(ctx context.Context) {
	_, port, err := net.SplitHostPort(l.Self.Address)
	if err != nil {
		l.Logger.Error().Str("event", "seeds_unusable").Err(err).Msg("")
		return
	}
	for ctx.Err() == nil {
		select {
		case <-time.After(seedInterval):
		case <-ctx.Done():
			return
		}
		if l.Datastore.Ready() {
			return
		}
		for _, seed := range *l.seeds.Load() {
			host, _, err := net.SplitHostPort(seed)
			if address := net.JoinHostPort(host, port); err == nil && address != l.Self.Address {
				l.Datastore.AskPeer(ctx, address)
			}
		}
	}
}

const (
	// seedInterval gives the store time to answer first.
	seedInterval    = 700 * time.Millisecond
	announceTimeout = 2 * time.Second
	announceRetry   = time.Second
)

// stop leaves the balancer, lets the requests in flight end, and ends.
func (l *lifecycle) stop(ctx context.Context) error {
	l.Logger.Info().Str("event", "draining").Msg("")
	l.draining.Store(true)
	l.Gateway.CloseConnections()
	l.Mesh.Leave()
	select {
	case <-time.After(settle):
	case <-ctx.Done():
	}
	err := l.callers.Shutdown(ctx)
	if err != nil {
		l.Logger.Warn().Str("event", "requests_cut").Err(err).Msg("")
	}
	l.cancel()
	l.readiness.Close()
	l.metrics.Close()
	l.Server.Close()
	l.Pool.Close()
	l.running.Wait()
	l.Logger.Info().Str("event", "stopped").Msg("")
	return errors.Join(err, l.Lines.Close())
}
