package ledger_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/primrosemoor/primrosemoor/ledger"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

const (
	historyOwners = 3
	historyIDs    = 4
)

// action is the kind of a step.
type action int

const (
	actionClaim action = iota
	actionCrash
	actionTopology
	actionPause
	actionResume
	actionFaultRates
	actionCount
)

// step is one event of a history, which happens after a delay.
type step struct {
	Action action
	Delay  time.Duration
	Owner  int
	Other  int
	ID     int
	// Runs makes an attempt that gets the claim run; otherwise it releases the
	// claim.
	Runs bool
	// LostReplies is how many of the attempt's Claim calls lose their replies
	// before the one whose reply counts.
	LostReplies int
	// Releases makes an attempt whose claim failed report that it did not run.
	Releases   bool
	FaultRates faultRates
}

// faultRates is the probability, in percent, of each fault in calls to the
// object API.
type faultRates struct {
	LostResponse, LateEffect, Unavailable, Delayed int
}

// plan is the generated input of a history.
type plan struct {
	Seed uint64
	// SealThreshold is the number of entries at which a segment's entries are
	// moved to a part.
	SealThreshold int
	Steps         []step
}

func genPlan() *rapid.Generator[plan] {
	delays := []time.Duration{0, time.Millisecond, 40 * time.Millisecond, 300 * time.Millisecond, time.Second, 5 * time.Second}
	percent := rapid.SampledFrom([]int{0, 0, 10, 40})
	genStep := rapid.Custom(func(t *rapid.T) step {
		// Claims make up half of the steps.
		kinds := int(actionCount)
		kind := action(max(0, rapid.IntRange(-kinds+2, kinds-1).Draw(t, "action")))
		s := step{
			Action: kind,
			Delay:  rapid.SampledFrom(delays).Draw(t, "pause"),
			Owner:  rapid.IntRange(0, historyOwners-1).Draw(t, "owner"),
			Other:  rapid.IntRange(0, historyOwners-1).Draw(t, "other"),
		}
		switch kind {
		case actionClaim:
			s.ID = rapid.IntRange(0, historyIDs-1).Draw(t, "id")
			s.Runs = rapid.Bool().Draw(t, "runs")
			s.LostReplies = rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(t, "lost replies")
			s.Releases = rapid.Bool().Draw(t, "releases")
		case actionFaultRates:
			s.FaultRates = faultRates{
				LostResponse: percent.Draw(t, "lost"), LateEffect: percent.Draw(t, "late"),
				Unavailable: percent.Draw(t, "down"), Delayed: percent.Draw(t, "slow"),
			}
		}
		return s
	})
	return rapid.Custom(func(t *rapid.T) plan {
		return plan{
			Seed:          rapid.Uint64().Draw(t, "seed"),
			SealThreshold: rapid.IntRange(1, 5).Draw(t, "seal entries"),
			Steps:         rapid.SliceOfN(genStep, 5, 40).Draw(t, "steps"),
		}
	})
}

// pausableStore blocks the writes of a paused process until it is resumed.
type pausableStore struct {
	objects.Store
	mu sync.Mutex
	// resumed is closed on resume; it is nil unless the process is paused.
	resumed chan struct{}
	// skipVersionCheck makes writes succeed whatever version they expect.
	skipVersionCheck bool
}

func (s *pausableStore) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed == nil {
		s.resumed = make(chan struct{})
	}
}

func (s *pausableStore) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed != nil {
		close(s.resumed)
		s.resumed = nil
	}
}

