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

	"github.com/primrosemoor/primrosemoor/delay"
	"github.com/primrosemoor/primrosemoor/logging"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// lifecycle starts the parts in order and stops them in the reverse order,
// after the requests in flight have ended.
type lifecycle struct {
	parts
	controller *controller
	cancel     context.CancelFunc
	running    sync.WaitGroup
}

// runner is a manager with a loop of its own.
type runner interface {
	Run(ctx context.Context) error
}

func appendLifecycle(lc fx.Lifecycle, p parts) error {
	l := &lifecycle{parts: p, controller: newController(p)}
	registerHandlers(p.Server, &l.parts)
	if err := l.observe(); err != nil {
		return err
	}
	lc.Append(fx.Hook{OnStart: l.start, OnStop: l.stop})
	return nil
}

func newController(p parts) *controller {
	node := p.Settings.GetNode()
	return &controller{
		self:    node.GetName(),
		zone:    node.GetAvailabilityZone(),
		options: topology.Options{GroupTargets: int(p.Settings.GetScheduling().GetMaxGroupTargets())},
		members: p.Membership,
		configs: p.Register,
		current: p.Current,
		appliers: []topologyApplier{
			p.Admission,
			p.Ledger,
			p.Limits,
			p.Placement,
			&shardMoves{reporter: p.Dispatcher, sharder: p.Ledger},
		},
		logger: p.Logger,
		wake:   make(chan struct{}, 1),
	}
}

// start listens on both addresses before any loop runs, so that a clash of
// addresses ends the process at once.
func (l *lifecycle) start(context.Context) error {
	peers, err := net.Listen("tcp", l.Settings.GetPeer().GetListenAddress())
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	callers, err := net.Listen("tcp", l.Settings.GetHttp().GetListenAddress())
	if err != nil {
		peers.Close()
		return fmt.Errorf("listen for callers: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.running.Go(func() { l.report("peer_server_ended", l.Server.Serve(peers)) })
	l.running.Go(func() { l.Register.Run(ctx) })
	l.running.Go(func() { l.Limits.Run(ctx) })
	for _, r := range []runner{l.Membership, l.Ledger, l.Admission, l.Permits, l.Quarantine, l.Placement, l.Prober} {
		l.running.Go(func() { l.report("manager_ended", r.Run(ctx)) })
	}
	l.running.Go(func() { l.controller.run(ctx) })
	l.running.Go(func() { l.report("http_server_ended", l.Front.server.Serve(callers)) })
	l.Logger.Info().Str("event", "node_started").
		Str("node", l.Settings.GetNode().GetName()).
		Str("http", callers.Addr().String()).
		Str("peer", peers.Addr().String()).Msg("")
	return nil
}

func (l *lifecycle) report(event string, err error) {
	if err == nil || errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return
	}
	l.Logger.Error().Str("event", event).Err(err).Msg("")
}

// stop is the graceful shutdown: readiness off, groups and shards to their
// next owners, requests in flight to their end, and then the loops.
func (l *lifecycle) stop(ctx context.Context) error {
	began := time.Now()
	l.State.draining.Store(true)
	l.Front.handler.BeginDrain()
	l.handOverGroups(ctx)
	l.Membership.SetState(schema.MemberState_MEMBER_STATE_DRAINING)
	l.Logger.Info().Str("event", "drain_started").Int("in_flight", l.Front.handler.InFlight()).Msg("")
	delay.Sleep(ctx, l.Settings.GetShutdown().GetReadinessDelay().AsDuration())
	drainCtx, cancel := context.WithTimeout(ctx, l.Settings.GetShutdown().GetDrainTimeout().AsDuration())
	defer cancel()
	err := l.Front.server.Shutdown(drainCtx)
	err = errors.Join(err, l.Dispatcher.Wait(drainCtx))
	l.cancel()
	l.Pool.Close()
	l.Server.Close()
	l.running.Wait()
	l.Logger.Info().Str("event", "node_stopped").Dur("drain", time.Since(began)).Msg("")
	if err != nil {
		err = fmt.Errorf("requests were still in flight at the drain timeout: %w", err)
	}
	return errors.Join(err, logging.Close(l.Logger))
}

// requestShutdown begins the graceful shutdown, as SIGTERM does.
func (p *parts) requestShutdown() {
	if err := p.Shutdown.Shutdown(); err != nil {
		p.Logger.Error().Str("event", "shutdown_refused").Err(err).Msg("")
	}
}
