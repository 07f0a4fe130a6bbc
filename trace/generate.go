package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// LengthDistribution is a log-normal distribution of token counts.
type LengthDistribution struct {
	Median float64
	// Sigma is the standard deviation of the natural logarithm. With 1, 95 % of
	// the lengths span a fifty-fold range.
	Sigma float64
}

func (l LengthDistribution) sample(random *rand.Rand, scale float64) int {
	n := l.Median * scale * math.Exp(l.Sigma*random.NormFloat64())
	return max(1, min(MaxTokens, int(n)))
}

// Class is one kind of request in a profile.
type Class struct {
	// Weight is the class's share of the requests, relative to the others.
	Weight  float64
	Request Request
	Prompt  LengthDistribution
	Output  LengthDistribution
	// Prefixes is the number of distinct shared prefixes; 0 means none.
	Prefixes int
	// PrefixTokens is the length of each shared prefix.
	PrefixTokens int
	// RetryShare is the share of requests that the client sends twice.
	RetryShare float64
}

// Profile is a named mix of request classes.
type Profile struct {
	Name    string
	Classes []Class
}

// Burst multiplies the rate from At on for the duration For. Teams restricts it
// to some teams; none means all.
type Burst struct {
	At, For time.Duration
	Factor  float64
	Teams   []string
}

// Options configures a generated load.
type Options struct {
	Seed     uint64
	Rate     float64
	Duration time.Duration
	Bursts   []Burst
	// LengthScale multiplies all sampled lengths; 0 means 1.
	LengthScale float64
	// PrefixReuse is the share of chats that begin with a shared prefix;
	// negative means all chats of classes that have prefixes.
	PrefixReuse float64
	// Teams and Tiers select the requests to generate; none means all.
	Teams, Tiers []string
}

// generator generates the requests of one load.
type generator struct {
	options Options
	classes []Class
	random  *rand.Rand
	// requests counts the requests generated, including those thinned out.
	requests int
}

// Generate generates the requests of a load. It is deterministic: equal options
// give equal requests.
func Generate(profile Profile, options Options) []Request {
	if options.LengthScale == 0 {
		options.LengthScale = 1
	}
	g := &generator{options: options, random: rand.New(rand.NewPCG(options.Seed, 0))}
	for _, c := range profile.Classes {
		if isSelected(options.Teams, c.Request.Team) && isSelected(options.Tiers, c.Request.Tier) {
			g.classes = append(g.classes, c)
		}
	}
	if len(g.classes) == 0 || options.Rate <= 0 {
		return nil
	}
	return g.run()
}

func isSelected(selected []string, name string) bool {
	return len(selected) == 0 || slices.Contains(selected, name)
}

// run generates Poisson arrivals by thinning: it draws arrivals at the peak rate
// and accepts each with the ratio of the current rate to the peak rate.
func (g *generator) run() []Request {
	peak := g.peakFactor()
	var requests []Request
	for at := time.Duration(0); len(requests) < MaxRequests; {
		at += time.Duration(g.random.ExpFloat64() / (g.options.Rate * peak) * float64(time.Second))
		if at >= g.options.Duration {
			break
		}
		c := g.pickClass()
		accepted := g.random.Float64()*peak < g.rateFactor(at, c.Request.Team)
		q := g.newRequest(c, at)
		retried := g.random.Float64() < c.RetryShare
		delay := time.Duration(200+g.random.IntN(1500)) * time.Millisecond
		if !accepted {
			continue
		}
		requests = append(requests, q)
		if retried {
			q.At += delay.Milliseconds()
			requests = append(requests, q)
		}
	}
	slices.SortStableFunc(requests, func(a, b Request) int { return int(a.At - b.At) })
	return requests
}

// peakFactor returns the largest rate factor of the load.
func (g *generator) peakFactor() float64 {
	peak := 1.0
	for _, b := range g.options.Bursts {
		peak = max(peak, b.Factor)
	}
	return peak
}

// rateFactor returns the rate factor of a team at a time.
func (g *generator) rateFactor(at time.Duration, team string) float64 {
	factor := 1.0
	for _, b := range g.options.Bursts {
		if at >= b.At && at < b.At+b.For && isSelected(b.Teams, team) {
			factor = b.Factor
		}
	}
	return factor
}

// pickClass picks a class at random by weight.
func (g *generator) pickClass() Class {
	total := 0.0
	for _, c := range g.classes {
		total += c.Weight
	}
	remaining := g.random.Float64() * total
	for _, c := range g.classes {
		if remaining -= c.Weight; remaining < 0 {
			return c
		}
	}
	return g.classes[len(g.classes)-1]
}

// newRequest returns a request of the class with sampled lengths and prefix.
func (g *generator) newRequest(c Class, at time.Duration) Request {
	g.requests++
	q := c.Request
	q.ID = fmt.Sprintf("r%05d", g.requests)
	q.At = at.Milliseconds()
	if q.Kind == KindCall {
		return q
	}
	q.PromptTokens = c.Prompt.sample(g.random, g.options.LengthScale)
	q.MaxTokens = c.Output.sample(g.random, g.options.LengthScale)
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
