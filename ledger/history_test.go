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

// action is one kind of step in a history.
type action int

const (
	actionClaim action = iota
	actionCrash
	actionTopology
	actionFreeze
	actionThaw
	actionWeather
	actionCount
)

// step is one event of a history, after a pause.
type step struct {
	Action action
	Pause  time.Duration
	Owner  int
	Other  int
	ID     int
	// Runs makes an attempt that gets the claim run; others release it.
	Runs bool
	// LostReplies of the attempt's first calls are ignored, and it asks again.
	LostReplies int
	// Releases makes a failed attempt report that it did not run.
	Releases bool
	Weather  weather
}

// weather is how often, in percent, calls on the object API meet a fault.
type weather struct {
	Lost, Late, Down, Slow int
}

// plan is a whole history.
type plan struct {
	Seed uint64
	// SealEntries is the size at which segments are moved to parts.
	SealEntries int
	Steps       []step
}

func genPlan() *rapid.Generator[plan] {
	pauses := []time.Duration{0, time.Millisecond, 40 * time.Millisecond, 300 * time.Millisecond, time.Second, 5 * time.Second}
	percent := rapid.SampledFrom([]int{0, 0, 10, 40})
	genStep := rapid.Custom(func(t *rapid.T) step {
		// Claims make up half of the steps.
		kinds := int(actionCount)
		kind := action(max(0, rapid.IntRange(-kinds+2, kinds-1).Draw(t, "action")))
		s := step{
			Action: kind,
			Pause:  rapid.SampledFrom(pauses).Draw(t, "pause"),
			Owner:  rapid.IntRange(0, historyOwners-1).Draw(t, "owner"),
			Other:  rapid.IntRange(0, historyOwners-1).Draw(t, "other"),
		}
		switch kind {
		case actionClaim:
			s.ID = rapid.IntRange(0, historyIDs-1).Draw(t, "id")
			s.Runs = rapid.Bool().Draw(t, "runs")
			s.LostReplies = rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(t, "lost replies")
			s.Releases = rapid.Bool().Draw(t, "releases")
		case actionWeather:
			s.Weather = weather{
				Lost: percent.Draw(t, "lost"), Late: percent.Draw(t, "late"),
				Down: percent.Draw(t, "down"), Slow: percent.Draw(t, "slow"),
			}
		}
		return s
	})
	return rapid.Custom(func(t *rapid.T) plan {
		return plan{
			Seed:        rapid.Uint64().Draw(t, "seed"),
			SealEntries: rapid.IntRange(1, 5).Draw(t, "seal entries"),
			Steps:       rapid.SliceOfN(genStep, 5, 40).Draw(t, "steps"),
		}
	})
}

// gate holds back a frozen process's calls until it is thawed.
type gate struct {
	objects.Store
	mu     sync.Mutex
	frozen chan struct{}
	// blind makes writes skip the version check.
	blind bool
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen == nil {
		g.frozen = make(chan struct{})
	}
}

func (g *gate) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen != nil {
		close(g.frozen)
		g.frozen = nil
	}
}

func (g *gate) wait() {
	g.mu.Lock()
	frozen := g.frozen
	g.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

// Put implements objects.Store. A frozen process's timers do not run either,
// so that the call outlives its context.
func (g *gate) Put(ctx context.Context, key string, value []byte, expect objects.Version) (objects.Version, error) {
	g.wait()
	ctx = context.WithoutCancel(ctx)
	if g.blind {
		current, err := g.Get(ctx, key)
		if err != nil && !objects.IsNotFound(err) {
			return 0, err
		}
		expect = current.Version
	}
	return g.Store.Put(ctx, key, value, expect)
}

// history runs a plan and counts which attempts ran.
type history struct {
	t      *testing.T
	store  *objects.Memory
	random *rand.Rand
	blind  bool
	plan   plan

	mu      sync.Mutex
	weather weather
	runs    map[string]int
	granted int

	managers [historyOwners]atomic.Pointer[ledger.Manager]
	gates    [historyOwners]*gate
	stops    [historyOwners]context.CancelFunc
	attempts sync.WaitGroup
	running  sync.WaitGroup
}

// runHistory returns how many attempts of each id ran.
func runHistory(t *testing.T, p plan, blind bool) *history {
	h := &history{t: t, plan: p, blind: blind, runs: make(map[string]int), random: rand.New(rand.NewPCG(p.Seed, 0))}
	synctest.Test(t, func(t *testing.T) {
		h.t = t
		h.store = objects.NewMemory()
		h.store.Inject(h.fault)
		for i := range h.managers {
			h.startOwner(i)
		}
		for i, s := range p.Steps {
			time.Sleep(s.Pause)
			h.do(i, s)
		}
		for _, g := range h.gates {
			g.thaw()
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
	hit := func(percent int) bool { return h.random.IntN(100) < percent }
	f := objects.Fault{Unavailable: hit(h.weather.Down)}
	if hit(h.weather.Slow) {
		f.Delay = time.Duration(h.random.IntN(4000)) * time.Millisecond
	}
	if operation == objects.OperationPut {
		f.LoseAnswer = hit(h.weather.Lost)
		if hit(h.weather.Late) {
			f.LateEffect = time.Duration(1+h.random.IntN(6000)) * time.Millisecond
		}
	}
	return f
}

func ownerName(i int) string { return fmt.Sprintf("n%d", i) }

func (h *history) startOwner(i int) {
	h.gates[i] = &gate{Store: h.store, blind: h.blind}
	m := ledger.New(ledger.Options{Node: ownerName(i), Store: h.gates[i], Settings: testSettings()})
	m.SetSealEntries(h.plan.SealEntries)
	h.managers[i].Store(m)
	ctx, cancel := context.WithCancel(h.t.Context())
	h.stops[i] = cancel
	h.running.Go(func() { _ = m.Run(ctx) })
	m.ApplyTopology(ownedBy(ownerName(i), "entry"))
}

func (h *history) do(number int, s step) {
	switch s.Action {
	case actionClaim:
		h.attempts.Go(func() { h.attempt(fmt.Sprintf("attempt-%d", number), s) })
	case actionCrash:
		h.stops[s.Owner]()
		h.gates[s.Owner].thaw()
		h.startOwner(s.Owner)
	case actionTopology:
		h.managers[s.Owner].Load().ApplyTopology(h.topology(s.Other))
	case actionFreeze:
		h.gates[s.Owner].freeze()
	case actionThaw:
		h.gates[s.Owner].thaw()
	case actionWeather:
		h.mu.Lock()
		h.weather = s.Weather
		h.mu.Unlock()
	}
}

func (h *history) topology(owner int) *topology.Snapshot {
	return ownedBy(ownerName(owner), "entry")
}

// attempt asks for a claim and runs at most once, when it was granted.
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
		h.ran(id)
		_, _ = h.managers[s.Other].Load().Finish(h.t.Context(), finished(id, name, "answer"))
	case granted, err != nil && s.Releases:
		release := &schema.FinishRequest{RequestId: id, Team: "t", Attempt: name, EntryNode: "entry", NotRun: true}
		_, _ = h.managers[s.Other].Load().Finish(h.t.Context(), release)
	}
}

func (h *history) ran(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[id]++
	h.granted++
}

// doubled returns the ids that ran more than once.
func (h *history) doubled() []string {
	var ids []string
	for id, runs := range h.runs {
		if runs > 1 {
			ids = append(ids, id)
		}
	}
	return ids
}
