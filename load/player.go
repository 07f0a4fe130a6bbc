// Package load plays a list of timed requests against nodes, open loop: a
// request is sent when its time has come, however many are still unanswered,
// and every time is counted from that moment. It reaches loopback addresses
// only, and is bounded in count, time and requests in flight.
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
	// DefaultMaxInFlight bounds the unanswered requests.
	DefaultMaxInFlight = 4096
	dialTimeout        = 5 * time.Second
)

// errInFlight is the error kind of a request that was not sent because too
// many were unanswered.
const errInFlight = "generator-overloaded"

// Options configures a Player.
type Options struct {
	// URLs are the base URLs of nodes; requests go to them in turn.
	URLs []string
	// Key returns the bearer key of a team.
	Key func(team string) string
	// RunID precedes every request id, so that two runs of a trace differ.
	RunID string
	// AnswerTimeout bounds one request.
	AnswerTimeout time.Duration
	// MaxInFlight; 0 means DefaultMaxInFlight.
	MaxInFlight int
}

// Player sends requests.
type Player struct {
	options  Options
	client   *http.Client
	next     atomic.Uint64
	inFlight atomic.Int64
	sent     atomic.Int64
	finished atomic.Int64
}

// NewPlayer returns a player, or an error of kind bad-request if a URL is not
// that of a loopback address.
func NewPlayer(options Options) (*Player, error) {
	if options.MaxInFlight <= 0 {
		options.MaxInFlight = DefaultMaxInFlight
	}
	if len(options.URLs) == 0 {
		return nil, refused("no node is named", "give the base URL of a node with --url")
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
		return refused(fmt.Sprintf("%q is no HTTP URL", text), `write a URL such as "http://127.0.1.101:8080"`)
	}
	ip, err := netip.ParseAddr(u.Hostname())
	if err != nil || !ip.IsLoopback() {
		return refused(fmt.Sprintf("%q is no loopback address", u.Hostname()), "load is sent to addresses of this VM only, such as 127.0.1.101")
	}
	return nil
}

func refused(message, remedy string) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_BAD_REQUEST, message, remedy)
}

// Progress is how far a run has come.
type Progress struct {
	Sent, Finished, InFlight int64
}

// Progress returns how far the run has come.
func (p *Player) Progress() Progress {
	return Progress{Sent: p.sent.Load(), Finished: p.finished.Load(), InFlight: p.inFlight.Load()}
}

// Play sends the requests, which must be in order of time, and returns their
// results in the same order. When the context ends, what was not sent yet is
// left out.
func (p *Player) Play(ctx context.Context, requests []trace.Request) []trace.Result {
	results := make([]trace.Result, len(requests))
	began := time.Now()
	var running sync.WaitGroup
	played := 0
	for i, q := range requests {
		if !delay.Sleep(ctx, time.Until(began.Add(time.Duration(q.At)*time.Millisecond))) {
			break
		}
		played++
		if p.inFlight.Load() >= int64(p.options.MaxInFlight) {
			results[i] = trace.Result{Request: q, Ending: trace.EndingBroken, Error: errInFlight}
			continue
		}
		p.inFlight.Add(1)
		p.sent.Add(1)
		running.Go(func() {
			results[i] = p.send(ctx, q, began)
			p.inFlight.Add(-1)
			p.finished.Add(1)
		})
	}
	running.Wait()
	return results[:played]
}

// url returns the next node's base URL.
func (p *Player) url() string {
	n := p.next.Add(1)
	return p.options.URLs[n%uint64(len(p.options.URLs))]
}
