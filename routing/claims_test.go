package routing_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/routing"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// silentPeers never answer.
type silentPeers struct{}

func (silentPeers) Call(ctx context.Context, _ string, _ schema.Method, _, _ proto.Message) error {
	<-ctx.Done()
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_UNREACHABLE, ctx.Err(), "link", "retry")
}

// localLedger grants whatever any node may answer.
type localLedger struct{ err error }

func (l localLedger) Claim(_ context.Context, r *schema.ClaimRequest) (*schema.ClaimReply, error) {
	if !r.GetAnyOwner() {
		return nil, errors.New("asked as owner")
	}
	return &schema.ClaimReply{State: schema.ClaimState_CLAIM_STATE_NEW}, l.err
}

func (l localLedger) Finish(context.Context, *schema.FinishRequest) (*schema.FinishReply, error) {
	return &schema.FinishReply{}, l.err
}

func (localLedger) ShardOf(string, string) uint32 { return 0 }

func claimAt(t *testing.T, local localLedger) (*schema.ClaimReply, error) {
	current := topology.NewCurrent()
	current.Store(snapshotOf("owner"))
	claims := routing.NewClaims(routing.Place{Node: "entry"}, silentPeers{}, local, current)
	return claims.Claim(t.Context(), &schema.ClaimRequest{RequestId: "id", Team: "team"})
}

func TestEntryCutOffFromTheLedgersOwnerClaimsItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		reply, err := claimAt(t, localLedger{})
		is.NoErr(err)
		is.Equal(reply.GetState(), schema.ClaimState_CLAIM_STATE_NEW)
		is.True(time.Since(began) < 3*time.Second)
	})
}

// strangers answer that another node is the owner.
type strangers struct{}

func (strangers) Call(context.Context, string, schema.Method, proto.Message, proto.Message) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_NOT_OWNER, "another owner", "ask it")
}

func TestEntryClaimsItselfWhenViewsOfTheOwnerDiffer(t *testing.T) {
	for _, node := range []string{"owner", ""} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			current := topology.NewCurrent()
			current.Store(topology.Build(&schema.Config{}, nil, topology.Options{}))
			if node != "" {
				current.Store(snapshotOf(node))
			}
			claims := routing.NewClaims(routing.Place{Node: "entry"}, strangers{}, localLedger{}, current)
			began := time.Now()
			reply, err := claims.Claim(t.Context(), &schema.ClaimRequest{RequestId: "id", Team: "team"})
			is.NoErr(err)
			is.Equal(reply.GetState(), schema.ClaimState_CLAIM_STATE_NEW)
			is.True(time.Since(began) < 2*time.Second)
			is.NoErr(claims.Finish(t.Context(), &schema.FinishRequest{RequestId: "id", Team: "team"}))
		})
	}
}

func TestClaimThatFailsIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, err := claimAt(t, localLedger{err: fault.New(schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE, "down", "retry")})
		is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE)
		is.Equal(fault.From(err).Outcome, schema.Outcome_OUTCOME_NOT_RUN)
	})
}

// slowOwner does not answer claims in time; it answers everything else.
type slowOwner struct{}

func (slowOwner) Call(ctx context.Context, address string, method schema.Method, req, resp proto.Message) error {
	if method == schema.Method_METHOD_CLAIM {
		return silentPeers{}.Call(ctx, address, method, req, resp)
	}
	return nil
}

// refusingLedger never grants, and notes what is released.
type refusingLedger struct {
	localLedger
	released []string
}

func (l *refusingLedger) Finish(_ context.Context, r *schema.FinishRequest) (*schema.FinishReply, error) {
	if r.GetNotRun() && r.GetAnyOwner() {
		l.released = append(l.released, r.GetAttempt())
	}
	return &schema.FinishReply{}, nil
}

func TestAttemptAskedOfTwoNodesIsReleasedAtBoth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		current := topology.NewCurrent()
		current.Store(snapshotOf("owner"))
		down := fault.New(schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE, "down", "retry")
		local := &refusingLedger{localLedger: localLedger{err: down}}
		claims := routing.NewClaims(routing.Place{Node: "entry"}, slowOwner{}, local, current)
		_, err := claims.Claim(t.Context(), &schema.ClaimRequest{RequestId: "id", Team: "team", Attempt: "a1"})
		is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE)
		release := &schema.FinishRequest{
			RequestId: "id", Team: "team", Attempt: "a1", NotRun: true, State: schema.ClaimState_CLAIM_STATE_DONE,
		}
		is.NoErr(claims.Finish(t.Context(), release))
		is.NoErr(claims.Finish(t.Context(), release))
		is.Equal(local.released, []string{"a1"})
	})
}
