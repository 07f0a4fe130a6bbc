package routing

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/delay"
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

const (
	// claimTimeout bounds a claim or a finish, including all retries.
	claimTimeout = 5 * time.Second
	// ownerTimeout bounds one call to an owner. It allows for a slow object API.
	ownerTimeout = 2 * time.Second
	// viewConvergenceTime is how long the nodes' views of a shard's owner may
	// differ before this entry node uses its local ledger.
	viewConvergenceTime = time.Second
)

// Ledger is the local ledger of this node.
type Ledger interface {
	Claim(ctx context.Context, r *schema.ClaimRequest) (*schema.ClaimReply, error)
	Finish(ctx context.Context, r *schema.FinishRequest) (*schema.FinishReply, error)
	ShardOf(team, requestID string) uint32
}

// Claims sends claims and their results to the owners of the ledger shards on
// behalf of this entry node.
type Claims struct {
	location Location
	caller   Caller
	local    Ledger
	current  *topology.Current

	mu sync.Mutex
	// localAttempts holds the attempts that were sent to the shard's owner and also
	// claimed from the local ledger.
	localAttempts map[string]struct{}
}

// NewClaims returns a Claims for the entry node at location.
func NewClaims(location Location, caller Caller, local Ledger, current *topology.Current) *Claims {
	return &Claims{
		location:      location,
		caller:        caller,
		local:         local,
		current:       current,
		localAttempts: make(map[string]struct{}),
	}
}

// Claim requests the exclusive right to run a request id. If the owner is lost, the
// claim is sent to its replacement under the same attempt, which finds a claim that
// was stored but not confirmed. Errors that leave the outcome unspecified get the
// outcome not run, because this entry node does not dispatch without a claim.
func (c *Claims) Claim(ctx context.Context, r *schema.ClaimRequest) (*schema.ClaimReply, error) {
	var reply *schema.ClaimReply
	start := time.Now()
	err := c.retry(ctx, func(ctx context.Context) error {
		var err error
		reply, err = c.claim(ctx, start, r)
		return err
	})
	if err != nil {
		return nil, claimError(err)
	}
	return reply, nil
}

// claimError sets the outcome of an error to not run if it is unspecified.
func claimError(err error) error {
	e := fault.From(err)
	if e.Outcome == schema.Outcome_OUTCOME_UNSPECIFIED {
		return e.WithOutcomeNotRun()
	}
	return e
}

// Finish records the progress or the result of a claimed request. An attempt that
// was also claimed from the local ledger is released at both nodes, because either
// write may come last.
func (c *Claims) Finish(ctx context.Context, r *schema.FinishRequest) error {
	start := time.Now()
	err := c.retry(ctx, func(ctx context.Context) error { return c.finish(ctx, start, r) })
	if err != nil || r.GetState() != schema.ClaimState_CLAIM_STATE_DONE {
		return err
	}
	if r.GetNotRun() && c.hasLocalAttempt(r.GetAttempt()) {
		err = c.finishLocally(ctx, r)
	}
	if err == nil {
		c.removeLocalAttempt(r.GetAttempt())
	}
	return err
}

// finishLocally records r in the local ledger, whether or not this node owns the
// shard.
func (c *Claims) finishLocally(ctx context.Context, r *schema.FinishRequest) error {
	r = proto.CloneOf(r)
	r.AnyOwner = true
	_, err := c.local.Finish(ctx, r)
	return err
}

// claim sends the claim to the owner and falls back to the local ledger if the
// owner is unavailable.
func (c *Claims) claim(ctx context.Context, start time.Time, r *schema.ClaimRequest) (*schema.ClaimReply, error) {
	reply, err := c.claimFromOwner(ctx, r)
	if ownerUnavailable(start, err) && ctx.Err() == nil {
		c.addLocalAttempt(r.GetAttempt())
		r = proto.CloneOf(r)
		r.AnyOwner = true
		return c.local.Claim(ctx, r)
	}
	return reply, err
}

func (c *Claims) addLocalAttempt(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.localAttempts[attempt] = struct{}{}
}

