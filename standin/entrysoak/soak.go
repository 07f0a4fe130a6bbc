// Package entrysoak runs entry nodes as separate processes against stand-ins for the
// platform's store and workers, injects random faults from outside, and checks the
// promises against what callers and workers observe.
package entrysoak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// Options configures one run. New disturbances start for the length of its case.
type Options struct {
	// Program is the path of the primrosemoor binary; Directory is the folder for
	// settings and logs.
	Program   string
	Directory string
	// OldProgram is another build, which all nodes run at the start; they are then replaced
	// one after the other. It is empty if there is no upgrade.
	OldProgram string
	Case
}

// Report holds the results of a run.
type Report struct {
	Requests, Answered, Refused, Failed int
	// Disturbances lists the kind and subject of each disturbance, in order of start.
	Disturbances []string
	// Violations describes each broken promise.
	Violations []string
}

const (
	startTimeout = 10 * time.Second
	// maxFaultInterval is the longest pause before the next disturbance starts. It
	// is short, so that disturbances overlap and follow each other closely.
	maxFaultInterval = 1500 * time.Millisecond
	// One choice in seriesShare is a series of up to maxSeries disturbances of the same
	// kind that overlap, with pauses up to maxSeriesPause.
	seriesShare, maxSeries = 4, 5
	maxSeriesPause         = 400 * time.Millisecond
	// startTimePerNode is the time that each node adds to the start of all.
	startTimePerNode = 200 * time.Millisecond
	// settleTime after the last disturbance, all requests must be served again;
	// this is checked for verifyTime.
	settleTime = 8 * time.Second
	verifyTime = 2 * time.Second
)

// Run performs the run that the seed determines. The error is a failure of the run
// itself; broken promises are in the report.
func Run(ctx context.Context, options Options) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	faults, err := selectFaults(options.Faults)
	if err != nil {
		return nil, err
	}
	env, err := newEnvironment(ctx, options)
	if err != nil {
		return nil, err
	}
	for _, n := range env.nodes {
		if err := n.Start(); err != nil {
			return nil, err
		}
		defer n.Kill()
	}
	if err := env.waitReady(ctx); err != nil {
		return nil, err
	}
	var supervisors sync.WaitGroup
	supervisorCtx, stopSupervisors := context.WithCancel(ctx)
	for _, n := range env.nodes {
		supervisors.Go(func() {
			if err := n.supervise(supervisorCtx, env.history); err != nil {
				env.history.addViolation("%v", err)
			}
		})
	}
	if options.Share > 0 {
		stopSharing := limitShares(env.nodes, options.Share)
		defer stopSharing()
	}
	settledAt := env.runLoad(ctx, faults)
	stopSupervisors()
	supervisors.Wait()
	return env.report(settledAt), nil
}

func (env *environment) waitReady(ctx context.Context) error {
	timeout := startTimeout + time.Duration(len(env.nodes))*startTimePerNode
	for deadline := time.Now().Add(timeout); ; time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, n := range env.nodes {
			if n.ready(ctx) {
				ready++
			}
		}
		if ready == len(env.nodes) {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.New("entrysoak: the nodes are not ready; read their logs")
		}
	}
}

// runLoad runs the callers and injects faults. It returns the time from which all
// requests had to be served.
func (env *environment) runLoad(ctx context.Context, faults []fault) time.Time {
	callerCtx, stopCallers := context.WithCancel(ctx)
	b := &balancer{failedChecks: make(map[*node]int)}
	go b.run(callerCtx, env.nodes)
	var callers sync.WaitGroup
	for i := range max(minCallers, len(env.nodes)) {
		c := env.newCaller(b, i)
		callers.Go(func() { c.run(callerCtx) })
	}
	stopLoad := env.addLoad(callerCtx, b, &callers)
	var upgrading sync.WaitGroup
	upgrading.Go(env.upgrade)
	env.injectFaults(faults)
	upgrading.Wait()
	stopLoad()
	time.Sleep(settleTime)
	settledAt := time.Now()
	if err := env.writeConfig(); err != nil {
		env.history.addViolation("%v", err)
	}
	time.Sleep(configBound + verifyTime)
	env.askEachNode(b)
	stopCallers()
	callers.Wait()
	return settledAt
}

func (env *environment) newCaller(b *balancer, i int) *caller {
	return &caller{
		env: env, balancer: b, name: fmt.Sprintf("c%d-%d", env.options.Seed, i), nextKey: env.keySource(i),
		random: rand.New(rand.NewPCG(env.options.Seed, uint64(i+1))), maxPause: maxRequestPause,
	}
}

