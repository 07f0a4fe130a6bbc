package ledger_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/ledger"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// network delivers handover messages between managers after a delay.
type network struct {
	delay    time.Duration
	managers map[string]*ledger.Manager
}

func (n *network) HandOverShard(ctx context.Context, node string, h *schema.LedgerHandover) error {
	select {
	case <-time.After(n.delay):
		return n.managers[node].ReceiveHandover(ctx, h)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// startPair runs two managers, n1, which owns the shard, and n2.
func startPair(t *testing.T, delay time.Duration) (n1, n2 *ledger.Manager) {
	store := objects.NewMemory()
	peers := &network{delay: delay, managers: make(map[string]*ledger.Manager)}
	for _, node := range []string{"n1", "n2"} {
		m := ledger.New(ledger.Options{Node: node, Store: store, Settings: testSettings(), Peers: peers})
		peers.managers[node] = m
		go func() { _ = m.Run(t.Context()) }()
		m.ApplyTopology(ownedBy("n1", "n2", "entry"))
	}
	synctest.Wait()
	return peers.managers["n1"], peers.managers["n2"]
}

func TestNextOwnerAnswersFromHandedOverRecords(t *testing.T) {
	for _, delay := range []time.Duration{0, 300 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n1, n2 := startPair(t, delay)
				is.Equal(claimState(t, n1, request("running", "a1")), schema.ClaimState_CLAIM_STATE_NEW)
				_, err := n1.Finish(t.Context(), &schema.FinishRequest{
					RequestId: "running", Team: "t", Attempt: "a1", EntryNode: "entry", Target: "vm/s", StreamId: "s1",
				})
				is.NoErr(err)
				is.Equal(claimState(t, n1, request("done", "a1")), schema.ClaimState_CLAIM_STATE_NEW)
				_, err = n1.Finish(t.Context(), finished("done", "a1", "answer"))
				is.NoErr(err)

				moved := ownedBy("n2", "n1", "entry")
				n1.ApplyTopology(moved)
				n2.ApplyTopology(moved)
				reply, err := n2.Claim(t.Context(), request("running", "a2"))
				is.NoErr(err)
				is.Equal(reply.GetState(), schema.ClaimState_CLAIM_STATE_RUNNING)
				is.Equal(reply.GetStreamId(), "s1")
				reply, err = n2.Claim(t.Context(), request("done", "a2"))
				is.NoErr(err)
				is.Equal(string(reply.GetOutcome().GetBody()), "answer")
			})
		})
	}
}

func TestNextOwnerLearnsOfReleasesThatAreNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n1, n2 := startPair(t, 300*time.Millisecond)
		is.Equal(claimState(t, n1, request("id", "a1")), schema.ClaimState_CLAIM_STATE_NEW)
		_, err := n1.Finish(t.Context(), &schema.FinishRequest{RequestId: "id", Team: "t", Attempt: "a1", NotRun: true})
		is.NoErr(err)
		moved := ownedBy("n2", "n1", "entry")
		n1.ApplyTopology(moved)
		n2.ApplyTopology(moved)
		is.Equal(claimState(t, n2, request("id", "a2")), schema.ClaimState_CLAIM_STATE_NEW)
	})
}

func TestReleasesOfOneKeyMayComeInAnyOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, _ := start(t, "n1", objects.NewMemory(), testSettings())
		release := func(attempt string) {
			_, err := m.Finish(t.Context(), &schema.FinishRequest{RequestId: "id", Team: "t", Attempt: attempt, NotRun: true})
			is.NoErr(err)
		}
		is.Equal(claimState(t, m, request("id", "a1")), schema.ClaimState_CLAIM_STATE_NEW)
		release("a1")
		is.Equal(claimState(t, m, request("id", "a2")), schema.ClaimState_CLAIM_STATE_NEW)
		release("a2")
		release("a1")
		is.Equal(claimState(t, m, request("id", "a3")), schema.ClaimState_CLAIM_STATE_NEW)
	})
}

func TestLateHandoverDoesNotReplaceALaterRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n1, n2 := startPair(t, 300*time.Millisecond)
		is.Equal(claimState(t, n1, request("id", "a1")), schema.ClaimState_CLAIM_STATE_NEW)
		moved := ownedBy("n2", "n1", "entry")
		n1.ApplyTopology(moved)
		n2.ApplyTopology(moved)
		_, err := n2.Finish(t.Context(), finished("id", "a1", "answer"))
		is.NoErr(err)
		time.Sleep(time.Second)
		reply, err := n2.Claim(t.Context(), request("id", "a2"))
		is.NoErr(err)
		is.Equal(string(reply.GetOutcome().GetBody()), "answer")
	})
}

func TestNextOwnerKnowsThatAnEntryWasRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n1, n2 := startPair(t, 0)
		topologyOf := func(owner, other string, incarnation uint64) *topology.Snapshot {
			snapshot := ownedBy(owner, other, "entry")
			entry, _ := snapshot.Member("entry")
			entry.Incarnation = incarnation
			return snapshot
		}
		n1.ApplyTopology(topologyOf("n1", "n2", 1))
		synctest.Wait()
		is.Equal(claimState(t, n1, request("id", "a1")), schema.ClaimState_CLAIM_STATE_NEW)
		// The entry node is restarted, and then the shard moves to n2.
		n1.ApplyTopology(topologyOf("n1", "n2", 2))
		synctest.Wait()
		moved := topologyOf("n2", "n1", 2)
		n1.ApplyTopology(moved)
		n2.ApplyTopology(moved)
		synctest.Wait()
		is.Equal(claimState(t, n2, request("id", "a2")), schema.ClaimState_CLAIM_STATE_UNKNOWN)
	})
}
