package main

import (
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// runBodies has requesters send large bodies of legal size to machines that have lost their
// links to all workers, and looks at the memory of the machine that sends for them.
func runBodies(folder string, trouble bool) (broken bool, err error) {
	const (
		events, interval = 70, 100 * time.Millisecond
		workers          = 14
		machines         = 7
		memory           = 284
		perMachine       = 14
		largeBody        = 4 << 20
		// lostAllowed is the bound of the rule.
		lostAllowed = 3
		ordinary    = 8
		plainBurst  = 18
		work        = 100 * time.Millisecond
	)
	w, err := newWorld(folder, []string{"zone-a"})
	if err != nil {
		return false, err
	}
	defer w.end()
	if err := w.addPlainWorkers(3, work); err != nil {
		return false, err
	}
	if err := w.addWorkers(workers, events, interval); err != nil {
		return false, err
	}
	for i := range machines {
		if err := w.addNode("edge-zone-a-"+string(rune('1'+i)), "zone-a", memory); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	linked := w.nodes[machines-1]
	var running sync.WaitGroup
	stop := make(chan struct{})
	defer running.Wait()
	var closeStop sync.Once
	end := func() { closeStop.Do(func() { close(stop) }) }
	defer end()

	// The platform kills a process that exceeds the memory of its machine.
	peaks := make([]float64, len(w.nodes))
	var killed atomic.Int64
	running.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			for i, n := range w.nodes {
				used := n.anonymousMebibytes()
				peaks[i] = max(peaks[i], used)
				if used > memory {
					w.record.add("%s uses %.0f MiB of %d MiB: the platform kills it", n.name, used, memory)
					killed.Add(1)
					n.kill()
					time.Sleep(300 * time.Millisecond)
					if err := n.start(w.zones); err != nil {
						w.record.add("%s does not start: %v", n.name, err)
					}
				}
			}
		}
	})

	// Ordinary requesters keep their channels to the machine with links.
	var lostCount, answered atomic.Int64
	for i := range ordinary {
		running.Go(func() {
			c := &channel{address: linked.callers}
			defer c.close()
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			for {
				select {
				case <-stop:
					return
				default:
				}
				kept := c.used > 0
				id, headers := w.request(200, 0)
				headers[headerDeadline] = "2000"
				delete(headers, headerTokens)
				w.record.add("sent %s to %s", id, linked.name)
				a := c.post(requestHost, bookPath, headers, []byte("{}"), 2*time.Second)
				ran := 0
				for _, wk := range w.workers {
					ran += wk.ranOf(id)
				}
				w.record.add("answered %s: status %d, %v, kept channel %v, ran %d times", id, a.status, a.err, kept, ran)
				switch {
				case a.err != nil && a.status == 0 && kept && a.sent && ran > 0:
					lostCount.Add(1)
				case a.err == nil && a.status == 200:
					answered.Add(1)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	// Many streams at once leave the machine whose channels live on with enough of them.
	var warm sync.WaitGroup
	send := func(path string, tokensOut int) {
		c := &channel{address: linked.callers}
		defer c.close()
		id, headers := w.request(100, tokensOut)
		a := c.post(requestHost, path, headers, []byte("{}"), 16*time.Second)
		w.record.add("answered %s: status %d, %v", id, a.status, a.err)
	}
	for range workers * 8 {
		warm.Go(func() { send(draftPath, 420) })
	}
	for range plainBurst {
		warm.Go(func() { send(bookPath, 0) })
	}
	warm.Wait()
	if trouble {
		ports := make(map[int]bool)
		for _, n := range w.nodes[:machines-1] {
			maps.Copy(ports, n.ports())
		}
		for _, wk := range w.workers {
			wk.refuseNew(ports)
		}
		w.record.add("zone-a loses its links to all workers: new channels are refused, those of %d machines are reset, those of %s live on", machines-1, linked.name)
	}
	time.Sleep(time.Second)
	body := []byte(`{"prompt":"` + strings.Repeat("x", largeBody-13) + `"}`)
	var large sync.WaitGroup
	var largeAnswered atomic.Int64
	for _, n := range w.nodes[:machines-1] {
		for i := range perMachine {
			large.Go(func() {
				c := &channel{address: n.callers}
				defer c.close()
				time.Sleep(time.Duration(i) * 60 * time.Millisecond)
				id, headers := w.request(600, 420)
				w.record.add("sent %s to %s with %d bytes", id, n.name, len(body))
				a := c.post(requestHost, draftPath, headers, body, 16*time.Second)
				w.record.add("answered %s: status %d, %v", id, a.status, a.err)
				if a.status == 200 && a.err == nil {
					largeAnswered.Add(1)
				}
			})
		}
	}
	large.Wait()
	time.Sleep(time.Second)
	end()
	running.Wait()
	for i, n := range w.nodes {
		w.record.say("%s: peak %.0f MiB of %d MiB", n.name, peaks[i], memory)
	}
	w.record.say("killed for memory: %d; large requests answered: %d of %d; ordinary ones answered: %d, lost on kept channels: %d",
		killed.Load(), largeAnswered.Load(), perMachine*(machines-1), answered.Load(), lostCount.Load())
	if answered.Load() == 0 {
		return false, errNotReady
	}
	return lostCount.Load() > lostAllowed, nil
}
