package entrysoak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	minCallers = 12
	// versionShare is the share of requests, one in so many, on a route that came with
	// one of the newest versions of the configuration.
	versionShare = 5
	// knownVersions is the number of the newest versions whose routes callers use; the
	// newest one has dropped the route of the last of them.
	knownVersions = 3
	// maxRequestPause is the longest pause between two requests of a caller.
	maxRequestPause = 40 * time.Millisecond
	// maxLoadPause is that of the callers who load the nodes.
	maxLoadPause = 5 * time.Millisecond
	// requestDeadline is the deadline that callers send, streamDeadline that of streams;
	// the routes have the same time limits. Callers disconnect patience later.
	requestDeadline = 3 * time.Second
	streamDeadline  = 6 * time.Second
	patience        = time.Second
	// maxGap is the longest time for which a caller waits for the next part of an answer.
	maxGap = 4 * time.Second
	// One body in slowBodyShare comes in two parts, the first of slowBodyBytes, with a pause of
	// up to maxBodyPause. One in chunkedShare comes in chunks, without a length.
	slowBodyShare = 6
	chunkedShare  = 3
	slowBodyBytes = 8 << 10
	maxBodyPause  = 500 * time.Millisecond
	// The load balancer checks each node at readinessInterval and removes it after
	// maxFailedChecks in a row.
	readinessInterval = time.Second
	maxFailedChecks   = 2
)

var routes = []string{"book", "look", "chat", "draft"}

// balancer stands in for the platform's load balancer: it checks the readiness of the
// nodes and chooses one for each new connection.
type balancer struct {
	mu           sync.Mutex
	failedChecks map[*node]int
}

func (b *balancer) run(ctx context.Context, nodes []*node) {
	for ctx.Err() == nil {
		for _, n := range nodes {
			go func() {
				ready := n.ready(ctx)
				b.mu.Lock()
				defer b.mu.Unlock()
				if ready {
					b.failedChecks[n] = 0
				} else {
					b.failedChecks[n]++
				}
			}()
		}
		select {
		case <-time.After(readinessInterval):
		case <-ctx.Done():
		}
	}
}

// pick returns a random healthy node, or any node if none is healthy.
func (b *balancer) pick(random *rand.Rand, nodes []*node) *node {
	b.mu.Lock()
	defer b.mu.Unlock()
	var healthy []*node
	for _, n := range nodes {
		if b.failedChecks[n] < maxFailedChecks {
			healthy = append(healthy, n)
		}
	}
	if len(healthy) == 0 {
		healthy = nodes
	}
	return healthy[random.IntN(len(healthy))]
}

// caller sends requests one at a time. It keeps its connection, and therefore its
// node, until a request fails or the node closes it.
type caller struct {
	env      *environment
	balancer *balancer
	name     string
	random   *rand.Rand
	// nextKey returns the API key of the next request.
	nextKey func() string
	// maxPause is the longest pause between two requests.
	maxPause time.Duration
	// kinds are the kinds of requests to choose from; without any, all are alike.
	kinds []loadKind
}

// nextRequest returns the next request.
func (c *caller) nextRequest(id string) request {
	if len(c.kinds) > 0 {
		return c.kinds[c.random.IntN(len(c.kinds))].draw(c.random, id, c.nextKey())
	}
	r := request{id: id, route: c.nextRoute(), key: c.nextKey()}
	if isStream(r.route) && c.env.options.Callers > 0 {
		r.prompt, r.output = 1, cmp.Or(c.env.options.Events, eventsPerStream)*tokensPerEvent
	}
	return r
}

// nextRoute returns the route of the next request.
func (c *caller) nextRoute() string {
	if c.random.IntN(versionShare) > 0 {
		return routes[c.random.IntN(len(routes))]
	}
	version := int(c.env.newestVersion.Load()) - versionStep*c.random.IntN(knownVersions)
	return versionRoute(max(version, versionStep))
}

func (c *caller) run(ctx context.Context) {
	client := newClient()
	defer client.CloseIdleConnections()
	n := c.balancer.pick(c.random, c.env.nodes)
	for i := 0; ctx.Err() == nil; i++ {
		r := c.sendPrepared(client, n, c.nextRequest(fmt.Sprintf("%s-%d", c.name, i)))
		if r.err != nil && r.route == "chat" && lastEvent(r.body) > 0 {
			c.takeUp(r)
		}
		if r.err != nil || r.closes {
			client.CloseIdleConnections()
			n = c.balancer.pick(c.random, c.env.nodes)
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(c.maxPause))))
	}
}

