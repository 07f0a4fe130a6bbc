package objectapi

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Faults are the faults that the simulated platform injects. The zero value
// injects none.
type Faults struct {
	// Down makes every call fail with status 503.
	Down bool `json:"down"`
	// DelayMillis is the latency in milliseconds added to every call.
	DelayMillis int `json:"delay_ms"`
	// LoseAnswers is the fraction of calls that take effect but whose connection
	// is closed without a response.
	LoseAnswers float64 `json:"lose_answers"`
	// WritesPerSecond and ReadsPerSecond limit the rate of accepted calls; zero
	// means no limit.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
	// Seed seeds the random choice of lost responses, which makes it repeatable.
	Seed uint64 `json:"seed"`
}

// faultInjector holds the current faults. changed is closed when they change.
type faultInjector struct {
	mu      sync.Mutex
	faults  Faults
	random  *rand.Rand
	writes  *rate.Limiter
	reads   *rate.Limiter
	changed chan struct{}
}

func newFaultInjector(f Faults) *faultInjector {
	i := &faultInjector{changed: make(chan struct{})}
	i.set(f)
	return i
}

func (i *faultInjector) set(f Faults) {
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

func (i *faultInjector) current() (Faults, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults, i.changed
}

func (i *faultInjector) allow(write bool) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if write {
		return i.writes.Allow()
	}
	return i.reads.Allow()
}

func (i *faultInjector) losesResponse() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults.LoseAnswers > 0 && i.random.Float64() < i.faults.LoseAnswers
}

// delay waits for the current DelayMillis or until the context ends.
func (i *faultInjector) delay(ctx context.Context) {
	f, _ := i.current()
	if f.DelayMillis <= 0 {
		return
	}
	select {
	case <-time.After(time.Duration(f.DelayMillis) * time.Millisecond):
	case <-ctx.Done():
	}
}
