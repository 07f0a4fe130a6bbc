package entrysoak

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
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
		c.maxPause = maxLoadPause
		callers.Go(func() { c.run(ctx) })
	}
	return stop
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
