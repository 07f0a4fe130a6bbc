package enginesim

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Class is one kind of request.
type Class struct {
	Name string
	Tier int
	// PerSecond is its rate at a load of 1.
	PerSecond float64
	// PromptTokens is the mean of a log-normal size; Events is the length of the
	// answer.
	PromptTokens, Events int
	Goal, Limit          time.Duration
	// Worth of a request that is on time, and of one that is late.
	Worth, Late float64
}

// Classes are the streams of the users' sheet for their smaller deployment.
var Classes = []Class{
	{"itinerary-draft", 0, 21.5, 6670, 64, time.Second, 15 * time.Second, 6.8, 2},
	{"guest-chat", 1, 20.5, 688, 49, 500 * time.Millisecond, 12 * time.Second, 1.7, 0.5},
	{"mail-sort", 0, 27.7, 1860, 4, 600 * time.Millisecond, 3 * time.Second, 0.34, 0.1},
}

// sizeSpread is the sigma of the log-normal sizes.
const sizeSpread = 0.8

// arrival is one request of a plan.
type arrival struct {
	at    time.Duration
	class int
	node  int
	// tokens of the prompt.
	tokens int
}

// plan draws the arrivals of one run, in order. Of the nodes, the first gets as
// many as two others, because balancers spread connections unevenly.
func plan(random *rand.Rand, load float64, length time.Duration, nodes int) []arrival {
	var all []arrival
	for c, class := range Classes {
		for at := 0.0; ; {
			at += random.ExpFloat64() / (class.PerSecond * load)
			if at >= length.Seconds() {
				break
			}
			size := math.Exp(random.NormFloat64()*sizeSpread - sizeSpread*sizeSpread/2)
			all = append(all, arrival{
				at: time.Duration(at * float64(time.Second)), class: c, node: max(0, random.IntN(nodes+1)-1),
				tokens: max(16, int(size*float64(class.PromptTokens))),
			})
		}
	}
	slices.SortFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}
