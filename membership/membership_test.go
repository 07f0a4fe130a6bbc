package membership_test

import (
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
)

func without(nodes []*node, gone ...*node) []*node {
	return slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool { return slices.Contains(gone, n) })
}

func sees(count int) func(*node) bool {
	return func(n *node) bool { return len(n.Members()) == count }
}

func reporterOf(nodes []*node, zone string) *node {
	for _, n := range nodes {
		if n.zone == zone && n.Reporter() == n.name {
			return n
		}
	}
	return nil
}

func TestNodesOfAllZonesFindEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		nodes := n.joinAll(3, "a", "b", "c")
		waitFor(t, nodes, 0, sees(9))
		for _, zone := range []string{"a", "b", "c"} {
			reporter := reporterOf(nodes, zone)
			for _, other := range nodes {
				is.True(other.zone != zone || other.Reporter() == reporter.name)
			}
		}
		for _, node := range nodes {
			is.True(node.Current())
			is.True(!node.Isolated())
		}
	})
}

func TestOnlyReportersReadTheObjectAPI(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		n.joinAll(10, "a", "b")
		before := n.store.Calls(objects.OperationList)
		time.Sleep(time.Minute)
		lists := n.store.Calls(objects.OperationList) - before
		is.True(lists <= 2*uint64(time.Minute/reportInterval))
	})
}

func TestDeadNodeIsRemovedEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		nodes := n.joinAll(3, "a", "b")
		dead := nodes[0]
		if dead.Reporter() == dead.name {
			dead = nodes[2]
		}
		dead.stop()
		rest := without(nodes, dead)
		sameZone := slices.DeleteFunc(slices.Clone(rest), func(n *node) bool { return n.zone != "a" })
		waitFor(t, sameZone, 2*time.Second, sees(5))
		waitFor(t, rest, 4*time.Second, sees(5))
	})
}

func TestDeadReporterIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		nodes := n.joinAll(3, "a", "b")
		dead := reporterOf(nodes, "a")
		dead.stop()
		rest := without(nodes, dead)
		waitFor(t, rest, 6*time.Second, sees(5))
		is.True(reporterOf(rest, "a") != nil)
		time.Sleep(settle)
		waitFor(t, rest, 0, sees(5))
	})
}

func TestLossOfAZoneChangesTheMembersOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		nodes := n.joinAll(4, "a", "b", "c")
		rest := slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool { return n.zone == "c" })
		for _, node := range rest {
			node.changes = 0
		}
		for _, node := range nodes {
			if node.zone == "c" {
				node.stop()
			}
		}
		waitFor(t, rest, 10*time.Second, sees(8))
		time.Sleep(settle)
		for _, node := range rest {
			is.Equal(node.changes, 1)
		}
	})
}

func TestLossOfASwitchChangesTheMembersOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		nodes := n.joinAll(16, "a")
		reporter := reporterOf(nodes, "a")
		var lost []*node
		for _, node := range nodes {
			if node != reporter && len(lost) < 6 {
				lost = append(lost, node)
			}
		}
		rest := without(nodes, lost...)
		for _, node := range rest {
			node.changes = 0
		}
		for _, node := range lost {
			node.stop()
			time.Sleep(heartbeatInterval / 3)
		}
		waitFor(t, rest, 10*time.Second, sees(10))
		time.Sleep(settle)
		for _, node := range rest {
			is.Equal(node.changes, 1)
		}
	})
}

func TestOutageOfTheObjectAPIKeepsTheMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		nodes := n.joinAll(3, "a", "b")
		n.store.Inject(func(objects.Operation, string) objects.Fault { return objects.Fault{Unavailable: true} })
		time.Sleep(5 * time.Minute)
		waitFor(t, nodes, 0, sees(6))
		for _, node := range nodes {
			is.True(!node.Isolated())
			is.True(node.Current())
		}
		dead := reporterOf(nodes, "a")
		dead.stop()
		rest := without(nodes, dead)
		waitFor(t, rest, 10*time.Second, sees(5))
		n.store.Inject(nil)
		time.Sleep(settle)
		waitFor(t, rest, 0, sees(5))
	})
}

func TestNewNodeJoinsThroughASeedDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		nodes := n.joinAll(2, "a", "b")
		n.store.Inject(func(objects.Operation, string) objects.Fault { return objects.Fault{Unavailable: true} })
		n.seeds = []string{"b01"}
		nodes = append(nodes, n.join("a99", "a"))
		waitFor(t, nodes, settle, sees(5))
	})
}

func TestNodeWithoutStoreAndPeersIsIsolatedAndRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		nodes := n.joinAll(3, "a")
		alone := reporterOf(nodes, "a")
		n.setCut(func(from, to *node) bool { return from == alone || to == alone })
		waitFor(t, []*node{alone}, isolatedAfter+2*time.Second, func(n *node) bool { return n.Isolated() })
		rest := without(nodes, alone)
		waitFor(t, rest, settle, sees(2))
		n.setCut(nil)
		waitFor(t, nodes, settle, func(n *node) bool { return !n.Isolated() && len(n.Members()) == 3 })
	})
}

func TestNodeThatCannotReachTheReporterIsRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		nodes := n.joinAll(4, "a")
		reporter := reporterOf(nodes, "a")
		for _, victim := range without(nodes, reporter) {
			n.setCut(func(from, to *node) bool {
				return from == victim && to == reporter || from == reporter && to == victim
			})
			time.Sleep(settle)
			waitFor(t, nodes, 0, sees(4))
			n.setCut(nil)
			time.Sleep(settle)
			reporter = reporterOf(nodes, "a")
		}
	})
}

func TestPausedNodeIsNotCurrentUntilItHasHeardFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		nodes := n.joinAll(3, "a")
		paused := reporterOf(nodes, "a")
		release := make(chan struct{})
		var blocked atomic.Bool
		blocked.Store(true)
		paused.Subscribe(func([]*schema.Member) {
			if blocked.Load() && len(paused.Members()) == 4 {
				<-release
			}
		})
		nodes = append(nodes, n.join("a99", "a"))
		time.Sleep(settle)
		is.True(!paused.Current())
		n.setCut(func(from, to *node) bool { return from == paused || to == paused })
		blocked.Store(false)
		close(release)
		synctest.Wait()
		is.True(!paused.Current())
		n.setCut(nil)
		waitFor(t, nodes, settle, func(n *node) bool { return n.Current() && len(n.Members()) == 4 })
		is.True(paused.Reporter() != paused.name)
	})
}

func TestDrainingReporterHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		nodes := n.joinAll(3, "a")
		reporter := reporterOf(nodes, "a")
		reporter.SetState(schema.MemberState_MEMBER_STATE_DRAINING)
		waitFor(t, nodes, settle, func(n *node) bool { return n.Reporter() != reporter.name })
		waitFor(t, nodes, 0, sees(3))
		time.Sleep(settle)
		for _, m := range nodes[0].Members() {
			draining := m.GetState() == schema.MemberState_MEMBER_STATE_DRAINING
			is.Equal(draining, m.GetNode() == reporter.name)
		}
	})
}

func TestRevisionInForceIsTheLowestOfAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		nodes := n.joinAll(3, "a", "b")
		for _, node := range nodes[1:] {
			node.SetRevision(7)
		}
		time.Sleep(settle)
		waitFor(t, nodes, 0, func(n *node) bool { return n.MinRevision() == 1 })
		nodes[0].SetRevision(7)
		waitFor(t, nodes, 3*time.Second, func(n *node) bool { return n.MinRevision() == 7 })
	})
}

func TestLeavingVMsReachEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		nodes := n.joinAll(3, "a", "b", "c")
		n.store.SetVMs([]objects.VMStatus{{Name: "vm1"}, {Name: "vm2", Leaving: true}})
		waitFor(t, nodes, 3*time.Second, func(n *node) bool { return slices.Equal(n.LeavingVMs(), []string{"vm2"}) })
	})
}

func TestRegionCutOffKeepsItsViewAndRejoinsWithoutAStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		nodes := n.joinAll(4, "a", "b", "c")
		atRest := n.bytesIn(10 * time.Second)
		for _, node := range nodes {
			node.changes = 0
		}
		n.setCut(func(from, to *node) bool {
			return from.zone == "c" && to == nil || to != nil && (from.zone == "c") != (to.zone == "c")
		})
		time.Sleep(10 * time.Minute)
		waitFor(t, nodes, 0, func(n *node) bool { return len(n.Members()) == 12 || n.zone != "c" && len(n.Members()) == 8 })
		for _, node := range nodes {
			is.True(node.zone != "c" || !node.Isolated())
		}
		n.setCut(nil)
		is.True(n.bytesIn(10*time.Second) < 3*atRest)
		waitFor(t, nodes, settle, sees(12))
		for _, node := range nodes {
			is.Equal(node.changes, map[string]int{"a": 2, "b": 2, "c": 0}[node.zone])
		}
	})
}

func TestHigherRevisionIsHeardOfWithinTwoHeartbeatsAndTheirDelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		nodes := n.joinAll(4, "a", "b")
		nodes[0].SetRevision(7)
		var sameZone []*node
		for _, other := range nodes[1:] {
			if other.zone == nodes[0].zone {
				sameZone = append(sameZone, other)
			}
		}
		// The reporter hears of it in the next heartbeat and the others in the
		// reporter's next reply; links and the reporter's adoption take less than
		// a third interval.
		adopted := make(map[*node]bool)
		adopt := func() {
			for _, o := range sameZone {
				if o.NewestRevision().Revision == 7 {
					o.SetRevision(7)
					adopted[o] = true
				}
			}
		}
		waitFor(t, sameZone, 3*heartbeatInterval, func(o *node) bool {
			adopt()
			return adopted[o]
		})
	})
}

func TestEveryMemberLearnsAtOnceThatANodeDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		nodes := n.joinAll(3, "a", "b")
		for _, leaving := range nodes[:2] {
			leaving.SetState(schema.MemberState_MEMBER_STATE_DRAINING)
			drains := func(n *node) bool {
				return slices.ContainsFunc(n.Members(), func(m *schema.Member) bool {
					return m.GetNode() == leaving.name && m.GetState() == schema.MemberState_MEMBER_STATE_DRAINING
				})
			}
			waitFor(t, nodes, 50*time.Millisecond, drains)
		}
		time.Sleep(settle)
		waitFor(t, nodes, 0, sees(6))
	})
}
