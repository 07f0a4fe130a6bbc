package scenario

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/delay"
	"github.com/primrosemoor/primrosemoor/standin/caller"
	"github.com/primrosemoor/primrosemoor/standin/deployment"
	"github.com/primrosemoor/primrosemoor/standin/history"
)

// group holds the requests of one send command and their last responses.
type group struct {
	name    string
	options sendOptions
	random  *rand.Rand
	done    chan struct{}

	mu      sync.Mutex
	results map[int]history.Response
	err     error
}

// Kinds of requests, the values of the -kind flag of send.
const (
	kindStream   = "stream"
	kindWhole    = "whole"
	kindBook     = "book"
	kindCharge   = "charge"
	kindDispatch = "dispatch"
	kindLookup   = "lookup"
)

const chatPath = "/v1/chat/completions"

func newGroup(name string, o sendOptions, seed uint64) *group {
	return &group{
		name:    name,
		options: o,
		random:  rand.New(rand.NewPCG(seed, uint64(len(name)))),
		done:    make(chan struct{}),
		results: make(map[int]history.Response),
	}
}

// run sends the group's requests, at the configured rate and concurrency, and
// waits until all have ended.
func (g *group) run(ctx context.Context, d *deployment.Deployment, c *caller.Caller) {
	defer close(g.done)
	var wg sync.WaitGroup
	defer wg.Wait()
	semaphore := make(chan struct{}, g.options.Parallel)
	started := time.Now()
	for i := range g.options.Count {
		if g.options.Rate > 0 {
			due := started.Add(time.Duration(float64(i) / g.options.Rate * float64(time.Second)))
			if !delay.Sleep(ctx, time.Until(due)) {
				return
			}
		}
		entry := g.options.Entry
		if entry == entryAny {
			entry = pickNode(g.random, d.ServingNodes(), "")
		}
		prompt := g.prompt(i)
		select {
		case semaphore <- struct{}{}:
		case <-ctx.Done():
			return
		}
		wg.Go(func() {
			defer func() { <-semaphore }()
			g.request(ctx, d, c, i, entry, prompt)
		})
		for range g.options.Duplicates {
			duplicateEntry := pickNode(g.random, d.ServingNodes(), entry)
			wg.Go(func() { g.request(ctx, d, c, i, duplicateEntry, prompt) })
		}
	}
}

// fallbackNode is the entry node while the load balancer finds no node ready.
const fallbackNode = "n1"

// pickNode chooses a random node other than the excluded one. Without such a
// node it returns the excluded one, or fallbackNode if that is empty.
func pickNode(random *rand.Rand, nodes []deployment.Node, exclude string) string {
	var names []string
	for _, n := range nodes {
		if n.Name != exclude {
			names = append(names, n.Name)
		}
	}
	if len(names) == 0 {
		return cmp.Or(exclude, fallbackNode)
	}
	return names[random.IntN(len(names))]
}

// request sends one request and, up to the group's number of resends, sends it
// again through another entry node until it is answered successfully.
func (g *group) request(ctx context.Context, d *deployment.Deployment, c *caller.Caller, i int, entry, prompt string) {
	random := rand.New(rand.NewPCG(uint64(i), uint64(g.options.Count)))
	for attempt := 0; ; attempt++ {
		call, err := g.buildCall(d, i, entry, prompt)
		if err != nil {
			g.setError(err)
			return
		}
		attemptCtx, cancel := context.WithTimeout(ctx, g.options.Timeout)
		response, err := c.Send(attemptCtx, call)
		cancel()
		if err != nil {
			g.setError(err)
			return
		}
		g.recordResponse(i, response)
		if succeeded(response) || attempt >= g.options.Resend || !delay.Sleep(ctx, g.options.ResendAfter) {
			return
		}
		entry = pickNode(random, d.ServingNodes(), entry)
	}
}

// succeeded reports whether the response is a complete answer, after which the
// caller does not resend.
func succeeded(r history.Response) bool {
	return r.Result == history.ResultAnswer
}

// buildCall returns the i-th request of the group, addressed to an entry node.
func (g *group) buildCall(d *deployment.Deployment, i int, entry, prompt string) (caller.Call, error) {
	team, err := deployment.FindTeam(g.options.Team)
	if err != nil {
		return caller.Call{}, err
	}
	node, err := d.FindNode(entry)
	if err != nil {
		return caller.Call{}, err
	}
	call := caller.Call{URL: node.URL(), Key: team.Key(), Deadline: g.options.Deadline}
	call.Request = history.Request{
		ID:     g.requestID(i),
		Entry:  entry,
		Team:   team.Name,
		Rank:   team.Rank,
		Method: "POST",

		DeadlineMillis: g.options.Deadline.Milliseconds(),
	}
	if g.options.Kind == kindStream || g.options.Kind == kindWhole {
		call.Service, call.Path, call.Model = d.EngineService(), chatPath, d.Model()
		call.Chat, call.Stream = true, g.options.Kind == kindStream
		call.MaxTokens, call.Prompt = g.options.Tokens, prompt
		return call, nil
	}
	call.Service = d.PlainService()
	call.Path = "/services/" + call.Service + "/" + g.options.Kind
	call.Body = fmt.Sprintf(`{"booking":"%s-%d"}`, g.name, i)
	if g.options.Kind == kindLookup {
		call.Method, call.Body, call.Idempotent = "GET", "", true
	}
	return call, nil
}

// requestID returns the idempotency key of the i-th request, or an empty string
// if the group sends none.
func (g *group) requestID(i int) string {
	if g.options.NoKey {
		return ""
	}
	return fmt.Sprintf("%s-%d", g.name, i)
}

// prompt returns a prompt of the configured length. Each of the ten possible
// prefixes is shared by a tenth of the group, so that engines can reuse cached
// prefixes. All prompts that crash engines are identical.
func (g *group) prompt(i int) string {
	if g.options.Crash {
		return "please read: " + deployment.CrashMarker
	}
	text := fmt.Sprintf("farm %d asks: ", i%10)
	text += strings.Repeat("which walk suits a nervous grandparent? ", 1+g.options.Prompt/40)
	return text[:max(g.options.Prompt, 16)] + fmt.Sprintf(" (%s %d)", g.name, i)
}

// recordResponse stores the last response to a request; once a request has
// succeeded, later responses are ignored.
func (g *group) recordResponse(i int, r history.Response) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !succeeded(g.results[i]) {
		g.results[i] = r
	}
}

func (g *group) setError(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.err = err
}

// count returns the number of requests whose stored response matches.
func (g *group) count(match func(history.Response) bool) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, r := range g.results {
		if match(r) {
			n++
		}
	}
	return n
}
