package entrysoak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
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
	// nestingDepth is the nesting of an odd entry; the store itself reads a little more.
	nestingDepth = 5000
)

// restoreStore takes the store away for a moment and brings it back from a copy that
// lacks at least one version of the configuration.
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
	env.store.SetFaults(store.Faults{})
	return env.rewrite(random)
}

// rewrite lets the operator and each worker write their newest objects again, each after
// a time of its own.
func (env *environment) rewrite(random *rand.Rand) error {
	env.mu.Lock()
	workers := len(env.workers)
	env.mu.Unlock()
	errs := make(chan error, workers+1)
	var writers sync.WaitGroup
	write := func(again func() error) {
		pause := time.Duration(random.Int64N(int64(rewriteTime)))
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

// oddSpecs returns entries that name no worker.
func oddSpecs() []string {
	entry := func(address, slots string) string {
		return fmt.Sprintf(`{"service":"app","address":%s,"zone":"a","version":"v1","slots":%s,"state":"ready","coldRemainingMs":0,"sequence":1}`, address, slots)
	}
	return []string{
		strings.Repeat("[", nestingDepth) + strings.Repeat("]", nestingDepth),
		entry(`"127.0.0.1:9"`, "1e400"),
		entry(`"127.0.0.1:9"`, strings.Repeat("9", 400)),
		entry(`"127.0.0.1:99999"`, "8"),
		entry(`["127.0.0.1:9"]`, "8"),
		entry(`"127.0.0.1:9"`, "-1"),
		"null",
	}
}

// writeOddEntry writes an entry among the workers' entries that names no worker, and
// removes it. The nodes must bear it.
func (env *environment) writeOddEntry(random *rand.Rand) error {
	specs := oddSpecs()
	name := fmt.Sprintf("i-odd-%d", env.oddEntries.Add(1))
	defer env.history.beginDisturbance("odd-entry", name, true)()
	if err := env.store.Put("servers", name, json.RawMessage(specs[random.IntN(len(specs))])); err != nil {
		return err
	}
	time.Sleep(randomDuration(random, 100*time.Millisecond, 5*time.Second))
	env.store.Remove("servers", name)
	return nil
}
