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

// group is a set of requests that one send command sends.
type group struct {
	name    string
	options sendOptions
	random  *rand.Rand
	done    chan struct{}

	mu      sync.Mutex
	results map[int]history.Response
	err     error
}

// kinds of requests that send knows.
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

// run sends the group's requests and waits for their ends.
func (g *group) run(ctx context.Context, d *deployment.Deployment, c *caller.Caller) {
	defer close(g.done)
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, g.options.Parallel)
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
			entry = pick(g.random, d.ServingNodes(), "")
		}
		prompt := g.prompt(i)
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		wg.Go(func() {
			defer func() { <-slots }()
			g.request(ctx, d, c, i, entry, prompt)
		})
		for range g.options.Duplicates {
			other := pick(g.random, d.ServingNodes(), entry)
			wg.Go(func() { g.request(ctx, d, c, i, other, prompt) })
		}
	}
}

// anyNode is asked when the balancer finds no node ready.
const anyNode = "n1"

// pick chooses one of the nodes, but for the one given.
func pick(random *rand.Rand, nodes []deployment.Node, not string) string {
	var names []string
	for _, n := range nodes {
		if n.Name != not {
			names = append(names, n.Name)
		}
	}
	if len(names) == 0 {
		return cmp.Or(not, anyNode)
	}
	return names[random.IntN(len(names))]
}

// request sends one request, and again to another entry while its outcome is
// not known to its caller.
func (g *group) request(ctx context.Context, d *deployment.Deployment, c *caller.Caller, i int, entry, prompt string) {
	random := rand.New(rand.NewPCG(uint64(i), uint64(g.options.Count)))
	for try := 0; ; try++ {
		call, err := g.call(d, i, entry, prompt)
		if err != nil {
			g.fail(err)
			return
		}
		limited, cancel := context.WithTimeout(ctx, g.options.Timeout)
		response, err := c.Send(limited, call)
		cancel()
		if err != nil {
			g.fail(err)
			return
		}
		g.note(i, response)
		if settled(response) || try >= g.options.Resend || !delay.Sleep(ctx, g.options.ResendAfter) {
			return
		}
		entry = pick(random, d.ServingNodes(), entry)
	}
}

// settled reports whether a caller has no reason to send again.
func settled(r history.Response) bool {
	return r.Result == history.ResultAnswer
}

func (g *group) call(d *deployment.Deployment, i int, entry, prompt string) (caller.Call, error) {
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
		ID:     g.id(i),
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

// id returns the key that the caller gives a request, if any.
func (g *group) id(i int) string {
	if g.options.NoKey {
		return ""
	}
	return fmt.Sprintf("%s-%d", g.name, i)
}

// prompt returns a text of the group's length; the start is shared by a tenth
// of the group. Prompts that crash engines are all alike.
func (g *group) prompt(i int) string {
	if g.options.Crash {
		return "please read: " + deployment.CrashMarker
	}
	text := fmt.Sprintf("farm %d asks: ", i%10)
	text += strings.Repeat("which walk suits a nervous grandparent? ", 1+g.options.Prompt/40)
	return text[:max(g.options.Prompt, 16)] + fmt.Sprintf(" (%s %d)", g.name, i)
}

// note keeps the last response to a request; an answer is kept for good.
func (g *group) note(i int, r history.Response) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !settled(g.results[i]) {
		g.results[i] = r
	}
}

func (g *group) fail(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.err = err
}

// count returns the number of requests whose last response satisfies want.
func (g *group) count(want func(history.Response) bool) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, r := range g.results {
		if want(r) {
			n++
		}
	}
	return n
}
