package entrysoak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/primrosemoor/primrosemoor/standin/relay"
	"github.com/primrosemoor/primrosemoor/standin/store"
	"github.com/primrosemoor/primrosemoor/standin/worker"
)

// fault is a kind of disturbance. inject disturbs one part of the system and restores
// it before it returns.
type fault struct {
	name   string
	inject func(env *environment, random *rand.Rand) error
}

var allFaults = []fault{
	{"kill", (*environment).killNode},
	{"kill-all", (*environment).killAll},
	{"release", (*environment).release},
	{"stop", (*environment).stopNode},
	{"freeze", (*environment).freezeNode},
	{"reload", (*environment).reloadNode},
	{"store-fault", (*environment).failStore},
	{"store-forgets", (*environment).compactStore},
	{"store-cut", (*environment).cutStoreLink},
	{"store-reset", (*environment).resetStoreLink},
	{"store-restored", (*environment).restoreStore},
	{"odd-entry", (*environment).writeOddEntry},
	{"worker-fault", (*environment).failWorker},
	{"worker-silent", (*environment).silenceWorker},
	{"worker-slow-link", (*environment).delayWorkerLink},
	{"worker-reset", (*environment).resetWorkerLink},
	{"worker-leaves", (*environment).drainWorker},
	{"worker-says-leaving", (*environment).sayLeaving},
	{"worker-asks-pause", (*environment).askPause},
	{"revoke", (*environment).issueAndRevokeKey},
	{"configure", func(env *environment, _ *rand.Rand) error { return env.writeConfig() }},
}

func randomDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

func (env *environment) randomNode(random *rand.Rand) *node {
	return env.nodes[random.IntN(len(env.nodes))]
}

func (env *environment) randomWorker(random *rand.Rand) *worker.Worker {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.workers[random.IntN(len(env.workers))]
}

func (env *environment) killNode(random *rand.Rand) error {
	n := env.randomNode(random)
	defer env.history.beginDisturbance("kill", n.name, false)()
	exited := n.Exited()
	if err := n.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-exited
	time.Sleep(2 * restartPause)
	return nil
}

func (env *environment) stopNode(random *rand.Rand) error { return env.stop(env.randomNode(random)) }

// stop stops a node's process as planned; its supervisor starts it again.
func (env *environment) stop(n *node) error {
	defer env.history.beginDisturbance("stop", n.name, true)()
	start, exited := time.Now(), n.Exited()
	if err := n.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-exited:
	case <-time.After(grace):
		if env.history.undisturbedNode(n.name, start.Add(-reconnectTime)) {
			env.history.addViolation("%s did not exit within its grace time", n.name)
		}
		if err := n.signal(syscall.SIGKILL); err != nil {
			return err
		}
		<-exited
	}
	time.Sleep(2 * restartPause)
	return nil
}

func (env *environment) freezeNode(random *rand.Rand) error {
	n := env.randomNode(random)
	defer env.history.beginDisturbance("freeze", n.name, false)()
	if err := n.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(randomDuration(random, 200*time.Millisecond, 7*time.Second))
	return n.signal(syscall.SIGCONT)
}

func (env *environment) reloadNode(random *rand.Rand) error {
	n := env.randomNode(random)
	defer env.history.beginDisturbance("reload", n.name, true)()
	return n.signal(syscall.SIGHUP)
}

func (env *environment) failStore(random *rand.Rand) error {
	faults := []store.Faults{
		{Down: true}, {Throttled: true}, {Unresponsive: true}, {DropWriteReplies: true}, {Delay: 400 * time.Millisecond},
	}
	defer env.history.beginDisturbance("store-fault", "store", false)()
	env.store.SetFaults(faults[random.IntN(len(faults))])
	time.Sleep(randomDuration(random, 500*time.Millisecond, 7*time.Second))
	env.store.SetFaults(store.Faults{})
	return nil
}

func (env *environment) compactStore(*rand.Rand) error {
	defer env.history.beginDisturbance("store-forgets", "store", false)()
	env.store.Compact()
	return nil
}

func (env *environment) cutStoreLink(random *rand.Rand) error {
	n := env.randomNode(random)
	defer env.history.beginDisturbance("store-cut", n.name, false)()
	directions := []relay.Direction{relay.DirectionBoth, relay.DirectionIn, relay.DirectionOut}
	link := relay.Link{Listen: n.store, Direction: directions[random.IntN(len(directions))]}
	env.relay.Cut(link)
	time.Sleep(randomDuration(random, 500*time.Millisecond, 8*time.Second))
	env.relay.Heal(link)
	return nil
}

