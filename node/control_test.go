package node

import (
	"testing"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/membership"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

type fakeMembers struct {
	members  []*schema.Member
	leaving  []string
	revision uint64
	newest   membership.RevisionSource
}

func (f *fakeMembers) NewestRevisionSource() membership.RevisionSource { return f.newest }

func (f *fakeMembers) Members() []*schema.Member        { return f.members }
func (f *fakeMembers) Subscribe(func([]*schema.Member)) {}
func (f *fakeMembers) SetRevision(revision uint64)      { f.revision = revision }
func (f *fakeMembers) LeavingVMs() []string             { return f.leaving }

type fakeConfigs struct {
	config   *schema.Config
	address  string
	reported uint64
	watcher  bool
}

func (f *fakeConfigs) Current() *schema.Config        { return f.config }
func (f *fakeConfigs) Subscribe(func(*schema.Config)) {}
func (f *fakeConfigs) SetWatchStore(on bool)          { f.watcher = on }
func (f *fakeConfigs) ReportPeerRevision(address string, revision uint64) {
	f.address, f.reported = address, revision
}

type countingApplier struct{ applied int }

func (a *countingApplier) ApplyTopology(*topology.Snapshot) { a.applied++ }

func member(node string) *schema.Member {
	return &schema.Member{Node: node, AvailabilityZone: "z", PeerAddress: node,
		State: schema.MemberState_MEMBER_STATE_ACTIVE}
}

func testController(members *fakeMembers, configs *fakeConfigs) (*controller, *countingApplier) {
	a := &countingApplier{}
	return &controller{
		self: "c", zone: "z", members: members, configs: configs, current: topology.NewCurrent(),
		appliers: []topologyApplier{a}, logger: &log.Logger{Level: log.PanicLevel}, wake: make(chan struct{}, 1),
	}, a
}

func TestTopologyIsDerivedOnlyWhenAnInputChanged(t *testing.T) {
	is := is.New(t)
	members := &fakeMembers{members: []*schema.Member{member("c")}}
	configs := &fakeConfigs{config: &schema.Config{Revision: 3}}
	c, a := testController(members, configs)
	c.refresh()
	c.refresh()
	is.Equal(a.applied, 1)
	is.Equal(members.revision, uint64(3))
	members.leaving = []string{"vm"}
	c.refresh()
	is.Equal(a.applied, 2)
	members.members = []*schema.Member{member("c"), member("d")}
	c.refresh()
	is.Equal(a.applied, 3)
}

func TestPeerWithAHigherRevisionIsReported(t *testing.T) {
	is := is.New(t)
	members := &fakeMembers{newest: membership.RevisionSource{Address: "b", Revision: 9}}
	configs := &fakeConfigs{config: &schema.Config{Revision: 3}}
	c, _ := testController(members, configs)
	c.refresh()
	is.Equal(configs.address, "b")
	is.Equal(configs.reported, uint64(9))
	configs.config = &schema.Config{Revision: 9}
	c.refresh()
	configs.address = ""
	c.refresh()
	is.Equal(configs.address, "") // The revision is already in force on this node.
}

func TestTwoNodesOfAZoneWatchTheConfiguration(t *testing.T) {
	is := is.New(t)
	members := &fakeMembers{members: []*schema.Member{member("a"), member("b"), member("c")}}
	configs := &fakeConfigs{config: &schema.Config{Revision: 1}}
	c, _ := testController(members, configs)
	c.refresh()
	is.True(!configs.watcher)
	members.members = members.members[1:]
	c.refresh()
	is.True(configs.watcher)
}

type fakeReporter struct {
	moved func(team, requestID string) bool
}

func (r *fakeReporter) ResendClaimReports(moved func(team, requestID string) bool) { r.moved = moved }

type oneShard struct{}

func (oneShard) ShardOf(string, string) uint32 { return 5 }

func TestRunningRequestsAreReportedToAShardsNewOwner(t *testing.T) {
	is := is.New(t)
	r := &fakeReporter{}
	m := &shardMoveReporter{reporter: r, shards: oneShard{}}
	build := func(nodes ...string) *topology.Snapshot {
		var members []*schema.Member
		for _, n := range nodes {
			members = append(members, member(n))
		}
		return topology.Build(&schema.Config{}, members, topology.Options{})
	}
	m.ApplyTopology(build("a"))
	is.True(r.moved == nil)
	m.ApplyTopology(build("b"))
	is.True(r.moved("team", "id"))
	m.ApplyTopology(build("b"))
	is.True(!r.moved("team", "id"))
}
