package main

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// guardMemory ends a process that exceeds its memory, as the platform does.
func (w *world) guardMemory(stop <-chan struct{}) (killed *atomic.Int64, most *atomic.Int64) {
	killed, most = new(atomic.Int64), new(atomic.Int64)
	for _, n := range w.fleet.nodes {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				used := n.memory()
				if used > most.Load() {
					most.Store(used)
				}
				if used > memoryMebibytes<<20 {
					killed.Add(1)
					w.record.line("%s uses %d MiB and is killed by the platform", n.name, used>>20)
					n.kill()
					time.Sleep(restartPause)
				}
			}
		}()
	}
	return killed, most
}

// playMemory has requesters send bodies as long as the operator allows, at the usual rate.
func playMemory(w *world) (broken bool, err error) {
	const (
		readers = 30
		// perSecond is how many bodies a second begin, and uploads how many there are.
		// Their requesters send 64 KiB every 200 ms, and together 63 MB/s at the most, half of
		// the machine's link.
		perSecond = 15
		uploads   = 195
		pace      = 200 * time.Millisecond
		usualBody = 12 << 10
	)
	w.configure()
	for i := range 12 {
		wk := &worker{name: fmt.Sprintf("w%d", i), service: "llm", zone: zones[i%3], version: "v1", slots: 8, queue: 48,
			firstAfter: 600 * time.Millisecond, pace: 60 * time.Millisecond, events: 20, store: w.store, record: w.record}
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
	stop := make(chan struct{})
	defer close(stop)
	killed, most := w.guardMemory(stop)
	time.Sleep(contactTime + time.Second)
	machine := w.fleet.nodes[0]
	var kept keptRequests
	var answered atomic.Int64
	var running sync.WaitGroup
	length := usualBody
	if w.trouble {
		length = maxBody
	}
	end := time.Now().Add(5*time.Second + uploads/perSecond*time.Second)
	for i := range readers {
		time.Sleep(60 * time.Millisecond)
		running.Go(func() { w.readOn(machine, i, end, &kept) })
	}
	time.Sleep(5 * time.Second)
	w.record.line("%d requests a second with bodies of %d bytes are sent to %s", perSecond, length, machine.name)
	body := bytes.Repeat([]byte("walk"), length/4)
	for i := range uploads {
		q := request{id: newID("draft"), method: "POST", path: "/draft/1", timeout: 15 * time.Second, body: body, pace: pace, onEvent: func(int, string) {},
			headers: map[string]string{headerModel: "m", headerTokens: "1800,240", headerPrompt: fmt.Sprintf("5c1e07a2:60,%08x:1740", 0xa0000000+i)}}
		running.Go(func() {
			a := sendOnce(machine, q)
			w.record.line("request %s: %v", q.id, a)
			if a.status == 200 && a.err == nil {
				answered.Add(1)
			}
		})
		time.Sleep(time.Second / perSecond)
	}
	running.Wait()
	text := fmt.Sprintf("killed for its memory: %d times; most used: %d MiB; requests from kept channels: %d served, %d passed on and closed without an answer, %d in the middle of it; of %d bodies answered: %d",
		killed.Load(), most.Load()>>20, kept.served.Load(), kept.lost.Load(), kept.cut.Load(), uploads, answered.Load())
	w.record.line("%s", text)
	fmt.Println(text)
	return kept.lost.Load() > 3, nil
}

// keptRequests counts requests from kept channels: those that were served, those that were
// passed on and whose channel closed without a byte of an answer, and in the middle of it.
type keptRequests struct{ served, lost, cut atomic.Int64 }

// readOn reads one stream after another on a kept channel.
func (w *world) readOn(n *node, reader int, end time.Time, count *keptRequests) {
	var c *channel
	for time.Now().Before(end) {
		if c == nil {
			var err error
			if c, err = open(n); err != nil {
				time.Sleep(200 * time.Millisecond)
				continue
			}
		}
		kept := c.used > 0
		q := request{id: newID("chat"), method: "POST", path: "/chat/1", timeout: 12 * time.Second, body: []byte("a question about walks"),
			headers: map[string]string{headerModel: "m", headerTokens: "628,180", headerPrompt: fmt.Sprintf("5c1e07a2:60,%08x:568", reader)}, onEvent: func(int, string) {}}
		a := c.send(q)
		w.record.line("request %s on a channel used %d times before: %v", q.id, c.used-1, a)
		switch {
		case a.err == nil && a.status == 200:
			count.served.Add(1)
			continue
		case !kept || a.err == nil || !w.record.ran(q.id):
		case a.status == 0:
			count.lost.Add(1)
		default:
			count.cut.Add(1)
		}
		c.close()
		c = nil
		time.Sleep(300 * time.Millisecond)
	}
	if c != nil {
		c.close()
	}
}
