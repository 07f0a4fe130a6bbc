package entrytest

import (
	"testing"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/schema"
)

// A node answers where a request would go with the owner of its zone and the state of the
// targets, and sends nothing.
func TestNodeSaysWhereARequestWouldGo(t *testing.T) {
	is := is.New(t)
	env := newLoneTestEnv(t)
	look := env.startWorker("i-a", "app", 0)
	first, second := env.startNode(1), env.startNode(2)
	env.waitReady(first)
	env.waitReady(second)
	reply := &schema.WhereReply{}
	is.NoErr(first.call(t, schema.Method_METHOD_WHERE, &schema.WhereRequest{Host: "farm.example", Path: "/look/1"}, reply))
	is.Equal(reply.GetRoute(), "look")
	is.Equal(reply.GetTarget(), "i-a")
	is.True(reply.GetOwnerAddress() != "")
	is.Equal(len(look.Arrivals()), 0) // nothing was sent
}
