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

func hasMembers(count int) func(*node) bool {
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
		waitFor(t, nodes, 0, hasMembers(9))
		for _, zone := range []string{"a", "b", "c"} {
			reporter := reporterOf(nodes, zone)
			for _, other := range nodes {
				is.True(other.zone != zone || other.Reporter() == reporter.name)
			}
		}
		for _, node := range nodes {
			is.True(node.IsCurrent())
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
		waitFor(t, sameZone, 2*time.Second, hasMembers(5))
		waitFor(t, rest, 4*time.Second, hasMembers(5))
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
		waitFor(t, rest, 6*time.Second, hasMembers(5))
		is.True(reporterOf(rest, "a") != nil)
		time.Sleep(settleTime)
		waitFor(t, rest, 0, hasMembers(5))
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
		waitFor(t, rest, 10*time.Second, hasMembers(8))
		time.Sleep(settleTime)
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
		waitFor(t, rest, 10*time.Second, hasMembers(10))
		time.Sleep(settleTime)
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
		waitFor(t, nodes, 0, hasMembers(6))
		for _, node := range nodes {
			is.True(!node.Isolated())
			is.True(node.IsCurrent())
		}
		dead := reporterOf(nodes, "a")
		dead.stop()
		rest := without(nodes, dead)
		waitFor(t, rest, 10*time.Second, hasMembers(5))
		n.store.Inject(nil)
		time.Sleep(settleTime)
		waitFor(t, rest, 0, hasMembers(5))
	})
}

func TestNewNodeJoinsThroughASeedDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		nodes := n.joinAll(2, "a", "b")
		n.store.Inject(func(objects.Operation, string) objects.Fault { return objects.Fault{Unavailable: true} })
		n.seeds = []string{"b01"}
		nodes = append(nodes, n.join("a99", "a"))
		waitFor(t, nodes, settleTime, hasMembers(5))
	})
}

func TestNodeWithoutStoreAndPeersIsIsolatedAndRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		nodes := n.joinAll(3, "a")
		isolated := reporterOf(nodes, "a")
		n.setCut(func(from, to *node) bool { return from == isolated || to == isolated })
		waitFor(t, []*node{isolated}, isolatedAfter+2*time.Second, func(n *node) bool { return n.Isolated() })
		rest := without(nodes, isolated)
		waitFor(t, rest, settleTime, hasMembers(2))
		n.setCut(nil)
		waitFor(t, nodes, settleTime, func(n *node) bool { return !n.Isolated() && len(n.Members()) == 3 })
	})
}

func TestNodeThatCannotReachTheReporterIsRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		nodes := n.joinAll(4, "a")
		reporter := reporterOf(nodes, "a")
		for _, sender := range without(nodes, reporter) {
			n.setCut(func(from, to *node) bool {
				return from == sender && to == reporter || from == reporter && to == sender
			})
			time.Sleep(settleTime)
			waitFor(t, nodes, 0, hasMembers(4))
			n.setCut(nil)
			time.Sleep(settleTime)
			reporter = reporterOf(nodes, "a")
		}
	})
}

func TestPausedNodeIsNotCurrentUntilItReachesOthers(t *testing.T) {
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
		time.Sleep(settleTime)
		is.True(!paused.IsCurrent())
		n.setCut(func(from, to *node) bool { return from == paused || to == paused })
		blocked.Store(false)
		close(release)
		synctest.Wait()
		is.True(!paused.IsCurrent())
		n.setCut(nil)
		waitFor(t, nodes, settleTime, func(n *node) bool { return n.IsCurrent() && len(n.Members()) == 4 })
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
		waitFor(t, nodes, settleTime, func(n *node) bool { return n.Reporter() != reporter.name })
		waitFor(t, nodes, 0, hasMembers(3))
		time.Sleep(settleTime)
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
		time.Sleep(settleTime)
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

func TestPartitionedRegionKeepsItsViewAndRejoinsWithoutATrafficSpike(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t)
		nodes := n.joinAll(4, "a", "b", "c")
		idleBytes := n.bytesSentDuring(10 * time.Second)
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
		is.True(n.bytesSentDuring(10*time.Second) < 3*idleBytes)
		waitFor(t, nodes, settleTime, hasMembers(12))
		for _, node := range nodes {
			is.Equal(node.changes, map[string]int{"a": 2, "b": 2, "c": 0}[node.zone])
		}
	})
}

func TestHigherRevisionIsKnownWithinTwoHeartbeatsAndTheirDelays(t *testing.T) {
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
		// The reporter learns the revision from the next heartbeat and the others
		// from the reporter's next reply. Link delays and the time until the
		// reporter applies the revision add up to less than one more interval.
		adopted := make(map[*node]bool)
		adopt := func() {
			for _, o := range sameZone {
				if o.NewestRevisionSource().Revision == 7 {
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

func TestDrainNoticeReachesEveryMemberAtOnce(t *testing.T) {
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
		time.Sleep(settleTime)
		waitFor(t, nodes, 0, hasMembers(6))
	})
}
