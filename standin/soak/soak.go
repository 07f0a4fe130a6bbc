// Package soak generates scenarios with random failures from a seed.
package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// failure is a failure: the scenario commands that inject it and those that
// end it.
type failure struct {
	inject  string
	recover string
}

// candidateFailures returns the failures that a deployment of three nodes must
// tolerate one or two at a time, with random nodes and targets.
func candidateFailures(random *rand.Rand) []failure {
	node := fmt.Sprintf("n%d", 1+random.IntN(3))
	other := fmt.Sprintf("n%d", 1+random.IntN(3))
	target := []string{"e1", "e2", "e3", "s1", "s2"}[random.IntN(5)]
	engine := fmt.Sprintf("e%d", 1+random.IntN(3))
	return []failure{
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
	// failuresPerScript is the number of failures in one scenario, one after the other.
	failuresPerScript = 4
	minPause          = 500 * time.Millisecond
	maxPause          = 6 * time.Second
	requestsPerSecond = 40.0
	trafficDuration   = 40 * time.Second
)

// Script returns the scenario that the seed determines.
func Script(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, seed))
	var b strings.Builder
	fmt.Fprintf(&b, "# Random failures of seed %d.\n", seed)
	b.WriteString("deploy small engine:--max-batch=8\n")
	fmt.Fprintf(&b, "observe\ntraffic t -for %v -rate %g\n", trafficDuration, requestsPerSecond)
	for range failuresPerScript {
		f := pickFailure(random)
		fmt.Fprintf(&b, "%s\npause %v\n", f.inject, randomPause(random))
		if random.IntN(3) == 0 {
			b.WriteString("apply\n")
		}
		fmt.Fprintf(&b, "%s\npause %v\n", f.recover, randomPause(random))
	}
	b.WriteString("platform up\nheal\napply\nin-force 9s\nsettle\n")
	b.WriteString("judged dispatched-once whole-answer non-idempotent-once configuration\n")
	return b.String()
}

// pickFailure returns a random failure. A cut between a node and itself is drawn again.
func pickFailure(random *rand.Rand) failure {
	candidates := candidateFailures(random)
	f := candidates[random.IntN(len(candidates))]
	if fields := strings.Fields(f.inject); len(fields) > 2 && fields[1] == fields[2] {
		return pickFailure(random)
	}
	return f
}

// randomPause returns a random duration from minPause to maxPause.
func randomPause(random *rand.Rand) time.Duration {
	return minPause + time.Duration(random.Int64N(int64(maxPause-minPause))).Round(time.Millisecond)
}
