// Command review-standins plays one case of the review: it starts the stand-ins of the
// platform in its own process and the project's program as processes of their own.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a script.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCantRun = 2
)

// world is what a case runs in.
type world struct {
	record *record
	store  *store
	fleet  *fleet
	// trouble is false if the case runs without its disruption.
	trouble bool
}

// cases returns whether the rule was broken.
var cases = map[string]struct {
	nodes int
	play  func(*world) (broken bool, err error)
}{
	"order":   {6, playOrder},
	"memory":  {3, playMemory},
	"refused": {6, playRefused},
	"parts":   {6, playParts},
	"drain":   {3, playDrain},
	"idle":    {3, playIdle},
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-standins CASE FOLDER")
		return exitCantRun
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitCantRun
	}
	w, cleanUp, err := newWorld(os.Args[2], c.nodes)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCantRun
	}
	defer cleanUp()
	broken, err := c.play(w)
	switch {
	case err != nil:
		w.record.line("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCantRun
	case broken:
		fmt.Println("rule broken")
		return exitBroken
	default:
		fmt.Println("rule held")
		return exitHeld
	}
}

func newWorld(folder string, nodes int) (w *world, cleanUp func(), err error) {
	w = &world{store: newStore(), trouble: os.Getenv("TROUBLE") != "0"}
	if w.record, err = newRecord(folder); err != nil {
		return nil, nil, err
	}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, nil, err
	}
	address, err := w.store.serve()
	if err != nil {
		return nil, nil, err
	}
	if w.fleet, err = newFleet(temporary, address, nodes, w.record); err != nil {
		return nil, nil, err
	}
	cleanUp = func() {
		w.fleet.stop()
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(temporary)
		} else {
			fmt.Println("kept", temporary)
		}
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		cleanUp()
		os.Exit(exitCantRun)
	}()
	return w, cleanUp, nil
}

// configure writes the config of the operator.
func (w *world) configure() {
	route := func(prefix, kind, service string, timeoutMs, goalMs, attempts int, resume bool) map[string]any {
		return map[string]any{
			"name": "r-" + prefix, "host": host, "pathPrefix": "/" + prefix + "/", "kind": kind, "service": service, "timeoutMs": timeoutMs,
			"targetLatencyMs": goalMs, "priority": 1, "maxAttempts": attempts, "anonymous": false,
			"sessionAffinity": kind == "streaming", "streamResume": resume, "itlTargetMs": 500,
		}
	}
	w.store.put("config", "main", map[string]any{
		"version": 7,
		"routeTable": []any{
			route("chat", "streaming", "llm", 12000, 500, 2, true), route("draft", "streaming", "llm", 15000, 1000, 1, false),
			route("look", "idempotent", "app", 2500, 250, 2, false), route("book", "non_idempotent", "app", 8000, 250, 1, false),
		},
		"services": []any{
			map[string]any{"name": "llm", "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 8, "kvCapacityTokens": 577668, "stride": 6, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "app", "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBody, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{key}, "priority": 1, "unit": "tokens", "uncachedTokens": 200, "ratePerS": 185074, "burst": 185074}},
	})
}

// maxBody is the operator's limit of a body.
const maxBody = 4 << 20
