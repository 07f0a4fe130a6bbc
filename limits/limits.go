// Package limits keeps each team within its requests per second, tokens per
// second and requests in flight over all nodes, without a call for each
// request. Every node holds a base share of each limit; a node that needs more
// asks the team's allocator, which is the node that rendezvous hashing names,
// and is granted a share for a short time.
//
// The grants of one allocator never exceed the limit. Beyond the limit may
// pass: four seconds' worth after a quiet time, four requests for each node,
// the tokens of the requests just admitted, and, for the time of a grant, what
// a node holds that did not hear of its lower share or that follows another
// allocator. Requests in
// flight may reach twice the limit, and one for each node, until the nodes
// have asked.
package limits

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/logging"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

const (
	minInterval = time.Second
	// urgentShare is the part of an interval after which a node that is short
	// may bring its next report forward.
	urgentShare     = 4
	maxInterval     = 10 * time.Second
	intervalPerNode = 25 * time.Millisecond
	// grantIntervals is how many report intervals a grant lasts.
	grantIntervals = 3
)

// Peers reaches the allocators on other nodes.
type Peers interface {
	// LimitShare asks the node at a peer address.
	LimitShare(ctx context.Context, address string, r *schema.LimitShareRequest) (*schema.LimitShareReply, error)
}

// Options configures a Limiter.
type Options struct {
	// Node is this node's name.
	Node  string
	Peers Peers
	// Logger may be nil.
	Logger *log.Logger
}

// Limiter admits requests within their teams' limits. Allow and Done may be
// called by many goroutines.
type Limiter struct {
	options Options
	logger  *log.Logger
	view    atomic.Pointer[view]
	applied chan *topology.Snapshot
	asks    chan ask
	granted chan grants
	urgent  chan struct{}
}

// view is an immutable table of the limited teams and their allocators.
type view struct {
	buckets    map[string]*bucket
	allocators *rendezvous.Rendezvous
	addresses  map[string]string
	nodes      int
}

// ask is a peer's question, answered on reply.
type ask struct {
	request *schema.LimitShareRequest
	reply   chan *schema.LimitShareReply
}

// grants is an allocator's answer to this node.
type grants struct {
	reply *schema.LimitShareReply
	asked time.Time
}

// New returns a limiter that admits everything until the first ApplyTopology.
func New(options Options) *Limiter {
	l := &Limiter{
		options: options,
		logger:  options.Logger,
		applied: make(chan *topology.Snapshot, 1),
		asks:    make(chan ask),
		granted: make(chan grants),
		urgent:  make(chan struct{}, 1),
	}
	if l.logger == nil {
		l.logger = logging.Discard()
	}
	l.view.Store(&view{})
	return l
}

// ApplyTopology puts the limits and members of a snapshot in force. It may be
// called before Run and does not block.
func (l *Limiter) ApplyTopology(s *topology.Snapshot) {
	for {
		select {
		case l.applied <- s:
			return
		case <-l.applied:
			// An older snapshot that was not taken up yet gives way.
		}
	}
}

// Allow admits one request of a team whose prompt holds the given tokens, or
// returns an error of kind limit-exceeded with the time to wait; then the
// request was not run. Done must follow each admission.
func (l *Limiter) Allow(team string, tokens uint32) error {
	b := l.view.Load().buckets[team]
	if b == nil {
		return nil
	}
	return b.allow(time.Now(), float64(tokens))
}

// Done ends an admitted request and charges the tokens generated.
func (l *Limiter) Done(team string, tokens uint32) {
	if b := l.view.Load().buckets[team]; b != nil {
		b.done(time.Now(), float64(tokens))
	}
}

// HandleShare answers another node that asks for shares.
func (l *Limiter) HandleShare(ctx context.Context, _ peer.Identity, r *schema.LimitShareRequest) (*schema.LimitShareReply, error) {
	a := ask{request: r, reply: make(chan *schema.LimitShareReply, 1)}
	select {
	case l.asks <- a:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case reply := <-a.reply:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *Limiter) newView(now time.Time, s *topology.Snapshot, old *view) *view {
	v := &view{buckets: make(map[string]*bucket), addresses: make(map[string]string)}
	var nodes []string
	for _, m := range s.Members {
		if m.GetState() == schema.MemberState_MEMBER_STATE_ACTIVE {
			nodes = append(nodes, m.GetNode())
			v.addresses[m.GetNode()] = m.GetPeerAddress()
		}
	}
	v.nodes = max(1, len(nodes))
	v.allocators = rendezvous.New(nodes, xxhash.Sum64String)
	for _, team := range s.Config.GetTeams() {
		limit := amounts{team.GetRequestsPerSecond(), team.GetTokensPerSecond(), float64(team.GetMaxInFlight())}
		if limit == (amounts{}) {
			continue
		}
		b := old.buckets[team.GetName()]
		if b == nil {
			b = newBucket(now, team.GetName(), limit, v.nodes, l.urgent)
		} else {
			b.configure(now, limit, v.nodes)
		}
		v.buckets[team.GetName()] = b
	}
	return v
}

// allocator returns the node that allocates a team's limits, or "".
func (v *view) allocator(team string) string {
	if len(v.addresses) == 0 {
		return ""
	}
	return v.allocators.Lookup("limits/" + team)
}

// sameMembers reports whether both views hold the same nodes.
func (v *view) sameMembers(other *view) bool {
	if len(v.addresses) != len(other.addresses) {
		return false
	}
	for node := range v.addresses {
		if _, ok := other.addresses[node]; !ok {
			return false
		}
	}
	return true
}

// interval is the time between reports; it grows with the number of nodes, so
// that an allocator's work does not.
func (v *view) interval() time.Duration {
	return min(maxInterval, max(minInterval, time.Duration(v.nodes)*intervalPerNode))
}

func (v *view) grantTime() time.Duration { return grantIntervals * v.interval() }
