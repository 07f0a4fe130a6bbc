package routing

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/delay"
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

const (
	retryInitialWait = 20 * time.Millisecond
	retryMaxWait     = 500 * time.Millisecond
	// slowRetryWait is the first wait of requests beyond the retry budget.
	slowRetryWait = time.Second
	maxHops       = 3
	// returnTries bounds the attempts to deliver a permit's return; after
	// that the permit expires at its owner.
	returnTries   = 4
	returnTimeout = 2 * time.Second
	// retryAfterDefault is the advice given when no owner can be asked.
	retryAfterDefault = 2 * time.Second
)

// Caller sends one request to a peer.
type Caller interface {
	Call(ctx context.Context, address string, method schema.Method, req, resp proto.Message) error
}

// Owner is this node's own group owner.
type Owner interface {
	Acquire(ctx context.Context, r *schema.PermitRequest) (*schema.PermitReply, error)
	Return(r *schema.PermitReturn)
	// AcceptHandover takes over permits that a group's previous owner granted.
	AcceptHandover(ctx context.Context, h *schema.HandoverRequest) (*schema.HandoverReply, error)
}

// Permits acquires permits from group owners for this entry.
type Permits struct {
	place   Place
	caller  Caller
	local   Owner
	current *topology.Current
	logger  *log.Logger
	budget  *budget

	mu       sync.Mutex
	inFlight map[uint64]granted
}

// granted is a permit in use at this entry.
type granted struct {
	permit *schema.Permit
	owner  string
	tokens float64
	tier   uint32
	id     string
	since  time.Time
}

// NewPermits returns a Permits for the entry at place.
func NewPermits(place Place, caller Caller, local Owner, current *topology.Current, logger *log.Logger) *Permits {
	return &Permits{
		place:    place,
		caller:   caller,
		local:    local,
		current:  current,
		logger:   logger,
		budget:   newBudget(),
		inFlight: make(map[uint64]granted),
	}
}

// Acquire asks the owners of the service's groups, the preferred one first,
// until one grants a permit, the request's deadline has passed, or an owner
// refuses for good. Errors are *fault.Error with outcome not run.
func (p *Permits) Acquire(ctx context.Context, r *schema.PermitRequest) (*schema.Permit, error) {
	s := &search{
		permits:  p,
		request:  proto.CloneOf(r),
		arrival:  time.Now().Add(-r.GetWaited().AsDuration()),
		deadline: time.Now().Add(r.GetDeadline().AsDuration()),
		wait:     newBackOff(),
		slow:     newSlowBackOff(),
	}
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	p.budget.earn(r.GetService())
	permit, err := s.run(ctx)
	if err != nil {
		return nil, fault.From(err).NotRun()
	}
	return permit, nil
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = retryInitialWait
	b.MaxInterval = retryMaxWait
	return b
}

func newSlowBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = slowRetryWait
	b.MaxInterval = 2 * slowRetryWait
	return b
}

// search is one request's way through the owners.
type search struct {
	permits  *Permits
	request  *schema.PermitRequest
	arrival  time.Time
	deadline time.Time
	wait     *backoff.ExponentialBackOff
	slow     *backoff.ExponentialBackOff
}

func (s *search) run(ctx context.Context) (*schema.Permit, error) {
	for {
		permit, err := s.tryGroups(ctx)
		if err == nil || !retryable(err) {
			return permit, err
		}
		if !s.pause(ctx) {
			return nil, s.expired(ctx, err)
		}
	}
}

// pause waits before the next round: a backoff while the service's retry
// budget lasts, and after that until the owners change.
func (s *search) pause(ctx context.Context) bool {
	if s.permits.budget.spend(s.request.GetService()) {
		return delay.Sleep(ctx, s.wait.NextBackOff())
	}
	_, changed := s.permits.current.Wait()
	timer := time.NewTimer(s.slow.NextBackOff())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
		return delay.Sleep(ctx, s.wait.NextBackOff())
	case <-timer.C:
		return true
	}
}

