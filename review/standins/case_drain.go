package main

import (
	"fmt"
	"sync"
	"time"
)

// playDrain has the machines' open channels to the store fall silent during a release.
func playDrain(w *world) (broken bool, err error) {
	w.configure()
	start := func(i int) (*worker, error) {
		wk := &worker{name: fmt.Sprintf("app%d", i), service: "app", zone: zones[i%3], version: "v1", slots: 6, queue: 24,
			firstAfter: 30 * time.Millisecond, store: w.store, record: w.record}
		return wk, wk.start()
	}
	var old []*worker
	for i := range 3 {
		wk, err := start(i)
		if err != nil {
			return false, err
		}
		old = append(old, wk)
	}
	if err := w.fleet.start(); err != nil {
		return false, err
	}
	if err := w.fleet.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	var sending sync.WaitGroup
	var last []string
	// batch sends some lookups to each machine at once.
	batch := func() {
		last = nil
		for i := range 8 * len(w.fleet.nodes) {
			n := w.fleet.nodes[i%len(w.fleet.nodes)]
			q := request{id: newID("look"), method: "GET", path: "/look/1", timeout: 2500 * time.Millisecond}
			last = append(last, q.id)
			w.record.line("request %s sent to %s", q.id, n.name)
			sending.Go(func() { w.record.line("request %s: %v", q.id, sendOnce(n, q)) })
		}
		sending.Wait()
	}
	time.Sleep(contactTime + time.Second)
	batch()
	time.Sleep(time.Second)
	// The release: a new worker starts, and then the old one drains.
	if _, err := start(3); err != nil {
		return false, err
	}
	w.record.line("a new worker has started")
	time.Sleep(500 * time.Millisecond)
	silenced := time.Now()
	if w.trouble {
		for _, n := range w.fleet.nodes {
			w.record.line("%s: its %d open channels to the store fall silent; new ones work", n.name, n.store.silence())
		}
	}
	time.Sleep(time.Second)
	old[0].drain()
	acked := time.Now()
	w.record.line("the store has acknowledged that %s is draining", old[0].id)
	time.Sleep(time.Until(silenced.Add(contactTime + 100*time.Millisecond)))
	bound := time.Now()
	if late := acked.Add(drainTime); late.After(bound) {
		return false, fmt.Errorf("the bound is over only %v later", late.Sub(bound))
	}
	w.record.line("all machines have been in touch for contactMs, and drainMs is over")
	batch()
	reached := 0
	for _, id := range last {
		if w.record.reached(id, old[0].id) {
			reached++
		}
	}
	w.record.line("%d of %d requests reached the draining worker", reached, len(last))
	fmt.Printf("%d of %d requests reached the draining worker later than drainMs, from machines in touch\n", reached, len(last))
	return reached > 0, nil
}
