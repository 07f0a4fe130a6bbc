package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// playIdle has requesters leave their channels open after an answer, which the machine may
// close after idleTimeoutMs.
func playIdle(w *world) (broken bool, err error) {
	const (
		// perSecond new requesters come to the machine, for comingTime.
		perSecond  = 33
		comingTime = 64 * time.Second
		late       = 10
		// leastAnswered is how many requesters are served by a machine of any design.
		leastAnswered = 2000
		// lateTime is how long the late ones try; it exceeds contactMs.
		lateTime = 6 * time.Second
	)
	w.configure()
	for i := range 3 {
		wk := &worker{name: fmt.Sprintf("app%d", i), service: "app", zone: zones[i], version: "v1", slots: 6, queue: 24,
			firstAfter: 30 * time.Millisecond, store: w.store, record: w.record}
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
	machine := w.fleet.nodes[2]
	look := func() request {
		return request{id: newID("look"), method: "GET", path: "/look/1", timeout: 2500 * time.Millisecond}
	}
	var answered, failed atomic.Int64
	var coming sync.WaitGroup
	begin := time.Now()
	for i := 0; time.Since(begin) < comingTime; i++ {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / perSecond)))
		coming.Go(func() {
			c, err := open(machine)
			if err != nil {
				failed.Add(1)
				return
			}
			q := look()
			a := c.send(q)
			w.record.line("request %s: %v", q.id, a)
			if a.status != 200 || a.err != nil {
				failed.Add(1)
				c.close()
				return
			}
			answered.Add(1)
			if !w.trouble {
				c.close()
				return
			}
			// The channel stays open until the machine closes it.
			c.conn.SetDeadline(time.Time{})
			go c.awaitClose()
		})
	}
	coming.Wait()
	w.record.line("%d requesters came to %s and were answered, %d were not", answered.Load(), machine.name, failed.Load())
	if answered.Load() < leastAnswered {
		return false, fmt.Errorf("only %d requesters were answered", answered.Load())
	}
	var tries, served, unready atomic.Int64
	var trying sync.WaitGroup
	end := time.Now().Add(lateTime)
	for range late {
		trying.Go(func() {
			for time.Now().Before(end) {
				tries.Add(1)
				q := look()
				a := sendOnce(machine, q)
				w.record.line("request %s on a new channel: %v", q.id, a)
				if a.status != 0 {
					served.Add(1)
				}
			}
		})
	}
	for time.Now().Before(end) {
		ready := machine.ready()
		w.record.line("%s says that it is ready: %v", machine.name, ready)
		if !ready {
			unready.Add(1)
		}
		time.Sleep(time.Second)
	}
	trying.Wait()
	text := fmt.Sprintf("after %d requesters: %d others tried %d new channels for %v, %d were answered; not ready: %d times",
		answered.Load(), late, tries.Load(), lateTime, served.Load(), unready.Load())
	w.record.line("%s", text)
	fmt.Println(text)
	return served.Load() == 0 && unready.Load() == 0, nil
}

// awaitClose returns when the other end has closed the channel.
func (c *channel) awaitClose() {
	c.reader.ReadByte()
	c.conn.Close()
}
