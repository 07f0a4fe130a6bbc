package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// newMemoryPool is a pool of two engines, of which A is faster, whose memory is stated.
func newMemoryPool(cacheTokens float64) *testPool {
	p := newTestPool(2*time.Millisecond, 4*time.Millisecond)
	p.engine.cacheTokens = cacheTokens
	return p
}

func (p *testPool) sized(id string, prompt, output float64) *Work {
	return p.work(id, 0, func(w *Work) { w.PromptTokens, w.EstimatedOutputTokens = prompt, output })
}

// An engine crashes when its requests need more than its memory.
func TestEngineGetsNoRequestBeyondItsMemory(t *testing.T) {
	is := is.New(t)
	p := newMemoryPool(10_000)
	p.targets["A"].remote["n2"] = remoteLoad{Load: Load{Requests: 1, MemoryTokens: 8000}}
	p.enqueue(p.sized("fits", 900, 100))
	is.Equal(p.assignNow(), []string{"fits>A"}) // 9,000, nine tenths.
	p.enqueue(p.sized("next", 900, 100))
	is.Equal(p.assignNow(), []string{"next>B"})
	p.targets["B"].remote["n2"] = remoteLoad{Load: Load{Requests: 1, MemoryTokens: 8000}}
	p.enqueue(p.sized("waits", 900, 100))
	is.Equal(len(p.assignNow()), 0)
	p.targets["A"].releaseMemory(p.waiting[0].work) // It holds none.
	delete(p.targets["A"].remote, "n2")
	is.Equal(p.assignNow(), []string{"waits>A"})
}

// A request that never fits would never be served.
func TestRequestLargerThanTheUsableMemoryGoesToAnIdleEngine(t *testing.T) {
	is := is.New(t)
	p := newMemoryPool(10_000)
	p.targets["A"].remote["n2"] = remoteLoad{Load: Load{Requests: 1, MemoryTokens: 10}}
	p.enqueue(p.sized("large", 9500, 100))
	is.Equal(p.assignNow(), []string{"large>B"})
	p.enqueue(p.sized("small", 100, 10))
	is.Equal(p.assignNow(), []string{"small>A"}) // B has no memory left.
}

func TestMemoryThatIsNotStatedIsNotLimited(t *testing.T) {
	is := is.New(t)
	p := newMemoryPool(0)
	for range 16 {
		p.enqueue(p.sized("r", 1000, 1e9))
	}
	for _, w := range p.waiting {
		makeLate(w.work)
	}
	p.assignNow()
	is.Equal(p.targets["A"].own.Requests+p.targets["B"].own.Requests, 16)
	is.Equal(p.targets["A"].own.MemoryTokens, 0.0)
}

// The tokens of requests that have ended must not stay, nor those of others go, whatever is
// learned of the lengths of answers in between.
func TestHeldMemoryIsThatOfTheRequestsInFlight(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newMemoryPool(20_000)
		running := make(map[*Work]*target)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			if rapid.Bool().Draw(rt, "ends") {
				for w, target := range running {
					target.own.Requests--
					target.finishPrefill(w)
					target.releaseMemory(w)
					p.engine.learnLengths("r", w.PromptTokens, rapid.Float64Range(0, 5000).Draw(rt, "learned"))
					delete(running, w)
					break
				}
				continue
			}
			w := p.sized("r", rapid.Float64Range(1, 25_000).Draw(rt, "prompt"), rapid.Float64Range(0, 3000).Draw(rt, "output"))
			makeLate(w)
			p.enqueue(w)
			p.assignNow()
			p.waiting = nil
			for _, target := range p.targets {
				if target.prefilling[w] != nil {
					running[w] = target
				}
				if target.own.MemoryTokens > usableMemoryShare*20_000 && target.own.Requests > 1 {
					rt.Fatalf("%d requests hold %v tokens", target.own.Requests, target.own.MemoryTokens)
				}
			}
		}
		for w, target := range running {
			target.releaseMemory(w)
		}
		for _, target := range p.targets {
			if target.own.MemoryTokens != 0 {
				rt.Fatalf("%v tokens are left", target.own.MemoryTokens)
			}
		}
	})
}

// An absurd length that a caller states would not fit the field that tells other zones of it,
// and they would take the engine for an empty one.
func TestRequestHoldsNoMoreThanTheMemoryOfAnEngine(t *testing.T) {
	is := is.New(t)
	p := newMemoryPool(10_000)
	p.enqueue(p.sized("absurd", 100, 1<<32))
	makeLate(p.waiting[0].work)
	is.Equal(len(p.assignNow()), 1)
	is.Equal(p.targets["A"].own.MemoryTokens+p.targets["B"].own.MemoryTokens, 10_000.0)
}
