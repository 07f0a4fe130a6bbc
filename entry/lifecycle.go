package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"go.uber.org/fx"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/callers"
	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/explain"
	"github.com/primrosemoor/primrosemoor/forward"
	"github.com/primrosemoor/primrosemoor/gateway"
	"github.com/primrosemoor/primrosemoor/hedge"
	"github.com/primrosemoor/primrosemoor/links"
	"github.com/primrosemoor/primrosemoor/logging"
	"github.com/primrosemoor/primrosemoor/mesh"
	"github.com/primrosemoor/primrosemoor/owner"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/platform"
	"github.com/primrosemoor/primrosemoor/quota"
	"github.com/primrosemoor/primrosemoor/resume"
	"github.com/primrosemoor/primrosemoor/rollout"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/telemetry"
	"github.com/primrosemoor/primrosemoor/upstream"
)

// components are the components of an entry node, injected by fx.
type components struct {
	fx.In

	Settings  *schema.GatewaySettings
	Bounded   *logging.BoundedLogger
	Logger    *log.Logger
	Metrics   *telemetry.EntryMetrics
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
	Links     *links.Monitors
	Others    *forward.Client
	ForOthers *forward.Server
	Gateway   *gateway.Gateway
	Retries   *quota.Retries
	Hedges    *hedge.Manager
	Recorder  *explain.Recorder
	Archive   *resume.Archive
	Rollouts  *rollout.Manager
	Decider   *rollout.Decider
	Forwarder *forwarder
	Reload    Reload `optional:"true"`
}

// lifecycle starts the components in order and stops them after the requests in
// flight have ended.
type lifecycle struct {
	components
	cancel          context.CancelFunc
	wg              sync.WaitGroup
	callers         *callers.Server
	readinessServer *http.Server
	metricsServer   *http.Server
	draining        atomic.Bool
	seeds           atomic.Pointer[[]string]
}

func appendLifecycle(lc fx.Lifecycle, c components) {
	l := &lifecycle{components: c}
	l.seeds.Store(&c.Settings.Seeds)
	lc.Append(fx.Hook{OnStart: l.start, OnStop: l.stop})
}

const (
	// headerTimeout bounds the time to read the header of a request. The limit in
	// the configuration is shorter, but is known only later.
	headerTimeout = 15 * time.Second
	// maxHeaderBytes bounds the size of the header of a request.
	maxHeaderBytes = 64 << 10
	// callerDescriptorDivisor limits the connections of callers: they may use the
	// number of file descriptors divided by it.
	callerDescriptorDivisor = 2
)

func (l *lifecycle) start(context.Context) error {
	listen := l.Settings.GetListen()
	callerListener, err := net.Listen("tcp4", listen.GetCallers())
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
	l.serveOperatorCalls()
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.wg.Go(func() {
		if err := l.Server.Serve(peers); err != nil {
			l.Logger.Error().Str("event", "listener_failed").Str("address", listen.GetPeers()).Err(err).Msg("")
		}
	})
	for _, run := range []func(context.Context){l.Balancer.Run, l.Mesh.Run, l.Owner.Run, l.publishEligibility, l.Datastore.Run, l.Upstream.Run, l.Links.Run, l.Archive.Run, l.runRollouts, l.announce, l.bootstrapFromSeeds, l.reload} {
		l.wg.Go(func() { run(ctx) })
	}
	callerServer := &http.Server{
		Handler: l.Gateway, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: logging.NewStandardLogger(l.Logger, "callers_server_error"),
	}
	maxCallers := int(l.Settings.GetResources().GetFileDescriptors() / callerDescriptorDivisor)
	l.callers = callers.NewServer(callerServer, callerListener, callers.Options{
		MaxConns: maxCallers, Waits: l.callerWaits, Closed: l.callerClosed,
		HeadBytes: int64(l.Settings.GetResources().GetMemoryMebibytes() * headBytesPerMebibyte),
	})
	l.readinessServer = &http.Server{Handler: http.HandlerFunc(l.handleReadiness), ReadHeaderTimeout: headerTimeout}
	if err := l.serveMetrics(); err != nil {
		return err
	}
	l.serve(l.callers.Serve, callerListener.Addr())
	l.serve(func() error { return l.readinessServer.Serve(readiness) }, readiness.Addr())
	l.Logger.Info().Str("event", "started").Str("node", l.Settings.GetNode().GetName()).
		Str("zone", l.Settings.GetNode().GetAvailabilityZone()).Str("callers", listen.GetCallers()).Msg("")
	return nil
}

// callerWaits returns how long connections of callers may wait.
func (l *lifecycle) callerWaits() callers.Waits {
	table := l.Datastore.Table()
	if table == nil {
		return callers.Waits{}
	}
	limits := table.Config.Bounds
	return callers.Waits{Idle: limits.IdleTimeout, Head: limits.HeaderTimeout}
}

// callerClosed records a connection of a caller that this node has closed, with a line if the
// caller may miss an answer.
func (l *lifecycle) callerClosed(c callers.Closed) {
	l.Metrics.CallerClosed(string(c.Reason))
	if !c.Unread && !c.Begun && !c.Active {
		return
	}
	l.Logger.Warn().Str("event", "caller_connection_closed").Str("reason", string(c.Reason)).Str("caller", c.Remote.String()).
		Bool("unread", c.Unread).Bool("begun", c.Begun).Bool("active", c.Active).Dur("waited", c.Waited).Msg("")
}

func (l *lifecycle) serve(run func() error, address net.Addr) {
	l.wg.Go(func() {
		if err := run(); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			l.Logger.Error().Str("event", "listener_failed").Str("address", address.String()).Err(err).Msg("")
		}
	})
}

