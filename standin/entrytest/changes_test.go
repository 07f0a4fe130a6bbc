package entrytest

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/standin/worker"
)

// configChanges are changes of the configuration, made one after the other.
var configChanges = []struct {
	name string
	edit func(spec map[string]any)
}{
	{"routes removed", func(spec map[string]any) { spec["routeTable"] = spec["routeTable"].([]any)[2:] }},
	{"all back", func(map[string]any) {}},
	{"routes moved", func(spec map[string]any) { eachRoute(spec, "service", "app2") }},
	{"service gone", func(spec map[string]any) {
		eachRoute(spec, "service", "app2")
		spec["services"] = append(spec["services"].([]any)[1:], map[string]any{"name": "app2", "healthPath": "/healthz", "maxConnections": 96})
	}},
	{"time-outs shrink", func(spec map[string]any) { eachRoute(spec, "timeoutMs", 400) }},
	{"limits shrink", func(spec map[string]any) {
		spec["limits"] = map[string]any{"maxBodyBytes": 64, "idleTimeoutMs": 500, "headerTimeoutMs": 200, "maxHeaderBytes": 1024}
	}},
	{"key removed", func(spec map[string]any) { spec["tenants"].([]any)[0].(map[string]any)["apiKeys"] = []string{"k9"} }},
	{"a big one", func(spec map[string]any) {
		for i := range 2000 {
			spec["routeTable"] = append(spec["routeTable"].([]any), map[string]any{
				"name": fmt.Sprint("r", i), "host": "farm.example", "pathPrefix": fmt.Sprintf("/r%d/", i), "kind": "idempotent", "service": "app",
				"timeoutMs": 3000, "targetLatencyMs": 500, "priority": 1, "maxAttempts": 2,
			})
		}
	}},
}

// eachRoute sets a field of all routes that are no streams.
func eachRoute(spec map[string]any, field string, value any) {
	for _, r := range spec["routeTable"].([]any) {
		if route := r.(map[string]any); route["kind"] != "streaming" {
			route[field] = value
		}
	}
}

// slowBody is a body of which one byte comes after a pause.
type slowBody struct {
	left  int
	pause time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	b.left--
	p[0] = 'x'
	return 1, nil
}

// outcomes are the outcomes of requests.
type outcomes struct {
	mu       sync.Mutex
	statuses map[int]int
	// lost tells of requests that ended without a whole answer.
	lost []string
}

func (o *outcomes) record(id string, status int, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.lost = append(o.lost, id+": "+err.Error())
		return
	}
	o.statuses[status]++
}

// changingCaller sends requests one after the other.
type changingCaller struct {
	node   *node
	name   string
	route  string
	header http.Header
	body   func() io.Reader
	closes bool
}

func (c *changingCaller) run(until <-chan struct{}, o *outcomes) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: c.closes}}
	defer client.CloseIdleConnections()
	for k := 0; ; k++ {
		select {
		case <-until:
			return
		default:
		}
		id := fmt.Sprintf("%s-%d", c.name, k)
		req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/%s/x", c.node.ip, callersPort, c.route), c.body())
		if err != nil {
			o.record(id, 0, err)
			return
		}
		// A request that gets no answer is not sent again.
		req.GetBody, req.Host, req.Header = nil, "farm.example", c.header.Clone()
		req.Header.Set("X-Primrosemoor-Attempt-Id", id)
		req.Header.Set("Api-Key", apiKey)
		resp, err := client.Do(req)
		if err != nil {
			o.record(id, 0, err)
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		o.record(id, resp.StatusCode, err)
		resp.Body.Close()
	}
}

// Some callers send slowly, in chunks, wait for leave to send, or use each connection once.
func TestNoRequestIsLostBesideChangesOfTheConfiguration(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	for i := range 2 {
		env.startWorkerAs(&worker.Worker{ID: fmt.Sprint("i-app", i), Service: "app", ServiceTime: 30 * time.Millisecond, Slots: 3})
		env.startWorkerAs(&worker.Worker{ID: fmt.Sprint("i-app2", i), Service: "app2", ServiceTime: 30 * time.Millisecond, Slots: 3})
		env.startWorkerAs(&worker.Worker{ID: fmt.Sprint("i-llm", i), Service: "llm", ServiceTime: 40 * time.Millisecond, Events: 10})
	}
	s := env.settings(1)
	s.Bounds.Drain = durationpb.New(time.Second)
	n := env.startNodeWith(1, s)
	env.waitReady(n)
	o := &outcomes{statuses: make(map[int]int)}
	until := make(chan struct{})
	var running sync.WaitGroup
	for i := range 4 {
		for _, route := range []string{"book", "look", "chat"} {
			for name, c := range map[string]changingCaller{
				"plain":   {body: func() io.Reader { return strings.NewReader("body") }},
				"once":    {body: func() io.Reader { return strings.NewReader("body") }, closes: true},
				"slow":    {body: func() io.Reader { return &slowBody{4, 20 * time.Millisecond} }},
				"long":    {body: func() io.Reader { return strings.NewReader(strings.Repeat("x", 600<<10)) }},
				"expects": {body: func() io.Reader { return strings.NewReader("body") }, header: http.Header{"Expect": {"100-continue"}}},
			} {
				c.node, c.name, c.route = n, fmt.Sprintf("%s-%s-%d", name, route, i), route
				if c.header == nil {
					c.header = http.Header{}
				}
				running.Go(func() { c.run(until, o) })
			}
		}
	}
	for _, change := range configChanges {
		env.edit = change.edit
		env.writeConfig("k1")
		time.Sleep(250 * time.Millisecond)
	}
	close(until)
	running.Wait()
	is.Equal(o.lost, nil)
	for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusUnauthorized, http.StatusRequestEntityTooLarge} {
		is.True(o.statuses[status] > 0) // Each change has come into force.
	}
}
