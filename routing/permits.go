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
	// slowRetryInitialWait is the initial retry interval of requests whose service
	// has exhausted its retry budget.
	slowRetryInitialWait = time.Second
	// maxHops limits the redirects between groups in one attempt.
	maxHops = 3
	// maxReturnAttempts bounds the attempts to return a permit. After that, the
	// permit expires at its owner.
	maxReturnAttempts = 4
	returnTimeout     = 2 * time.Second
	// defaultRetryAfter is the retry delay suggested to clients when no owner is
	// available.
	defaultRetryAfter = 2 * time.Second
)

// Caller sends calls to peers.
type Caller interface {
	Call(ctx context.Context, address string, method schema.Method, req, resp proto.Message) error
}

// Owner is the local group owner of this node.
type Owner interface {
	Acquire(ctx context.Context, r *schema.PermitRequest) (*schema.PermitReply, error)
	Return(r *schema.PermitReturn)
	// AcceptHandover takes over permits granted by a group's previous owner.
	AcceptHandover(ctx context.Context, h *schema.HandoverRequest) (*schema.HandoverReply, error)
}

// Permits acquires permits from group owners for this entry node, and tracks them
// until they are returned.
type Permits struct {
	location Location
	caller   Caller
	local    Owner
	current  *topology.Current
	logger   *log.Logger
	budget   *retryBudget

	mu       sync.Mutex
	inFlight map[uint64]outstandingPermit
}

// outstandingPermit is a permit in use at this entry node.
type outstandingPermit struct {
	permit    *schema.Permit
	owner     string
	tokens    float64
	tier      uint32
	requestID string
	since     time.Time
}

// NewPermits returns a Permits for the entry node at location.
func NewPermits(location Location, caller Caller, local Owner, current *topology.Current, logger *log.Logger) *Permits {
	return &Permits{
		location: location,
		caller:   caller,
		local:    local,
		current:  current,
		logger:   logger,
		budget:   newRetryBudget(),
		inFlight: make(map[uint64]outstandingPermit),
	}
}

// Acquire requests a permit from the owners of the service's groups, in order of
// preference, until an owner grants one or refuses with an error that is not
// retryable, or the request's deadline passes. Errors are *fault.Error with outcome
// not run.
func (p *Permits) Acquire(ctx context.Context, r *schema.PermitRequest) (*schema.Permit, error) {
	a := &acquisition{
		permits:     p,
		request:     proto.CloneOf(r),
		arrival:     time.Now().Add(-r.GetWaited().AsDuration()),
		deadline:    time.Now().Add(r.GetDeadline().AsDuration()),
		backOff:     newBackOff(),
		slowBackOff: newSlowBackOff(),
	}
	ctx, cancel := context.WithDeadline(ctx, a.deadline)
	defer cancel()
	p.budget.deposit(r.GetService())
	permit, err := a.run(ctx)
	if err != nil {
		return nil, fault.From(err).WithOutcomeNotRun()
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
	b.InitialInterval = slowRetryInitialWait
	b.MaxInterval = 2 * slowRetryInitialWait
	return b
}

// acquisition is the state of one Acquire call.
type acquisition struct {
	permits     *Permits
	request     *schema.PermitRequest
	arrival     time.Time
	deadline    time.Time
	backOff     *backoff.ExponentialBackOff
	slowBackOff *backoff.ExponentialBackOff
}

// run tries the groups repeatedly until one grants a permit, an error is not
// retryable, or ctx ends.
func (a *acquisition) run(ctx context.Context) (*schema.Permit, error) {
	for {
		permit, err := a.tryGroups(ctx)
		if err == nil || !retryable(err) {
			return permit, err
		}
		if !a.waitToRetry(ctx) {
			return nil, a.contextError(ctx, err)
		}
	}
}

// waitToRetry waits before the next round and reports whether to continue. While
// the service has retry budget left, it waits for a backoff interval; after that,
// it waits for a change of the topology or a longer interval.
func (a *acquisition) waitToRetry(ctx context.Context) bool {
	if a.permits.budget.tryWithdraw(a.request.GetService()) {
		return delay.Sleep(ctx, a.backOff.NextBackOff())
	}
	_, changed := a.permits.current.LoadAndWatch()
	timer := time.NewTimer(a.slowBackOff.NextBackOff())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
		return delay.Sleep(ctx, a.backOff.NextBackOff())
	case <-timer.C:
		return true
	}
}

