// Package bench measures the decisions of scheduling and admission against
// baselines and an oracle, in virtual time and with small fake targets. The
// code under test is the code that a node runs.
package bench

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/primrosemoor/primrosemoor/scheduling"
)

const (
	// chunkTokens is the prefill done in one step of an engine.
	chunkTokens = 64
	// cacheBlocks bounds an engine's prefix cache.
	cacheBlocks = 3000
)

// spec is the speed of one hardware generation.
type spec struct {
	name string
	// prefillRate is in tokens per second.
	prefillRate float64
	// base is the time of a decode step; perRequest is added for each request
	// in the batch.
	base, perRequest time.Duration
}

var generations = []spec{
	{"g1", 6000, 14 * time.Millisecond, 500 * time.Microsecond},
	{"g2", 10000, 11 * time.Millisecond, 350 * time.Microsecond},
	{"g3", 16000, 9 * time.Millisecond, 250 * time.Microsecond},
	{"g4", 24000, 8 * time.Millisecond, 180 * time.Microsecond},
	{"g5", 40000, 6 * time.Millisecond, 120 * time.Microsecond},
}

// engine is a fake target that batches continuously, prefills in chunks in
// order of arrival, and admits requests as they come.
type engine struct {
	index  int
	name   string
	region int
	spec   spec
	// speed is 1 for a healthy engine.
	speed    float64
	leaving  bool
	waiting  []*request
	decoding []*request
	cache    *lru.LRU[uint64, struct{}]
	busy     bool
}

func newEngine(index, region int, s spec) *engine {
	cache, err := lru.NewLRU[uint64, struct{}](cacheBlocks, nil)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	return &engine{index: index, region: region, spec: s, speed: 1, cache: cache}
}

// add starts a request; its cached prefix is not prefilled.
func (e *engine) add(s *simulation, r *request) {
	r.engine = e
	r.cached = min(e.match(r.blocks)*scheduling.BlockTokens, r.prompt-1)
	r.left = r.prompt - r.cached
	e.waiting = append(e.waiting, r)
	if !e.busy {
		e.step(s)
	}
}

func (e *engine) match(blocks []uint64) int {
	for i, b := range blocks {
		if !e.cache.Contains(b) {
			return i
		}
	}
	return len(blocks)
}

// cancel drops a request before its first token.
func (e *engine) cancel(r *request) {
	for i, w := range e.waiting {
		if w == r {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
}

// stepTime is the duration of a step at a batch size, with a prefill chunk.
func (e *engine) stepTime(batch, chunk int) time.Duration {
	d := e.spec.base + time.Duration(batch)*e.spec.perRequest +
		time.Duration(float64(chunk)/e.spec.prefillRate*float64(time.Second))
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
		chunk = min(chunkTokens, head.left)
	}
	s.after(e.stepTime(len(e.decoding), chunk), func() { e.finishStep(s, head, chunk) })
}

func (e *engine) finishStep(s *simulation, head *request, chunk int) {
	kept := e.decoding[:0]
	for _, r := range e.decoding {
		r.emitted++
		if r.emitted < r.output {
			kept = append(kept, r)
			continue
		}
		s.complete(r)
	}
	e.decoding = kept
	if head != nil {
		head.left -= chunk
		head.prefilled += chunk
		if head.left <= 0 && len(e.waiting) > 0 && e.waiting[0] == head {
			e.firstToken(s, head)
		}
	}
	e.step(s)
}

func (e *engine) firstToken(s *simulation, r *request) {
	e.waiting = e.waiting[1:]
	r.first = s.now
	r.emitted = 1
	for _, b := range r.blocks {
		e.cache.Add(b, struct{}{})
	}
	if r.output <= 1 {
		s.complete(r)
		return
	}
	e.decoding = append(e.decoding, r)
}

// load returns the number of requests at the engine.
func (e *engine) load() int {
	return len(e.waiting) + len(e.decoding)
}

// pendingPrefill returns the tokens not yet prefilled.
func (e *engine) pendingPrefill() int {
	total := 0
	for _, r := range e.waiting {
		total += r.left
	}
	return total
}
