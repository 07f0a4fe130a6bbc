package main

import (
	"fmt"
	"sync"
	"time"
)

// firstTries counts the first attempts of sound requests, and those that began.
type firstTries struct {
	mu          sync.Mutex
	sent, begun int
}

// playRefused sends three requests with a part that crashes workers to a service with
// three workers, beside sound ones that share their caller and their other parts.
func playRefused(w *world) (broken bool, err error) {
	const crashing = "dead0001"
	w.configure()
	for i := range 6 {
		wk := &worker{name: fmt.Sprintf("llm%d", i/2), service: "llm", zone: zones[i/2], version: "v1", slots: 8, queue: 48,
			firstAfter: 700 * time.Millisecond, pace: 100 * time.Millisecond, events: 8, downtime: 3 * time.Second, store: w.store, record: w.record}
		if i%2 == 1 {
			wk.name, wk.service, wk.events = fmt.Sprintf("app%d", i/2), "app", 0
		} else if w.trouble {
			wk.crashPart = crashing
		}
		if err := wk.start(); err != nil {
			return false, err
		}
	}
	if err := w.fleet.start(); err != nil {
		return false, err
	}
	if err := w.fleet.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	count := 0
	var sending sync.WaitGroup
	send := func(kind, parts string, t *firstTries) {
		count++
		q := request{id: newID(kind), method: "POST", path: "/draft/1", timeout: 6 * time.Second, body: fmt.Appendf(nil, "notes %d", count),
			headers: map[string]string{headerModel: "m", headerTokens: "1100,60", headerPrompt: fmt.Sprintf("%s,%08x:800", parts, 0xa0000000+count)}}
		begun := false
		q.onEvent = func(int, string) { begun = true }
		n := w.fleet.nodes[count%len(w.fleet.nodes)]
		w.record.line("request %s sent to %s", q.id, n.name)
		sending.Go(func() {
			a := sendOnce(n, q)
			w.record.line("request %s: %v", q.id, a)
			if t == nil {
				return
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			t.sent++
			if begun {
				t.begun++
			}
		})
	}
	sound := func(t *firstTries) { send("sound", "5c1e07a2:60,91bd3f06:240", t) }
	tainted := func() { send("tainted", "5c1e07a2:60,91bd3f06:240,"+crashing+":60", nil) }
	var before, during, after firstTries
	for range 40 {
		sound(&before)
		time.Sleep(250 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	// Many users come at once.
	for range 3 {
		tainted()
		time.Sleep(200 * time.Millisecond)
	}
	for range 3 {
		sound(&during)
	}
	time.Sleep(time.Second)
	for start := time.Now(); time.Since(start) < 2*contactTime+2*time.Second; time.Sleep(500 * time.Millisecond) {
		sound(&during)
		tainted()
	}
	for i := range 60 {
		sound(&after)
		if i%2 == 0 {
			tainted()
		}
		time.Sleep(250 * time.Millisecond)
	}
	sending.Wait()
	text := fmt.Sprintf("%d crashes; sound requests begun at the first attempt: %d of %d before, %d of %d from 2 x contactMs after the last crash",
		len(w.record.crashTimes()), before.begun, before.sent, after.begun, after.sent)
	w.record.line("%s", text)
	fmt.Println(text)
	return before.sent >= 20 && after.sent >= 20 && after.begun*before.sent*2 < before.begun*after.sent, nil
}
