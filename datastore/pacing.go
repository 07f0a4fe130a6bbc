package datastore

import (
	"math/rand/v2"
	"time"
)

// This file decides how often a node reads the store, and how long it relies on what
// another node has read.

const (
	// configWatchWait is how long a watch of the configuration waits. Its answer
	// proves that no key was revoked, so it must arrive several times within the
	// time in which a revocation takes effect. relayedConfigWatchWait applies if the
	// proof is passed on by two nodes.
	configWatchWait        = 1500 * time.Millisecond
	relayedConfigWatchWait = time.Second
	// staleProofAge is the age of the proof after which a node no longer relies on
	// others and watches the configuration itself: half the shortest revocation time
	// in use. That watch waits for staleProofWait only, since its answer is the
	// proof.
	staleProofAge  = 2500 * time.Millisecond
	staleProofWait = 100 * time.Millisecond
	// targetsWatchWait is how long a watch of the targets waits. A silent connection is
	// given up callSlack later; a target that leaves must be known soon after that.
	targetsWatchWait = 1800 * time.Millisecond
	// targetsPause and nodesPause are the minimum times between a change and the
	// next watch. A target that leaves must be known within a few seconds; nodes can
	// be read later, because a new node announces itself to its peers.
	targetsPause = 250 * time.Millisecond
	nodesPause   = 3 * time.Second
	// drainPauseRatio is the fraction of Options.Drain that a node which does not
	// choose targets pauses after a change of the targets. Such a node only declines
	// targets chosen by the owner of its zone, which learns of changes sooner.
	drainPauseRatio = 0.5
	// nodesWatchWait is how long a watch of the nodes waits. A missed change only
	// loses the load reports of one node.
	nodesWatchWait = 15 * time.Second
	// nodesRelayMaxAge is how old a list of nodes from another node may be: that
	// node's watch and some time to spare.
	nodesRelayMaxAge = nodesWatchWait + 5*time.Second
	// RelayMinNodes is the number of nodes from which one of them reads the store for
	// all. It and the owners of zones, which pass on what it reads, then watch the
	// targets for ownerWatchRatio of Options.Drain, so that their list is recent
	// enough for nodes that rely on it for relayedAgeRatio of that time.
	RelayMinNodes   = 12
	ownerWatchRatio = 0.2
	relayedAgeRatio = 0.7
	// startHold is how long a node that has started and listed the store waits for
	// another node to stand in for its watches.
	startHold = 900 * time.Millisecond
	// readerRetry is the longest delay before the node that reads for all retries a call.
	// It is shorter than relistHold, so that the reader has listed a store that is back
	// before the others would list it themselves.
	readerRetry = 300 * time.Millisecond
	// relistHold is how long a node that relies on another one waits for what changed
	// before it lists the store again, and relistSpread what is added at random: when
	// the store has come back from a copy, all nodes would list it at once.
	relistHold   = 900 * time.Millisecond
	relistSpread = 300 * time.Millisecond
)

// constant returns a function that always returns d.
func constant(d time.Duration) func() time.Duration {
	return func() time.Duration { return d }
}

// owns reports whether other nodes of the zone rely on this one.
func (m *Manager) owns() bool { return m.options.OwnsZone != nil && m.options.OwnsZone() }

// relayed reports whether one node reads the store for all.
func (m *Manager) relayed() bool {
	return m.options.Nodes != nil && m.options.ReadsForAll != nil && m.options.Nodes() >= RelayMinNodes
}

// relies reports whether this node takes what changed in the store from another one.
func (m *Manager) relies() bool { return m.relayed() && !m.options.ReadsForAll() }

// targetsPause returns how long changes of the targets are batched before the next
// watch.
func (m *Manager) targetsPause() time.Duration {
	if m.owns() {
		return targetsPause
	}
	return max(targetsPause, time.Duration(drainPauseRatio*float64(m.options.Drain)))
}

// targetsWatchWait returns how long the next watch of the targets waits.
func (m *Manager) targetsWatchWait() time.Duration {
	if m.owns() && m.relayed() {
		return min(targetsWatchWait, time.Duration(ownerWatchRatio*float64(m.options.Drain)))
	}
	return targetsWatchWait
}

// startHold returns how long this node still waits after its start for another node
// to stand in for its watches.
func (m *Manager) startHold() time.Duration {
	if !m.relayed() {
		return 0
	}
	return startHold - m.options.Now().Sub(m.started)
}

// retryLimit returns the longest delay before this node retries a call to the store.
func (m *Manager) retryLimit() time.Duration {
	if m.relayed() && !m.relies() {
		return readerRetry
	}
	return 2 * maxRetry
}

// relistHold returns how long this node waits for another one before it lists again.
func (m *Manager) relistHold() time.Duration {
	if !m.relies() {
		return 0
	}
	return relistHold + rand.N(relistSpread)
}

// relayedTargetsMaxAge returns how old a list of targets from another node may be.
func (m *Manager) relayedTargetsMaxAge() time.Duration {
	if !m.relies() {
		return 0
	}
	return time.Duration(relayedAgeRatio * float64(m.options.Drain))
}

// relayedNodesMaxAge returns how old a list of nodes from another node may be.
func (m *Manager) relayedNodesMaxAge() time.Duration {
	if !m.relies() {
		return 0
	}
	return nodesRelayMaxAge
}

// relayedProofMaxAge returns how old another node's proof of the configuration may
// be to stand in for a watch.
func (m *Manager) relayedProofMaxAge() time.Duration {
	if m.Table() == nil || m.owns() && !m.relies() {
		return 0
	}
	return staleProofAge
}

// configWatchWait returns how long the next watch of the configuration waits.
func (m *Manager) configWatchWait() time.Duration {
	if m.Table() != nil && m.ProofAge() >= staleProofAge {
		return staleProofWait
	}
	if m.relayed() {
		return relayedConfigWatchWait
	}
	return configWatchWait
}