// tryGroups requests a permit from each group of the service once, in order of
// preference.
func (a *acquisition) tryGroups(ctx context.Context) (*schema.Permit, error) {
	snapshot := a.permits.current.Load()
	groups := OrderGroups(snapshot.ServiceGroups(a.request.GetService()), a.permits.location, a.request.GetPrefixBlocks())
	if len(groups) == 0 {
		return nil, fault.New(schema.ErrorKind_ERROR_KIND_NO_TARGET,
			"no target serves "+a.request.GetService(),
			"add a VM that runs the service to the register").WithRetryAfter(defaultRetryAfter)
	}
	var err error
	for _, g := range groups {
		var permit *schema.Permit
		permit, err = a.followRedirects(ctx, g.ID)
		if err == nil {
			return permit, nil
		}
		if ctx.Err() != nil {
			return nil, a.contextError(ctx, err)
		}
		if !retryable(err) && fault.KindOf(err) != schema.ErrorKind_ERROR_KIND_NO_TARGET {
			return nil, err
		}
	}
	return nil, err
}

// followRedirects requests a permit from a group and follows the redirects of its
// owner to other groups.
func (a *acquisition) followRedirects(ctx context.Context, group string) (*schema.Permit, error) {
	for hops := uint32(0); ; hops++ {
		a.request.Hops = hops
		reply, owner, err := a.requestPermit(ctx, group)
		if err != nil {
			return nil, err
		}
		if permit := reply.GetPermit(); permit != nil {
			a.permits.track(permit, owner, a.request)
			return permit, nil
		}
		if reply.GetRedirectGroup() == "" || hops >= maxHops {
			return nil, fault.New(schema.ErrorKind_ERROR_KIND_NOT_OWNER,
				"owners redirect in a circle", "retry; the owners' views are settling")
		}
		group = reply.GetRedirectGroup()
	}
}

// requestPermit sends the request to a group's owner and waits for the reply. It
// cancels the call when the group gets another owner, because the previous one may
// be paused or partitioned.
func (a *acquisition) requestPermit(ctx context.Context, group string) (*schema.PermitReply, string, error) {
	snapshot, changed := a.permits.current.LoadAndWatch()
	g, ok := snapshot.Group(group)
	if !ok || g.Owner == "" {
		return nil, "", fault.New(schema.ErrorKind_ERROR_KIND_NOT_OWNER,
			"group "+group+" has no owner", "retry; the owners' views are settling")
	}
	a.request.Group = group
	a.request.Waited = durationpb.New(time.Since(a.arrival))
	a.request.Deadline = durationpb.New(time.Until(a.deadline))
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go a.permits.cancelOnOwnerChange(callCtx, cancel, group, g.Owner, changed)
	reply, err := a.permits.sendToOwner(callCtx, snapshot, g.Owner, a.request)
	if err != nil && ctx.Err() == nil && callCtx.Err() != nil {
		return nil, "", fault.Wrap(schema.ErrorKind_ERROR_KIND_UNREACHABLE, err,
			"group "+group+" moved to another owner", "retry")
	}
	return reply, g.Owner, err
}

// cancelOnOwnerChange cancels a call when owner no longer owns the group. It
// returns when ctx ends.
func (p *Permits) cancelOnOwnerChange(ctx context.Context, cancel context.CancelFunc, group, owner string, changed <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		var snapshot *topology.Snapshot
		snapshot, changed = p.current.LoadAndWatch()
		if g, ok := snapshot.Group(group); !ok || g.Owner != owner {
			cancel()
			return
		}
	}
}

// sendToOwner sends the request to an owner, which may be this node.
func (p *Permits) sendToOwner(ctx context.Context, snapshot *topology.Snapshot, owner string, r *schema.PermitRequest) (*schema.PermitReply, error) {
	if owner == p.location.Node {
		return p.local.Acquire(ctx, proto.CloneOf(r))
	}
	member, ok := snapshot.Member(owner)
	if !ok {
		return nil, unknownOwnerError(owner)
	}
	reply := &schema.PermitReply{}
	err := p.caller.Call(ctx, member.GetPeerAddress(), schema.Method_METHOD_PERMIT, r, reply)
	return reply, err
}

// contextError returns the error of an acquisition whose ctx has ended: a timeout
// if the caller cancelled it, and otherwise an expired deadline.
func (a *acquisition) contextError(ctx context.Context, cause error) error {
	if context.Cause(ctx) == context.Canceled {
		return fault.Wrap(schema.ErrorKind_ERROR_KIND_TIMEOUT, cause, "the caller gave up", "send the request again")
	}
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_DEADLINE, cause,
		"no permit before the request's deadline",
		"retry later, or state a longer deadline").WithRetryAfter(defaultRetryAfter)
}

// retryable reports whether another attempt may succeed once the owner is reachable
// or the nodes agree on a new one.
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

func unknownOwnerError(owner string) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_UNREACHABLE,
		"owner "+owner+" is not a member", "retry; the owners' views are settling")
}
