package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/primrosemoor/primrosemoor/placement"
)

func genInput() *rapid.Generator[placement.Input] {
	models := []string{"m0", "m1", "m2", "m3"}
	return rapid.Custom(func(t *rapid.T) placement.Input {
		input := placement.Input{
			ModelsPerTarget:    rapid.IntRange(1, 3).Draw(t, "models per target"),
			MaxConcurrentLoads: rapid.IntRange(1, 3).Draw(t, "loads"),
		}
		for i := range rapid.IntRange(1, 8).Draw(t, "targets") {
			held := rapid.SliceOfNDistinct(rapid.SampledFrom(models), 0, input.ModelsPerTarget, rapid.ID[string]).Draw(t, "held")
			input.Targets = append(input.Targets, placement.Target{
				Name:             fmt.Sprintf("t%d", i),
				AvailabilityZone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
				Leaving:          rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
				StateKnown:       rapid.IntRange(0, 9).Draw(t, "known") > 0,
				State:            placement.TargetState{Models: held},
			})
		}
		for _, model := range models[:3] {
			input.Demands = append(input.Demands, placement.ModelDemand{
				Model:       model,
				Replicas:    rapid.IntRange(0, 3).Draw(t, "replicas"),
				BusyTargets: rapid.Float64Range(0, 3).Draw(t, "load"),
			})
		}
		return input
	})
}

// applyOrders applies orders to the targets immediately.
func applyOrders(input placement.Input, orders []placement.Order) {
	for _, o := range orders {
		i := slices.IndexFunc(input.Targets, func(t placement.Target) bool { return t.Name == o.Target })
		state := &input.Targets[i].State
		state.Models = slices.DeleteFunc(slices.Clone(state.Models), func(m string) bool { return m == o.Model })
		if o.Kind == placement.OrderLoad {
			state.Models = append(state.Models, o.Model)
		}
	}
}

func TestPlansConvergeWithinTheirLimits(t *testing.T) {
	const maxPlans = 60
	rapid.Check(t, func(rt *rapid.T) {
		input := genInput().Draw(rt, "input")
		for range maxPlans {
			orders := placement.Plan(input)
			loads := 0
			for _, o := range orders {
				i := slices.IndexFunc(input.Targets, func(t placement.Target) bool { return t.Name == o.Target })
				if input.Targets[i].Leaving || !input.Targets[i].StateKnown {
					rt.Fatalf("order to a leaving target or one with unknown state: %+v", o)
				}
				if o.Kind == placement.OrderLoad {
					loads++
				}
			}
			if loads > input.MaxConcurrentLoads {
				rt.Fatalf("%d concurrent loads", loads)
			}
			applyOrders(input, orders)
			for _, target := range input.Targets {
				if len(target.State.Models) > input.ModelsPerTarget {
					rt.Fatalf("%s has too many models: %v", target.Name, target.State.Models)
				}
			}
			if len(orders) == 0 {
				return
			}
		}
		rt.Fatalf("plans did not converge: %+v", placement.Plan(input))
	})
}

func TestBusiestModelsAreLoadedFirst(t *testing.T) {
	is := is.New(t)
	input := placement.Input{
		Targets:            []placement.Target{{Name: "t0", StateKnown: true}, {Name: "t1", StateKnown: true}},
		Demands:            []placement.ModelDemand{{Model: "cold", Replicas: 1}, {Model: "hot", Replicas: 1, BusyTargets: 0.9}},
		ModelsPerTarget:    1,
		MaxConcurrentLoads: 1,
	}
	orders := placement.Plan(input)
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Model, "hot")
}

func TestLastDesiredReplicaIsNotUnloaded(t *testing.T) {
	is := is.New(t)
	input := placement.Input{
		Targets:            []placement.Target{{Name: "t0", StateKnown: true, State: placement.TargetState{Models: []string{"a"}}}},
		Demands:            []placement.ModelDemand{{Model: "a", Replicas: 1}, {Model: "b", Replicas: 1, BusyTargets: 0.5}},
		ModelsPerTarget:    1,
		MaxConcurrentLoads: 1,
	}
	is.Equal(len(placement.Plan(input)), 0)
}
