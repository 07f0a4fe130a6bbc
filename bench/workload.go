package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// request is one simulated request with its progress and result.
type request struct {
	id           int
	team         int
	tier         int
	region       int
	arrived      time.Duration
	deadline     time.Duration
	promptTokens int
	outputTokens int
	// maxOutputTokens is the limit that the caller sets.
	maxOutputTokens int
	blocks          []uint64

	engine          *engine
	cachedTokens    int
	prefillLeft     int
	prefilledTokens int
	emittedTokens   int
	firstTokenAt    time.Duration
	doneAt          time.Duration
	refused         bool
	abandoned       bool
	crossRegion     bool
}

// class is one kind of request in a mix.
type class struct {
	name         string
	tier         int
	requestShare float64
	deadline     time.Duration
	// promptMedian and outputMedian are in tokens; spread is the standard deviation
	// of the logarithm of both lengths.
	promptMedian, outputMedian, spread float64
	// turns is the mean number of turns of a conversation, whose requests share
	// their prefix; 0 means that only the team's preamble is shared.
	turns int
}

// mix is a deployment's workload.
type mix struct {
	name    string
	classes []class
	// teamShares holds each team's share of the requests.
	teamShares []float64
	// preambleBlocks is the number of prefix blocks that all requests of a team
	// share.
	preambleBlocks int
	// fleet lists the hardware generations of each region's targets, as indexes of
	// generations.
	fleet [][]int
}

var drumlin = mix{
	name: "drumlin",
	classes: []class{
		{"guest chat", 0, 0.45, 2 * time.Second, 700, 120, 0.6, 5},
		{"email sorting", 1, 0.45, 10 * time.Second, 150, 12, 0.7, 0},
		{"itinerary draft", 2, 0.10, 30 * time.Second, 4000, 500, 0.6, 0},
	},
	teamShares:     []float64{0.4, 0.3, 0.15, 0.1, 0.05},
	preambleBlocks: 4,
	fleet:          [][]int{{0, 1, 2, 4}, {1, 1, 3, 4}, {0, 2, 2, 3}},
}

var kowhai = mix{
	name: "kowhai",
	classes: []class{
		{"recipe chat", 0, 0.5, 2 * time.Second, 500, 150, 0.6, 4},
		{"label blurb", 1, 0.3, 10 * time.Second, 200, 60, 0.5, 0},
		{"batch notes", 2, 0.2, 30 * time.Second, 1800, 350, 0.6, 0},
	},
	teamShares:     []float64{0.5, 0.2, 0.15, 0.1, 0.05},
	preambleBlocks: 8,
	fleet:          [][]int{{0, 0, 1, 2}, {1, 2, 2, 3}, {0, 1, 3, 3}},
}

// conversation is a sequence of prefix blocks that grows with each turn.
type conversation struct {
	team, region int
	blocks       []uint64
}

// generator draws requests of a mix.
type generator struct {
	mix           mix
	rng           *rand.Rand
	lastID        int
	conversations map[int][]*conversation
}

func newGenerator(m mix, seed uint64) *generator {
	return &generator{mix: m, rng: rand.New(rand.NewPCG(seed, 1)), conversations: make(map[int][]*conversation)}
}

const (
	maxConversations = 150
	maxPrompt        = 16000
	maxOutput        = 2000
	minPrompt        = 20
	maxOutputFactor  = 2
)

// draw returns a random request that arrives at the given time.
func (g *generator) draw(at time.Duration) *request {
	classIndex := pickWeighted(g.rng, len(g.mix.classes), func(i int) float64 { return g.mix.classes[i].requestShare })
	c := &g.mix.classes[classIndex]
	g.lastID++
	r := &request{id: g.lastID, tier: c.tier, arrived: at, deadline: at + c.deadline}
	r.team = pickWeighted(g.rng, len(g.mix.teamShares), func(i int) float64 { return g.mix.teamShares[i] })
	r.region = g.rng.IntN(len(g.mix.fleet))
	r.promptTokens = g.drawTokens(c.promptMedian, c.spread, minPrompt, maxPrompt)
	r.outputTokens = g.drawTokens(c.outputMedian, c.spread, 2, maxOutput)
	r.maxOutputTokens = maxOutputFactor * r.outputTokens
	if c.turns > 0 {
		g.nextTurn(r, classIndex, c)
	} else {
		r.blocks = g.extend(g.preamble(r.team), r.promptTokens/64)
	}
	return r
}

