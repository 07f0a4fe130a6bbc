package main

import (
	"sync"
	"time"
)

// runVersions restarts workers in place with a new software version, while the store turns one
// machine away, and looks for streams with events of both versions.
func runVersions(folder string, trouble bool) (broken bool, err error) {
	const (
		events, interval = 40, 50 * time.Millisecond
		requesters       = 60
		// Two of the twelve workers crash twice. The second time is less than 9 s after the store
		// began to turn the machine away.
		downTime, untilSecondCrash = time.Second, 6200 * time.Millisecond
		// joinedAllowed is the bound of the rule.
		joinedAllowed = 2
	)
	w, err := newWorld(folder, []string{"zone-a", "zone-b", "zone-c"})
	if err != nil {
		return false, err
	}
	defer w.end()
	if err := w.addWorkers(12, events, interval); err != nil {
		return false, err
	}
	for _, zone := range w.zones {
		if err := w.addNode("edge-"+zone, zone, 284); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var joined, whole, other int
	var running sync.WaitGroup
	stop := make(chan struct{})
	for i := range requesters {
		running.Go(func() {
			c := &channel{address: w.nodes[0].callers}
			defer c.close()
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			for {
				select {
				case <-stop:
					return
				default:
				}
				id, headers := w.request(600, 240)
				w.record.add("sent %s to %s", id, w.nodes[0].name)
				a := c.post(requestHost, chatPath, headers, []byte("{}"), 16*time.Second)
				versions := versionsOf(a.body)
				w.record.add("answered %s: status %d, %v, versions %v", id, a.status, a.err, versions)
				mu.Lock()
				switch {
				case len(versions) > 1:
					joined++
				case a.status == 200 && a.err == nil:
					whole++
				default:
					other++
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(5 * time.Second)
	if trouble {
		w.store.turnAway(w.nodes[0].name, true)
		w.record.add("the store turns %s away", w.nodes[0].name)
	}
	time.Sleep(300 * time.Millisecond)
	pair := w.workers[:2]
	for _, pause := range []time.Duration{untilSecondCrash, 0} {
		for _, wk := range pair {
			wk.crash()
		}
		time.Sleep(downTime)
		for _, wk := range pair {
			if err := wk.start("v2"); err != nil {
				return false, err
			}
		}
		time.Sleep(pause)
	}
	if trouble {
		w.store.turnAway(w.nodes[0].name, false)
		w.record.add("the store serves %s again", w.nodes[0].name)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	running.Wait()
	w.record.say("streams: %d whole of one version, %d with events of two versions, %d other", whole, joined, other)
	if whole < requesters {
		return false, errNotReady
	}
	return joined > joinedAllowed, nil
}
