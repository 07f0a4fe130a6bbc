package entrysoak

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// Under load, workers of streams are engines with so many tokens in an event, that read so
	// many tokens of prompts in a second, and need so much longer for an event for each stream.
	tokensPerEvent = 6
	promptRate     = 55_000
	stepPerStream  = time.Millisecond
	// callersPerWorker is how many callers who load the nodes need one more worker of each
	// service.
	callersPerWorker = 12
	// sharePeriod is the time in which a node gets its share of a core, and shareInterval how
	// often it is checked whether it has used that up.
	sharePeriod   = 100 * time.Millisecond
	shareInterval = time.Millisecond
)

// addLoad starts callers who send one request right after the other. The returned function
// ends them.
func (env *environment) addLoad(ctx context.Context, b *balancer, callers *sync.WaitGroup) (stop func()) {
	ctx, stop = context.WithCancel(ctx)
	for i := range env.options.Callers {
		c := env.newCaller(b, loadCallerNumber+i)
		c.maxPause, c.kinds = maxLoadPause, loadKinds
		callers.Go(func() { c.run(ctx) })
	}
	return stop
}

// loadKind is a kind of request of those who load the nodes. Its sizes are spread widely.
type loadKind struct {
	route          string
	limit          time.Duration
	prompt, events spread
}

// spread is a log-normal distribution that is cut off.
type spread struct{ mean, sigma, max float64 }

func (s spread) draw(random *rand.Rand) float64 {
	mu := math.Log(s.mean) - s.sigma*s.sigma/2
	return min(math.Exp(mu+s.sigma*random.NormFloat64()), s.max)
}

var loadKinds = []loadKind{
	{"chat", 12 * time.Second, spread{630, 1, 3_300}, spread{49, 1.5, 490}},
	{"draft", 15 * time.Second, spread{6_600, 1.4, 54_600}, spread{64, 1.5, 640}},
	{"draft", 15 * time.Second, spread{1_800, 1.3, 6_900}, spread{4, 1.5, 38}},
	{route: "book", limit: requestDeadline},
	{route: "look", limit: requestDeadline},
}

// draw draws a request.
func (k loadKind) draw(random *rand.Rand, id, key string) request {
	r := request{id: id, route: k.route, key: key, limit: k.limit}
	if k.events.mean > 0 {
		r.events = max(1, int(k.events.draw(random)))
		r.prompt, r.output = int(k.prompt.draw(random)), r.events*tokensPerEvent
	}
	return r
}

// timeLimit returns the time limit of a route.
func (l Load) timeLimit(route string) time.Duration {
	longest := deadline(route)
	for _, k := range loadKinds {
		if l.Callers > 0 && k.route == route {
			longest = max(longest, k.limit)
		}
	}
	return longest
}

// loadCallerNumber is that of the first caller who loads the nodes.
const loadCallerNumber = 10_000

// limitShares gives each node a share of a processor core: it runs until it has used up its
// share of a period, and stands still for the rest. The returned function ends that.
func limitShares(nodes []*node, share float64) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var limiting sync.WaitGroup
	for _, n := range nodes {
		limiting.Go(func() {
			for ctx.Err() == nil {
				n.runPeriod(time.Duration(share * float64(sharePeriod)))
			}
		})
	}
	return func() {
		cancel()
		limiting.Wait()
	}
}

// runPeriod lets a node use so much processor time in one period. A node that is frozen
// stays so.
func (n *node) runPeriod(allowed time.Duration) {
	pid, end := n.PID(), time.Now().Add(sharePeriod)
	if pid == 0 {
		time.Sleep(sharePeriod)
		return
	}
	before := processorTime(pid)
	for time.Now().Before(end) {
		time.Sleep(shareInterval)
		if processorTime(pid)-before >= allowed {
			n.Pause()
			time.Sleep(time.Until(end))
			n.Resume()
		}
	}
}

// processorTime returns the processor time that a process has used, 0 if it has ended.
func processorTime(pid int) time.Duration {
	const processClock = 2 // CPUCLOCK_SCHED of a whole process
	var used unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|processClock), &used); err != nil {
		return 0
	}
	return time.Duration(used.Nano())
}
