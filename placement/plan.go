package placement

import (
	"cmp"
	"math"
	"slices"
)

// OrderKind is what a target is asked to do.
type OrderKind string

// The orders that targets take.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order is one declarative order to a target.
type Order struct {
	Target  string
	Address string
	Kind    OrderKind
	// Model is the model to load or unload, or the role to take.
	Model  string
	Reason string
}

// TargetState is what a target tells of itself.
type TargetState struct {
	Models  []string
	Loading []string
	Role    string
	Leaving bool
	// Fence is the highest fencing number the target has seen.
	Fence uint64
}

// Target is one target of a service with its state.
type Target struct {
	Name             string
	Address          string
	AvailabilityZone string
	// Leaving targets receive no orders.
	Leaving bool
	// Role is the wanted role; empty leaves it as it is.
	Role string
	// Known is false if the state could not be read.
	Known bool
	State TargetState
}

// ModelDemand is how much a model is wanted.
type ModelDemand struct {
	Model string
	// Replicas is the least number of targets that hold the model.
	Replicas int
	// Load is the present work, in targets kept busy.
	Load float64
}

// Input is what a plan is made from.
type Input struct {
	Targets []Target
	Demands []ModelDemand
	// ModelsPerTarget is how many models a target holds at most.
	ModelsPerTarget int
	// Loads is how many loads may be under way at once.
	Loads int
}

// planner counts replicas and collects orders for one plan.
type planner struct {
	input    Input
	wanted   map[string]int
	replicas map[string]int
	targets  []*Target
	loads    int
	orders   []Order
}

// Plan returns the orders that bring the targets nearer to the demand, hot
// models first. It is a pure function: the same input gives the same orders,
// and a target that has obeyed is not ordered again.
func Plan(input Input) []Order {
	p := &planner{input: input, wanted: make(map[string]int), replicas: make(map[string]int), loads: input.Loads}
	p.countTargets()
	demands := p.rank()
	p.setRoles()
	p.unloadUnwanted()
	for _, d := range demands {
		p.supply(d)
	}
	return p.orders
}

// countTargets notes which targets take orders and what they hold. A target
// whose state is not known is left alone.
func (p *planner) countTargets() {
	for i := range p.input.Targets {
		t := p.input.Targets[i]
		if t.Leaving || t.State.Leaving || !t.Known {
			continue
		}
		p.targets = append(p.targets, &t)
		p.loads -= len(t.State.Loading)
		for _, model := range held(&t) {
			p.replicas[model]++
		}
	}
	slices.SortFunc(p.targets, func(a, b *Target) int { return cmp.Compare(a.Name, b.Name) })
}

// held returns the models that a target holds or is loading.
func held(t *Target) []string {
	return slices.Concat(t.State.Models, t.State.Loading)
}

// rank returns the demands, hottest first, and sets how many replicas each
// model gets.
func (p *planner) rank() []ModelDemand {
	demands := slices.Clone(p.input.Demands)
	slices.SortFunc(demands, func(a, b ModelDemand) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(b.Replicas, a.Replicas), cmp.Compare(a.Model, b.Model))
	})
	for _, d := range demands {
		needed := max(d.Replicas, int(math.Ceil(d.Load)))
		p.wanted[d.Model] = min(needed, len(p.targets))
	}
	return demands
}

func (p *planner) setRoles() {
	for _, t := range p.targets {
		if t.Role != "" && t.State.Role != t.Role {
			p.order(t, OrderRole, t.Role, "register")
		}
	}
}

// unloadUnwanted frees targets from models that no demand names.
func (p *planner) unloadUnwanted() {
	for _, t := range p.targets {
		for _, model := range slices.Clone(t.State.Models) {
			if _, named := p.wanted[model]; !named {
				p.unload(t, model, "not in the service's models")
			}
		}
	}
}

// supply orders the loads that a model lacks, as far as loads are left.
func (p *planner) supply(d ModelDemand) {
	for p.replicas[d.Model] < p.wanted[d.Model] && p.loads > 0 {
		t := p.choose(d.Model)
		if t == nil {
			p.makeRoom(d.Model)
			return
		}
		p.loads--
		p.replicas[d.Model]++
		t.State.Loading = append(slices.Clone(t.State.Loading), d.Model)
		p.order(t, OrderLoad, d.Model, "replicas below demand")
	}
}

// choose returns the target with room for a model that holds the fewest, in
// the zone with the fewest replicas of it, or nil.
func (p *planner) choose(model string) *Target {
	zones := make(map[string]int)
	for _, t := range p.targets {
		if slices.Contains(held(t), model) {
			zones[t.AvailabilityZone]++
		}
	}
	var best *Target
	for _, t := range p.targets {
		if slices.Contains(held(t), model) || len(held(t)) >= p.input.ModelsPerTarget {
			continue
		}
		if best == nil || less(t, best, zones) {
			best = t
		}
	}
	return best
}

func less(a, b *Target, zones map[string]int) bool {
	return cmp.Or(
		cmp.Compare(zones[a.AvailabilityZone], zones[b.AvailabilityZone]),
		cmp.Compare(len(held(a)), len(held(b))),
	) < 0
}

// makeRoom unloads one surplus replica of another model, for a load in a later
// plan. A model never falls below its wanted replicas by it.
func (p *planner) makeRoom(model string) {
	for _, t := range p.targets {
		if slices.Contains(held(t), model) {
			continue
		}
		for _, other := range t.State.Models {
			if p.replicas[other] > p.wanted[other] {
				p.unload(t, other, "surplus replica")
				return
			}
		}
	}
}

func (p *planner) unload(t *Target, model, reason string) {
	p.replicas[model]--
	t.State.Models = slices.DeleteFunc(slices.Clone(t.State.Models), func(m string) bool { return m == model })
	p.order(t, OrderUnload, model, reason)
}

func (p *planner) order(t *Target, kind OrderKind, model, reason string) {
	p.orders = append(p.orders, Order{Target: t.Name, Address: t.Address, Kind: kind, Model: model, Reason: reason})
}
