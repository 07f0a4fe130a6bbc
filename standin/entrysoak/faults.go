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

// disturbance does one thing to the system and undoes it.
type disturbance struct {
	name string
	do   func(w *world, random *rand.Rand) error
}

var disturbances = []disturbance{
	{"kill", (*world).kill},
	{"stop", (*world).stop},
	{"freeze", (*world).freeze},
	{"reload", (*world).reload},
	{"store-fault", (*world).storeFault},
	{"store-forgets", (*world).storeForgets},
	{"store-cut", (*world).storeCut},
	{"store-reset", (*world).storeReset},
	{"worker-fault", (*world).workerFault},
	{"worker-slow-link", (*world).workerDelay},
	{"worker-reset", (*world).workerReset},
	{"worker-leaves", (*world).workerLeaves},
	{"revoke", (*world).revoke},
	{"configure", func(w *world, _ *rand.Rand) error { return w.configure() }},
}

func upTo(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

func (w *world) anyNode(random *rand.Rand) *node { return w.nodes[random.IntN(len(w.nodes))] }

func (w *world) anyWorker(random *rand.Rand) *worker.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.workers[random.IntN(len(w.workers))]
}

func (w *world) kill(random *rand.Rand) error {
	n := w.anyNode(random)
	defer w.history.begin("kill", n.name, false)()
	left := n.Exited()
	if err := n.send(syscall.SIGKILL); err != nil {
		return err
	}
	<-left
	time.Sleep(2 * restartPause)
	return nil
}

func (w *world) stop(random *rand.Rand) error {
	n := w.anyNode(random)
	defer w.history.begin("stop", n.name, true)()
	began, left := time.Now(), n.Exited()
	if err := n.send(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-left:
	case <-time.After(grace + time.Second):
		if w.history.calmSince(began.Add(-contact)) {
			w.history.violation("%s did not end within its grace time", n.name)
		}
		if err := n.send(syscall.SIGKILL); err != nil {
			return err
		}
		<-left
	}
	time.Sleep(2 * restartPause)
	return nil
}

func (w *world) freeze(random *rand.Rand) error {
	n := w.anyNode(random)
	defer w.history.begin("freeze", n.name, false)()
	if err := n.send(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(upTo(random, 200*time.Millisecond, 7*time.Second))
	return n.send(syscall.SIGCONT)
}

func (w *world) reload(random *rand.Rand) error {
	n := w.anyNode(random)
	defer w.history.begin("reload", n.name, true)()
	return n.send(syscall.SIGHUP)
}

func (w *world) storeFault(random *rand.Rand) error {
	faults := []store.Faults{
		{Down: true}, {Throttled: true}, {Silent: true}, {LoseWrites: true}, {Delay: 400 * time.Millisecond},
	}
	defer w.history.begin("store-fault", "store", false)()
	w.store.SetFaults(faults[random.IntN(len(faults))])
	time.Sleep(upTo(random, 500*time.Millisecond, 7*time.Second))
	w.store.SetFaults(store.Faults{})
	return nil
}

func (w *world) storeForgets(*rand.Rand) error {
	defer w.history.begin("store-forgets", "store", false)()
	w.store.Compact()
	return nil
}

func (w *world) storeCut(random *rand.Rand) error {
	n := w.anyNode(random)
	defer w.history.begin("store-cut", n.name, false)()
	directions := []relay.Direction{relay.DirectionBoth, relay.DirectionIn, relay.DirectionOut}
	link := relay.Link{Listen: n.store, Direction: directions[random.IntN(len(directions))]}
	w.relay.Cut(link)
	time.Sleep(upTo(random, 500*time.Millisecond, 8*time.Second))
	w.relay.Heal(link)
	return nil
}

func (w *world) storeReset(random *rand.Rand) error {
	n := w.anyNode(random)
	defer w.history.begin("store-reset", n.name, false)()
	w.relay.Reset(n.store)
	return nil
}

func (w *world) workerFault(random *rand.Rand) error {
	wk := w.anyWorker(random)
	defer w.history.begin("worker-fault", wk.ID, false)()
	faults := []worker.Faults{{Full: true}, {Errors: true}, {Reset: true}, {CutAfter: 1 + random.IntN(lastEvent-1)}}
	wk.SetFaults(faults[random.IntN(len(faults))])
	time.Sleep(upTo(random, 200*time.Millisecond, 4*time.Second))
	wk.SetFaults(worker.Faults{})
	return nil
}

func (w *world) workerDelay(random *rand.Rand) error {
	wk := w.anyWorker(random)
	defer w.history.begin("worker-slow-link", wk.ID, false)()
	w.relay.Delay(wk.Address(), upTo(random, 20*time.Millisecond, 500*time.Millisecond))
	time.Sleep(upTo(random, 500*time.Millisecond, 3*time.Second))
	w.relay.Delay(wk.Address(), 0)
	return nil
}

func (w *world) workerReset(random *rand.Rand) error {
	wk := w.anyWorker(random)
	defer w.history.begin("worker-reset", wk.ID, false)()
	w.relay.Reset(wk.Address())
	return nil
}

// workerLeaves takes a worker out as the platform does, after another one of its
// service has come.
func (w *world) workerLeaves(random *rand.Rand) error {
	w.mu.Lock()
	wk := w.workers[random.IntN(len(w.workers))]
	w.mu.Unlock()
	if !w.history.once(wk.ID) {
		return nil
	}
	if err := w.addWorker(wk.Service); err != nil {
		return err
	}
	if err := wk.Register(w.store, "a", "draining"); err != nil {
		return err
	}
	w.history.ack(acknowledged{worker: wk.ID})
	time.Sleep(drain + upTo(random, time.Second, 4*time.Second))
	w.store.Remove("servers", wk.ID)
	return nil
}

// revoke gives out a key and takes it away.
func (w *world) revoke(random *rand.Rand) error {
	key := fmt.Sprintf("key-%d", random.Uint64())
	if err := w.setKeys("steady", key); err != nil {
		return err
	}
	w.given.Store(&key)
	time.Sleep(upTo(random, time.Second, 2*time.Second))
	if err := w.setKeys("steady"); err != nil {
		return err
	}
	w.history.ack(acknowledged{key: key})
	return nil
}