func (s *pausableStore) wait() {
	s.mu.Lock()
	resumed := s.resumed
	s.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// Put implements objects.Store. It ignores the context's deadline, since the
// timers of a paused process do not run either.
func (s *pausableStore) Put(ctx context.Context, key string, value []byte, expect objects.Version) (objects.Version, error) {
	s.wait()
	ctx = context.WithoutCancel(ctx)
	if s.skipVersionCheck {
		current, err := s.Get(ctx, key)
		if err != nil && !objects.IsNotFound(err) {
			return 0, err
		}
		expect = current.Version
	}
	return s.Store.Put(ctx, key, value, expect)
}

// history runs a plan and counts how often each id ran.
type history struct {
	t                *testing.T
	store            *objects.Memory
	rng              *rand.Rand
	skipVersionCheck bool
	plan             plan

	mu         sync.Mutex
	faultRates faultRates
	runs       map[string]int
	granted    int

	managers    [historyOwners]atomic.Pointer[ledger.Manager]
	ownerStores [historyOwners]*pausableStore
	stops       [historyOwners]context.CancelFunc
	attempts    sync.WaitGroup
	running     sync.WaitGroup
}

// runHistory runs a plan and returns its history.
func runHistory(t *testing.T, p plan, skipVersionCheck bool) *history {
	h := &history{t: t, plan: p, skipVersionCheck: skipVersionCheck, runs: make(map[string]int), rng: rand.New(rand.NewPCG(p.Seed, 0))}
	synctest.Test(t, func(t *testing.T) {
		h.t = t
		h.store = objects.NewMemory()
		h.store.Inject(h.fault)
		for i := range h.managers {
			h.startOwner(i)
		}
		for i, s := range p.Steps {
			time.Sleep(s.Delay)
			h.applyStep(i, s)
		}
		for _, store := range h.ownerStores {
			store.resume()
		}
		h.attempts.Wait()
		for _, stop := range h.stops {
			stop()
		}
		h.running.Wait()
	})
	return h
}

func (h *history) fault(operation objects.Operation, _ string) objects.Fault {
	h.mu.Lock()
	defer h.mu.Unlock()
	occurs := func(percent int) bool { return h.rng.IntN(100) < percent }
	f := objects.Fault{Unavailable: occurs(h.faultRates.Unavailable)}
	if occurs(h.faultRates.Delayed) {
		f.Delay = time.Duration(h.rng.IntN(4000)) * time.Millisecond
	}
	if operation == objects.OperationPut {
		f.LoseResponse = occurs(h.faultRates.LostResponse)
		if occurs(h.faultRates.LateEffect) {
			f.LateEffect = time.Duration(1+h.rng.IntN(6000)) * time.Millisecond
		}
	}
	return f
}

func ownerName(i int) string { return fmt.Sprintf("n%d", i) }

func (h *history) startOwner(i int) {
	h.ownerStores[i] = &pausableStore{Store: h.store, skipVersionCheck: h.skipVersionCheck}
	m := ledger.New(ledger.Options{Node: ownerName(i), Store: h.ownerStores[i], Settings: testSettings()})
	m.SetSealThreshold(h.plan.SealThreshold)
	h.managers[i].Store(m)
	ctx, cancel := context.WithCancel(h.t.Context())
	h.stops[i] = cancel
	h.running.Go(func() { _ = m.Run(ctx) })
	m.ApplyTopology(ownedBy(ownerName(i), "entry"))
}

func (h *history) applyStep(number int, s step) {
	switch s.Action {
	case actionClaim:
		h.attempts.Go(func() { h.attempt(fmt.Sprintf("attempt-%d", number), s) })
	case actionCrash:
		h.stops[s.Owner]()
		h.ownerStores[s.Owner].resume()
		h.startOwner(s.Owner)
	case actionTopology:
		h.managers[s.Owner].Load().ApplyTopology(h.topology(s.Other))
	case actionPause:
		h.ownerStores[s.Owner].pause()
	case actionResume:
		h.ownerStores[s.Owner].resume()
	case actionFaultRates:
		h.mu.Lock()
		h.faultRates = s.FaultRates
		h.mu.Unlock()
	}
}

func (h *history) topology(owner int) *topology.Snapshot {
	return ownedBy(ownerName(owner), "entry")
}

// attempt requests a claim and runs once if it is granted and the step says so.
func (h *history) attempt(name string, s step) {
	id := fmt.Sprintf("id-%d", s.ID)
	owner := s.Owner
	for range s.LostReplies {
		_, _ = h.managers[owner].Load().Claim(h.t.Context(), request(id, name))
		owner = (owner + 1) % historyOwners
	}
	reply, err := h.managers[owner].Load().Claim(h.t.Context(), request(id, name))
	granted := err == nil && reply.GetState() == schema.ClaimState_CLAIM_STATE_NEW
	switch {
	case granted && s.Runs:
		h.countRun(id)
		_, _ = h.managers[s.Other].Load().Finish(h.t.Context(), finished(id, name, "answer"))
	case granted, err != nil && s.Releases:
		release := &schema.FinishRequest{RequestId: id, Team: "t", Attempt: name, EntryNode: "entry", NotRun: true}
		_, _ = h.managers[s.Other].Load().Finish(h.t.Context(), release)
	}
}

func (h *history) countRun(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[id]++
	h.granted++
}

// doubleRuns returns the ids that ran more than once.
func (h *history) doubleRuns() []string {
	var ids []string
	for id, runs := range h.runs {
		if runs > 1 {
			ids = append(ids, id)
		}
	}
	return ids
}
