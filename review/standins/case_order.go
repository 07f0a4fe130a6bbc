package main

import (
	"fmt"
	"sync"
	"time"
)

// viewer is a requester that reads one stream over several attempts.
type viewer struct {
	world *world
	mu    sync.Mutex
	// versions counts the events that it holds by the version of the workers that wrote
	// them.
	versions map[string]int
	lastID   int
	done     bool
}

const (
	// orderTimeout is how long a requester waits for its stream.
	orderTimeout = 12 * time.Second
	// maxTries is how often it tries, and retryPause how long it waits before it does again.
	maxTries   = 5
	retryPause = 700 * time.Millisecond
	// releaseGap is the time between two steps of a release.
	releaseGap = 750 * time.Millisecond
	viewers    = 24
)

// watch takes a stream up again until it is complete or its time is over. Retries reach
// other machines.
func (v *viewer) watch(first int) {
	w, end, began := v.world, time.Now().Add(orderTimeout), ""
	for try := 0; try < maxTries && time.Until(end) > 0; try++ {
		n := w.fleet.nodes[(first+try)%len(w.fleet.nodes)]
		q := request{id: newID("chat"), method: "POST", path: "/chat/1", timeout: time.Until(end), body: []byte("a question about walks"),
			headers: map[string]string{headerModel: "m", headerTokens: "628,300", headerPrompt: fmt.Sprintf("5c1e07a2:60,%08x:568", first+1)}}
		if began != "" {
			q.headers[headerLastEvent], q.headers[headerResumes] = fmt.Sprint(v.lastID), began
		}
		q.onEvent = func(id int, version string) {
			v.mu.Lock()
			defer v.mu.Unlock()
			if began == "" {
				began = q.id
			}
			v.lastID = id
			v.versions[version]++
			if v.versions[version] == 1 {
				w.record.line("request %s gets event %d, the requester's first one of version %s", q.id, id, version)
			}
		}
		w.record.line("request %s sent to %s, after event %d, resumes %q", q.id, n.name, v.lastID, began)
		a := sendOnce(n, q)
		w.record.line("request %s ended after event %d: %v", q.id, v.lastID, a)
		if a.status == 200 && a.err == nil {
			v.done = true
			return
		}
		time.Sleep(max(a.retryAfter, retryPause))
	}
}

// playOrder has all processes of the system killed at once after three releases, which
// have replaced all workers of a service one after the other.
func playOrder(w *world) (broken bool, err error) {
	w.configure()
	var old []*worker
	start := func(name, version string) (*worker, error) {
		wk := &worker{name: name, service: "llm", zone: zones[len(old)%3], version: version, slots: 8, queue: 48,
			firstAfter: 200 * time.Millisecond, pace: 150 * time.Millisecond, events: 48, store: w.store, record: w.record}
		return wk, wk.start()
	}
	for i := range 12 {
		wk, err := start(fmt.Sprintf("old%d", i), "v1")
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
	time.Sleep(contactTime)
	// release replaces a share of the service's workers: each new one starts first, then an
	// old one leaves, which goes on serving what it has.
	release := func(replaced []*worker) error {
		w.record.line("a release replaces %d of 12 workers", len(replaced))
		for _, wk := range replaced {
			if _, err := start("new-"+wk.name, "v2"); err != nil {
				return err
			}
			wk.leave()
			w.record.line("worker %s is replaced: its entry is removed, it serves on", wk.id)
			time.Sleep(releaseGap)
		}
		return nil
	}
	if err := release(old[:5]); err != nil {
		return false, err
	}
	var all []*viewer
	var watching sync.WaitGroup
	for i := range viewers {
		v := &viewer{world: w, versions: make(map[string]int)}
		all = append(all, v)
		watching.Go(func() { v.watch(i) })
	}
	time.Sleep(300 * time.Millisecond)
	for _, replaced := range [][]*worker{old[5:10], old[10:]} {
		if err := release(replaced); err != nil {
			return false, err
		}
	}
	if w.trouble {
		w.record.line("all processes of the system are killed")
		for _, n := range w.fleet.nodes {
			n.kill()
		}
	}
	watching.Wait()
	mixed, whole := 0, 0
	for _, v := range all {
		if len(v.versions) > 1 {
			mixed++
		}
		if v.done {
			whole++
		}
	}
	text := fmt.Sprintf("%d of %d streams hold events of two versions; %d are whole", mixed, len(all), whole)
	w.record.line("%s", text)
	fmt.Println(text)
	return mixed > 2, nil
}
