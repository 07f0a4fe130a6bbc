package mesh_test

import (
	"testing"
	"time"

	"github.com/primrosemoor/primrosemoor/clock"
)

// What a node has read may not fit into a message; the others then read for themselves.
func TestChangesTooLargeForAMessageDoNotEndTheLink(t *testing.T) {
	nodes := startZone(t, "a", 2)
	for _, n := range nodes {
		locked(n, func() int {
			n.read, n.content, n.version, n.age = 7, make([]byte, 5<<20), 7, time.Millisecond
			return 0
		})
	}
	setNodes(nodes...)
	for _, n := range nodes {
		waitUntil(t, n.self.Name+" receives proofs", func() bool { return locked(n, func() clock.Instant { return n.proof }) > 0 })
	}
}
