package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// lastEvent returns the id of the last whole event of a stream, 0 if there is none.
func lastEvent(body string) (last int) {
	for event := range strings.SplitAfterSeq(body, "\n\n") {
		id, _, ok := strings.Cut(strings.TrimPrefix(event, "id: "), "\n")
		if n, err := strconv.Atoi(id); ok && err == nil && strings.HasSuffix(event, "\n\n") {
			last = n
		}
	}
	return last
}

// runTakeUp kills a machine that the store has turned away while workers of a second version
// were added, and has its requesters take their streams up at the other machines.
func runTakeUp(folder string, trouble bool) (broken bool, err error) {
	const (
		events, interval = 120, 50 * time.Millisecond
		streams          = 30
		newStreams       = 24
		tries            = 3
		// takenUpLeast and half are the bounds of the rule.
		takenUpLeast = 12
		half         = 0.5
	)
	w, err := newWorld(folder, []string{"zone-a", "zone-b", "zone-c", "zone-d", "zone-e", "zone-f", "zone-g"})
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
	first, others := w.nodes[0], w.nodes[1:]
	if trouble {
		w.store.turnAway(first.name, true)
		w.record.add("the store turns %s away", first.name)
	}
	time.Sleep(time.Second)
	for i := range 3 {
		wk := &worker{
			id: fmt.Sprintf("i-new-%d", i+1), service: streamService, zone: w.zones[i%len(w.zones)], slots: 8, events: events, interval: interval,
			store: w.store, record: w.record,
		}
		if err := wk.start("v2"); err != nil {
			return false, err
		}
		w.workers = append(w.workers, wk)
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var takenUp, wentOn, begun int
	var running sync.WaitGroup
	for i := range streams {
		running.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			c := &channel{address: first.callers}
			defer c.close()
			id, headers := w.request(600, 720)
			w.record.add("sent %s to %s", id, first.name)
			a := c.post(requestHost, chatPath, headers, []byte("{}"), 16*time.Second)
			w.record.add("answered %s: status %d, %v, last event %d", id, a.status, a.err, lastEvent(a.body))
			if a.err == nil || lastEvent(a.body) == 0 {
				return
			}
			goesOn := false
			for try := 0; try < tries && !goesOn; try++ {
				n := others[(i+try)%len(others)]
				again := &channel{address: n.callers}
				attempt, headers := w.request(600, 720)
				headers[headerResumes], headers[headerLast] = id, strconv.Itoa(lastEvent(a.body))
				w.record.add("sent %s to %s, which takes up %s after event %s", attempt, n.name, id, headers[headerLast])
				b := again.post(requestHost, chatPath, headers, []byte("{}"), 12*time.Second)
				again.close()
				w.record.add("answered %s: status %d, %v, last event %d, %s", attempt, b.status, b.err, lastEvent(b.body), b.header.Get("Retry-After"))
				goesOn = b.status == 200 && lastEvent(b.body) > lastEvent(a.body)
				if !goesOn {
					pause, _ := strconv.ParseFloat(b.header.Get("Retry-After"), 64)
					time.Sleep(time.Duration(max(pause, 0.1) * float64(time.Second)))
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if takenUp++; goesOn {
				wentOn++
			}
		})
	}
	time.Sleep(2 * time.Second)
	w.record.add("%s is killed", first.name)
	first.kill()
	for i := range newStreams {
		running.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			n := others[i%len(others)]
			c := &channel{address: n.callers}
			defer c.close()
			id, headers := w.request(600, 120)
			w.record.add("sent %s to %s", id, n.name)
			a := c.post(requestHost, chatPath, headers, []byte("{}"), 16*time.Second)
			w.record.add("answered %s: status %d, %v, last event %d", id, a.status, a.err, lastEvent(a.body))
			mu.Lock()
			defer mu.Unlock()
			if a.status == 200 && lastEvent(a.body) > 0 {
				begun++
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	w.store.turnAway(first.name, false)
	if err := first.start(w.zones); err != nil {
		return false, err
	}
	running.Wait()
	w.record.say("streams taken up: %d, of which %d went on; new streams: %d, of which %d began", takenUp, wentOn, newStreams, begun)
	if takenUp < takenUpLeast || begun == 0 {
		return false, errNotReady
	}
	return float64(wentOn)/float64(takenUp) < half*float64(begun)/newStreams, nil
}
