// Package limits enforces each team's limits of requests per second, tokens per
// second and requests in flight across all nodes, without a remote call per
// request. Every node has a base share of each limit. A node that needs more
// reports its demand to the team's allocator, which rendezvous hashing selects
// among the nodes, and gets a grant for a short time.
//
// The grants of one allocator never exceed the limit. Admissions may exceed it
// by four seconds' worth of the limit after an idle period, by four requests for
// each node, by the tokens of the requests just admitted, and, for the duration
// of a grant, by the share of a node that has not received its lower share or
// that follows another allocator. Requests in flight may reach twice the limit
// plus one for each node until the nodes have reported their demand.
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
	// minInterval and maxInterval bound the time between reports.
	minInterval = time.Second
	// earlyReportDivisor divides the report interval; after that part of it, a
	// node whose share runs low may send its next report early.
	earlyReportDivisor = 4
	maxInterval        = 10 * time.Second
	intervalPerNode    = 25 * time.Millisecond
	// grantIntervals is the duration of a grant in report intervals.
	grantIntervals = 3
)

// Peers calls the allocators on other nodes.
type Peers interface {
	// LimitShare reports demands to the node at a peer address and returns the
	// shares that it grants.
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

// Limiter admits requests within their teams' limits. Allow and ChargeOutput
// are safe for concurrent use.
type Limiter struct {
	options       Options
	logger        *log.Logger
	view          atomic.Pointer[view]
	snapshots     chan *topology.Snapshot
	shareRequests chan shareRequest
	grantReplies  chan grantReply
	earlyReports  chan struct{}
}

// view is a table of the limited teams and the nodes that may be their
// allocators. It does not change once it is stored.
type view struct {
	buckets    map[string]*bucket
	allocators *rendezvous.Rendezvous
	addresses  map[string]string
	nodes      int
}

// shareRequest is a peer's request for shares, answered on reply.
type shareRequest struct {
	request *schema.LimitShareRequest
	reply   chan *schema.LimitShareReply
}

// grantReply is an allocator's reply to a request that this node sent at
// requestedAt.
type grantReply struct {
	reply       *schema.LimitShareReply
	requestedAt time.Time
}

// New returns a Limiter that admits every request until the first topology is
// applied.
func New(options Options) *Limiter {
	l := &Limiter{
		options:       options,
		logger:        options.Logger,
		snapshots:     make(chan *topology.Snapshot, 1),
		shareRequests: make(chan shareRequest),
		grantReplies:  make(chan grantReply),
		earlyReports:  make(chan struct{}, 1),
	}
	if l.logger == nil {
		l.logger = logging.Discard()
	}
	l.view.Store(&view{})
	return l
}

// ApplyTopology queues a snapshot, whose limits and members Run puts in force.
// It may be called before Run and does not block.
func (l *Limiter) ApplyTopology(s *topology.Snapshot) {
	for {
		select {
		case l.snapshots <- s:
			return
		case <-l.snapshots:
			// Discards an older snapshot that Run has not received yet.
		}
	}
}

// Allow admits one request of a team whose prompt has the given number of
// tokens. If a limit is exceeded, it returns an error of kind limit-exceeded
// with outcome not-run and the time to wait. Callers must call ChargeOutput
// once for each admitted request.
func (l *Limiter) Allow(team string, tokens uint32) error {
	b := l.view.Load().buckets[team]
	if b == nil {
		return nil
	}
	return b.allow(time.Now(), float64(tokens))
}

// ChargeOutput ends an admitted request and charges the tokens generated.
func (l *Limiter) ChargeOutput(team string, tokens uint32) {
	if b := l.view.Load().buckets[team]; b != nil {
		b.done(time.Now(), float64(tokens))
	}
}

// HandleShare answers another node's request for shares.
func (l *Limiter) HandleShare(ctx context.Context, _ peer.Identity, r *schema.LimitShareRequest) (*schema.LimitShareReply, error) {
	a := shareRequest{request: r, reply: make(chan *schema.LimitShareReply, 1)}
	select {
	case l.shareRequests <- a:
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

// newView returns the view of a snapshot. It keeps and reconfigures the buckets
// of the old view.
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
			b = newBucket(now, team.GetName(), limit, v.nodes, l.earlyReports)
		} else {
			b.configure(now, limit, v.nodes)
		}
		v.buckets[team.GetName()] = b
	}
	return v
}

// allocatorFor returns the node that allocates a team's limits, or "" if there
// are no active nodes.
func (v *view) allocatorFor(team string) string {
	if len(v.addresses) == 0 {
		return ""
	}
	return v.allocators.Lookup("limits/" + team)
}

// sameMembers reports whether both views have the same active nodes.
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

// interval returns the time between reports. It grows with the number of nodes,
// so that the rate of reports to an allocator does not.
func (v *view) interval() time.Duration {
	return min(maxInterval, max(minInterval, time.Duration(v.nodes)*intervalPerNode))
}

func (v *view) grantDuration() time.Duration { return grantIntervals * v.interval() }
