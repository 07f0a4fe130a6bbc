package datastore_test

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/datastore"
)

func TestConfigurationIsInForceSoonAfterItsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		time.Sleep(2 * latency)
		is.Equal(f.version(), uint64(3))
		is.True(f.manager.Ready())
		f.configs.put("main", &catalog.Config{Version: 9})
		time.Sleep(2 * latency)
		is.Equal(f.version(), uint64(9))
	})
}

func TestOlderVersionIsNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		time.Sleep(time.Second)
		f.configs.put("main", &catalog.Config{Version: 2})
		time.Sleep(3 * time.Second)
		is.Equal(f.version(), uint64(3))
	})
}

func TestUnusableConfigurationKeepsTheLastGoodOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		time.Sleep(time.Second)
		f.configs.change(datastore.Change[*catalog.Config]{Name: "main", Err: errors.New("spoiled")})
		time.Sleep(time.Second)
		is.Equal(f.version(), uint64(3))
		f.configs.put("main", &catalog.Config{Version: 4})
		time.Sleep(time.Second)
		is.Equal(f.version(), uint64(4))
	})
}

func TestKeysAreProvenWhileTheStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		time.Sleep(time.Second)
		for range 100 {
			time.Sleep(137 * time.Millisecond)
			is.True(f.manager.KeysProven())
			is.True(f.manager.ProofAge() < 4*time.Second)
		}
	})
}

// Callers that are sent to a node once it is ready must not be refused when others start.
func TestKeysStayProvenWhenAnotherNodeStarts(t *testing.T) {
	for delay := time.Duration(0); delay < 3*time.Second; delay += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := startFixture(t)
			proven := false
			for elapsed := time.Duration(0); elapsed < 4*time.Second; elapsed += 10 * time.Millisecond {
				if elapsed == delay {
					f.nodes.put("n-9", datastore.Node{Name: "n-9"})
				}
				time.Sleep(10 * time.Millisecond)
				is.True(!proven || f.manager.KeysProven())
				proven = f.manager.KeysProven()
			}
			is.True(proven)
		})
	}
}

// However the store fails, the proof must not be younger than its last answer, and a
// node that cannot reach it must stop accepting keys in time.
func TestKeysAreNotAcceptedAfterARevocationMayHaveTakenEffect(t *testing.T) {
	for _, failure := range []struct {
		name string
		set  func(*fakeStore[*catalog.Config])
	}{
		{"down", func(s *fakeStore[*catalog.Config]) { s.down = true }},
		{"silent", func(s *fakeStore[*catalog.Config]) { s.silent = true }},
	} {
		t.Run(failure.name, func(t *testing.T) {
			for offset := range 8 {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := startFixture(t)
					time.Sleep(5*time.Second + time.Duration(offset)*217*time.Millisecond)
					f.configs.set(func() { failure.set(f.configs) })
					failedAt := time.Now()
					time.Sleep(revocation + latency)
					for range 20 {
						is.True(!f.manager.KeysProven())
						time.Sleep(100 * time.Millisecond)
					}
					is.True(f.manager.ProofAge() >= time.Since(failedAt)-2*latency)
					f.configs.set(func() { f.configs.down, f.configs.silent = false, false })
					time.Sleep(4 * time.Second)
					is.True(f.manager.KeysProven())
				})
			}
		})
	}
}

func TestItemsAreListedAgainWhenHistoryIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		time.Sleep(time.Second)
		f.targets.set(func() { f.targets.compacted = 100 })
		f.targets.set(func() {
			f.targets.items["i-2"] = datastore.Change[*catalog.Target]{Name: "i-2", Value: &catalog.Target{ID: "i-2", Service: "s"}}
			f.targets.revision = 101
			close(f.targets.changed)
			f.targets.changed = make(chan struct{})
		})
		time.Sleep(5 * time.Second)
		is.True(f.has("i-2"))
	})
}

func TestDrainingTargetIsKnownSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		time.Sleep(time.Second)
		f.targets.put("i-1", &catalog.Target{ID: "i-1", Service: "s", Draining: true})
		time.Sleep(500 * time.Millisecond)
		f.mu.Lock()
		defer f.mu.Unlock()
		is.True(!f.seen["i-1"])
	})
}

func TestTargetsMissingAfterAnOutageAreRetainedForAGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		f.targets.put("i-2", &catalog.Target{ID: "i-2", Service: "s"})
		time.Sleep(time.Second)
		f.targets.set(func() { f.targets.down = true })
		time.Sleep(8 * time.Second)
		f.targets.remove("i-1")
		f.targets.remove("i-2")
		f.targets.set(func() { f.targets.down = false })
		time.Sleep(1900 * time.Millisecond)
		is.True(f.has("i-1") && f.has("i-2")) // both are retained
		f.targets.put("i-1", &catalog.Target{ID: "i-1", Service: "s"})
		time.Sleep(3 * time.Second)
		is.True(f.has("i-1"))
		is.True(!f.has("i-2")) // a target that is still missing is dropped
	})
}

