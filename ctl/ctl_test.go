package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/ctl"
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	registerFile = "../examples/drumlin/register.toml"
	rulesFile    = "../examples/drumlin/rules.toml"
)

// tool runs command lines against an in-memory store.
type tool struct {
	t     *testing.T
	store *objects.Memory
}

// result holds the output and exit code of a command line.
type result struct {
	code           int
	stdout, stderr string
}

func (x tool) run(stdin string, args ...string) result {
	x.t.Helper()
	var stdout, stderr bytes.Buffer
	code := ctl.Run(x.t.Context(), args, ctl.Environment{
		Stdin:     strings.NewReader(stdin),
		Stdout:    &stdout,
		Stderr:    &stderr,
		OpenStore: func(*schema.PlatformSettings) (objects.Store, error) { return x.store, nil },
	})
	return result{code, stdout.String(), stderr.String()}
}

// runOnStore runs a command line that accesses the store.
func (x tool) runOnStore(args ...string) result {
	x.t.Helper()
	return x.run("", append(args, "--platform", "memory", "--timeout", "1s")...)
}

func newTool(t *testing.T) tool {
	return tool{t, objects.NewMemory()}
}

func TestRegisterIsAppliedEditedAndRead(t *testing.T) {
	is := is.New(t)
	x := newTool(t)
	is.Equal(x.run("", "check", registerFile, rulesFile).stdout, "valid: 3 availability zones, 2 services, 5 teams, 15 VMs\n")
	r := x.runOnStore("apply", registerFile, rulesFile, "--author", "a")
	is.Equal(r.code, ctl.ExitOK)
	is.True(strings.HasSuffix(r.stdout, "accepted: revision 1\n"))
	r = x.runOnStore("register", "set-leaving", "herd-03")
	is.Equal(r.stdout, "VM herd-03 changed\naccepted: revision 2\n")
	r = x.runOnStore("register", "remove", "herd-04", "--output", "json")
	is.Equal(r.code, ctl.ExitOK)
	var changed struct{ Revision int }
	is.NoErr(json.Unmarshal([]byte(r.stdout), &changed))
	is.Equal(changed.Revision, 3)
	r = x.runOnStore("register", "list")
	is.True(strings.Contains(r.stdout, "herd-03    munster-1   leaving"))
	is.True(!strings.Contains(r.stdout, "herd-04"))
	is.Equal(x.runOnStore("register", "set-active", "herd-99").code, ctl.ExitBadInput)
}

func TestEditedFileOfAnOlderRevisionNeedsItsBase(t *testing.T) {
	is := is.New(t)
	x := newTool(t)
	is.Equal(x.runOnStore("apply", registerFile, rulesFile).code, ctl.ExitOK)
	read := x.runOnStore("get").stdout
	dir := t.TempDir()
	base, edited := filepath.Join(dir, "base.toml"), filepath.Join(dir, "edited.toml")
	is.NoErr(os.WriteFile(base, []byte(read), 0o600))
	is.NoErr(os.WriteFile(edited, []byte(strings.Replace(read, "tokens_per_second = 160000.0", "tokens_per_second = 150000.0", 1)), 0o600))
	is.Equal(x.runOnStore("register", "set-leaving", "herd-01").code, ctl.ExitOK)
	r := x.runOnStore("apply", edited)
	is.Equal(r.code, ctl.ExitConflict)
	is.True(strings.Contains(r.stderr, "read at revision 1, accepted is 2"))
	r = x.runOnStore("apply", edited, "--base", base)
	is.Equal(r.stdout, "team guests changed\naccepted: revision 3\n")
	is.True(strings.Contains(x.runOnStore("register", "list").stdout, "leaving")) // The other edit is kept.
	part := filepath.Join(dir, "part.toml")
	is.NoErr(os.WriteFile(part, []byte("[[vms]]\nname = \"herd-13\"\navailability_zone = \"munster-1\"\n"), 0o600))
	is.Equal(x.runOnStore("register", "edit", part).stdout, "VM herd-13 added\naccepted: revision 4\n")
}

func TestFailuresMapToExitCodes(t *testing.T) {
	is := is.New(t)
	x := newTool(t)
	is.Equal(x.run("", "aply").code, ctl.ExitBadInput)
	is.Equal(x.run("", "--help").code, ctl.ExitOK)
	r := x.run("", "check", "../examples/drumlin/settings.toml")
	is.Equal(r.code, ctl.ExitBadInput)
	is.True(strings.Contains(r.stderr, "settings.toml:5: node: unknown key"))
	is.Equal(x.run("", "status").code, ctl.ExitBadInput)
	is.Equal(x.runOnStore("apply", registerFile, rulesFile, "--wait").code, ctl.ExitBadInput)
	is.True(strings.HasPrefix(x.runOnStore("register", "list").stdout, "VM  ZONE")) // Nothing was applied.
	is.Equal(x.run("", "status", "--peer", "127.0.0.1:1").code, ctl.ExitUnavailable)
	x.store.Inject(func(objects.Operation, string) objects.Fault { return objects.Fault{Unavailable: true} })
	is.Equal(x.runOnStore("apply", registerFile, rulesFile).code, ctl.ExitUnavailable)
	lost := false
	x.store.Inject(func(operation objects.Operation, key string) objects.Fault {
		if operation == objects.OperationPut && key == "config/head" {
			lost = true
			return objects.Fault{LoseResponse: true}
		}
		return objects.Fault{Unavailable: lost}
	})
	is.Equal(x.runOnStore("apply", registerFile, rulesFile).code, ctl.ExitUnknown)
}

