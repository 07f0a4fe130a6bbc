package bench

import (
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	for _, m := range []mix{drumlin, kowhai} {
		t.Logf("%s capacity %.1f/s", m.name, m.capacity(tokenTimeGoal))
		for _, load := range []float64{0.5, 0.8, 1, 1.5, 2, 4} {
			sc := scenario{mix: m, load: load, seed: 1, length: 60 * time.Second}
			for _, ps := range [][]policy{{newLeastOutstanding()}, {newOwners()}, newOracles()} {
				begin := time.Now()
				o := best(sc, ps)
				t.Logf("%s %.1f %-18s offered %v useful %v refused %v wasted %.3f cached %.2f first %v gap %v took %v", m.name, load, o.policy, o.offered, o.useful, o.refused, o.wasted, o.cached, o.firstP95, o.gapP95, time.Since(begin).Round(time.Millisecond))
			}
		}
	}
}