func TestTargetRemovedWithoutAnOutageIsDroppedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		time.Sleep(time.Second)
		f.targets.remove("i-1")
		time.Sleep(500 * time.Millisecond)
		is.True(!f.has("i-1"))
	})
}

func TestPeersProofKeepsKeysProven(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		time.Sleep(time.Second)
		f.configs.set(func() { f.configs.down = true })
		for range 40 {
			time.Sleep(250 * time.Millisecond)
			f.manager.ApplyProof(datastore.ConfigState{Version: 3}, virtualNow().Add(-time.Second), "peer")
		}
		time.Sleep(time.Millisecond)
		is.True(f.manager.KeysProven())
		is.True(f.manager.ProofAge() >= time.Second)
	})
}

// A node that receives proofs from peers calls the store less often, and as often as
// before once the proofs stop. Its keys stay proven throughout.
func TestProofsOfPeersReduceCallsToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		watches := func(relayed bool) int {
			before := 0
			f.configs.set(func() { before = f.configs.watches })
			for range 120 {
				time.Sleep(250 * time.Millisecond)
				if relayed {
					f.manager.ApplyProof(datastore.ConfigState{Version: 3}, virtualNow(), "peer")
				}
				is.True(f.manager.ProofAge() < revocation)
			}
			after := 0
			f.configs.set(func() { after = f.configs.watches })
			return after - before
		}
		withoutProofs := watches(false)
		withProofs := watches(true)
		afterProofs := watches(false)
		is.True(withoutProofs >= 19) // in 30 s
		is.True(withProofs <= 14)
		is.True(afterProofs >= 18)
	})
}

// A node whose peers stop sending proofs in the middle of a long watch gets its own
// proof before its keys count as stale.
func TestLongWatchIsCancelledWhenProofsStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		for i := range 60 {
			f.nodes.put(fmt.Sprint("n", i), datastore.Node{Name: fmt.Sprint("n", i)})
		}
		time.Sleep(20 * time.Second)
		for range 10 {
			for range 30 {
				time.Sleep(250 * time.Millisecond)
				f.manager.ApplyProof(datastore.ConfigState{Version: 3}, virtualNow(), "peer")
			}
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				is.True(f.manager.ProofAge() < 4*time.Second)
			}
		}
	})
}

func TestKeysAreProvenAtOnceAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		time.Sleep(time.Second)
		f.configs.set(func() { f.configs.down = true })
		time.Sleep(10 * time.Second)
		is.True(!f.manager.KeysProven())
		f.configs.set(func() { f.configs.down = false })
		// The longest retry delay is 700 ms, randomised by half; then come a call and
		// staleProofWait. A full configWatchWait would be too late.
		time.Sleep(1050*time.Millisecond + 4*latency + 100*time.Millisecond)
		is.True(f.manager.KeysProven())
	})
}

func TestPeersNewerConfigurationIsFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		time.Sleep(time.Second)
		f.configs.set(func() { f.configs.down = true })
		f.snapshot = datastore.Snapshot{Version: 8, Configuration: []byte{8}}
		f.manager.ApplyProof(datastore.ConfigState{Version: 8}, virtualNow(), "peer")
		time.Sleep(time.Second)
		is.Equal(f.version(), uint64(8))
		// An older proof changes nothing.
		f.manager.ApplyProof(datastore.ConfigState{Version: 3}, virtualNow(), "peer")
		time.Sleep(time.Second)
		is.Equal(f.version(), uint64(8))
		is.True(f.manager.ProofAge() >= 2*time.Second)
	})
}

func TestNodeThatStartsDuringAnOutageLearnsFromAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		f.configs.set(func() { f.configs.down = true })
		f.targets.set(func() { f.targets.down = true })
		time.Sleep(time.Second)
		is.True(!f.manager.Ready())
		f.snapshot = datastore.Snapshot{Version: 5, Configuration: []byte{5}, Targets: map[string][]byte{"i-7": {}}}
		f.manager.ApplyProof(datastore.ConfigState{Version: 5}, virtualNow(), "peer")
		time.Sleep(100 * time.Millisecond)
		is.True(f.manager.Ready())
		is.True(f.has("i-7"))
		is.Equal(f.manager.Snapshot(t.Context()).Version, uint64(5))
	})
}

// A watch that returns a change proves nothing about the time after its start, since
// the change may have been delayed on the way. Guards against using the end of the
// watch as the time of the proof.
func TestDelayedChangeProvesNothingAfterTheWatchBegan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startFixture(t)
		time.Sleep(10 * time.Second)
		before := time.Now()
		f.configs.put("main", &catalog.Config{Version: 4})
		time.Sleep(latency)
		is.Equal(f.version(), uint64(4))
		// The watch started before the change, so its proof is no younger.
		is.True(f.manager.ProofAge() >= time.Since(before)-latency)
	})
}