// tryGroups asks each group of the service once, in order of preference.
func (s *search) tryGroups(ctx context.Context) (*schema.Permit, error) {
	snapshot := s.permits.current.Load()
	groups := Order(snapshot.ServiceGroups(s.request.GetService()), s.permits.place, s.request.GetPrefixBlocks())
	if len(groups) == 0 {
		return nil, fault.New(schema.ErrorKind_ERROR_KIND_NO_TARGET,
			"no target serves "+s.request.GetService(),
			"add a VM that runs the service to the register").After(retryAfterDefault)
	}
	var err error
	for _, g := range groups {
		var permit *schema.Permit
		permit, err = s.follow(ctx, g.ID)
		if err == nil {
			return permit, nil
		}
		if ctx.Err() != nil {
			return nil, s.expired(ctx, err)
		}
		if !retryable(err) && fault.KindOf(err) != schema.ErrorKind_ERROR_KIND_NO_TARGET {
			return nil, err
		}
	}
	return nil, err
}

// follow asks a group and the groups that its owner names instead.
func (s *search) follow(ctx context.Context, group string) (*schema.Permit, error) {
	for hops := uint32(0); ; hops++ {
		s.request.Hops = hops
		reply, owner, err := s.ask(ctx, group)
		if err != nil {
			return nil, err
		}
		if permit := reply.GetPermit(); permit != nil {
			s.permits.remember(permit, owner, s.request)
			return permit, nil
		}
		if reply.GetRedirectGroup() == "" || hops >= maxHops {
			return nil, fault.New(schema.ErrorKind_ERROR_KIND_NOT_OWNER,
				"owners redirect in a circle", "retry; the owners' views are settling")
		}
		group = reply.GetRedirectGroup()
	}
}

// ask sends the request to a group's owner and waits. It gives up when the
// group gets another owner, because the old one may be paused or cut off.
func (s *search) ask(ctx context.Context, group string) (*schema.PermitReply, string, error) {
	snapshot, changed := s.permits.current.Wait()
	g, ok := snapshot.Group(group)
	if !ok || g.Owner == "" {
		return nil, "", fault.New(schema.ErrorKind_ERROR_KIND_NOT_OWNER,
			"group "+group+" has no owner", "retry; the owners' views are settling")
	}
	s.request.Group = group
	s.request.Waited = durationpb.New(time.Since(s.arrival))
	s.request.Deadline = durationpb.New(time.Until(s.deadline))
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.permits.cancelOnMove(callCtx, cancel, group, g.Owner, changed)
	reply, err := s.permits.send(callCtx, snapshot, g.Owner, s.request)
	if err != nil && ctx.Err() == nil && callCtx.Err() != nil {
		return nil, "", fault.Wrap(schema.ErrorKind_ERROR_KIND_UNREACHABLE, err,
			"group "+group+" moved to another owner", "retry")
	}
	return reply, g.Owner, err
}

// cancelOnMove cancels a call when the group's owner is no longer owner.
func (p *Permits) cancelOnMove(ctx context.Context, cancel context.CancelFunc, group, owner string, changed <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		var snapshot *topology.Snapshot
		snapshot, changed = p.current.Wait()
		if g, ok := snapshot.Group(group); !ok || g.Owner != owner {
			cancel()
			return
		}
	}
}

func (p *Permits) send(ctx context.Context, snapshot *topology.Snapshot, owner string, r *schema.PermitRequest) (*schema.PermitReply, error) {
	if owner == p.place.Node {
		return p.local.Acquire(ctx, proto.CloneOf(r))
	}
	member, ok := snapshot.Member(owner)
	if !ok {
		return nil, unknownOwner(owner)
	}
	reply := &schema.PermitReply{}
	err := p.caller.Call(ctx, member.GetPeerAddress(), schema.Method_METHOD_PERMIT, r, reply)
	return reply, err
}

func (s *search) expired(ctx context.Context, cause error) error {
	if context.Cause(ctx) == context.Canceled {
		return fault.Wrap(schema.ErrorKind_ERROR_KIND_TIMEOUT, cause, "the caller gave up", "send the request again")
	}
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_DEADLINE, cause,
		"no permit before the request's deadline",
		"retry later, or state a longer deadline").After(retryAfterDefault)
}

func retryable(err error) bool {
	switch fault.KindOf(err) {
	case schema.ErrorKind_ERROR_KIND_NOT_OWNER,
		schema.ErrorKind_ERROR_KIND_UNREACHABLE,
		schema.ErrorKind_ERROR_KIND_DRAINING:
		return true
	default:
		return false
	}
}

func unknownOwner(owner string) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_UNREACHABLE,
		"owner "+owner+" is not a member", "retry; the owners' views are settling")
}
