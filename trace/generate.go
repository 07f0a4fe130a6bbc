package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Lengths is a log-normal distribution of token counts.
type Lengths struct {
	Median float64
	// Sigma is the standard deviation of the logarithm; 1 spreads 95 in 100
	// over a fifty-fold range.
	Sigma float64
}

func (l Lengths) draw(random *rand.Rand, scale float64) int {
	n := l.Median * scale * math.Exp(l.Sigma*random.NormFloat64())
	return max(1, min(MaxTokens, int(n)))
}

// Class is one kind of request of a profile.
type Class struct {
	// Weight is the class's share of the requests, relative to the others.
	Weight   float64
	Request  Request
	Prompt   Lengths
	Output   Lengths
	Prefixes int
	// PrefixTokens is the length of each shared prefix.
	PrefixTokens int
	// Repeat is the share of requests whose caller sends them again.
	Repeat float64
}

// Profile is a mix of classes.
type Profile struct {
	Name    string
	Classes []Class
}

// Burst multiplies the rate for a time. Teams limits it to some teams.
type Burst struct {
	At, For time.Duration
	Factor  float64
	Teams   []string
}

// Options shapes a generated load.
type Options struct {
	Seed     uint64
	Rate     float64
	Duration time.Duration
	Bursts   []Burst
	// LengthScale multiplies all lengths; 0 means 1.
	LengthScale float64
	// PrefixReuse is the share of chats that begin with a shared prefix;
	// negative means all that can.
	PrefixReuse float64
	// Teams and Tiers keep only some; none means all.
	Teams, Tiers []string
}

// generator draws the requests of one load.
type generator struct {
	options Options
	classes []Class
	random  *rand.Rand
	// requests counts the requests drawn.
	requests int
}

// Generate draws the requests of a load. Equal options give equal requests.
func Generate(profile Profile, options Options) []Request {
	if options.LengthScale == 0 {
		options.LengthScale = 1
	}
	g := &generator{options: options, random: rand.New(rand.NewPCG(options.Seed, 0))}
	for _, c := range profile.Classes {
		if keeps(options.Teams, c.Request.Team) && keeps(options.Tiers, c.Request.Tier) {
			g.classes = append(g.classes, c)
		}
	}
	if len(g.classes) == 0 || options.Rate <= 0 {
		return nil
	}
	return g.run()
}

func keeps(wanted []string, name string) bool {
	return len(wanted) == 0 || slices.Contains(wanted, name)
}

// run draws arrivals at the highest rate and keeps each with the share that
// its moment's rate has of it.
func (g *generator) run() []Request {
	highest := g.highest()
	var requests []Request
	for at := time.Duration(0); len(requests) < MaxRequests; {
		at += time.Duration(g.random.ExpFloat64() / (g.options.Rate * highest) * float64(time.Second))
		if at >= g.options.Duration {
			break
		}
		c := g.pick()
		kept := g.random.Float64()*highest < g.factor(at, c.Request.Team)
		q := g.draw(c, at)
		again := g.random.Float64() < c.Repeat
		delay := time.Duration(200+g.random.IntN(1500)) * time.Millisecond
		if !kept {
			continue
		}
		requests = append(requests, q)
		if again {
			q.At += delay.Milliseconds()
			requests = append(requests, q)
		}
	}
	slices.SortStableFunc(requests, func(a, b Request) int { return int(a.At - b.At) })
	return requests
}

func (g *generator) highest() float64 {
	highest := 1.0
	for _, b := range g.options.Bursts {
		highest = max(highest, b.Factor)
	}
	return highest
}

func (g *generator) factor(at time.Duration, team string) float64 {
	factor := 1.0
	for _, b := range g.options.Bursts {
		if at >= b.At && at < b.At+b.For && keeps(b.Teams, team) {
			factor = b.Factor
		}
	}
	return factor
}

func (g *generator) pick() Class {
	total := 0.0
	for _, c := range g.classes {
		total += c.Weight
	}
	left := g.random.Float64() * total
	for _, c := range g.classes {
		if left -= c.Weight; left < 0 {
			return c
		}
	}
	return g.classes[len(g.classes)-1]
}

func (g *generator) draw(c Class, at time.Duration) Request {
	g.requests++
	q := c.Request
	q.ID = fmt.Sprintf("r%05d", g.requests)
	q.At = at.Milliseconds()
	if q.Kind == KindCall {
		return q
	}
	q.PromptTokens = c.Prompt.draw(g.random, g.options.LengthScale)
	q.MaxTokens = c.Output.draw(g.random, g.options.LengthScale)
	if c.Prefixes == 0 {
		return q
	}
	name := fmt.Sprintf("%s-%d", q.Team, g.random.IntN(c.Prefixes))
	if g.options.PrefixReuse >= 0 && g.random.Float64() >= g.options.PrefixReuse {
		return q
	}
	q.Prefix = name
	q.PrefixTokens = c.PrefixTokens
	q.PromptTokens = min(MaxTokens, q.PromptTokens+c.PrefixTokens)
	return q
}