// handleReadiness answers the readiness probes of the platform's load balancer. It
// answers 503 while the node is draining, is not ready yet, does not know how many
// nodes share the limits, or has not confirmed within the revocation bound that its
// configuration is the newest; in the last two states the gateway refuses requests
// that need an API key. Without links to targets it is ready as long as another node sends
// requests for it. It is not ready while it accepts no connections of callers.
func (l *lifecycle) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	reaches := (l.Links.Linked() || l.Others.Usable()) && !l.callers.Full()
	if l.draining.Load() || !l.Datastore.Ready() || !l.Datastore.KeysProven() || !l.Allowance.Ready() || !reaches {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

const (
	// eligibilityDelay is the time within which a started node learns from the
	// other nodes which requests they have outstanding at the targets, so that it
	// can choose targets for its zone.
	eligibilityDelay    = time.Second
	eligibilityInterval = 100 * time.Millisecond
)

// publishEligibility reports to the other nodes whether this node can own its
// zone, until ctx ends.
func (l *lifecycle) publishEligibility(ctx context.Context) {
	tick := time.NewTicker(eligibilityInterval)
	defer tick.Stop()
	started := time.Now()
	late := lateness{interval: eligibilityInterval, checked: started}
	for {
		select {
		case now := <-tick.C:
			if delay, report := late.observe(time.Now()); report {
				l.Logger.Warn().Str("event", "process_late").Dur("delay", delay).Msg("")
			}
			l.Mesh.SetReady(now.Sub(started) >= eligibilityDelay && l.Datastore.Ready() && l.Datastore.KeysProven())
		case <-ctx.Done():
			return
		}
	}
}

// announce registers this node in the store, and again whenever the store has lost it,
// until ctx ends.
func (l *lifecycle) announce(ctx context.Context) {
	for l.announceOnce(ctx) {
		select {
		case <-l.Forwarder.unlisted:
		case <-ctx.Done():
			return
		}
		if l.draining.Load() {
			return
		}
		l.Logger.Warn().Str("event", "announcement_lost").Msg("")
		select {
		case <-time.After(rand.N(announceRetry)):
		case <-ctx.Done():
		}
	}
}

// announceOnce registers this node in the store, and retries until a write succeeds. It
// returns false if ctx ended or the node is draining.
func (l *lifecycle) announceOnce(ctx context.Context) bool {
	for ctx.Err() == nil && !l.draining.Load() {
		callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
		at, err := l.Store.Announce(callCtx, l.Self)
		cancel()
		if err == nil {
			l.Forwarder.unlisted.clear()
			l.Datastore.Announced(at)
			return true
		}
		l.Logger.Warn().Str("event", "announce_failed").Err(err).Msg("")
		select {
		case <-time.After(announceRetry):
		case <-ctx.Done():
		}
	}
	return false
}

// bootstrapFromSeeds fetches from the seed nodes what the store has not returned,
// until this node is ready.
func (l *lifecycle) bootstrapFromSeeds(ctx context.Context) {
	_, port, err := net.SplitHostPort(l.Self.Address)
	if err != nil {
		l.Logger.Error().Str("event", "seeds_unusable").Err(err).Msg("")
		return
	}
	for ctx.Err() == nil {
		select {
		case <-time.After(seedInterval + rand.N(seedJitter)):
		case <-ctx.Done():
			return
		}
		if l.Datastore.Ready() {
			return
		}
		for _, seed := range *l.seeds.Load() {
			host, _, err := net.SplitHostPort(seed)
			if address := net.JoinHostPort(host, port); err == nil && address != l.Self.Address {
				l.Datastore.LoadFromPeer(ctx, address)
			}
		}
	}
}

const (
	// seedInterval is the pause before each round of seed requests, to which up to
	// seedJitter is added at random. It gives the store time to answer first, also
	// when hundreds of nodes start together.
	seedInterval    = 1500 * time.Millisecond
	seedJitter      = 2 * time.Second
	announceTimeout = 2 * time.Second
	announceRetry   = time.Second
)

// endMargin is the time before the end of the grace time in which the requests that are
// left are answered and the process ends.
const endMargin = 700 * time.Millisecond

// withMargin returns a context that ends some time before another one's deadline.
func withMargin(ctx context.Context, margin time.Duration) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-margin))
}

// stop reports the node as not ready to the load balancer and as leaving to the
// other nodes, waits until no new connections arrive and the requests in flight
// have ended, and stops the components.
func (l *lifecycle) stop(ctx context.Context) error {
	l.Logger.Info().Str("event", "draining").Msg("")
	l.draining.Store(true)
	l.Gateway.CloseConnections()
	l.ForOthers.Stop()
	l.Mesh.Leave()
	select {
	case <-time.After(deregistrationDelay):
	case <-ctx.Done():
	}
	l.Gateway.RefuseNew()
	l.Logger.Info().Str("event", "refusing").Int("connections", l.callers.Len()).Msg("")
	drainCtx, cancel := withMargin(ctx, endMargin)
	defer cancel()
	defer context.AfterFunc(drainCtx, l.Gateway.EndRequests)()
	err := l.callers.Stop(ctx, drainCtx)
	if err != nil {
		l.Logger.Warn().Str("event", "requests_cut").Err(err).Msg("")
	}
	if left := l.ForOthers.Drain(drainCtx); left > 0 {
		l.Logger.Warn().Str("event", "forwarded_requests_cut").Int64("count", left).Msg("")
	}
	l.cancel()
	l.readinessServer.Close()
	l.metricsServer.Close()
	l.Server.Close()
	l.Pool.Close()
	l.wg.Wait()
	l.Logger.Info().Str("event", "stopped").Msg("")
	return errors.Join(err, l.Bounded.Close())
}
