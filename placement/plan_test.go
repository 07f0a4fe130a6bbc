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
			ModelsPerTarget: rapid.IntRange(1, 3).Draw(t, "models per target"),
			Loads:           rapid.IntRange(1, 3).Draw(t, "loads"),
		}
		for i := range rapid.IntRange(1, 8).Draw(t, "targets") {
			held := rapid.SliceOfNDistinct(rapid.SampledFrom(models), 0, input.ModelsPerTarget, rapid.ID[string]).Draw(t, "held")
			input.Targets = append(input.Targets, placement.Target{
				Name:             fmt.Sprintf("t%d", i),
				AvailabilityZone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
				Leaving:          rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
				Known:            rapid.IntRange(0, 9).Draw(t, "known") > 0,
				State:            placement.TargetState{Models: held},
			})
		}
		for _, model := range models[:3] {
			input.Demands = append(input.Demands, placement.ModelDemand{
				Model:    model,
				Replicas: rapid.IntRange(0, 3).Draw(t, "replicas"),
				Load:     rapid.Float64Range(0, 3).Draw(t, "load"),
			})
		}
		return input
	})
}

// obey applies orders to the targets at once.
func obey(input placement.Input, orders []placement.Order) {
	for _, o := range orders {
		i := slices.IndexFunc(input.Targets, func(t placement.Target) bool { return t.Name == o.Target })
		state := &input.Targets[i].State
		state.Models = slices.DeleteFunc(slices.Clone(state.Models), func(m string) bool { return m == o.Model })
		if o.Kind == placement.OrderLoad {
			state.Models = append(state.Models, o.Model)
		}
	}
}

func TestPlansConvergeWithinTheirBounds(t *testing.T) {
	const rounds = 60
	rapid.Check(t, func(rt *rapid.T) {
		input := genInput().Draw(rt, "input")
		for range rounds {
			orders := placement.Plan(input)
			loads := 0
			for _, o := range orders {
				i := slices.IndexFunc(input.Targets, func(t placement.Target) bool { return t.Name == o.Target })
				if input.Targets[i].Leaving || !input.Targets[i].Known {
					rt.Fatalf("order to a target that takes none: %+v", o)
				}
				if o.Kind == placement.OrderLoad {
					loads++
				}
			}
			if loads > input.Loads {
				rt.Fatalf("%d loads at once", loads)
			}
			obey(input, orders)
			for _, target := range input.Targets {
				if len(target.State.Models) > input.ModelsPerTarget {
					rt.Fatalf("%s holds %v", target.Name, target.State.Models)
				}
			}
			if len(orders) == 0 {
				return
			}
		}
		rt.Fatalf("orders do not end: %+v", placement.Plan(input))
	})
}

func TestHotModelsAreLoadedFirst(t *testing.T) {
	is := is.New(t)
	input := placement.Input{
		Targets:         []placement.Target{{Name: "t0", Known: true}, {Name: "t1", Known: true}},
		Demands:         []placement.ModelDemand{{Model: "cold", Replicas: 1}, {Model: "hot", Replicas: 1, Load: 0.9}},
		ModelsPerTarget: 1,
		Loads:           1,
	}
	orders := placement.Plan(input)
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Model, "hot")
}

func TestLastWantedReplicaIsNotUnloaded(t *testing.T) {
	is := is.New(t)
	input := placement.Input{
		Targets:         []placement.Target{{Name: "t0", Known: true, State: placement.TargetState{Models: []string{"a"}}}},
		Demands:         []placement.ModelDemand{{Model: "a", Replicas: 1}, {Model: "b", Replicas: 1, Load: 0.5}},
		ModelsPerTarget: 1,
		Loads:           1,
	}
	is.Equal(len(placement.Plan(input)), 0)
}
