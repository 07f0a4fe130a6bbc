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

// unresponsivePeers is a routing.Caller whose calls block until they are
// cancelled.
type unresponsivePeers struct{}

func (unresponsivePeers) Call(ctx context.Context, _ string, _ schema.Method, _, _ proto.Message) error {
	<-ctx.Done()
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_UNREACHABLE, ctx.Err(), "link", "retry")
}

// localLedger grants each claim that any node may answer, and rejects the others.
// If err is set, its calls return it.
type localLedger struct{ err error }

func (l localLedger) Claim(_ context.Context, r *schema.ClaimRequest) (*schema.ClaimReply, error) {
	if !r.GetAnyOwner() {
		return nil, errors.New("local ledger called as shard owner")
	}
	return &schema.ClaimReply{State: schema.ClaimState_CLAIM_STATE_NEW}, l.err
}

func (l localLedger) Finish(context.Context, *schema.FinishRequest) (*schema.FinishReply, error) {
	return &schema.FinishReply{}, l.err
}

func (localLedger) ShardOf(string, string) uint32 { return 0 }

func claimWith(t *testing.T, local localLedger) (*schema.ClaimReply, error) {
	current := topology.NewCurrent()
	current.Store(newSnapshot("owner"))
	claims := routing.NewClaims(routing.Location{Node: "entry"}, unresponsivePeers{}, local, current)
	return claims.Claim(t.Context(), &schema.ClaimRequest{RequestId: "id", Team: "team"})
}

func TestClaimFallsBackToLocalLedgerWhenOwnerIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		reply, err := claimWith(t, localLedger{})
		is.NoErr(err)
		is.Equal(reply.GetState(), schema.ClaimState_CLAIM_STATE_NEW)
		is.True(time.Since(start) < 3*time.Second)
	})
}

// notOwnerPeers is a routing.Caller whose calls fail because another node is the
// owner.
type notOwnerPeers struct{}

func (notOwnerPeers) Call(context.Context, string, schema.Method, proto.Message, proto.Message) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_NOT_OWNER, "another owner", "ask it")
}

func TestClaimFallsBackToLocalLedgerWhenViewsOfOwnerDiffer(t *testing.T) {
	for _, node := range []string{"owner", ""} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			current := topology.NewCurrent()
			current.Store(topology.Build(&schema.Config{}, nil, topology.Options{}))
			if node != "" {
				current.Store(newSnapshot(node))
			}
			claims := routing.NewClaims(routing.Location{Node: "entry"}, notOwnerPeers{}, localLedger{}, current)
			start := time.Now()
			reply, err := claims.Claim(t.Context(), &schema.ClaimRequest{RequestId: "id", Team: "team"})
			is.NoErr(err)
			is.Equal(reply.GetState(), schema.ClaimState_CLAIM_STATE_NEW)
			is.True(time.Since(start) < 2*time.Second)
			is.NoErr(claims.Finish(t.Context(), &schema.FinishRequest{RequestId: "id", Team: "team"}))
		})
	}
}

func TestFailedClaimHasOutcomeNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, err := claimWith(t, localLedger{err: fault.New(schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE, "down", "retry")})
		is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE)
		is.Equal(fault.From(err).Outcome, schema.Outcome_OUTCOME_NOT_RUN)
	})
}

// slowClaimOwner is a routing.Caller that does not answer claims in time and accepts
// all other calls.
type slowClaimOwner struct{}

func (slowClaimOwner) Call(ctx context.Context, address string, method schema.Method, req, resp proto.Message) error {
	if method == schema.Method_METHOD_CLAIM {
		return unresponsivePeers{}.Call(ctx, address, method, req, resp)
	}
	return nil
}

// failingLedger fails each claim with err and records the released attempts.
type failingLedger struct {
	localLedger
	released []string
}

func (l *failingLedger) Finish(_ context.Context, r *schema.FinishRequest) (*schema.FinishReply, error) {
	if r.GetNotRun() && r.GetAnyOwner() {
		l.released = append(l.released, r.GetAttempt())
	}
	return &schema.FinishReply{}, nil
}

func TestAttemptSentToTwoNodesIsReleasedAtBoth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		current := topology.NewCurrent()
		current.Store(newSnapshot("owner"))
		errStore := fault.New(schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE, "down", "retry")
		local := &failingLedger{localLedger: localLedger{err: errStore}}
		claims := routing.NewClaims(routing.Location{Node: "entry"}, slowClaimOwner{}, local, current)
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