// askEachNode sends each node a request on the route of the newest version of the
// configuration, so that a node that no longer follows the store is found.
func (env *environment) askEachNode(b *balancer) {
	for i, n := range env.nodes {
		c := env.newCaller(b, len(env.nodes)+minCallers+i)
		c.ask(n, fmt.Sprintf("%s-last", c.name), versionRoute(int(env.newestVersion.Load())), "steady")
	}
}

// keySource returns the function that chooses a caller's API keys. Every fourth caller
// uses the key that was issued last, even if it has been revoked.
func (env *environment) keySource(i int) func() string {
	return func() string {
		if newest := env.newestKey.Load(); newest != nil && i%4 == 0 {
			return *newest
		}
		return "steady"
	}
}

// selectFaults returns the disturbances with the given names, or all.
func selectFaults(names []string) ([]fault, error) {
	if len(names) == 0 {
		return allFaults, nil
	}
	var selected []fault
	for _, name := range names {
		i := slices.IndexFunc(allFaults, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, fmt.Errorf("entrysoak: no disturbance is named %q", name)
		}
		selected = append(selected, allFaults[i])
	}
	return selected, nil
}

// injectFaults starts disturbances, and series of them, for the length of the run and
// waits until all of them have ended.
func (env *environment) injectFaults(faults []fault) {
	random := rand.New(rand.NewPCG(env.options.Seed, 0))
	var running sync.WaitGroup
	for end := time.Now().Add(env.options.Length); time.Now().Before(end); {
		time.Sleep(time.Duration(random.Int64N(int64(maxFaultInterval))))
		f := faults[random.IntN(len(faults))]
		repeats := 1
		if random.IntN(seriesShare) == 0 {
			repeats = 2 + random.IntN(maxSeries-1)
		}
		seriesRandom := rand.New(rand.NewPCG(random.Uint64(), 0))
		running.Go(func() { env.injectSeries(f, repeats, seriesRandom) })
	}
	running.Wait()
}

// injectSeries injects a disturbance several times. Every second series has the same
// subject throughout.
func (env *environment) injectSeries(f fault, repeats int, random *rand.Rand) {
	sameSubject := random.IntN(2) == 0
	seed := random.Uint64()
	var running sync.WaitGroup
	for i := range repeats {
		if i > 0 {
			time.Sleep(time.Duration(random.Int64N(int64(maxSeriesPause))))
		}
		if !sameSubject {
			seed = random.Uint64()
		}
		faultRandom := rand.New(rand.NewPCG(seed, 0))
		running.Go(func() {
			if err := f.inject(env, faultRandom); err != nil {
				env.history.addViolation("%s: %v", f.name, err)
			}
		})
	}
	running.Wait()
}

// writeFailed writes a line for each request without a whole answer, so that violations can
// be compared with what was excused.
func (env *environment) writeFailed(executions map[string][]string) error {
	var b bytes.Buffer
	for _, r := range env.history.requests {
		if r.err == nil {
			continue
		}
		written := time.Duration(0)
		if !r.writtenAt.IsZero() {
			written = r.writtenAt.Sub(r.sentAt)
		}
		fmt.Fprintf(&b, "time=%s request=%s route=%s node=%s took=%v written=%v status=%d bytes=%d ran=%v error=%q\n", r.sentAt.UTC().Format("15:04:05.000"),
			r.id, r.route, r.node, r.endedAt.Sub(r.sentAt).Round(time.Millisecond), written.Round(time.Millisecond), r.status, len(r.body), executions[r.id], r.err)
	}
	return os.WriteFile(filepath.Join(env.options.Directory, "failed.log"), b.Bytes(), 0o644)
}

func (env *environment) report(settledAt time.Time) *Report {
	executions := env.executions()
	if err := env.writeFailed(executions); err != nil {
		env.history.addViolation("%v", err)
	}
	r := &Report{Violations: append(env.history.check(executions), env.history.checkSignals(executions, env.arrivals())...)}
	for _, t := range env.history.disturbances {
		r.Disturbances = append(r.Disturbances, t.kind+" "+t.subject)
	}
	for _, q := range env.history.requests {
		r.Requests++
		switch {
		case q.err == nil && q.status < 300:
			r.Answered++
		case q.err == nil && (q.status == 503 || q.status == 429 || q.status == 401 || q.droppedRoute()):
			r.Refused++
		default:
			r.Failed++
		}
		if q.sentAt.After(settledAt) && q.key == "steady" && (q.err != nil || q.status != 200) && !q.droppedRoute() {
			r.Violations = append(r.Violations, fmt.Sprintf("%s %s at %s: %d %v long after the last disturbance", q.route, q.id, q.node, q.status, q.err))
		}
	}
	return r
}

// droppedRoute reports whether a request was refused on a route that belongs to some
// versions of the configuration only; checkConfig checks whether it had to be served.
func (r request) droppedRoute() bool {
	return r.err == nil && r.status == 404 && versionOf(r.route) > 0
}
