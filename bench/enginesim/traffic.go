package enginesim

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Class is a kind of request with its rate, sizes, time limits and value.
type Class struct {
	Name string
	Tier int
	// PerSecond is the arrival rate at a load of 1.
	PerSecond float64
	// PromptTokens is the mean of a log-normal distribution; Events is the length
	// of the answer.
	PromptTokens, Events    int
	FirstEventGoal, Timeout time.Duration
	// Value is earned by a request that is on time, LateValue by one that is late.
	Value, LateValue float64
}

// Classes are the request streams in the platform's data sheet for its smaller
// deployment.
var Classes = []Class{
	{"itinerary-draft", 0, 21.5, 6670, 64, time.Second, 15 * time.Second, 6.8, 2},
	{"guest-chat", 1, 20.5, 688, 49, 500 * time.Millisecond, 12 * time.Second, 1.7, 0.5},
	{"mail-sort", 0, 27.7, 1860, 4, 600 * time.Millisecond, 3 * time.Second, 0.34, 0.1},
}

// sizeSpread is the sigma of the log-normal sizes.
const sizeSpread = 0.8

// arrival is one generated request.
type arrival struct {
	at           time.Duration
	class        int
	node         int
	promptTokens int
}

// generateArrivals draws the arrivals of one run, sorted by time. The first node
// gets twice the requests of any other node, because load balancers spread
// connections unevenly.
func generateArrivals(rng *rand.Rand, load float64, duration time.Duration, nodes int) []arrival {
	var arrivals []arrival
	for c, class := range Classes {
		for at := 0.0; ; {
			at += rng.ExpFloat64() / (class.PerSecond * load)
			if at >= duration.Seconds() {
				break
			}
			size := math.Exp(rng.NormFloat64()*sizeSpread - sizeSpread*sizeSpread/2)
			arrivals = append(arrivals, arrival{
				at: time.Duration(at * float64(time.Second)), class: c, node: max(0, rng.IntN(nodes+1)-1),
				promptTokens: max(16, int(size*float64(class.PromptTokens))),
			})
		}
	}
	slices.SortFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return arrivals
}
