package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/primrosemoor/primrosemoor/callers"
	"github.com/primrosemoor/primrosemoor/delay"
	"github.com/primrosemoor/primrosemoor/logging"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// lifecycle starts the components in order and stops them on shutdown, after
// the requests in flight have completed.
type lifecycle struct {
	components
	controller *controller
	cancel     context.CancelFunc
	running    sync.WaitGroup
	callers    *callers.Server
}

// runner is a component with its own run loop.
type runner interface {
	Run(ctx context.Context) error
}

func appendLifecycle(lc fx.Lifecycle, p components) error {
	l := &lifecycle{components: p, controller: newController(p)}
	registerHandlers(p.Server, &l.components)
	if err := l.registerMetricCallbacks(); err != nil {
		return err
	}
	lc.Append(fx.Hook{OnStart: l.start, OnStop: l.stop})
	return nil
}

func newController(p components) *controller {
	node := p.Settings.GetNode()
	return &controller{
		self:    node.GetName(),
		zone:    node.GetAvailabilityZone(),
		options: topology.Options{TargetsPerGroup: int(p.Settings.GetScheduling().GetMaxGroupTargets())},
		members: p.Membership,
		configs: p.Register,
		current: p.Current,
		appliers: []topologyApplier{
			p.Admission,
			p.Ledger,
			p.Limits,
			p.Placement,
			&shardMoveReporter{reporter: p.Dispatcher, shards: p.Ledger},
		},
		logger: p.Logger,
		wake:   make(chan struct{}, 1),
	}
}

// start listens on both addresses before it starts any loop, so that an address
// conflict fails the process immediately.
func (l *lifecycle) start(context.Context) error {
	peerListener, err := net.Listen("tcp", l.Settings.GetPeer().GetListenAddress())
	if err != nil {
		return fmt.Errorf("listen on the peer address: %w", err)
	}
	httpListener, err := net.Listen("tcp", l.Settings.GetHttp().GetListenAddress())
	if err != nil {
		peerListener.Close()
		return fmt.Errorf("listen on the HTTP address: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.running.Go(func() { l.logFailure("peer_server_ended", l.Server.Serve(peerListener)) })
	l.running.Go(func() { l.Register.Run(ctx) })
	l.running.Go(func() { l.Limits.Run(ctx) })
	for _, r := range []runner{l.Membership, l.Ledger, l.Admission, l.Permits, l.Quarantine, l.Placement, l.Prober} {
		l.running.Go(func() { l.logFailure("manager_ended", r.Run(ctx)) })
	}
	l.running.Go(func() { l.controller.run(ctx) })
	l.callers = callers.NewServer(l.Front.server, httpListener, callers.Options{})
	l.running.Go(func() { l.logFailure("http_server_ended", l.callers.Serve()) })
	l.Logger.Info().Str("event", "node_started").
		Str("node", l.Settings.GetNode().GetName()).
		Str("http", httpListener.Addr().String()).
		Str("peer", peerListener.Addr().String()).Msg("")
	return nil
}

// logFailure logs an error unless it is the result of a regular shutdown.
func (l *lifecycle) logFailure(event string, err error) {
	if err == nil || errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return
	}
	l.Logger.Error().Str("event", event).Err(err).Msg("")
}

// stop shuts the node down gracefully: it fails the readiness check, hands groups
// and shards over to their next owners, waits for the requests in flight, and
// stops the loops.
func (l *lifecycle) stop(ctx context.Context) error {
	startTime := time.Now()
	l.State.draining.Store(true)
	l.Front.handler.BeginDrain()
	l.handOverGroups(ctx)
	l.Membership.SetState(schema.MemberState_MEMBER_STATE_DRAINING)
	l.Logger.Info().Str("event", "drain_started").Int("in_flight", l.Front.handler.InFlight()).Msg("")
	delay.Sleep(ctx, l.Settings.GetShutdown().GetReadinessDelay().AsDuration())
	drainCtx, cancel := context.WithTimeout(ctx, l.Settings.GetShutdown().GetDrainTimeout().AsDuration())
	defer cancel()
	err := l.callers.Stop(drainCtx, drainCtx)
	err = errors.Join(err, l.Dispatcher.Wait(drainCtx))
	l.cancel()
	l.Pool.Close()
	l.Server.Close()
	l.running.Wait()
	l.Logger.Info().Str("event", "node_stopped").Dur("drain", time.Since(startTime)).Msg("")
	if err != nil {
		err = fmt.Errorf("requests were still in flight at the drain timeout: %w", err)
	}
	return errors.Join(err, logging.Close(l.Logger))
}

// requestShutdown starts the graceful shutdown, as SIGTERM does.
func (p *components) requestShutdown() {
	if err := p.Shutdown.Shutdown(); err != nil {
		p.Logger.Error().Str("event", "shutdown_refused").Err(err).Msg("")
	}
}
