package entrytest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/standin/store"
)

// putOddEntries puts the odd entries among those of all kinds. They come first, in
// between and last in the order of their names.
func (env *testEnv) putOddEntries() {
	for _, kind := range []string{"config", "servers", "primrosemoor-nodes"} {
		for name, spec := range store.OddSpecs() {
			for _, order := range []string{"a-", "i-", "zz-"} {
				env.store.PutRaw(kind, order+name, []byte(spec))
			}
		}
	}
}

// status returns a node's status.
func (n *node) status(t *testing.T) (*schema.StatusReply, error) {
	t.Helper()
	status := &schema.StatusReply{}
	return status, n.call(t, schema.Method_METHOD_STATUS, &schema.StatusRequest{}, status)
}

// call calls a node as an operator.
func (n *node) call(t *testing.T, method schema.Method, request, reply proto.Message) error {
	t.Helper()
	pool := peer.NewPool(peer.PoolOptions{
		Identity: peer.Identity{Cluster: "primrosemoor-entry", Node: "operator"}, Meter: peer.NopMeter{},
		DialTimeout: time.Second, CallTimeout: time.Second,
	})
	defer pool.Close()
	return pool.Call(t.Context(), fmt.Sprintf("%s:%d", n.ip, peersPort), method, request, reply)
}

// members returns the nodes that a node knows, by name.
func (n *node) members(t *testing.T) string {
	t.Helper()
	status, err := n.status(t)
	if err != nil {
		return err.Error()
	}
	var names []string
	for _, m := range status.GetMembers() {
		names = append(names, m.GetNode())
	}
	return strings.Join(names, " ")
}

func TestOddEntriesInTheListCostOnlyThemselves(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.putOddEntries()
	env.startWorker("i-a", "app", 0)
	nodes := []*node{env.startNode(1), env.startNode(2)}
	for i, n := range nodes {
		env.waitReady(n)
		for j := range 20 {
			is.Equal(n.post("book", fmt.Sprint("id-", i, "-", j)).status, 200)
		}
	}
	for _, n := range nodes {
		env.waitFor("only the two nodes are known", func() bool { return n.members(t) == "edge-1 edge-2" })
	}
	env.writeConfig("k2")
	env.waitFor("the key is revoked", func() bool { return nodes[0].post("look", "id-1").status == 401 })
}

func TestOddEntriesInAWatchCostOnlyThemselves(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	first := env.startWorker("i-a", "app", 0)
	n := env.startNode(1)
	env.waitReady(n)
	for i := range 3 {
		env.putOddEntries()
		time.Sleep(time.Second)
		is.Equal(n.readiness(), 200)
		is.Equal(n.post("look", fmt.Sprint("id-", i)).status, 200)
	}
	second := env.startWorker("i-b", "app", 0)
	env.store.PutRaw("servers", "i-a", []byte(store.OddSpecs()["nested"]))
	time.Sleep(2 * time.Second) // Well within the time that a target continues to serve.
	before := len(first.RunCounts())
	for i := range 20 {
		is.Equal(n.post("book", fmt.Sprint("late-", i)).status, 200)
	}
	is.Equal(len(first.RunCounts()), before)
	is.Equal(len(second.RunCounts()), 20)
	time.Sleep(6 * time.Second) // Longer than bounds.revocation.
	is.Equal(n.post("look", "id-last").status, 200)
}

func TestOddEntriesAreNotPassedOn(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.putOddEntries()
	env.startWorker("i-a", "app", 0)
	first := env.startNode(1)
	env.waitReady(first)
	env.store.SetFaults(store.Faults{Down: true})
	second := env.startNode(2)
	env.waitReady(second)
	is.Equal(second.post("look", "id-1").status, 200)
}
