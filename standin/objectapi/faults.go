package objectapi

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Faults are the failures that the stand-in brings about. The zero value is a
// healthy platform.
type Faults struct {
	// Down answers every call with 503.
	Down bool `json:"down"`
	// DelayMillis is added to every call.
	DelayMillis int `json:"delay_ms"`
	// LoseAnswers is the fraction of calls whose connection is cut after the
	// effect took place.
	LoseAnswers float64 `json:"lose_answers"`
	// Rates bound the calls accepted; zero means no bound.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
	// Seed makes the choice of lost answers repeatable.
	Seed uint64 `json:"seed"`
}

// injector holds the faults in force.
type injector struct {
	mu      sync.Mutex
	faults  Faults
	random  *rand.Rand
	writes  *rate.Limiter
	reads   *rate.Limiter
	changed chan struct{}
}

func newInjector(f Faults) *injector {
	i := &injector{changed: make(chan struct{})}
	i.set(f)
	return i
}

func (i *injector) set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	i.random = rand.New(rand.NewPCG(f.Seed, f.Seed))
	i.writes = newLimiter(f.WritesPerSecond)
	i.reads = newLimiter(f.ReadsPerSecond)
	close(i.changed)
	i.changed = make(chan struct{})
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (i *injector) current() (Faults, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults, i.changed
}

func (i *injector) allow(write bool) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if write {
		return i.writes.Allow()
	}
	return i.reads.Allow()
}

func (i *injector) losesAnswer() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults.LoseAnswers > 0 && i.random.Float64() < i.faults.LoseAnswers
}

// delay waits for the delay in force.
func (i *injector) delay(ctx context.Context) {
	f, _ := i.current()
	if f.DelayMillis <= 0 {
		return
	}
	select {
	case <-time.After(time.Duration(f.DelayMillis) * time.Millisecond):
	case <-ctx.Done():
	}
}
