// Package soak makes scenarios with random failures from a seed.
package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// disturbance is a failure and what ends it.
type disturbance struct {
	begin string
	end   string
}

// disturbances returns the failures that a deployment of three nodes can take
// one or two at a time.
func disturbances(random *rand.Rand) []disturbance {
	node := fmt.Sprintf("n%d", 1+random.IntN(3))
	other := fmt.Sprintf("n%d", 1+random.IntN(3))
	target := []string{"e1", "e2", "e3", "s1", "s2"}[random.IntN(5)]
	engine := fmt.Sprintf("e%d", 1+random.IntN(3))
	return []disturbance{
		{"kill-process " + node, "restart " + node + "\nready " + node},
		{"freeze " + node, "thaw " + node},
		{"stop-node " + node, "restart " + node + "\nready " + node},
		{"isolate " + node, "heal"},
		{"cut " + node + " " + other + " in", "heal"},
		{"cut " + node + " platform", "heal"},
		{"cut " + node + " " + target + " out", "heal"},
		{"kill-process " + target, "restart " + target},
		{"speed " + engine + " 0.1", "speed " + engine + " 1"},
		{"platform down", "platform up"},
		{"platform slow 700", "platform up"},
		{"platform lose 0.3", "platform up"},
		{"platform throttle 10 30", "platform up"},
	}
}

const (
	// rounds is the number of failures in one scenario.
	rounds     = 4
	minPause   = 500 * time.Millisecond
	maxPause   = 6 * time.Second
	requests   = 40.0
	trafficFor = 40 * time.Second
)

// Script returns the scenario of a seed.
func Script(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, seed))
	var b strings.Builder
	fmt.Fprintf(&b, "# Random failures of seed %d.\n", seed)
	b.WriteString("deploy small engine:--max-batch=8\n")
	fmt.Fprintf(&b, "observe\ntraffic t -for %v -rate %g\n", trafficFor, requests)
	for range rounds {
		d := pick(random)
		fmt.Fprintf(&b, "%s\npause %v\n", d.begin, pause(random))
		if random.IntN(3) == 0 {
			b.WriteString("apply\n")
		}
		fmt.Fprintf(&b, "%s\npause %v\n", d.end, pause(random))
	}
	b.WriteString("platform up\nheal\napply\nin-force 9s\nsettle\n")
	b.WriteString("judged dispatched-once whole-answer non-idempotent-once configuration\n")
	return b.String()
}

func pick(random *rand.Rand) disturbance {
	all := disturbances(random)
	d := all[random.IntN(len(all))]
	if fields := strings.Fields(d.begin); len(fields) > 2 && fields[1] == fields[2] {
		return pick(random)
	}
	return d
}

func pause(random *rand.Rand) time.Duration {
	return minPause + time.Duration(random.Int64N(int64(maxPause-minPause))).Round(time.Millisecond)
}
