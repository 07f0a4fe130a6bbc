// Package placement turns the register and the demand into orders to targets:
// load or unload a model, change a role. One node controls a service at a
// time, under a lease with a rising fencing number. Targets that check the
// number refuse a controller whose lease has lapsed; for the others, a new
// controller waits out the old lease and the longest pause allowed. Orders are
// declarative, and the targets' states are read again before each plan.
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
	// roundInterval is the time between two plans of a service.
	roundInterval = 3 * time.Second
	// callTimeout bounds one order or state request.
	callTimeout = 2 * time.Second
	// stateReaders is how many states are read at once.
	stateReaders = 8
	// DefaultModelsPerTarget is how many models a target holds at most.
	DefaultModelsPerTarget = 2
	// DefaultLoads is how many loads of one service may be under way at once;
	// the weight store is rate limited.
	DefaultLoads = 2
)

// Options configures a Manager.
type Options struct {
	// Node is this node's name.
	Node    string
	Store   objects.Store
	Targets Targets
	// Load returns the work of a service's models, in targets kept busy; nil
	// means that only the register counts.
	Load func(service string) map[string]float64
	// Current is asked immediately before each order; an order is not sent if
	// it returns false. Nil means always true.
	Current func() bool
	// ModelsPerTarget and Loads are set to their defaults if zero.
	ModelsPerTarget int
	Loads           int
	// MaxPause is the longest pause of a controller that is allowed for; zero
	// means DefaultMaxPause.
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
	if options.Loads == 0 {
		options.Loads = DefaultLoads
	}
	if options.MaxPause == 0 {
		options.MaxPause = DefaultMaxPause
	}
	if options.Load == nil {
		options.Load = func(string) map[string]float64 { return nil }
	}
	if options.Current == nil {
		options.Current = func() bool { return true }
	}
	if options.Logger == nil {
		options.Logger = &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	}
	return &Manager{options: options, topology: make(chan *topology.Snapshot, 1)}
}

// ApplyTopology starts or stops controlling services as snapshot demands. Only
// the latest snapshot counts.
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

// Run serves until ctx ends, gives the leases back and returns ctx's error. It
// must be called once.
func (m *Manager) Run(ctx context.Context) error {
	ctx = objects.WithPriority(ctx, objects.PriorityReport)
	running := make(map[string]*controller)
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case snapshot := <-m.topology:
			m.adopt(ctx, snapshot, running, &group)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// adopt starts, informs and stops the controllers. Each is a goroutine that
// owns its service's lease.
func (m *Manager) adopt(ctx context.Context, snapshot *topology.Snapshot, running map[string]*controller, group *sync.WaitGroup) {
	for _, service := range snapshot.Config.GetServices() {
		name := service.GetName()
		c, ok := running[name]
		owned := snapshot.ServiceOwner(name) == m.options.Node && wantsPlacement(service)
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

// wantsPlacement reports whether the register states what a service's targets
// should hold.
func wantsPlacement(service *schema.Service) bool {
	return service.GetKind() == schema.ServiceKind_SERVICE_KIND_ENGINE && len(service.GetReplicas()) > 0
}
