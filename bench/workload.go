package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// request is one simulated request and what became of it.
type request struct {
	id       int
	team     int
	tier     int
	region   int
	arrived  time.Duration
	deadline time.Duration
	prompt   int
	output   int
	// maxOutput is the caller's own limit.
	maxOutput int
	blocks    []uint64

	engine    *engine
	cached    int
	left      int
	prefilled int
	emitted   int
	first     time.Duration
	done      time.Duration
	refused   bool
	abandoned bool
	crossed   bool
}

// class is one kind of request in a mix.
type class struct {
	name     string
	tier     int
	share    float64
	deadline time.Duration
	// prompt and output are medians in tokens; spread is the standard deviation
	// of their logarithm.
	prompt, output, spread float64
	// turns is the mean length of a conversation that shares its prefix; 0
	// means that only the team's preamble is shared.
	turns int
}

// mix is a deployment's workload.
type mix struct {
	name    string
	classes []class
	// teams are the teams' shares of the requests.
	teams []float64
	// preamble is the number of blocks that all requests of a team share.
	preamble int
	// fleet lists the hardware generations of each region's targets.
	fleet [][]int
}

var drumlin = mix{
	name: "drumlin",
	classes: []class{
		{"guest chat", 0, 0.45, 2 * time.Second, 700, 120, 0.6, 5},
		{"email sorting", 1, 0.45, 10 * time.Second, 150, 12, 0.7, 0},
		{"itinerary draft", 2, 0.10, 30 * time.Second, 4000, 500, 0.6, 0},
	},
	teams:    []float64{0.4, 0.3, 0.15, 0.1, 0.05},
	preamble: 4,
	fleet:    [][]int{{0, 1, 2, 4}, {1, 1, 3, 4}, {0, 2, 2, 3}},
}

var kowhai = mix{
	name: "kowhai",
	classes: []class{
		{"recipe chat", 0, 0.5, 2 * time.Second, 500, 150, 0.6, 4},
		{"label blurb", 1, 0.3, 10 * time.Second, 200, 60, 0.5, 0},
		{"batch notes", 2, 0.2, 30 * time.Second, 1800, 350, 0.6, 0},
	},
	teams:    []float64{0.5, 0.2, 0.15, 0.1, 0.05},
	preamble: 8,
	fleet:    [][]int{{0, 0, 1, 2}, {1, 2, 2, 3}, {0, 1, 3, 3}},
}

// conversation is a chain of blocks that grows with each turn.
type conversation struct {
	team, region int
	blocks       []uint64
}

// generator draws requests of a mix.
type generator struct {
	mix   mix
	rng   *rand.Rand
	next  int
	chats map[int][]*conversation
}

func newGenerator(m mix, seed uint64) *generator {
	return &generator{mix: m, rng: rand.New(rand.NewPCG(seed, 1)), chats: make(map[int][]*conversation)}
}

const (
	liveChats     = 150
	maxPrompt     = 16000
	maxOutput     = 2000
	minPrompt     = 20
	outputAllowed = 2
)

// draw returns a request that arrives at a time.
func (g *generator) draw(at time.Duration) *request {
	index := pick(g.rng, len(g.mix.classes), func(i int) float64 { return g.mix.classes[i].share })
	c := &g.mix.classes[index]
	g.next++
	r := &request{id: g.next, tier: c.tier, arrived: at, deadline: at + c.deadline}
	r.team = pick(g.rng, len(g.mix.teams), func(i int) float64 { return g.mix.teams[i] })
	r.region = g.rng.IntN(len(g.mix.fleet))
	r.prompt = g.length(c.prompt, c.spread, minPrompt, maxPrompt)
	r.output = g.length(c.output, c.spread, 2, maxOutput)
	r.maxOutput = outputAllowed * r.output
	if c.turns > 0 {
		g.takeTurn(r, index, c)
	} else {
		r.blocks = g.extend(g.preamble(r.team), r.prompt/64)
	}
	return r
}

func (g *generator) length(median, spread float64, least, most int) int {
	v := median * math.Exp(spread*g.rng.NormFloat64())
	return min(max(int(v), least), most)
}

// takeTurn continues or begins a conversation; the prompt is all of it.
func (g *generator) takeTurn(r *request, index int, c *class) {
	live := g.chats[index]
	if len(live) < liveChats || g.rng.IntN(c.turns) == 0 {
		chat := &conversation{team: r.team, region: r.region, blocks: g.preamble(r.team)}
		if len(live) < liveChats {
			g.chats[index] = append(live, chat)
		} else {
			live[g.rng.IntN(len(live))] = chat
		}
		live = g.chats[index]
	}
	chat := live[g.rng.IntN(len(live))]
	r.team, r.region = chat.team, chat.region
	added := max(r.prompt/c.turns, minPrompt)
	chat.blocks = g.extend(chat.blocks, len(chat.blocks)+added/64+1)
	r.blocks = chat.blocks
	r.prompt = min(len(chat.blocks)*64+added%64, maxPrompt)
	r.blocks = r.blocks[:min(len(r.blocks), r.prompt/64)]
}

func (g *generator) preamble(team int) []uint64 {
	blocks := make([]uint64, g.mix.preamble)
	for i := range blocks {
		blocks[i] = uint64(team+1)<<32 | uint64(i)
	}
	return blocks
}

// extend returns a copy of blocks of the given length with new ones at the end.
func (g *generator) extend(blocks []uint64, length int) []uint64 {
	out := slices.Clone(blocks[:min(len(blocks), length)])
	for len(out) < length {
		out = append(out, g.rng.Uint64())
	}
	return out
}

func pick(rng *rand.Rand, n int, share func(int) float64) int {
	x := rng.Float64()
	for i := range n - 1 {
		if x -= share(i); x < 0 {
			return i
		}
	}
	return n - 1
}

func teamName(team int) string { return fmt.Sprintf("team%d", team) }

// capacity returns the requests per second that the fleet can serve within
// the goal for time between tokens, if every prefix seen before is cached.
func (m *mix) capacity(goal time.Duration) float64 {
	var prompt, output float64
	g := newGenerator(*m, 99)
	seen := make(map[uint64]bool)
	const draws = 4000
	for range draws {
		r := g.draw(0)
		prompt += float64(r.prompt-64*known(seen, r.blocks)) / draws
		output += float64(r.output) / draws
	}
	total := 0.0
	for _, region := range m.fleet {
		for _, index := range region {
			total += generations[index].capacity(prompt, output, goal)
		}
	}
	return total
}

// known returns how many blocks, from the first, were seen, and adds the rest.
func known(seen map[uint64]bool, blocks []uint64) int {
	n := 0
	for n < len(blocks) && seen[blocks[n]] {
		n++
	}
	for _, b := range blocks[n:] {
		seen[b] = true
	}
	return n
}

// capacity is the best rate over batch sizes whose mean step meets the goal.
func (s spec) capacity(prompt, output float64, goal time.Duration) float64 {
	best := 0.0
	for batch := 1; batch < 1000; batch++ {
		finished := float64(batch) / output
		chunks := finished * prompt / chunkTokens
		if chunks > 1 {
			break
		}
		step := s.base.Seconds() + float64(batch)*s.perRequest.Seconds() + chunks*chunkTokens/s.prefillRate
		if step > goal.Seconds() {
			break
		}
		best = max(best, finished/step)
	}
	return best
}
