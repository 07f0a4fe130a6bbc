// Package probe polls the state of the targets of owned groups. A target that
// reports that it is leaving thus gets no new requests even before the register
// or the platform's list shows it, and requests are routed to targets that have
// loaded their model.
package probe

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/topology"
)

const (
	// probeInterval is the time between two probes of a target. Together with the
	// response time it stays below the 3 s within which a leaving target must stop
	// getting new requests.
	probeInterval  = 2 * time.Second
	requestTimeout = 500 * time.Millisecond
	maxStateBytes  = 64 << 10
	maxHeadBytes   = 64 << 10
	idleTimeout    = 3 * probeInterval
)

// State is the state that a target reports.
type State struct {
	Leaving bool `json:"leaving"`
	// Models are the loaded models; empty if the target does not report them.
	Models []string `json:"models"`
}

func (s State) equal(o State) bool {
	return s.Leaving == o.Leaving && slices.Equal(s.Models, o.Models)
}

// Admission receives the state changes of targets.
type Admission interface {
	// SetTargetState records whether a target is leaving and which models it has
	// loaded.
	SetTargetState(target string, leaving bool, models []string)
}

// Options configures a Prober.
type Options struct {
	// Node is this node's name.
	Node      string
	Admission Admission
	// SourceAddress is the local IP to dial from; if empty, the system chooses.
	SourceAddress string
	Logger        *log.Logger
}

// Prober periodically fetches the state of the targets in this node's groups.
type Prober struct {
	options Options
	client  *http.Client
	current *topology.Current

	mu     sync.Mutex
	states map[string]State
}

// New returns a Prober that follows the topology in current.
func New(options Options, current *topology.Current) *Prober {
	dialer := &net.Dialer{Timeout: requestTimeout}
	if ip := net.ParseIP(options.SourceAddress); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &Prober{
		options: options,
		client:  &http.Client{Transport: transport, Timeout: requestTimeout},
		current: current,
		states:  make(map[string]State),
	}
}

// Run probes the targets until ctx ends. It returns nil.
func (p *Prober) Run(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		p.probeAll(ctx)
		select {
		case <-ctx.Done():
			p.client.CloseIdleConnections()
			return nil
		case <-ticker.C:
		}
	}
}

// probeAll probes all targets of the owned groups concurrently.
func (p *Prober) probeAll(ctx context.Context) {
	var wg sync.WaitGroup
	for _, g := range p.current.Load().GroupsOwnedBy(p.options.Node) {
		for _, t := range g.Targets {
			wg.Go(func() { p.probe(ctx, t) })
		}
	}
	wg.Wait()
}

// probe fetches a target's state and reports it to Admission if it has changed. A
// failed probe leaves the last known state in place: requests to the target show
// whether it works.
func (p *Prober) probe(ctx context.Context, t topology.Target) {
	state, err := p.fetchState(ctx, t.Address)
	if err != nil || !p.updateState(t.Name, state) {
		return
	}
	p.options.Logger.Info().Str("event", "target_state").Str("target", t.Name).
		Bool("leaving", state.Leaving).Strs("models", state.Models).Msg("")
	p.options.Admission.SetTargetState(t.Name, state.Leaving, state.Models)
}

func (p *Prober) updateState(target string, state State) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.states[target].equal(state) {
		return false
	}
	p.states[target] = state
	return true
}

func (p *Prober) fetchState(ctx context.Context, address string) (State, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/state", nil)
	if err != nil {
		return State{}, fmt.Errorf("create state request: %w", err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return State{}, fmt.Errorf("request state of %s: %w", address, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return State{}, fmt.Errorf("%s responded with status %d to a state request", address, response.StatusCode)
	}
	var s State
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(&s); err != nil {
		return State{}, fmt.Errorf("decode state of %s: %w", address, err)
	}
	return s, nil
}
