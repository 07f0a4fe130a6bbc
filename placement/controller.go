package placement

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// controller places the models of one service.
type controller struct {
	options  Options
	service  string
	lease    *lease
	snapshot atomic.Pointer[topology.Snapshot]
	stop     context.CancelFunc
}

func newController(options Options, service string) *controller {
	return &controller{
		options: options,
		service: service,
		lease:   &lease{store: options.Store, service: service, node: options.Node, maxPause: options.MaxPause},
	}
}

// run reconciles periodically until ctx ends, and then releases the lease.
func (c *controller) run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		c.reconcile(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			c.releaseLease(context.WithoutCancel(ctx))
			return
		}
	}
}

func (c *controller) releaseLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.lease.release(ctx); err != nil {
		c.warn("placement_release_failed", err)
	}
}

func (c *controller) reconcile(ctx context.Context) {
	previousFence := c.lease.fence
	if err := c.renewLease(ctx); err != nil {
		c.warn("placement_lease_failed", err)
		return
	}
	if c.lease.fence != 0 && c.lease.fence != previousFence {
		c.options.Logger.Info().Str("event", "placement_lease").Str("service", c.service).
			Uint64("fence", c.lease.fence).Msg("")
	}
	snapshot := c.snapshot.Load()
	service, ok := snapshot.Service(c.service)
	if !ok || !c.lease.valid(service.GetChecksFence()) {
		return
	}
	orders := Plan(c.planInput(ctx, snapshot, service))
	for _, order := range orders {
		if ctx.Err() != nil || !c.sendOrder(ctx, order, service.GetChecksFence()) {
			return
		}
	}
}

func (c *controller) renewLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.lease.acquireOrRenew(ctx)
}

// sendOrder sends one order if the lease is still valid. It reports whether the
// remaining orders of the plan may be sent.
func (c *controller) sendOrder(ctx context.Context, order Order, checksFence bool) bool {
	if !c.options.Current() || !c.lease.valid(checksFence) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.options.Targets.Order(ctx, order.Address, order, c.lease.fence)
	c.options.Logger.Info().Str("event", "placement_order").Str("service", c.service).
		Str("target", order.Target).Str("order", string(order.Kind)).Str("model", order.Model).
		Str("reason", order.Reason).Uint64("fence", c.lease.fence).Err(err).Msg("")
	if fault.KindOf(err) == schema.ErrorKind_ERROR_KIND_CONFLICT {
		c.lease.invalidate()
		return false
	}
	c.lease.orderUnconfirmed = c.lease.orderUnconfirmed || err != nil
	return true
}

// planInput reads the targets' states and the demand.
func (c *controller) planInput(ctx context.Context, snapshot *topology.Snapshot, service *schema.Service) Input {
	input := Input{ModelsPerTarget: c.options.ModelsPerTarget, MaxConcurrentLoads: c.options.MaxConcurrentLoads}
	for _, group := range snapshot.ServiceGroups(c.service) {
		for _, t := range group.Targets {
			input.Targets = append(input.Targets, Target{
				Name:             t.Name,
				Address:          t.Address,
				AvailabilityZone: t.AvailabilityZone,
				Leaving:          t.Leaving,
			})
		}
	}
	c.readStates(ctx, input.Targets)
	input.Demands = modelDemands(service, c.options.BusyTargets(c.service))
	return input
}

func modelDemands(service *schema.Service, busyTargets map[string]float64) []ModelDemand {
	models := slices.Clone(service.GetModels())
	replicas := make(map[string]int)
	for _, r := range service.GetReplicas() {
		replicas[r.GetModel()] = int(r.GetCount())
		models = append(models, r.GetModel())
	}
	slices.Sort(models)
	var all []ModelDemand
	for _, model := range slices.Compact(models) {
		all = append(all, ModelDemand{Model: model, Replicas: replicas[model], BusyTargets: busyTargets[model]})
	}
	return all
}

func (c *controller) readStates(ctx context.Context, targets []Target) {
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxStateReaders)
	for i := range targets {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			c.readState(ctx, &targets[i])
		})
	}
	group.Wait()
}

func (c *controller) readState(ctx context.Context, t *Target) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := c.options.Targets.State(ctx, t.Address)
	if err != nil {
		c.warn("placement_state_failed", err)
		return
	}
	t.State = state
	t.StateKnown = true
}

func (c *controller) warn(event string, err error) {
	c.options.Logger.Warn().Str("event", event).Str("service", c.service).Err(err).Msg("")
}
