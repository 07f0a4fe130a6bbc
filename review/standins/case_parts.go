package main

import (
	"fmt"
	"strings"
	"time"
)

// playParts sends requests whose prompts share a part that crashes workers, behind more
// than 64 parts of a long session.
func playParts(w *world) (broken bool, err error) {
	const (
		crashing = "dead0001"
		before   = 66
	)
	w.configure()
	var workers []*worker
	for i := range 6 {
		wk := &worker{name: fmt.Sprintf("w%d", i), service: "llm", zone: zones[i%3], version: "v1", slots: 8, queue: 48,
			firstAfter: 200 * time.Millisecond, pace: 50 * time.Millisecond, events: 10, downtime: 3 * time.Second, store: w.store, record: w.record}
		if w.trouble {
			wk.crashPart = crashing
		}
		workers = append(workers, wk)
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
	var parts []string
	for i := range before {
		parts = append(parts, fmt.Sprintf("%08x:60", 0x5c1e0000+i))
	}
	count := 0
	send := func(kind, parts string) string {
		count++
		q := request{id: newID(kind), method: "POST", path: "/draft/1", timeout: 5 * time.Second, body: fmt.Appendf(nil, "turn %d", count),
			headers: map[string]string{headerModel: "m", headerTokens: "4100,60", headerPrompt: fmt.Sprintf("%s,%08x:40", parts, 0xa0000000+count)}}
		q.onEvent = func(int, string) {}
		n := w.fleet.nodes[count%len(w.fleet.nodes)]
		w.record.line("request %s sent to %s", q.id, n.name)
		go func() { w.record.line("request %s: %v", q.id, sendOnce(n, q)) }()
		return q.id
	}
	session := strings.Join(parts, ",")
	var sent []string
	for i := range 150 {
		send("sound", session)
		if i%3 == 0 {
			sent = append(sent, send("tainted", session+","+crashing+":60"))
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(time.Second)
	crashes := w.record.crashTimes()
	if len(crashes) < 5 {
		w.record.line("%d crashes", len(crashes))
		return false, nil
	}
	from, reached := crashes[4].Add(contactTime), 0
	for _, id := range sent {
		for _, a := range w.record.arrivalsOf(id) {
			if a.at.After(from) {
				reached++
			}
		}
	}
	w.record.line("%d crashes; %d requests with the part reached workers later than contactMs after the fifth", len(crashes), reached)
	fmt.Printf("%d crashes; %d requests with the part reached workers later than contactMs after the fifth\n", len(crashes), reached)
	return reached > 3, nil
}
