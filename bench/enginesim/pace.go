package enginesim

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minPace and maxPace bound the paces of an engine, which are drawn evenly by their
	// logarithm: at worst its machine does two and a half times as much other work.
	minPace, maxPace = 0.8, 2.5
)

// pace is how much longer work takes at an engine, which shares its machine with other
// work. It changes at random times. Its methods may be called by any goroutine; a nil pace
// is always 1.
type pace struct {
	mu       sync.Mutex
	rng      *rand.Rand
	interval time.Duration
	value    float64
	until    time.Time
}

func newPace(rng *rand.Rand, interval time.Duration) *pace {
	return &pace{rng: rng, interval: interval, until: time.Now()}
}

func (p *pace) at(now time.Time) float64 {
	if p == nil {
		return 1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for !now.Before(p.until) {
		p.value = minPace * math.Pow(maxPace/minPace, p.rng.Float64())
		p.until = p.until.Add(time.Duration(p.rng.ExpFloat64() * float64(p.interval)))
	}
	return p.value
}
