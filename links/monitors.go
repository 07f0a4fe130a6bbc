package links

import (
	"context"
	"sync"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/upstream"
)

// MonitorsOptions configures Monitors.
type MonitorsOptions struct {
	// Targets returns the targets that are in use.
	Targets func() []*catalog.Target
	// Service returns the service of a target, empty if unknown.
	Service func(target string) string
	// Connect opens a connection to a target.
	Connect func(ctx context.Context, to upstream.Address) error
	// OnLost is called when the links to all targets of a service are lost.
	OnLost func(service string)
	Logger *log.Logger
}

// Monitors checks the links to the targets of each service, because a node may reach those
// of one and none of another. Its methods may be called by any goroutine.
type Monitors struct {
	options MonitorsOptions
	// all checks the targets of all services.
	all *Monitor

	mu       sync.Mutex
	services map[string]*Monitor
	// start starts a monitor, nil while Run does not run.
	start func(*Monitor)
}

// NewMonitors returns monitors that take the links to work until Run has found otherwise.
func NewMonitors(options MonitorsOptions) *Monitors {
	s := &Monitors{options: options, services: make(map[string]*Monitor)}
	s.all = NewMonitor(Options{
		Targets: func() []*catalog.Target { return fewOfEach(s.perhapsReached(options.Targets())) }, Connect: options.Connect,
		OnLost: func() {}, OnRegained: func() {}, Logger: options.Logger,
	})
	return s
}

// Run checks links when asked to, and at intervals while they are lost, until ctx ends.
func (s *Monitors) Run(ctx context.Context) {
	var running sync.WaitGroup
	start := func(m *Monitor) { running.Go(func() { m.Run(ctx) }) }
	s.mu.Lock()
	start(s.all)
	for _, m := range s.services {
		start(m)
	}
	s.start = start
	s.mu.Unlock()
	<-ctx.Done()
	s.mu.Lock()
	s.start = nil
	s.mu.Unlock()
	running.Wait()
}

// Of returns the monitor of the links to the targets of a target's service.
func (s *Monitors) Of(target string) *Monitor {
	service := s.options.Service(target)
	if service == "" {
		return s.all
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.services[service]
	if m == nil {
		m = s.newMonitor(service)
		s.services[service] = m
		if s.start != nil {
			s.start(m)
		}
	}
	return m
}

func (s *Monitors) newMonitor(service string) *Monitor {
	return NewMonitor(Options{
		Service: service,
		Targets: func() []*catalog.Target { return targetsOf(s.options.Targets(), service) },
		Connect: s.options.Connect, Logger: s.options.Logger, OnRegained: func() {},
		OnLost: func() {
			s.all.Suspect()
			s.options.OnLost(service)
		},
	})
}

// targetsOf returns the targets of a service that stay, or all targets if it has too few of
// them to tell its own failures from those of the links.
func targetsOf(targets []*catalog.Target, service string) []*catalog.Target {
	var own []*catalog.Target
	for _, t := range targets {
		if t.Service == service && !t.Draining {
			own = append(own, t)
		}
	}
	if len(own) < minTargets {
		return targets
	}
	return own
}

// perhapsReached returns the targets that stay of the services to which the links are not
// known to be lost, or all targets if there are too few of them.
func (s *Monitors) perhapsReached(targets []*catalog.Target) []*catalog.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	var perhaps []*catalog.Target
	for _, t := range targets {
		if m := s.services[t.Service]; !t.Draining && (m == nil || m.Linked()) {
			perhaps = append(perhaps, t)
		}
	}
	if len(perhaps) < minTargets {
		return targets
	}
	return perhaps
}

// fewOfEach returns a few targets of each service, so that a sample of them is hardly ever
// of one service alone.
func fewOfEach(targets []*catalog.Target) []*catalog.Target {
	services := make(map[string][]*catalog.Target)
	for _, t := range targets {
		services[t.Service] = append(services[t.Service], t)
	}
	if len(services) < 2 {
		return targets
	}
	var few []*catalog.Target
	for _, own := range services {
		own = usable(own)
		few = append(few, own[:min(minTargets, len(own))]...)
	}
	return few
}

// Linked reports whether this node reached a target of any service at the last check.
func (s *Monitors) Linked() bool { return s.all.Linked() }

// LinkedTo reports whether this node reached a target of the target's service at the last
// check.
func (s *Monitors) LinkedTo(target string) bool { return s.Of(target).Linked() }

// Verify reports whether this node reaches a target of any service, by a check that begins
// after the call. It returns false if that is not known before ctx ends.
func (s *Monitors) Verify(ctx context.Context) bool { return s.all.Verify(ctx) }
