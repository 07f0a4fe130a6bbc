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
	// claimTimeout bounds the search for a shard's owner.
	claimTimeout = 5 * time.Second
	// ownerTimeout is how long an owner may take to answer; it leaves room for
	// an object API that is slow.
	ownerTimeout = 2 * time.Second
	// disagreementWait is how long the nodes' views may differ on a shard's
	// owner before this entry asks its own ledger.
	disagreementWait = time.Second
)

// Ledger is this node's own ledger owner.
type Ledger interface {
	Claim(ctx context.Context, r *schema.ClaimRequest) (*schema.ClaimReply, error)
	Finish(ctx context.Context, r *schema.FinishRequest) (*schema.FinishReply, error)
	ShardOf(team, requestID string) uint32
}

// Claims asks the owners of ledger shards on behalf of this entry.
type Claims struct {
	place   Place
	caller  Caller
	local   Ledger
	current *topology.Current

	mu sync.Mutex
	// twice holds the attempts that were asked of the owner and of this node.
	twice map[string]struct{}
}

// NewClaims returns a Claims for the entry at place.
func NewClaims(place Place, caller Caller, local Ledger, current *topology.Current) *Claims {
	return &Claims{
		place:   place,
		caller:  caller,
		local:   local,
		current: current,
		twice:   make(map[string]struct{}),
	}
}

// Claim asks for the right to run a request id. A lost owner is replaced and
// asked again under the same attempt, which finds a claim that was made but
// not confirmed. Errors have outcome not run: without a claim this entry does
// not dispatch.
func (c *Claims) Claim(ctx context.Context, r *schema.ClaimRequest) (*schema.ClaimReply, error) {
	var reply *schema.ClaimReply
	began := time.Now()
	err := c.retry(ctx, func(ctx context.Context) error {
		var err error
		reply, err = c.claim(ctx, began, r)
		return err
	})
	if err != nil {
		return nil, claimError(err)
	}
	return reply, nil
}

func claimError(err error) error {
	e := fault.From(err)
	if e.Outcome == schema.Outcome_OUTCOME_UNSPECIFIED {
		return e.NotRun()
	}
	return e
}

// Finish records the progress or the end of a claimed request. An attempt that
// was asked of this node as well is released at both, because the write of
// either may come last.
func (c *Claims) Finish(ctx context.Context, r *schema.FinishRequest) error {
	began := time.Now()
	err := c.retry(ctx, func(ctx context.Context) error { return c.finish(ctx, began, r) })
	if err != nil || r.GetState() != schema.ClaimState_CLAIM_STATE_DONE {
		return err
	}
	if r.GetNotRun() && c.askedTwice(r.GetAttempt()) {
		err = c.finishHere(ctx, r)
	}
	if err == nil {
		c.forgetTwice(r.GetAttempt())
	}
	return err
}

func (c *Claims) finishHere(ctx context.Context, r *schema.FinishRequest) error {
	r = proto.CloneOf(r)
	r.AnyOwner = true
	_, err := c.local.Finish(ctx, r)
	return err
}

func (c *Claims) claim(ctx context.Context, began time.Time, r *schema.ClaimRequest) (*schema.ClaimReply, error) {
	reply, err := c.claimFromOwner(ctx, r)
	if noOwner(began, err) && ctx.Err() == nil {
		c.noteTwice(r.GetAttempt())
		r = proto.CloneOf(r)
		r.AnyOwner = true
		return c.local.Claim(ctx, r)
	}
	return reply, err
}

func (c *Claims) noteTwice(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.twice[attempt] = struct{}{}
}

func (c *Claims) askedTwice(attempt string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.twice[attempt]
	return ok
}

func (c *Claims) forgetTwice(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.twice, attempt)
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

// callOwner asks a shard's owner, who answers within ownerTimeout unless it is
// cut off or paused.
func (c *Claims) callOwner(ctx context.Context, address string, method schema.Method, req, resp proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	return c.caller.Call(ctx, address, method, req, resp)
}

// noOwner reports whether the owner did not answer, or nobody has taken
// itself for the owner for some time. The local ledger may answer in its place:
// the conditional update of the shard's segment decides between them, and the
// same attempt finds its own claim.
func noOwner(began time.Time, err error) bool {
	switch fault.KindOf(err) {
	case schema.ErrorKind_ERROR_KIND_UNREACHABLE:
		return true
	case schema.ErrorKind_ERROR_KIND_NOT_OWNER, schema.ErrorKind_ERROR_KIND_DRAINING:
		return time.Since(began) >= disagreementWait
	default:
		return false
	}
}

func (c *Claims) finish(ctx context.Context, began time.Time, r *schema.FinishRequest) error {
	err := c.finishAtOwner(ctx, r)
	if noOwner(began, err) && ctx.Err() == nil {
		return c.finishHere(ctx, r)
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

// owner returns the address of the shard's owner, or local true if it is this
// node.
func (c *Claims) owner(team, id string) (address string, local bool, err error) {
	snapshot := c.current.Load()
	owner := snapshot.ShardOwner(c.local.ShardOf(team, id))
	if owner == c.place.Node {
		return "", true, nil
	}
	member, ok := snapshot.Member(owner)
	if !ok {
		return "", false, unknownOwner(owner)
	}
	return member.GetPeerAddress(), false, nil
}

func (c *Claims) retry(ctx context.Context, try func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	wait := newBackOff()
	for {
		err := c.untilMoved(ctx, try)
		if err == nil || !retryable(err) {
			return err
		}
		if !delay.Sleep(ctx, wait.NextBackOff()) {
			return fault.Wrap(schema.ErrorKind_ERROR_KIND_UNREACHABLE, err,
				"the ledger's owner cannot be reached", "retry with the same idempotency key").After(retryAfterDefault)
		}
	}
}

// untilMoved runs one try and gives it up when the topology changes, because
// the shard may have another owner then.
func (c *Claims) untilMoved(ctx context.Context, try func(context.Context) error) error {
	_, changed := c.current.Wait()
	tryCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-tryCtx.Done():
		}
	}()
	err := try(tryCtx)
	if err != nil && tryCtx.Err() != nil && ctx.Err() == nil {
		return fault.Wrap(schema.ErrorKind_ERROR_KIND_UNREACHABLE, err, "the ledger's owner may have moved", "retry")
	}
	return err
}
