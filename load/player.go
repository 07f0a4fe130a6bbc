// Package load sends a list of timed requests to nodes in an open loop: each
// request is sent at its scheduled time, regardless of how many are unanswered,
// and latencies are measured from that time. It connects to loopback addresses
// only. The number of requests, the duration and the requests in flight are
// bounded.
package load

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosemoor/primrosemoor/delay"
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/trace"
)

const (
	// DefaultMaxInFlight is the default limit of requests in flight.
	DefaultMaxInFlight = 4096
	dialTimeout        = 5 * time.Second
)

// errTooManyInFlight is the error kind of a request that was not sent because too
// many requests were in flight.
const errTooManyInFlight = "generator-overloaded"

// Options configures a Player.
type Options struct {
	// URLs are the base URLs of nodes, used round robin.
	URLs []string
	// Key returns the bearer key of a team.
	Key func(team string) string
	// RunID is a prefix of all request ids. It makes the ids of two runs of one
	// trace distinct.
	RunID string
	// AnswerTimeout limits the duration of one request; 0 means no limit.
	AnswerTimeout time.Duration
	// MaxInFlight limits the requests in flight; 0 means DefaultMaxInFlight.
	MaxInFlight int
}

// Player sends the requests of a trace at their scheduled times.
type Player struct {
	options  Options
	client   *http.Client
	next     atomic.Uint64
	inFlight atomic.Int64
	sent     atomic.Int64
	finished atomic.Int64
}

// NewPlayer returns a player, or an error of kind bad-request if no URL is given or
// one is not an HTTP URL of a loopback address.
func NewPlayer(options Options) (*Player, error) {
	if options.MaxInFlight <= 0 {
		options.MaxInFlight = DefaultMaxInFlight
	}
	if len(options.URLs) == 0 {
		return nil, badRequest("no node URL is given", "give the base URL of a node with --url")
	}
	for i, u := range options.URLs {
		if err := checkURL(u); err != nil {
			return nil, err
		}
		options.URLs[i] = strings.TrimSuffix(u, "/")
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: options.MaxInFlight,
		DisableCompression:  true,
	}
	return &Player{options: options, client: &http.Client{Transport: transport}}, nil
}

func checkURL(text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" {
		return badRequest(fmt.Sprintf("%q is not an HTTP URL", text), `write a URL such as "http://127.0.1.101:8080"`)
	}
	ip, err := netip.ParseAddr(u.Hostname())
	if err != nil || !ip.IsLoopback() {
		return badRequest(fmt.Sprintf("%q is not a loopback address", u.Hostname()), "load is sent to addresses of this VM only, such as 127.0.1.101")
	}
	return nil
}

func badRequest(message, remedy string) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_BAD_REQUEST, message, remedy)
}

// Progress counts the requests of a run so far.
type Progress struct {
	Sent, Finished, InFlight int64
}

// Progress returns the current counts of the run.
func (p *Player) Progress() Progress {
	return Progress{Sent: p.sent.Load(), Finished: p.finished.Load(), InFlight: p.inFlight.Load()}
}

// Play sends the requests, which must be sorted by time, and returns their results
// in the same order. If ctx is cancelled, the results of requests not yet sent
// are omitted.
func (p *Player) Play(ctx context.Context, requests []trace.Request) []trace.Result {
	results := make([]trace.Result, len(requests))
	start := time.Now()
	var running sync.WaitGroup
	attempted := 0
	for i, q := range requests {
		if !delay.Sleep(ctx, time.Until(start.Add(time.Duration(q.At)*time.Millisecond))) {
			break
		}
		attempted++
		if p.inFlight.Load() >= int64(p.options.MaxInFlight) {
			results[i] = trace.Result{Request: q, Ending: trace.EndingBroken, Error: errTooManyInFlight}
			continue
		}
		p.inFlight.Add(1)
		p.sent.Add(1)
		running.Go(func() {
			results[i] = p.send(ctx, q, start)
			p.inFlight.Add(-1)
			p.finished.Add(1)
		})
	}
	running.Wait()
	return results[:attempted]
}

// nextURL returns the base URL of the next node, round robin.
func (p *Player) nextURL() string {
	n := p.next.Add(1)
	return p.options.URLs[n%uint64(len(p.options.URLs))]
}