// ask sends one request to a node on a connection of its own.
func (c *caller) ask(n *node, id, route, key string) {
	client := newClient()
	defer client.CloseIdleConnections()
	c.sendRequest(client, n, id, route, key)
}

// deadline returns the time limit of a route.
func deadline(route string) time.Duration {
	if isStream(route) {
		return streamDeadline
	}
	return requestDeadline
}

// timeLimit returns the time limit of the request.
func (r request) timeLimit() time.Duration { return cmp.Or(r.limit, deadline(r.route)) }

func isStream(route string) bool { return route == "chat" || route == "draft" }

// newBody returns the body of a request with its length. Some bodies come in two parts, the
// first of which is long enough for the transport to send it with the head.
func (c *caller) newBody() (io.Reader, int64) {
	const rest = "body"
	if c.random.IntN(slowBodyShare) > 0 {
		return io.MultiReader(strings.NewReader(rest)), int64(len(rest))
	}
	pause := time.Duration(c.random.Int64N(int64(maxBodyPause)))
	first := strings.NewReader(strings.Repeat("x", slowBodyBytes))
	return io.MultiReader(first, &delayedReader{Reader: strings.NewReader(rest), delay: pause}), slowBodyBytes + int64(len(rest))
}

// delayedReader waits once before its first byte.
type delayedReader struct {
	io.Reader
	delay time.Duration
}

// Read implements io.Reader.
func (r *delayedReader) Read(p []byte) (int, error) {
	time.Sleep(r.delay)
	r.delay = 0
	return r.Reader.Read(p)
}

// errAbandoned is the error of a caller who has waited too long for the next part of an answer.
var errAbandoned = errors.New("entrysoak: the caller waited for too long")

// readAnswer reads an answer, and cancels its request if no part of it comes for maxGap.
func readAnswer(body io.Reader, cancel func()) (answer []byte, err error) {
	var abandoned atomic.Bool
	gap := time.AfterFunc(maxGap, func() {
		abandoned.Store(true)
		cancel()
	})
	defer gap.Stop()
	part := make([]byte, 4<<10)
	for {
		n, err := body.Read(part)
		answer = append(answer, part[:n]...)
		gap.Reset(maxGap)
		switch {
		case err == io.EOF:
			return answer, nil
		case abandoned.Load():
			return answer, errAbandoned
		case err != nil:
			return answer, err
		}
	}
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 1,
	}}
}

// sendRequest sends a request and records it.
func (c *caller) sendRequest(client *http.Client, n *node, id, route, key string) request {
	return c.sendPrepared(client, n, request{id: id, route: route, key: key})
}

func (c *caller) sendPrepared(client *http.Client, n *node, r request) request {
	r.node, r.sentAt, r.events = n.name, time.Now(), cmp.Or(r.events, c.env.options.Events)
	c.send(client, n, &r)
	r.endedAt = time.Now()
	c.env.history.addRequest(r)
	return r
}

func (c *caller) send(client *http.Client, n *node, r *request) {
	url := fmt.Sprintf("http://%s:%d/%s/x", n.ip, callersPort, r.route)
	var writtenAt atomic.Int64
	defer func() {
		if at := writtenAt.Load(); at > 0 {
			r.writtenAt = time.Unix(0, at)
		}
	}()
	// A body that cannot be rewound prevents the transport from silently retrying
	// the request on another connection.
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			writtenAt.Store(time.Now().UnixNano())
		}
	}}
	ctx, cancel := context.WithTimeout(context.Background(), r.timeLimit()+patience)
	defer cancel()
	body, length := c.newBody()
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, body)
	if err != nil {
		r.err = err
		return
	}
	req.Host, req.ContentLength = host, length
	if c.random.IntN(chunkedShare) == 0 {
		req.ContentLength = -1
	}
	req.Header.Set("X-Primrosemoor-Attempt-Id", r.id)
	req.Header.Set("X-Primrosemoor-Deadline-Ms", fmt.Sprint(r.timeLimit().Milliseconds()))
	req.Header.Set("Api-Key", r.key)
	if r.output > 0 {
		req.Header.Set("X-Primrosemoor-Token-Count", fmt.Sprintf("%d,%d", r.prompt, r.output))
	}
	if r.resumes != "" {
		req.Header.Set("Resumes", r.resumes)
		req.Header.Set("Last-Event-Id", fmt.Sprint(r.after))
	}
	resp, err := client.Do(req)
	if err != nil {
		r.err = err
		return
	}
	defer resp.Body.Close()
	answer, err := readAnswer(resp.Body, cancel)
	r.status, r.body, r.err = resp.StatusCode, string(answer), err
	r.closes = resp.Close
	r.saysLeaving = resp.Header.Get("Server-Leaving") != ""
}
