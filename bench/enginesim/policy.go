package enginesim

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/loadreport"
	"github.com/primrosemoor/primrosemoor/logging"
)

const service = "llm"

// grant is the right to send one request to an engine.
type grant struct {
	engine int
	// event must be called for each event, done once at the end.
	event func()
	done  func(balance.Result)
	// report must be called with what the engine reports of its load.
	report func(loadreport.Load)
	// expected is the predicted time to the first event, 0 if there is none.
	expected time.Duration
}

// policy chooses the engines for the requests of one node. acquire waits until an
// engine can take the request, or refuses it with an error.
type policy interface {
	acquire(ctx context.Context, w *balance.Work) (grant, error)
}

// naive sends each request at once to the engine with the fewest outstanding
// requests of the same node.
type naive struct {
	mu          sync.Mutex
	outstanding []int
}

func (n *naive) acquire(context.Context, *balance.Work) (grant, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	least := 0
	for i, k := range n.outstanding {
		if k < n.outstanding[least] {
			least = i
		}
	}
	n.outstanding[least]++
	return grant{engine: least, event: func() {}, report: func(loadreport.Load) {}, done: func(balance.Result) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.outstanding[least]--
	}}, nil
}

// balanced uses the real balancer of its node.
type balanced struct{ manager *balance.Manager }

func (b balanced) acquire(ctx context.Context, w *balance.Work) (grant, error) {
	g, err := b.manager.Acquire(ctx, w)
	if err != nil {
		return grant{}, err
	}
	var engine int
	if _, err := fmt.Sscanf(g.Target.ID, "engine-%d", &engine); err != nil {
		return grant{}, fmt.Errorf("target %s: %w", g.Target.ID, err)
	}
	return grant{
		engine: engine, event: func() { g.Event(time.Now()) }, done: g.Done, expected: g.Prediction.Expected,
		report: func(l loadreport.Load) { b.manager.RecordLoad(g.Target.ID, l) },
	}, nil
}

// policyFactory creates a policy for each node. run serves their background work
// until its context is done.
type policyFactory func(nodes, engines, slots int) (all []policy, run func(context.Context))

func newNaive(nodes, engines, _ int) ([]policy, func(context.Context)) {
	var all []policy
	for range nodes {
		all = append(all, &naive{outstanding: make([]int, engines)})
	}
	return all, func(context.Context) {}
}

// newBalanced returns a factory of balancers, one for each node, that send each
// other their loads and queue lengths with a delay.
func newBalanced(delay time.Duration) policyFactory {
	return func(nodes, engines, slots int) ([]policy, func(context.Context)) {
		managers := make([]*balance.Manager, nodes)
		broadcast := func(sender int, send func(*balance.Manager)) {
			time.AfterFunc(delay, func() {
				for i, m := range managers {
					if i != sender {
						send(m)
					}
				}
			})
		}
		for i := range managers {
			name := fmt.Sprint("node-", i)
			managers[i] = balance.NewManager(balance.Options{
				Node: name, Zone: "a", Regions: map[string]string{"a": "r"}, Logger: logging.Discard(),
				Publish: func(target string, own balance.Use) {
					broadcast(i, func(m *balance.Manager) { m.SetRemoteUse(name, target, own) })
				},
				PublishSend: func(target string) {
					broadcast(i, func(m *balance.Manager) { m.RecordRemoteSends(target, 1) })
				},
				PublishQueue: func(service string, tier, waiting int) {
					broadcast(i, func(m *balance.Manager) { m.SetRemoteWaiting(name, service, tier, waiting) })
				},
			})
		}
		var all []policy
		for _, m := range managers {
			m.ApplyTargets(targets(engines, slots), map[string]*catalog.Service{
				service: {Name: service, Engine: &catalog.Engine{Slots: slots, EventTokens: tokensPerEvent}},
			})
			all = append(all, balanced{m})
		}
		return all, func(ctx context.Context) {
			var running sync.WaitGroup
			defer running.Wait()
			for _, m := range managers {
				running.Go(func() { m.Run(ctx) })
			}
		}
	}
}

func targets(engines, slots int) []*catalog.Target {
	var list []*catalog.Target
	for i := range engines {
		list = append(list, &catalog.Target{ID: fmt.Sprint("engine-", i), Service: service, Zone: "a", Slots: slots})
	}
	return list
}
