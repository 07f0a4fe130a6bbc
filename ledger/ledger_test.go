package ledger_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/ledger"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

const testRetention = time.Hour

func testSettings() *schema.LedgerSettings {
	return &schema.LedgerSettings{
		Shards:                1,
		Retention:             durationpb.New(testRetention),
		MaxStoredOutcomeBytes: 100,
		CommitInterval:        durationpb.New(250 * time.Millisecond),
	}
}

// ownedBy returns a topology in which owner owns every shard, and the other
// nodes are members without shards.
func ownedBy(owner string, others ...string) *topology.Snapshot {
	members := []*schema.Member{{Node: owner, State: schema.MemberState_MEMBER_STATE_ACTIVE}}
	for _, node := range others {
		members = append(members, &schema.Member{Node: node, State: schema.MemberState_MEMBER_STATE_DRAINING})
	}
	return topology.Build(&schema.Config{}, members, topology.Options{})
}

// start runs a manager for node until the test ends or the returned function is
// called.
func start(t *testing.T, node string, store objects.Store, settings *schema.LedgerSettings) (*ledger.Manager, func()) {
	m := ledger.New(ledger.Options{Node: node, Store: store, Settings: settings})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = m.Run(ctx) }()
	m.ApplyTopology(ownedBy(node, "entry"))
	synctest.Wait()
	return m, cancel
}

func request(id, attempt string) *schema.ClaimRequest {
	return &schema.ClaimRequest{RequestId: id, Team: "t", Digest: []byte("digest-1"), EntryNode: "entry", Attempt: attempt}
}

func finished(id, attempt, body string) *schema.FinishRequest {
	return &schema.FinishRequest{
		RequestId: id, Team: "t", Attempt: attempt, EntryNode: "entry",
		State:   schema.ClaimState_CLAIM_STATE_DONE,
		Outcome: &schema.StoredOutcome{Status: 200, Body: []byte(body)},
	}
}

func claimState(t *testing.T, m *ledger.Manager, r *schema.ClaimRequest) schema.ClaimState {
	t.Helper()
	reply, err := m.Claim(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	return reply.GetState()
}

func TestSecondAttemptAttachesAndThenReplays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, _ := start(t, "n1", objects.NewMemory(), testSettings())
		is.Equal(claimState(t, m, request("id", "a1")), schema.ClaimState_CLAIM_STATE_NEW)
		is.Equal(claimState(t, m, request("id", "a1")), schema.ClaimState_CLAIM_STATE_NEW)
		running := &schema.FinishRequest{RequestId: "id", Team: "t", Attempt: "a1", EntryNode: "entry", Target: "vm/s", StreamId: "s1"}
		_, err := m.Finish(t.Context(), running)
		is.NoErr(err)
		reply, err := m.Claim(t.Context(), request("id", "a2"))
		is.NoErr(err)
		is.Equal(reply.GetState(), schema.ClaimState_CLAIM_STATE_RUNNING)
		is.Equal(reply.GetStreamId(), "s1")
		_, err = m.Finish(t.Context(), finished("id", "a1", "answer"))
		is.NoErr(err)
		reply, err = m.Claim(t.Context(), request("id", "a3"))
		is.NoErr(err)
		is.Equal(reply.GetState(), schema.ClaimState_CLAIM_STATE_DONE)
		is.Equal(string(reply.GetOutcome().GetBody()), "answer")
	})
}

func TestRequestOfARestartedEntryIsNotRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, _ := start(t, "n1", objects.NewMemory(), testSettings())
		setIncarnation := func(incarnation uint64) {
			snapshot := ownedBy("n1", "entry")
			entry, _ := snapshot.Member("entry")
			entry.Incarnation = incarnation
			m.ApplyTopology(snapshot)
			synctest.Wait()
		}
		setIncarnation(1)
		is.Equal(claimState(t, m, request("id", "a1")), schema.ClaimState_CLAIM_STATE_NEW)
		is.Equal(claimState(t, m, request("id", "a2")), schema.ClaimState_CLAIM_STATE_RUNNING)
		setIncarnation(2)
		is.Equal(claimState(t, m, request("id", "a2")), schema.ClaimState_CLAIM_STATE_UNKNOWN)
	})
}

func TestSameIDWithAnotherRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, _ := start(t, "n1", objects.NewMemory(), testSettings())
		is.Equal(claimState(t, m, request("id", "a1")), schema.ClaimState_CLAIM_STATE_NEW)
		other := request("id", "a2")
		other.Digest = []byte("digest-2")
		_, err := m.Claim(t.Context(), other)
		is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_KEY_REUSED)
		otherTeam := request("id", "a3")
		otherTeam.Team = "u"
		is.Equal(claimState(t, m, otherTeam), schema.ClaimState_CLAIM_STATE_NEW)
	})
}

func TestNewOwnerNeverAnswersNewForAClaimedID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := objects.NewMemory()
		m1, stop := start(t, "n1", store, testSettings())
		is.Equal(claimState(t, m1, request("id", "a1")), schema.ClaimState_CLAIM_STATE_NEW)
		stop()
		m2, _ := start(t, "n2", store, testSettings())
		is.Equal(claimState(t, m2, request("id", "a2")), schema.ClaimState_CLAIM_STATE_UNKNOWN)
		is.Equal(claimState(t, m2, request("id", "a1")), schema.ClaimState_CLAIM_STATE_NEW)
		running := &schema.FinishRequest{RequestId: "id", Team: "t", Attempt: "a1", EntryNode: "entry", StreamId: "s1"}
		_, err := m2.Finish(t.Context(), running)
		is.NoErr(err)
		is.Equal(claimState(t, m2, request("id", "a2")), schema.ClaimState_CLAIM_STATE_RUNNING)
	})
}

func TestTwoOwnersGrantOneClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := objects.NewMemory()
		m1, _ := start(t, "n1", store, testSettings())
		m2, _ := start(t, "n2", store, testSettings())
		claimState(t, m1, request("warm", "w1"))
		claimState(t, m2, request("warm", "w2"))
		is.Equal(claimState(t, m2, request("id", "a1")), schema.ClaimState_CLAIM_STATE_NEW)
		is.Equal(claimState(t, m1, request("id", "a2")), schema.ClaimState_CLAIM_STATE_UNKNOWN)
	})
}

func TestClaimsThatWaitShareOneWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := objects.NewMemory()
		m, _ := start(t, "n1", store, testSettings())
		claimState(t, m, request("first", "a"))
		var group sync.WaitGroup
		begin := time.Now()
		for i := range 50 {
			group.Go(func() { claimState(t, m, request(uuid.NewString(), string(rune(i)))) })
		}
		group.Wait()
		is.Equal(store.Calls(objects.OperationPut), uint64(2))
		is.Equal(time.Since(begin), 250*time.Millisecond)
	})
}

func TestReleasedClaimMayBeTakenByAnotherAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := objects.NewMemory()
		m, stop := start(t, "n1", store, testSettings())
		claimState(t, m, request("id", "a1"))
		_, err := m.Finish(t.Context(), &schema.FinishRequest{RequestId: "id", Team: "t", Attempt: "a1", NotRun: true})
		is.NoErr(err)
		time.Sleep(time.Second)
		stop()
		m2, _ := start(t, "n2", store, testSettings())
		is.Equal(claimState(t, m2, request("id", "a2")), schema.ClaimState_CLAIM_STATE_NEW)
		is.Equal(claimState(t, m2, request("id", "a3")), schema.ClaimState_CLAIM_STATE_RUNNING)
	})
}

func TestDoneMarkSurvivesAnOwnerChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := objects.NewMemory()
		m, stop := start(t, "n1", store, testSettings())
		claimState(t, m, request("id", "a1"))
		_, err := m.Finish(t.Context(), finished("id", "a1", ""))
		is.NoErr(err)
		time.Sleep(time.Minute)
		stop()
		m2, _ := start(t, "n2", store, testSettings())
		is.Equal(claimState(t, m2, request("id", "a2")), schema.ClaimState_CLAIM_STATE_DONE)
	})
}

func TestOutageRefusesClaimsAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := objects.NewMemory()
		m, _ := start(t, "n1", store, testSettings())
		claimState(t, m, request("before", "a"))
		store.Inject(func(objects.Operation, string) objects.Fault { return objects.Fault{Unavailable: true} })
		_, err := m.Claim(t.Context(), request("id", "a1"))
		is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE)
		is.Equal(fault.From(err).Outcome, schema.Outcome_OUTCOME_NOT_RUN)
		is.Equal(claimState(t, m, request("before", "b")), schema.ClaimState_CLAIM_STATE_RUNNING)
	})
}

func TestIdempotentRequestRunsWithoutClaimOnlyIfAllowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := objects.NewMemory()
		settings := testSettings()
		settings.RunIdempotentWithoutClaim = true
		m, stop := start(t, "n1", store, settings)
		claimState(t, m, request("before", "a"))
		store.Inject(func(objects.Operation, string) objects.Fault { return objects.Fault{Unavailable: true} })
		_, err := m.Claim(t.Context(), request("booking", "a1"))
		is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE)
		chat := request("chat", "a1")
		chat.Idempotent = true
		is.Equal(claimState(t, m, chat), schema.ClaimState_CLAIM_STATE_NEW)
		is.Equal(claimState(t, m, request("chat", "a2")), schema.ClaimState_CLAIM_STATE_RUNNING)
		store.Inject(nil)
		time.Sleep(time.Minute)
		stop()
		m2, _ := start(t, "n2", store, settings)
		is.Equal(claimState(t, m2, request("chat", "a3")), schema.ClaimState_CLAIM_STATE_UNKNOWN)
	})
}

func TestRetentionExpiresOpaqueIDsAndRejectsDatedOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, _ := start(t, "n1", objects.NewMemory(), testSettings())
		dated := uuid.Must(uuid.NewV7()).String()
		claimState(t, m, request("opaque", "a1"))
		claimState(t, m, request(dated, "a1"))
		time.Sleep(testRetention)
		is.Equal(claimState(t, m, request("opaque", "a2")), schema.ClaimState_CLAIM_STATE_RUNNING)
		time.Sleep(10 * time.Minute)
		claimState(t, m, request("later", "a1"))
		is.Equal(claimState(t, m, request("opaque", "a3")), schema.ClaimState_CLAIM_STATE_NEW)
		_, err := m.Claim(t.Context(), request(dated, "a3"))
		is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_KEY_EXPIRED)
	})
}
