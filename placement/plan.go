package placement

import (
	"cmp"
	"math"
	"slices"
)

// OrderKind is the action that an order requests.
type OrderKind string

// The kinds of orders that targets accept.
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

// TargetState is the state that a target reports.
type TargetState struct {
	Models  []string
	Loading []string
	Role    string
	Leaving bool
	// Fence is the highest fencing number that the target has received.
	Fence uint64
}

// Target is one target of a service with its state.
type Target struct {
	Name             string
	Address          string
	AvailabilityZone string
	// Leaving targets receive no orders.
	Leaving bool
	// Role is the desired role; if empty, the role is not changed.
	Role string
	// StateKnown is false if the state could not be read.
	StateKnown bool
	State      TargetState
}

// ModelDemand is the demand for a model.
type ModelDemand struct {
	Model string
	// Replicas is the minimum number of targets that have the model loaded.
	Replicas int
	// BusyTargets is the current load, as the number of targets that it keeps busy.
	BusyTargets float64
}

// Input is the input of Plan.
type Input struct {
	Targets []Target
	Demands []ModelDemand
	// ModelsPerTarget is the maximum number of models on a target.
	ModelsPerTarget int
	// MaxConcurrentLoads is the maximum number of concurrent model loads.
	MaxConcurrentLoads int
}

// planner is the working state of one call of Plan.
type planner struct {
	input           Input
	desiredReplicas map[string]int
	replicas        map[string]int
	targets         []*Target
	loadsLeft       int
	orders          []Order
}

// Plan returns the orders that bring the targets closer to the demand, starting
// with the models under the highest load. It is a pure function: the same input
// gives the same orders, and an order that a target has executed is not repeated.
func Plan(input Input) []Order {
	p := &planner{input: input, desiredReplicas: make(map[string]int), replicas: make(map[string]int), loadsLeft: input.MaxConcurrentLoads}
	p.countTargets()
	demands := p.sortDemands()
	p.setRoles()
	p.unloadUnwanted()
	for _, d := range demands {
		p.addReplicas(d)
	}
	return p.orders
}

// countTargets collects the targets that accept orders, and counts the replicas of
// each model on them. A target whose state is unknown receives no orders.
func (p *planner) countTargets() {
	for i := range p.input.Targets {
		t := p.input.Targets[i]
		if t.Leaving || t.State.Leaving || !t.StateKnown {
			continue
		}
		p.targets = append(p.targets, &t)
		p.loadsLeft -= len(t.State.Loading)
		for _, model := range assignedModels(&t) {
			p.replicas[model]++
		}
	}
	slices.SortFunc(p.targets, func(a, b *Target) int { return cmp.Compare(a.Name, b.Name) })
}

// assignedModels returns the models that a target has loaded or is loading.
func assignedModels(t *Target) []string {
	return slices.Concat(t.State.Models, t.State.Loading)
}

// sortDemands returns the demands, highest load first, and sets the desired number
// of replicas of each model.
func (p *planner) sortDemands() []ModelDemand {
	demands := slices.Clone(p.input.Demands)
	slices.SortFunc(demands, func(a, b ModelDemand) int {
		return cmp.Or(cmp.Compare(b.BusyTargets, a.BusyTargets), cmp.Compare(b.Replicas, a.Replicas), cmp.Compare(a.Model, b.Model))
	})
	for _, d := range demands {
		needed := max(d.Replicas, int(math.Ceil(d.BusyTargets)))
		p.desiredReplicas[d.Model] = min(needed, len(p.targets))
	}
	return demands
}

func (p *planner) setRoles() {
	for _, t := range p.targets {
		if t.Role != "" && t.State.Role != t.Role {
			p.addOrder(t, OrderRole, t.Role, "register")
		}
	}
}

// unloadUnwanted unloads the models that the demands do not list.
func (p *planner) unloadUnwanted() {
	for _, t := range p.targets {
		for _, model := range slices.Clone(t.State.Models) {
			if _, inDemand := p.desiredReplicas[model]; !inDemand {
				p.unload(t, model, "not in the service's models")
			}
		}
	}
}

// addReplicas orders loads until the model has the desired number of replicas or
// the limit of concurrent loads is reached. If no target has room, it unloads a
// surplus replica of another model instead.
func (p *planner) addReplicas(d ModelDemand) {
	for p.replicas[d.Model] < p.desiredReplicas[d.Model] && p.loadsLeft > 0 {
		t := p.selectTarget(d.Model)
		if t == nil {
			p.unloadSurplus(d.Model)
			return
		}
		p.loadsLeft--
		p.replicas[d.Model]++
		t.State.Loading = append(slices.Clone(t.State.Loading), d.Model)
		p.addOrder(t, OrderLoad, d.Model, "replicas below demand")
	}
}

// selectTarget returns the target to load a model on, or nil if no target without
// the model has room. It prefers the availability zone with the fewest replicas of
// the model, then the target with the fewest models.
func (p *planner) selectTarget(model string) *Target {
	zones := make(map[string]int)
	for _, t := range p.targets {
		if slices.Contains(assignedModels(t), model) {
			zones[t.AvailabilityZone]++
		}
	}
	var best *Target
	for _, t := range p.targets {
		if slices.Contains(assignedModels(t), model) || len(assignedModels(t)) >= p.input.ModelsPerTarget {
			continue
		}
		if best == nil || betterTarget(t, best, zones) {
			best = t
		}
	}
	return best
}

func betterTarget(a, b *Target, zones map[string]int) bool {
	return cmp.Or(
		cmp.Compare(zones[a.AvailabilityZone], zones[b.AvailabilityZone]),
		cmp.Compare(len(assignedModels(a)), len(assignedModels(b))),
	) < 0
}

// unloadSurplus unloads one surplus replica of another model, so that a later plan
// can load this one. It never reduces a model below its desired replicas.
func (p *planner) unloadSurplus(model string) {
	for _, t := range p.targets {
		if slices.Contains(assignedModels(t), model) {
			continue
		}
		for _, other := range t.State.Models {
			if p.replicas[other] > p.desiredReplicas[other] {
				p.unload(t, other, "surplus replica")
				return
			}
		}
	}
}

func (p *planner) unload(t *Target, model, reason string) {
	p.replicas[model]--
	t.State.Models = slices.DeleteFunc(slices.Clone(t.State.Models), func(m string) bool { return m == model })
	p.addOrder(t, OrderUnload, model, reason)
}

func (p *planner) addOrder(t *Target, kind OrderKind, model, reason string) {
	p.orders = append(p.orders, Order{Target: t.Name, Address: t.Address, Kind: kind, Model: model, Reason: reason})
}
