package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
)

const (
	requestHost = "farm.example"
	requestKey  = "key-of-tenant-1"
	// chatPath leads to a route whose streams may be resumed, draftPath to one whose may not.
	chatPath, draftPath = "/chat/1", "/draft/1"
	// bookPath leads to a route whose requests may run at most once.
	bookPath      = "/book/1"
	bookTimeout   = time.Second
	streamService = "llm"
	plainService  = "app"
)

// world is a small deployment: a store, workers and machines.
type world struct {
	record  *recorder
	store   *store
	zones   []string
	nodes   []*node
	workers []*worker
	folder  string
	serial  atomic.Int64
}

var errNotReady = errors.New("the machines are not ready in time")

// newWorld writes the first config. The record is written to the folder of the case.
func newWorld(caseFolder string, zones []string) (*world, error) {
	record, err := newRecorder(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{record: record, store: newStore(), zones: zones, folder: folder}
	route := func(name, prefix string, resume bool) map[string]any {
		return map[string]any{
			"name": name, "host": requestHost, "pathPrefix": prefix, "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 1000,
			"priority": 0, "service": streamService, "maxAttempts": 2, "anonymous": false, "sessionAffinity": true, "streamResume": resume, "itlTargetMs": 500,
		}
	}
	w.store.put("config", "main", map[string]any{
		"version": 7,
		"routeTable": []any{route("chat", "/chat/", true), route("draft", "/draft/", false), map[string]any{
			"name": "book", "host": requestHost, "pathPrefix": "/book/", "kind": "non_idempotent", "timeoutMs": bookTimeout.Milliseconds(),
			"targetLatencyMs": 200, "priority": 2, "service": plainService, "maxAttempts": 1, "anonymous": false, "sessionAffinity": false, "streamResume": false,
		}},
		"services": []any{map[string]any{"name": plainService, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false}, map[string]any{
			"name": streamService, "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 8, "kvCapacityTokens": 588717, "stride": 6, "models": []any{map[string]any{"name": "m"}}},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{
			"name": "tenant-1", "apiKeys": []string{requestKey}, "priority": 1, "unit": "tokens", "uncachedTokens": 200, "ratePerS": 1000000, "burst": 1000000,
		}},
	})
	return w, nil
}

// addPlainWorkers starts the workers of the service that has no engines.
func (w *world) addPlainWorkers(count int, work time.Duration) error {
	for i := range count {
		wk := &worker{
			id: fmt.Sprintf("i-app-%d", i+1), service: plainService, zone: w.zones[i%len(w.zones)], slots: 6, plain: true, interval: work,
			store: w.store, record: w.record,
		}
		if err := wk.start("v1"); err != nil {
			return err
		}
		w.workers = append(w.workers, wk)
	}
	return nil
}

// addWorkers starts the workers of the service with engines.
func (w *world) addWorkers(count, events int, interval time.Duration) error {
	for i := range count {
		wk := &worker{
			id: fmt.Sprintf("i-%02d", i+1), service: streamService, zone: w.zones[i%len(w.zones)], slots: 8, events: events, interval: interval,
			store: w.store, record: w.record,
		}
		if err := wk.start("v1"); err != nil {
			return err
		}
		w.workers = append(w.workers, wk)
	}
	return nil
}

// addNode starts a machine.
func (w *world) addNode(name, zone string, memory int) error {
	address, err := w.store.serveFor(name)
	if err != nil {
		return err
	}
	n, err := newNode(w.folder, name, zone, address, memory)
	if err != nil {
		return err
	}
	w.nodes = append(w.nodes, n)
	return n.start(w.zones)
}

// awaitReady waits until all machines are ready and know each other.
func (w *world) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(w.nodes) {
			time.Sleep(10 * time.Second) // A limit's window after the start, in which little is admitted.
			return nil
		}
	}
	return errNotReady
}

// end ends all processes and removes the folder.
func (w *world) end() {
	for _, n := range w.nodes {
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.folder)
	} else {
		fmt.Println(w.folder)
	}
}

// request returns the headers of a request with a new id.
func (w *world) request(tokensIn, tokensOut int) (id string, headers map[string]string) {
	id = fmt.Sprintf("%016x", 0x1c41000000000000+w.serial.Add(1))
	return id, map[string]string{
		headerID: id, headerKey: requestKey, headerDeadline: "15000", "X-Primrosemoor-Model": "m",
		headerTokens:                   fmt.Sprintf("%d,%d", tokensIn, tokensOut),
		"X-Primrosemoor-Prompt-Prefix": fmt.Sprintf("5c1e07a2:60,%s:%d", id, tokensIn-60),
		"Content-Type":                 "application/json",
	}
}
