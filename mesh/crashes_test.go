package mesh_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/clock"
	"github.com/primrosemoor/primrosemoor/culprit"
)

const crashingPart culprit.Feature = 7

func (n *node) judgesCrashing() culprit.State {
	return n.culprits.Judge([]culprit.Feature{crashingPart}).State
}

// Each node sees one crash only; together they quarantine the part, at nodes of large
// and small zones and at those that start later.
func TestCrashesSeenByDifferentNodesReachAllNodes(t *testing.T) {
	is := is.New(t)
	a, b := startZone(t, "a", 10), startZone(t, "b", 2)
	all := slices.Concat(a, b)
	setNodes(all...)
	waitForAll(t, all...)
	for i, n := range []*node{a[8], b[1], a[4]} {
		n.culprits.RecordCrash(culprit.Crash{
			Target: uint64(i), Features: []culprit.Feature{crashingPart, culprit.Feature(100 + i)}, At: clock.Now().Add(time.Duration(i-3) * time.Second),
		})
	}
	for _, n := range all {
		waitUntil(t, n.self.Name+" quarantines the part", func() bool { return n.judgesCrashing() == culprit.Quarantined })
	}
	late := startNode(t, "b03", "b")
	all = append(all, late)
	setNodes(all...)
	waitUntil(t, "a new node quarantines the part", func() bool { return late.judgesCrashing() == culprit.Quarantined })
	late.culprits.RecordSurvival([]culprit.Feature{crashingPart})
	for _, n := range all {
		waitUntil(t, fmt.Sprint(n.self.Name, " learns that a target survived"), func() bool { return n.judgesCrashing() == culprit.Clear })
	}
	crashes, survivals, _ := a[0].culprits.Since(0)
	is.Equal(len(crashes), 3)
	is.Equal(len(survivals), 1)
}
