// Package placement derives orders to targets from the register and the demand: to
// load or unload a model, or to change a role. One node controls a service at a
// time, under a lease with an increasing fencing number. Targets that check the
// number reject orders of a controller whose lease has expired. If targets do not
// check it, a new controller waits until the old lease has expired and for the
// longest tolerated process pause after that. Orders are declarative, and the
// targets' states are read again before each plan.
package placement

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

const (
	// reconcileInterval is the time between two plans of a service.
	reconcileInterval = 3 * time.Second
	// callTimeout is the timeout of a lease operation, an order or a state
	// request.
	callTimeout = 2 * time.Second
	// maxStateReaders is the maximum number of concurrent state requests.
	maxStateReaders = 8
	// DefaultModelsPerTarget is the maximum number of models on a target.
	DefaultModelsPerTarget = 2
	// DefaultMaxConcurrentLoads is the maximum number of concurrent model loads of
	// one service. They are limited because the weight store is rate limited.
	DefaultMaxConcurrentLoads = 2
)

// Options configures a Manager.
type Options struct {
	// Node is this node's name.
	Node    string
	Store   objects.Store
	Targets Targets
	// BusyTargets returns the current load of each of a service's models, as the
	// number of targets that it keeps busy. If it is nil, only the register
	// determines the demand.
	BusyTargets func(service string) map[string]float64
	// Current is called immediately before each order; the order is not sent if it
	// returns false. Nil means always true.
	Current func() bool
	// ModelsPerTarget and MaxConcurrentLoads are set to their defaults if zero.
	ModelsPerTarget    int
	MaxConcurrentLoads int
	// MaxPause is the longest tolerated process pause of a controller; zero means
	// DefaultMaxPause.
	MaxPause time.Duration
	// Logger may be nil.
	Logger *log.Logger
}

// Manager controls the placement of the services that this node owns.
type Manager struct {
	options  Options
	topology chan *topology.Snapshot
}

// New returns a Manager that controls nothing until ApplyTopology is called.
func New(options Options) *Manager {
	if options.ModelsPerTarget == 0 {
		options.ModelsPerTarget = DefaultModelsPerTarget
	}
	if options.MaxConcurrentLoads == 0 {
		options.MaxConcurrentLoads = DefaultMaxConcurrentLoads
	}
	if options.MaxPause == 0 {
		options.MaxPause = DefaultMaxPause
	}
	if options.BusyTargets == nil {
		options.BusyTargets = func(string) map[string]float64 { return nil }
	}
	if options.Current == nil {
		options.Current = func() bool { return true }
	}
	if options.Logger == nil {
		options.Logger = &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	}
	return &Manager{options: options, topology: make(chan *topology.Snapshot, 1)}
}

// ApplyTopology starts and stops controllers according to the ownership in
// snapshot. A snapshot that has not been processed yet is replaced.
func (m *Manager) ApplyTopology(snapshot *topology.Snapshot) {
	for {
		select {
		case m.topology <- snapshot:
			return
		default:
		}
		select {
		case <-m.topology:
		default:
		}
	}
}

// Run controls services until ctx ends, releases the leases and returns ctx's
// error. It must be called only once.
func (m *Manager) Run(ctx context.Context) error {
	ctx = objects.WithPriority(ctx, objects.PriorityReport)
	running := make(map[string]*controller)
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case snapshot := <-m.topology:
			m.updateControllers(ctx, snapshot, running, &group)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// updateControllers starts, updates and stops the controllers according to
// snapshot. Each controller runs in a goroutine that owns its service's lease.
func (m *Manager) updateControllers(ctx context.Context, snapshot *topology.Snapshot, running map[string]*controller, group *sync.WaitGroup) {
	for _, service := range snapshot.Config.GetServices() {
		name := service.GetName()
		c, ok := running[name]
		owned := snapshot.ServiceOwner(name) == m.options.Node && needsPlacement(service)
		switch {
		case owned && !ok:
			c = newController(m.options, name)
			c.snapshot.Store(snapshot)
			running[name] = c
			ctx, stop := context.WithCancel(ctx)
			c.stop = stop
			group.Go(func() { c.run(ctx) })
		case owned:
			c.snapshot.Store(snapshot)
		case ok:
			c.stop()
			delete(running, name)
		}
	}
	for name, c := range running {
		if _, ok := snapshot.Service(name); !ok {
			c.stop()
			delete(running, name)
		}
	}
}

// needsPlacement reports whether the register specifies which models the service's
// targets should have loaded.
func needsPlacement(service *schema.Service) bool {
	return service.GetKind() == schema.ServiceKind_SERVICE_KIND_ENGINE && len(service.GetReplicas()) > 0
}
