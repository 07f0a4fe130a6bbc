// Package bench measures scheduling and admission decisions against baselines and
// an oracle, in virtual time and with simulated targets. The code under test is the
// code that a node runs.
package bench

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/primrosemoor/primrosemoor/scheduling"
)

const (
	// chunkTokens is the maximum number of tokens that an engine prefills per step.
	chunkTokens = 64
	// cacheBlocks is the capacity of an engine's prefix cache.
	cacheBlocks = 3000
)

// hardware is the performance of one hardware generation.
type hardware struct {
	name string
	// prefillRate is in tokens per second.
	prefillRate float64
	// baseStep is the duration of a decode step; stepPerRequest is added for each
	// request in the batch.
	baseStep, stepPerRequest time.Duration
}

var generations = []hardware{
	{"g1", 6000, 14 * time.Millisecond, 500 * time.Microsecond},
	{"g2", 10000, 11 * time.Millisecond, 350 * time.Microsecond},
	{"g3", 16000, 9 * time.Millisecond, 250 * time.Microsecond},
	{"g4", 24000, 8 * time.Millisecond, 180 * time.Microsecond},
	{"g5", 40000, 6 * time.Millisecond, 120 * time.Microsecond},
}

// engine is a simulated target with continuous batching and chunked prefill in
// order of arrival. It admits every request on arrival.
type engine struct {
	index    int
	name     string
	region   int
	hardware hardware
	// speed divides the duration of each step; it is 1 for a healthy engine.
	speed    float64
	leaving  bool
	waiting  []*request
	decoding []*request
	cache    *lru.LRU[uint64, struct{}]
	busy     bool
}

func newEngine(index, region int, h hardware) *engine {
	cache, err := lru.NewLRU[uint64, struct{}](cacheBlocks, nil)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	return &engine{index: index, region: region, hardware: h, speed: 1, cache: cache}
}

// add starts a request; its cached prefix is not prefilled again.
func (e *engine) add(s *simulation, r *request) {
	r.engine = e
	r.cachedTokens = min(e.cachedBlocks(r.blocks)*scheduling.BlockTokens, r.promptTokens-1)
	r.prefillLeft = r.promptTokens - r.cachedTokens
	e.waiting = append(e.waiting, r)
	if !e.busy {
		e.step(s)
	}
}

// cachedBlocks returns how many of the blocks, from the first, are in the cache.
func (e *engine) cachedBlocks(blocks []uint64) int {
	for i, b := range blocks {
		if !e.cache.Contains(b) {
			return i
		}
	}
	return len(blocks)
}

// cancel removes a request that has no first token yet.
func (e *engine) cancel(r *request) {
	for i, w := range e.waiting {
		if w == r {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
}

// stepTime returns the duration of a step for a batch size and a prefill chunk.
func (e *engine) stepTime(batch, chunk int) time.Duration {
	d := e.hardware.baseStep + time.Duration(batch)*e.hardware.stepPerRequest +
		time.Duration(float64(chunk)/e.hardware.prefillRate*float64(time.Second))
	return time.Duration(float64(d) / e.speed)
}

func (e *engine) step(s *simulation) {
	e.busy = len(e.waiting)+len(e.decoding) > 0
	if !e.busy {
		return
	}
	var head *request
	chunk := 0
	if len(e.waiting) > 0 {
		head = e.waiting[0]
		chunk = min(chunkTokens, head.prefillLeft)
	}
	s.after(e.stepTime(len(e.decoding), chunk), func() { e.finishStep(s, head, chunk) })
}

func (e *engine) finishStep(s *simulation, head *request, chunk int) {
	kept := e.decoding[:0]
	for _, r := range e.decoding {
		r.emittedTokens++
		if r.emittedTokens < r.outputTokens {
			kept = append(kept, r)
			continue
		}
		s.complete(r)
	}
	e.decoding = kept
	if head != nil {
		head.prefillLeft -= chunk
		head.prefilledTokens += chunk
		if head.prefillLeft <= 0 && len(e.waiting) > 0 && e.waiting[0] == head {
			e.firstToken(s, head)
		}
	}
	e.step(s)
}

func (e *engine) firstToken(s *simulation, r *request) {
	e.waiting = e.waiting[1:]
	r.firstTokenAt = s.now
	r.emittedTokens = 1
	for _, b := range r.blocks {
		e.cache.Add(b, struct{}{})
	}
	if r.outputTokens <= 1 {
		s.complete(r)
		return
	}
	e.decoding = append(e.decoding, r)
}

// load returns the number of requests at the engine.
func (e *engine) load() int {
	return len(e.waiting) + len(e.decoding)
}

// pendingPrefill returns the number of tokens not yet prefilled.
func (e *engine) pendingPrefill() int {
	total := 0
	for _, r := range e.waiting {
		total += r.prefillLeft
	}
	return total
}