func (env *environment) resetStoreLink(random *rand.Rand) error {
	n := env.randomNode(random)
	defer env.history.beginDisturbance("store-reset", n.name, false)()
	env.relay.Reset(n.store)
	return nil
}

func (env *environment) failWorker(random *rand.Rand) error {
	wk := env.randomWorker(random)
	defer env.history.beginDisturbance("worker-fault", wk.ID, false)()
	faults := []worker.Faults{{Overloaded: true}, {Errors: true}, {Reset: true}, {CutAfter: 1 + random.IntN(eventsPerStream-1)}}
	env.setFaults(wk, faults[random.IntN(len(faults))])
	time.Sleep(randomDuration(random, 200*time.Millisecond, 4*time.Second))
	env.setFaults(wk, worker.Faults{})
	return nil
}

// silenceWorker makes the streams of one worker, or of all, fall silent in their middle
// and go on. No promise may be broken beside it.
func (env *environment) silenceWorker(random *rand.Rand) error {
	silenced := env.streamWorkers()
	if random.IntN(2) == 0 {
		silenced = silenced[random.IntN(len(silenced)):][:1]
	}
	f := worker.Faults{SilentAfter: 1 + random.IntN(eventsPerStream-1), Silence: randomDuration(random, time.Second, 2*time.Second)}
	for _, wk := range silenced {
		defer env.history.beginDisturbance("worker-silent", wk.ID, true)()
		env.setFaults(wk, f)
	}
	time.Sleep(randomDuration(random, 200*time.Millisecond, 2*time.Second))
	for _, wk := range silenced {
		env.setFaults(wk, worker.Faults{})
	}
	time.Sleep(f.Silence) // Streams that began before may still be silent.
	return nil
}

func (env *environment) streamWorkers() []*worker.Worker {
	env.mu.Lock()
	defer env.mu.Unlock()
	var workers []*worker.Worker
	for _, wk := range env.workers {
		if wk.Events > 0 {
			workers = append(workers, wk)
		}
	}
	return workers
}

func (env *environment) delayWorkerLink(random *rand.Rand) error {
	wk := env.randomWorker(random)
	defer env.history.beginDisturbance("worker-slow-link", wk.ID, false)()
	env.relay.Delay(wk.Address(), randomDuration(random, 20*time.Millisecond, 500*time.Millisecond))
	time.Sleep(randomDuration(random, 500*time.Millisecond, 3*time.Second))
	env.relay.Delay(wk.Address(), 0)
	return nil
}

func (env *environment) resetWorkerLink(random *rand.Rand) error {
	wk := env.randomWorker(random)
	defer env.history.beginDisturbance("worker-reset", wk.ID, false)()
	env.relay.Reset(wk.Address())
	return nil
}

// drainWorker drains and removes a worker as the platform does, after another worker
// of its service has registered. A worker is drained only once.
func (env *environment) drainWorker(random *rand.Rand) error {
	env.mu.Lock()
	wk := env.workers[random.IntN(len(env.workers))]
	env.mu.Unlock()
	if !env.history.markDraining(wk.ID) {
		return nil
	}
	if err := env.addWorker(wk.Service); err != nil {
		return err
	}
	return env.drain(wk, random)
}

// drain reports a worker as draining and removes its entry later.
func (env *environment) drain(wk *worker.Worker, random *rand.Rand) error {
	if err := env.register(wk, "draining"); err != nil {
		return err
	}
	env.history.ack(ackedChange{drainingWorker: wk.ID})
	time.Sleep(drain + randomDuration(random, time.Second, 4*time.Second))
	env.unregister(wk)
	return nil
}

// issueAndRevokeKey issues an API key and revokes it.
func (env *environment) issueAndRevokeKey(random *rand.Rand) error {
	key := fmt.Sprintf("key-%d", env.issuedKeys.Add(1))
	if err := env.setKeys("steady", key); err != nil {
		return err
	}
	env.newestKey.Store(&key)
	time.Sleep(randomDuration(random, time.Second, 2*time.Second))
	if err := env.setKeys("steady"); err != nil {
		return err
	}
	env.history.ack(ackedChange{revokedKey: key})
	return nil
}
