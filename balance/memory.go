package balance

import "time"

// usableMemoryShare is the share of an engine's memory that requests may take. An engine
// whose requests need more than its memory crashes; the rest is for answers that are longer
// than expected, and for what other zones have sent and not reported yet.
const usableMemoryShare = 0.9

// memoryTokens returns the tokens that a request takes of an engine's memory, its prompt
// and its expected output, at most all of it; 0 if the configuration states no memory.
func (p *pool) memoryTokens(w *Work) float64 {
	if p.engine == nil || p.engine.cacheTokens == 0 {
		return 0
	}
	return min(w.PromptTokens+p.engine.expectedOutputTokens(w), p.engine.cacheTokens)
}

// hasMemory reports whether an engine has memory for one more request. It answers the load of
// long prompts that come together: the engine would crash with all that run there. A request
// that needs more than the usable memory alone goes to an idle engine.
func (p *pool) hasMemory(t *target, w *Work, now time.Time) bool {
	need := p.memoryTokens(w)
	return need == 0 || t.load().MemoryTokens+need <= usableMemoryShare*p.engine.cacheTokens || t.occupied(now) == 0
}

// holdMemory counts the tokens of a request until releaseMemory is called for it.
func (t *target) holdMemory(w *Work, tokens float64) {
	if tokens <= 0 {
		return
	}
	if t.memory == nil {
		t.memory = make(map[*Work]float64)
	}
	t.memory[w] = tokens
	t.sumMemory()
}

func (t *target) releaseMemory(w *Work) {
	if _, held := t.memory[w]; held {
		delete(t.memory, w)
		t.sumMemory()
	}
}

func (t *target) sumMemory() {
	t.own.MemoryTokens = 0
	for _, tokens := range t.memory {
		t.own.MemoryTokens += tokens
	}
}