func (c *Claims) hasLocalAttempt(attempt string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.localAttempts[attempt]
	return ok
}

func (c *Claims) removeLocalAttempt(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.localAttempts, attempt)
}

func (c *Claims) claimFromOwner(ctx context.Context, r *schema.ClaimRequest) (*schema.ClaimReply, error) {
	address, local, err := c.owner(r.GetTeam(), r.GetRequestId())
	if err != nil {
		return nil, err
	}
	if local {
		return c.local.Claim(ctx, r)
	}
	reply := &schema.ClaimReply{}
	return reply, c.callOwner(ctx, address, schema.Method_METHOD_CLAIM, r, reply)
}

// callOwner sends one call to a shard's owner. An owner that does not answer within
// ownerTimeout is partitioned or paused.
func (c *Claims) callOwner(ctx context.Context, address string, method schema.Method, req, resp proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	return c.caller.Call(ctx, address, method, req, resp)
}

// ownerUnavailable reports whether err means that the owner is unreachable, or that
// no node has accepted ownership of the shard for viewConvergenceTime since start.
// The local ledger may then be used instead: the conditional update of the shard's
// segment resolves conflicts between the two, and a repeated attempt finds its own
// claim.
func ownerUnavailable(start time.Time, err error) bool {
	switch fault.KindOf(err) {
	case schema.ErrorKind_ERROR_KIND_UNREACHABLE:
		return true
	case schema.ErrorKind_ERROR_KIND_NOT_OWNER, schema.ErrorKind_ERROR_KIND_DRAINING:
		return time.Since(start) >= viewConvergenceTime
	default:
		return false
	}
}

// finish sends r to the owner and falls back to the local ledger if the owner is
// unavailable.
func (c *Claims) finish(ctx context.Context, start time.Time, r *schema.FinishRequest) error {
	err := c.finishAtOwner(ctx, r)
	if ownerUnavailable(start, err) && ctx.Err() == nil {
		return c.finishLocally(ctx, r)
	}
	return err
}

func (c *Claims) finishAtOwner(ctx context.Context, r *schema.FinishRequest) error {
	address, local, err := c.owner(r.GetTeam(), r.GetRequestId())
	if err != nil {
		return err
	}
	if local {
		_, err := c.local.Finish(ctx, r)
		return err
	}
	return c.callOwner(ctx, address, schema.Method_METHOD_FINISH, r, &schema.FinishReply{})
}

// owner returns the peer address of the shard's owner; local is true if this node
// is the owner.
func (c *Claims) owner(team, id string) (address string, local bool, err error) {
	snapshot := c.current.Load()
	owner := snapshot.ShardOwner(c.local.ShardOf(team, id))
	if owner == c.location.Node {
		return "", true, nil
	}
	member, ok := snapshot.Member(owner)
	if !ok {
		return "", false, unknownOwnerError(owner)
	}
	return member.GetPeerAddress(), false, nil
}

// retry repeats call with backoff until it succeeds, fails with an error that is
// not retryable, or claimTimeout expires.
func (c *Claims) retry(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	backOff := newBackOff()
	for {
		err := c.runUntilTopologyChange(ctx, call)
		if err == nil || !retryable(err) {
			return err
		}
		if !delay.Sleep(ctx, backOff.NextBackOff()) {
			return fault.Wrap(schema.ErrorKind_ERROR_KIND_UNREACHABLE, err,
				"the ledger's owner cannot be reached", "retry with the same idempotency key").WithRetryAfter(defaultRetryAfter)
		}
	}
}

// runUntilTopologyChange runs call and cancels it when the topology changes,
// because the shard may then have another owner.
func (c *Claims) runUntilTopologyChange(ctx context.Context, call func(context.Context) error) error {
	_, changed := c.current.LoadAndWatch()
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-callCtx.Done():
		}
	}()
	err := call(callCtx)
	if err != nil && callCtx.Err() != nil && ctx.Err() == nil {
		return fault.Wrap(schema.ErrorKind_ERROR_KIND_UNREACHABLE, err, "the ledger's owner may have moved", "retry")
	}
	return err
}
