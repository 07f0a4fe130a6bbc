package entrysoak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/standin/store"
)

const (
	// maxCopyAge bounds the age of the copy from which the store comes back.
	maxCopyAge = 5 * time.Second
	// rewriteTime is the time within which the operator and the workers write again what
	// the store has lost.
	rewriteTime = 2 * time.Second
	// quickRewriteTime is that time if they write before the nodes reach the store.
	quickRewriteTime = 300 * time.Millisecond
)

// restoreStore takes the store away for a moment and brings it back from a copy that
// lacks at least one version of the configuration. Half of the time new versions follow
// before the nodes reach the store again, so that its revision has passed theirs.
func (env *environment) restoreStore(random *rand.Rand) error {
	copied := env.store.Copy()
	time.Sleep(randomDuration(random, 500*time.Millisecond, maxCopyAge))
	if err := env.writeConfig(); err != nil {
		return err
	}
	time.Sleep(randomDuration(random, 0, 3*time.Second))
	defer env.history.beginDisturbance("store-restored", "store", false)()
	env.store.SetFaults(store.Faults{Down: true})
	time.Sleep(randomDuration(random, 100*time.Millisecond, time.Second))
	env.store.Restore(copied)
	if random.IntN(2) == 0 {
		env.store.SetFaults(store.Faults{})
		return env.rewrite(random, rewriteTime)
	}
	defer env.store.SetFaults(store.Faults{})
	if err := env.writeConfig(); err != nil {
		return err
	}
	return env.rewrite(random, quickRewriteTime)
}

// rewrite lets the operator and each worker write their newest objects again, each after
// a time of its own.
func (env *environment) rewrite(random *rand.Rand, within time.Duration) error {
	env.mu.Lock()
	workers := len(env.workers)
	env.mu.Unlock()
	errs := make(chan error, workers+1)
	var writers sync.WaitGroup
	write := func(again func() error) {
		pause := time.Duration(random.Int64N(int64(within)))
		writers.Go(func() {
			time.Sleep(pause)
			if err := again(); err != nil {
				errs <- err
			}
		})
	}
	write(env.rewriteConfig)
	for i := range workers {
		write(func() error { return env.rewriteWorker(i) })
	}
	writers.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

func (env *environment) rewriteConfig() error {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.store.Put("config", "main", env.config)
}

func (env *environment) rewriteWorker(i int) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	wk := env.workers[i]
	state, ok := env.states[wk.ID]
	if !ok {
		env.store.Remove("servers", wk.ID)
		return nil
	}
	return wk.Register(env.store, "a", state)
}

// writeOddEntry writes an entry that names no worker before, among or after the workers'
// entries, and removes it. The nodes must bear it.
func (env *environment) writeOddEntry(random *rand.Rand) error {
	specs := store.OddSpecs()
	kinds := slices.Sorted(maps.Keys(specs))
	kind := kinds[random.IntN(len(kinds))]
	order := []string{"a", "i", "zz"}[random.IntN(3)]
	name := fmt.Sprintf("%s-odd-%s-%d", order, kind, env.oddEntries.Add(1))
	defer env.history.beginDisturbance("odd-entry", name, true)()
	env.store.PutRaw("servers", name, []byte(specs[kind]))
	time.Sleep(randomDuration(random, 100*time.Millisecond, 5*time.Second))
	env.store.Remove("servers", name)
	return nil
}
