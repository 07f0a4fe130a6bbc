// Package entrysoak runs entry nodes as processes of their own against stand-ins
// for the platform's store and workers, disturbs them from outside at random, and
// checks from what callers and workers see that the promises hold.
package entrysoak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Options describe one run.
type Options struct {
	// Program is the primrosemoor binary, Directory a folder for settings and
	// logs.
	Program   string
	Directory string
	Seed      uint64
	// Length is how long disturbances begin.
	Length time.Duration
}

// Report is what came of a run.
type Report struct {
	Requests, Answered, Refused, Failed int
	// Troubles are the names of what was done, in order.
	Troubles []string
	// Violations are the promises that were broken.
	Violations []string
}

const (
	startTime = 10 * time.Second
	// maxGap is the longest pause before the next disturbance begins, so that
	// they overlap and come in series.
	maxGap = 1500 * time.Millisecond
	// settleTime is how long after the last disturbance all requests must be
	// served again, judgeTime how long that is watched.
	settleTime = 8 * time.Second
	judgeTime  = 2 * time.Second
)

// Run plays one seed. The error is about the run itself.
func Run(ctx context.Context, options Options) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, err := newWorld(ctx, options)
	if err != nil {
		return nil, err
	}
	for _, n := range w.nodes {
		if err := n.Start(); err != nil {
			return nil, err
		}
		defer n.End()
	}
	if err := w.waitReady(ctx); err != nil {
		return nil, err
	}
	var supervisors sync.WaitGroup
	keeping, release := context.WithCancel(ctx)
	for _, n := range w.nodes {
		supervisors.Go(func() {
			if err := n.keep(keeping, w.history); err != nil {
				w.history.violation("%v", err)
			}
		})
	}
	judged := w.play(ctx)
	release()
	supervisors.Wait()
	return w.report(judged), nil
}

func (w *world) waitReady(ctx context.Context) error {
	for limit := time.Now().Add(startTime); ; time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if n.ready(ctx) {
				ready++
			}
		}
		if ready == len(w.nodes) {
			return nil
		}
		if time.Now().After(limit) {
			return errors.New("entrysoak: the nodes are not ready; read their logs")
		}
	}
}

// play runs callers and disturbances, and returns from when on all requests had
// to be served.
func (w *world) play(ctx context.Context) time.Time {
	calling, hangUp := context.WithCancel(ctx)
	b := &balancer{missed: make(map[*node]int)}
	go b.run(calling, w.nodes)
	var callers sync.WaitGroup
	for i := range callerCount {
		c := &caller{
			world: w, balancer: b, name: fmt.Sprintf("c%d-%d", w.options.Seed, i), key: w.key(i),
			random: rand.New(rand.NewPCG(w.options.Seed, uint64(i+1))),
		}
		callers.Go(func() { c.run(calling) })
	}
	w.disturb()
	time.Sleep(settleTime)
	judged := time.Now()
	time.Sleep(judgeTime)
	hangUp()
	callers.Wait()
	return judged
}

// key returns which key a caller uses: every fourth caller the one that was given
// out last, whether it is still valid or not.
func (w *world) key(i int) func() string {
	return func() string {
		if given := w.given.Load(); given != nil && i%4 == 0 {
			return *given
		}
		return "steady"
	}
}

// disturb begins disturbances until the run's length is over, and waits for the
// last one's end.
func (w *world) disturb() {
	random := rand.New(rand.NewPCG(w.options.Seed, 0))
	var running sync.WaitGroup
	for end := time.Now().Add(w.options.Length); time.Now().Before(end); {
		time.Sleep(time.Duration(random.Int64N(int64(maxGap))))
		d := disturbances[random.IntN(len(disturbances))]
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		running.Go(func() {
			if err := d.do(w, own); err != nil {
				w.history.violation("%s: %v", d.name, err)
			}
		})
	}
	running.Wait()
}

func (w *world) report(judged time.Time) *Report {
	r := &Report{Violations: w.history.check(w.ran())}
	for _, t := range w.history.troubles {
		r.Troubles = append(r.Troubles, t.what+" "+t.subject)
	}
	for _, q := range w.history.requests {
		r.Requests++
		switch {
		case q.err == nil && q.status < 300:
			r.Answered++
		case q.err == nil && (q.status == 503 || q.status == 429 || q.status == 401):
			r.Refused++
		default:
			r.Failed++
		}
		if q.sent.After(judged) && q.key == "steady" && (q.err != nil || q.status != 200) {
			r.Violations = append(r.Violations, fmt.Sprintf("%s %s at %s: %d %v long after the last disturbance", q.route, q.id, q.node, q.status, q.err))
		}
	}
	return r
}
