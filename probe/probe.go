// Package probe asks the targets of owned groups for their state, so that a
// target which announces that it leaves gets no new work before the register
// or the platform's list says so, and requests go where their model is loaded.
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
	// interval between two questions to one target. With the time of an answer
	// it keeps below the 3 s within which a leaving target gets no new work.
	interval      = 2 * time.Second
	answerTimeout = 500 * time.Millisecond
	maxStateBytes = 64 << 10
	idleTimeout   = 3 * interval
)

// State is what a target announces.
type State struct {
	Leaving bool `json:"leaving"`
	// Models are those loaded; empty if the target does not say.
	Models []string `json:"models"`
}

func (s State) equal(o State) bool {
	return s.Leaving == o.Leaving && slices.Equal(s.Models, o.Models)
}

// Admission takes what targets announce.
type Admission interface {
	// SetTargetState notes whether a target leaves and which models it holds.
	SetTargetState(target string, leaving bool, models []string)
}

// Options configures a Prober.
type Options struct {
	// Node is this node's name.
	Node      string
	Admission Admission
	// SourceAddress is the local IP to dial from; empty lets the system choose.
	SourceAddress string
	Logger        *log.Logger
}

// Prober asks the targets of this node's groups in turn.
type Prober struct {
	options Options
	client  *http.Client
	current *topology.Current

	mu     sync.Mutex
	states map[string]State
}

// New returns a Prober that follows the topology in current.
func New(options Options, current *topology.Current) *Prober {
	dialer := &net.Dialer{Timeout: answerTimeout}
	if ip := net.ParseIP(options.SourceAddress); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Prober{
		options: options,
		client:  &http.Client{Transport: transport, Timeout: answerTimeout},
		current: current,
		states:  make(map[string]State),
	}
}

// Run asks until ctx ends. It returns nil.
func (p *Prober) Run(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		p.round(ctx)
		select {
		case <-ctx.Done():
			p.client.CloseIdleConnections()
			return nil
		case <-ticker.C:
		}
	}
}

// round asks all targets of the owned groups at once.
func (p *Prober) round(ctx context.Context) {
	var wg sync.WaitGroup
	for _, g := range p.current.Load().GroupsOwnedBy(p.options.Node) {
		for _, t := range g.Targets {
			wg.Go(func() { p.ask(ctx, t) })
		}
	}
	wg.Wait()
}

// ask passes on a change of what the target announces. A target that does not
// answer announces nothing new; its requests show whether it works.
func (p *Prober) ask(ctx context.Context, t topology.Target) {
	state, err := p.state(ctx, t.Address)
	if err != nil || !p.changed(t.Name, state) {
		return
	}
	p.options.Logger.Info().Str("event", "target_state").Str("target", t.Name).
		Bool("leaving", state.Leaving).Strs("models", state.Models).Msg("")
	p.options.Admission.SetTargetState(t.Name, state.Leaving, state.Models)
}

func (p *Prober) changed(target string, state State) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.states[target].equal(state) {
		return false
	}
	p.states[target] = state
	return true
}

func (p *Prober) state(ctx context.Context, address string) (State, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/state", nil)
	if err != nil {
		return State{}, fmt.Errorf("make a state request: %w", err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return State{}, fmt.Errorf("ask %s for its state: %w", address, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return State{}, fmt.Errorf("%s answered %d to a state request", address, response.StatusCode)
	}
	var s State
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(&s); err != nil {
		return State{}, fmt.Errorf("decode the state of %s: %w", address, err)
	}
	return s, nil
}
