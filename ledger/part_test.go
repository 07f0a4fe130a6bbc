package ledger_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/ledger"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
)

// claimAll claims count ids in batches of 100 and returns how many were new.
func claimAll(t *testing.T, m *ledger.Manager, count int, attempt string) int {
	t.Helper()
	var mu sync.Mutex
	newClaims := 0
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			state := claimState(t, m, request(fmt.Sprintf("id-%d", i), attempt))
			mu.Lock()
			defer mu.Unlock()
			if state == schema.ClaimState_CLAIM_STATE_NEW {
				newClaims++
			}
		})
		if i%100 == 99 {
			group.Wait()
		}
	}
	group.Wait()
	return newClaims
}

func TestLargeSegmentMovesToFewPartsAndKeepsClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := objects.NewMemory()
		m, stop := start(t, "n1", store, testSettings())
		is.Equal(claimAll(t, m, 5000, "a1"), 5000)
		segment, err := store.Get(t.Context(), "ledger/0")
		is.NoErr(err)
		is.True(len(segment.Value) < 64<<10)
		parts, err := store.List(t.Context(), "ledger/0/")
		is.NoErr(err)
		is.True(len(parts) > 0)
		is.True(len(parts) < 12)
		stop()
		m2, _ := start(t, "n2", store, testSettings())
		is.Equal(claimAll(t, m2, 5000, "a2"), 0)
		time.Sleep(2 * testRetention)
		claimState(t, m2, request("later", "a1"))
		time.Sleep(time.Second)
		parts, err = store.List(t.Context(), "ledger/0/")
		is.NoErr(err)
		is.Equal(len(parts), 0)
	})
}

func TestReleasedClaimInAPartMayBeTakenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := objects.NewMemory()
		m, stop := start(t, "n1", store, testSettings())
		m.SetSealThreshold(1)
		claimState(t, m, request("id", "a1"))
		claimState(t, m, request("other", "a1"))
		_, err := m.Finish(t.Context(), &schema.FinishRequest{RequestId: "id", Team: "t", Attempt: "a1", NotRun: true})
		is.NoErr(err)
		time.Sleep(time.Second)
		stop()
		m2, _ := start(t, "n2", store, testSettings())
		is.Equal(claimState(t, m2, request("id", "a2")), schema.ClaimState_CLAIM_STATE_NEW)
		is.Equal(claimState(t, m2, request("other", "a2")), schema.ClaimState_CLAIM_STATE_UNKNOWN)
	})
}

func TestAnyNodeAnswersForAnEntryThatCannotReachTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := objects.NewMemory()
		owner, _ := start(t, "n1", store, testSettings())
		other, _ := start(t, "n2", store, testSettings())
		other.ApplyTopology(ownedBy("n1", "n2", "entry"))
		synctest.Wait()
		r := request("id", "a1")
		_, err := other.Claim(t.Context(), r)
		is.True(err != nil)
		r.AnyOwner = true
		is.Equal(claimState(t, other, r), schema.ClaimState_CLAIM_STATE_NEW)
		is.Equal(claimState(t, owner, request("id", "a2")), schema.ClaimState_CLAIM_STATE_UNKNOWN)
	})
}
