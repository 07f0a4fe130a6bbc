package ctl_test

import (
	"context"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/ctl"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

// startWhereNode serves the answers of a node whose zone has an owner.
func startWhereNode(t *testing.T, name, owner, ownerAddress string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := peer.NewServer(peer.Identity{Cluster: "primrosemoor", Node: name}, peer.NopMeter{}, nil)
	peer.Handle(s, schema.Method_METHOD_WHERE, func() *schema.WhereRequest { return &schema.WhereRequest{} },
		func(_ context.Context, _ peer.Identity, q *schema.WhereRequest) (*schema.WhereReply, error) {
			return &schema.WhereReply{
				Node: name, Owner: owner, OwnerAddress: ownerAddress, Service: q.GetService(), Target: "i-" + name,
				Targets: []*schema.WhereTarget{{Id: "i-" + name, Slots: 4}, {Id: "i-x", Excluded: "full"}},
			}, nil
		})
	go s.Serve(listener)
	t.Cleanup(s.Close)
	return listener.Addr().String()
}

// A node that does not choose targets itself would explain a decision that is not made there.
func TestWhereAsksTheOwnerOfTheZone(t *testing.T) {
	is := is.New(t)
	x := newTool(t)
	owner := startWhereNode(t, "n2", "n2", "")
	r := x.run("", "where", "--peer", startWhereNode(t, "n1", "n2", owner), "--service", "s")
	is.Equal(r.code, ctl.ExitOK)
	is.True(strings.Contains(r.stdout, "decided by n2"))
	is.True(strings.Contains(r.stdout, "it would be sent to i-n2"))
	is.True(strings.Contains(r.stdout, "not used: full"))
}

func TestWhereNeedsADescription(t *testing.T) {
	is := is.New(t)
	is.Equal(newTool(t).run("", "where", "--peer", "127.0.0.1:1").code, ctl.ExitBadInput)
}