func TestFingerprintIsReleased(t *testing.T) {
	is := is.New(t)
	x := newTool(t)
	list := &schema.QuarantineList{Entries: []*schema.Quarantine{{Fingerprint: 0xabc}, {Fingerprint: 7}}}
	value, err := proto.Marshal(list)
	is.NoErr(err)
	_, err = x.store.Put(t.Context(), "quarantine", value, 0)
	is.NoErr(err)
	is.Equal(x.runOnStore("release", "0000000000000abc").stdout, "released 0000000000000abc\n")
	is.Equal(x.runOnStore("release", "0xabc").code, ctl.ExitBadInput)
	object, err := x.store.Get(t.Context(), "quarantine")
	is.NoErr(err)
	is.NoErr(proto.Unmarshal(object.Value, list))
	is.Equal(len(list.GetEntries()), 1)
}

func TestHashKeyHashesTheKeyWithoutLineEnd(t *testing.T) {
	is := is.New(t)
	x := newTool(t)
	rules, err := os.ReadFile(rulesFile)
	is.NoErr(err)
	hash := x.run("guests-example-key\n", "hash-key").stdout
	is.True(strings.Contains(string(rules), strings.TrimSpace(hash)))
	is.Equal(x.run("\n", "hash-key").code, ctl.ExitBadInput)
}

// startNode serves the operator methods of a node that reports all members.
func startNode(t *testing.T, name string, revision uint64, listener net.Listener, members []*schema.MemberStatus) {
	s := peer.NewServer(peer.Identity{Cluster: "primrosemoor", Node: name}, peer.NopMeter{}, nil)
	peer.Handle(s, schema.Method_METHOD_STATUS, func() *schema.StatusRequest { return &schema.StatusRequest{} },
		func(context.Context, peer.Identity, *schema.StatusRequest) (*schema.StatusReply, error) {
			return &schema.StatusReply{Node: name, ConfigRevision: revision, Members: members, StoreReachable: true,
				Groups: []*schema.GroupStatus{{Id: "g/" + name, Targets: []*schema.TargetStatus{{Name: "vm/" + name}}}}}, nil
		})
	peer.Handle(s, schema.Method_METHOD_EXPLAIN, func() *schema.ExplainRequest { return &schema.ExplainRequest{} },
		func(_ context.Context, _ peer.Identity, r *schema.ExplainRequest) (*schema.ExplainReply, error) {
			if name != "n2" || r.GetRequestId() != "id" {
				return nil, fault.New(schema.ErrorKind_ERROR_KIND_NOT_FOUND, "m", "r")
			}
			return &schema.ExplainReply{Lines: []string{"target=vm/n2"}}, nil
		})
	peer.Handle(s, schema.Method_METHOD_DRAIN, func() *schema.DrainRequest { return &schema.DrainRequest{} },
		func(context.Context, peer.Identity, *schema.DrainRequest) (*schema.DrainReply, error) {
			return &schema.DrainReply{}, nil
		})
	go s.Serve(listener)
	t.Cleanup(s.Close)
}

func TestNodesAreDiscoveredThroughOneOfThem(t *testing.T) {
	is := is.New(t)
	x := newTool(t)
	var listeners []net.Listener
	var members []*schema.MemberStatus
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		listeners = append(listeners, l)
		members = append(members, &schema.MemberStatus{Address: l.Addr().String()})
	}
	for i, name := range []string{"n1", "n2", "n3"} {
		startNode(t, name, 1, listeners[i], members)
	}
	first := members[0].GetAddress()
	r := x.run("", "status", "--peer", first)
	is.Equal(r.code, ctl.ExitOK)
	is.True(strings.Contains(r.stdout, "n3") && strings.Contains(r.stdout, "vm/n2"))
	var nodes []struct{ Status struct{ Node string } }
	is.NoErr(json.Unmarshal([]byte(x.run("", "status", "--peer", first, "--output", "json").stdout), &nodes))
	is.Equal(nodes[2].Status.Node, "n3")
	is.Equal(x.run("", "explain", "id", "--peer", first).stdout, "node=n2 target=vm/n2\n")
	is.Equal(x.run("", "explain", "other", "--peer", first).code, ctl.ExitBadInput)
	is.Equal(x.run("", "drain", "n3", "--peer", first).stdout, "n3 is draining\n")
	is.Equal(x.run("", "drain", "n9", "--peer", first).code, ctl.ExitBadInput)
	r = x.runOnStore("apply", registerFile, rulesFile, "--wait", "--peer", first)
	is.True(strings.Contains(r.stderr, "in force at 3 nodes"))
	r = x.runOnStore("register", "remove", "herd-01")
	is.Equal(r.code, ctl.ExitOK)
	r = x.runOnStore("apply", registerFile, rulesFile, "--wait", "--peer", first)
	is.Equal(r.code, ctl.ExitFailed)
	is.True(strings.Contains(r.stderr, "accepted, but not yet in force at 127.0.0.1:"))
}
