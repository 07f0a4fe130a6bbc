package entrysoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	callerCount = 12
	// pause between two requests of a caller, at most.
	maxPause = 40 * time.Millisecond
	// timeLimit is stated by callers; they leave a little later.
	timeLimit = 3 * time.Second
	leaveTime = timeLimit + time.Second
	// The balancer asks each node this often and takes it out after two misses.
	readyInterval = 300 * time.Millisecond
	misses        = 2
)

var routes = []string{"book", "look", "chat", "draft"}

// balancer knows which nodes take new connections.
type balancer struct {
	mu     sync.Mutex
	missed map[*node]int
}

func (b *balancer) run(ctx context.Context, nodes []*node) {
	for ctx.Err() == nil {
		for _, n := range nodes {
			go func() {
				ready := n.ready(ctx)
				b.mu.Lock()
				defer b.mu.Unlock()
				if ready {
					b.missed[n] = 0
				} else {
					b.missed[n]++
				}
			}()
		}
		select {
		case <-time.After(readyInterval):
		case <-ctx.Done():
		}
	}
}

// pick returns one of the nodes in rotation, or any if there is none.
func (b *balancer) pick(random *rand.Rand, nodes []*node) *node {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*node
	for _, n := range nodes {
		if b.missed[n] < misses {
			in = append(in, n)
		}
	}
	if len(in) == 0 {
		in = nodes
	}
	return in[random.IntN(len(in))]
}

// caller sends one request after the other. It keeps its connection, and with
// it its node, until the connection fails.
type caller struct {
	world    *world
	balancer *balancer
	name     string
	random   *rand.Rand
	// key gives the key of the next request.
	key func() string
}

func (c *caller) run(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		// A request that failed is not sent again behind the caller's back.
		MaxIdleConnsPerHost: 1,
	}, Timeout: leaveTime}
	defer client.CloseIdleConnections()
	at := c.balancer.pick(c.random, c.world.nodes)
	for i := 0; ctx.Err() == nil; i++ {
		r := request{
			id: fmt.Sprintf("%s-%d", c.name, i), route: routes[c.random.IntN(len(routes))], key: c.key(), node: at.name, sent: time.Now(),
		}
		c.send(client, at, &r)
		r.ended = time.Now()
		c.world.history.add(r)
		if r.err != nil {
			client.CloseIdleConnections()
			at = c.balancer.pick(c.random, c.world.nodes)
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(maxPause))))
	}
}

func (c *caller) send(client *http.Client, at *node, r *request) {
	url := fmt.Sprintf("http://%s:%d/%s/x", at.ip, callersPort, r.route)
	// A body that cannot be read twice keeps the transport from sending it twice.
	req, err := http.NewRequest(http.MethodPost, url, io.MultiReader(strings.NewReader("body")))
	if err != nil {
		r.err = err
		return
	}
	req.Host, req.ContentLength = host, int64(len("body"))
	req.Header.Set("X-Primrosemoor-Attempt-Id", r.id)
	req.Header.Set("X-Primrosemoor-Deadline-Ms", fmt.Sprint(timeLimit.Milliseconds()))
	req.Header.Set("Api-Key", r.key)
	resp, err := client.Do(req)
	if err != nil {
		r.err = err
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r.status, r.body, r.err = resp.StatusCode, string(body), err
}