func (g *generator) drawTokens(median, spread float64, low, high int) int {
	v := median * math.Exp(spread*g.rng.NormFloat64())
	return min(max(int(v), low), high)
}

// nextTurn starts or continues a conversation; the prompt is the whole conversation.
func (g *generator) nextTurn(r *request, classIndex int, c *class) {
	live := g.conversations[classIndex]
	if len(live) < maxConversations || g.rng.IntN(c.turns) == 0 {
		chat := &conversation{team: r.team, region: r.region, blocks: g.preamble(r.team)}
		if len(live) < maxConversations {
			g.conversations[classIndex] = append(live, chat)
		} else {
			live[g.rng.IntN(len(live))] = chat
		}
		live = g.conversations[classIndex]
	}
	chat := live[g.rng.IntN(len(live))]
	r.team, r.region = chat.team, chat.region
	added := max(r.promptTokens/c.turns, minPrompt)
	chat.blocks = g.extend(chat.blocks, len(chat.blocks)+added/64+1)
	r.blocks = chat.blocks
	r.promptTokens = min(len(chat.blocks)*64+added%64, maxPrompt)
	r.blocks = r.blocks[:min(len(r.blocks), r.promptTokens/64)]
}

func (g *generator) preamble(team int) []uint64 {
	blocks := make([]uint64, g.mix.preambleBlocks)
	for i := range blocks {
		blocks[i] = uint64(team+1)<<32 | uint64(i)
	}
	return blocks
}

// extend returns a copy of blocks with the given length, filled up with new blocks.
func (g *generator) extend(blocks []uint64, length int) []uint64 {
	out := slices.Clone(blocks[:min(len(blocks), length)])
	for len(out) < length {
		out = append(out, g.rng.Uint64())
	}
	return out
}

func pickWeighted(rng *rand.Rand, n int, weight func(int) float64) int {
	x := rng.Float64()
	for i := range n - 1 {
		if x -= weight(i); x < 0 {
			return i
		}
	}
	return n - 1
}

func teamName(team int) string { return fmt.Sprintf("team%d", team) }

// capacity returns the requests per second that the fleet can serve within
// the goal for the time between tokens if every prefix seen before is cached.
func (m *mix) capacity(goal time.Duration) float64 {
	var prompt, output float64
	g := newGenerator(*m, 99)
	seen := make(map[uint64]bool)
	const draws = 4000
	for range draws {
		r := g.draw(0)
		prompt += float64(r.promptTokens-64*countSeen(seen, r.blocks)) / draws
		output += float64(r.outputTokens) / draws
	}
	total := 0.0
	for _, region := range m.fleet {
		for _, index := range region {
			total += generations[index].capacity(prompt, output, goal)
		}
	}
	return total
}

// countSeen returns how many blocks, from the first, are in seen, and adds the rest.
func countSeen(seen map[uint64]bool, blocks []uint64) int {
	n := 0
	for n < len(blocks) && seen[blocks[n]] {
		n++
	}
	for _, b := range blocks[n:] {
		seen[b] = true
	}
	return n
}

// capacity returns the highest request rate over the batch sizes whose mean step
// meets the goal.
func (h hardware) capacity(prompt, output float64, goal time.Duration) float64 {
	best := 0.0
	for batch := 1; batch < 1000; batch++ {
		finished := float64(batch) / output
		chunks := finished * prompt / chunkTokens
		if chunks > 1 {
			break
		}
		step := h.baseStep.Seconds() + float64(batch)*h.stepPerRequest.Seconds() + chunks*chunkTokens/h.prefillRate
		if step > goal.Seconds() {
			break
		}
		best = max(best, finished/step)
	}
	return best
}
