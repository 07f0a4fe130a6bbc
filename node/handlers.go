package node

import (
	"context"
	"time"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

// registerHandlers routes the peer protocol's methods to the components.
func registerHandlers(s *peer.Server, p *components) {
	registerAdmission(s, p)
	registerLedger(s, p)
	registerMembership(s, p)
	registerOperator(s, p)
}

func registerAdmission(s *peer.Server, p *components) {
	peer.Handle(s, schema.Method_METHOD_PERMIT, newMessage[schema.PermitRequest],
		func(ctx context.Context, _ peer.Identity, r *schema.PermitRequest) (*schema.PermitReply, error) {
			return p.Admission.Acquire(ctx, r)
		})
	peer.Handle(s, schema.Method_METHOD_PERMIT_RETURN, newMessage[schema.PermitReturn],
		func(_ context.Context, _ peer.Identity, r *schema.PermitReturn) (*schema.PermitReturnAck, error) {
			p.Admission.Return(r)
			return &schema.PermitReturnAck{}, nil
		})
	peer.Handle(s, schema.Method_METHOD_FLOOR, newMessage[schema.FloorUpdate],
		func(ctx context.Context, from peer.Identity, u *schema.FloorUpdate) (*schema.FloorAck, error) {
			return p.Admission.HandleFloorUpdate(ctx, from.Node, u)
		})
	peer.Handle(s, schema.Method_METHOD_HANDOVER, newMessage[schema.HandoverRequest],
		func(ctx context.Context, _ peer.Identity, h *schema.HandoverRequest) (*schema.HandoverReply, error) {
			return p.Admission.AcceptHandover(ctx, h)
		})
	peer.Handle(s, schema.Method_METHOD_QUARANTINE, newMessage[schema.QuarantineNotice],
		func(_ context.Context, _ peer.Identity, n *schema.QuarantineNotice) (*schema.QuarantineAck, error) {
			return p.Quarantine.HandleNotice(time.Now(), n), nil
		})
	peer.Handle(s, schema.Method_METHOD_LIMIT_SHARE, newMessage[schema.LimitShareRequest],
		func(ctx context.Context, from peer.Identity, r *schema.LimitShareRequest) (*schema.LimitShareReply, error) {
			return p.Limits.HandleShare(ctx, from, r)
		})
}

func registerLedger(s *peer.Server, p *components) {
	peer.Handle(s, schema.Method_METHOD_CLAIM, newMessage[schema.ClaimRequest],
		func(ctx context.Context, _ peer.Identity, r *schema.ClaimRequest) (*schema.ClaimReply, error) {
			return p.Ledger.Claim(ctx, r)
		})
	peer.Handle(s, schema.Method_METHOD_FINISH, newMessage[schema.FinishRequest],
		func(ctx context.Context, _ peer.Identity, r *schema.FinishRequest) (*schema.FinishReply, error) {
			return p.Ledger.Finish(ctx, r)
		})
	peer.Handle(s, schema.Method_METHOD_LEDGER_HANDOVER, newMessage[schema.LedgerHandover],
		func(ctx context.Context, _ peer.Identity, h *schema.LedgerHandover) (*schema.LedgerHandoverReply, error) {
			return &schema.LedgerHandoverReply{}, p.Ledger.ReceiveHandover(ctx, h)
		})
}

func registerMembership(s *peer.Server, p *components) {
	peer.Handle(s, schema.Method_METHOD_HEARTBEAT, newMessage[schema.Heartbeat],
		func(ctx context.Context, from peer.Identity, h *schema.Heartbeat) (*schema.HeartbeatReply, error) {
			return p.Membership.HandleHeartbeat(ctx, from, h)
		})
	peer.Handle(s, schema.Method_METHOD_CONFIG_DELTA, newMessage[schema.ConfigDeltaRequest],
		func(ctx context.Context, from peer.Identity, r *schema.ConfigDeltaRequest) (*schema.ConfigDelta, error) {
			return p.Register.HandleDelta(ctx, from, r)
		})
}

func registerOperator(s *peer.Server, p *components) {
	peer.Handle(s, schema.Method_METHOD_STATUS, newMessage[schema.StatusRequest],
		func(context.Context, peer.Identity, *schema.StatusRequest) (*schema.StatusReply, error) {
			return p.status(), nil
		})
	peer.Handle(s, schema.Method_METHOD_EXPLAIN, newMessage[schema.ExplainRequest],
		func(ctx context.Context, _ peer.Identity, q *schema.ExplainRequest) (*schema.ExplainReply, error) {
			return p.Explain.Handle(ctx, q)
		})
	peer.Handle(s, schema.Method_METHOD_DRAIN, newMessage[schema.DrainRequest],
		func(context.Context, peer.Identity, *schema.DrainRequest) (*schema.DrainReply, error) {
			p.requestShutdown()
			return &schema.DrainReply{}, nil
		})
}

// newMessage returns an empty message of type T.
func newMessage[T any]() *T {
	return new(T)
}

func unknownMember(node string) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_UNREACHABLE,
		"node "+node+" is not a member", "retry; the members' views are settling")
}
