package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

// callMeter signals the end of each call.
type callMeter chan schema.Method

// CountCall implements peer.Meter.
func (m callMeter) CountCall(method schema.Method, _, _ int) { m <- method }

// A reply larger than a window kept its bytes and its goroutine for minutes if the caller
// had left before reading it.
func TestLargeReplyIsDroppedWhenItsCallerHasLeft(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	ended := make(callMeter, 1)
	s := peer.NewServer(peer.Identity{Cluster: "c", Node: "server"}, ended, nil)
	peer.Handle(s, schema.Method_METHOD_BELIEFS, func() *schema.BeliefsRequest { return &schema.BeliefsRequest{} },
		func(ctx context.Context, _ peer.Identity, _ *schema.BeliefsRequest) (*schema.BeliefsReply, error) {
			<-ctx.Done()
			return &schema.BeliefsReply{Configuration: make([]byte, 1<<20)}, nil
		})
	go s.Serve(l)
	t.Cleanup(s.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	err = newPool(t, "c").Call(ctx, l.Addr().String(), schema.Method_METHOD_BELIEFS, &schema.BeliefsRequest{}, &schema.BeliefsReply{})
	is.True(err != nil)
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Fatal("the reply is still being sent")
	}
}
