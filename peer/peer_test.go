package peer_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

func startServer(t *testing.T, cluster string, register func(*peer.Server)) string {
	t.Helper()
	return startServerOn(t, cluster, func(l net.Listener) net.Listener { return l }, register)
}

// startServerOn starts a server on what wrap makes of its listener.
func startServerOn(t *testing.T, cluster string, wrap func(net.Listener) net.Listener, register func(*peer.Server)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := peer.NewServer(peer.Identity{Cluster: cluster, Node: "server"}, peer.NopMeter{}, nil)
	register(s)
	go s.Serve(wrap(listener))
	t.Cleanup(s.Close)
	return listener.Addr().String()
}

func newPool(t *testing.T, cluster string) *peer.Pool {
	p := peer.NewPool(peer.PoolOptions{
		Identity:    peer.Identity{Cluster: cluster, Node: "client"},
		Meter:       peer.NopMeter{},
		DialTimeout: time.Second,
		CallTimeout: 5 * time.Second,
	})
	t.Cleanup(p.Close)
	return p
}

func newFinishRequest() *schema.FinishRequest { return &schema.FinishRequest{} }

func TestCallReturnsTheReplyOrTheTypedError(t *testing.T) {
	is := is.New(t)
	address := startServer(t, "c", func(s *peer.Server) {
		peer.Handle(s, schema.Method_METHOD_FINISH, newFinishRequest,
			func(_ context.Context, caller peer.Identity, req *schema.FinishRequest) (*schema.ClaimReply, error) {
				if req.GetNotRun() {
					return nil, fault.New(schema.ErrorKind_ERROR_KIND_NOT_OWNER, "m", "r").WithOutcomeNotRun()
				}
				return &schema.ClaimReply{EntryNode: caller.Node}, nil
			})
	})
	p := newPool(t, "c")
	reply := &schema.ClaimReply{}
	is.NoErr(p.Call(t.Context(), address, schema.Method_METHOD_FINISH, &schema.FinishRequest{}, reply))
	is.Equal(reply.GetEntryNode(), "client")
	err := p.Call(t.Context(), address, schema.Method_METHOD_FINISH, &schema.FinishRequest{NotRun: true}, reply)
	is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_NOT_OWNER)
	is.Equal(fault.From(err).Outcome, schema.Outcome_OUTCOME_NOT_RUN)
}

func TestConnectionToAnotherClusterIsRefused(t *testing.T) {
	is := is.New(t)
	address := startServer(t, "c", func(*peer.Server) {})
	p := newPool(t, "other")
	err := p.Call(t.Context(), address, schema.Method_METHOD_STATUS, &schema.StatusRequest{}, &schema.StatusReply{})
	is.True(errors.Is(err, &fault.Error{Kind: schema.ErrorKind_ERROR_KIND_UNREACHABLE}))
	is.Equal(fault.KindOf(errors.Unwrap(err)), schema.ErrorKind_ERROR_KIND_INCOMPATIBLE)
}

func TestHandlerContextEndsWhenTheCallerCancels(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	address := startServer(t, "c", func(s *peer.Server) {
		peer.Handle(s, schema.Method_METHOD_FINISH, newFinishRequest,
			func(ctx context.Context, _ peer.Identity, _ *schema.FinishRequest) (*schema.FinishReply, error) {
				<-ctx.Done()
				close(ended)
				return nil, ctx.Err()
			})
	})
	p := newPool(t, "c")
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		time.Sleep(20 * time.Millisecond) // Gives the call time to reach the handler.
		cancel()
	}()
	err := p.Call(ctx, address, schema.Method_METHOD_FINISH, &schema.FinishRequest{}, &schema.FinishReply{})
	is.True(err != nil)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("handler context did not end after the caller cancelled")
	}
}
