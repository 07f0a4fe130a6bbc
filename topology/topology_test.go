package topology_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

func testConfig(vms int) *schema.Config {
	c := &schema.Config{
		Revision:          7,
		AvailabilityZones: []*schema.AvailabilityZone{{Name: "a", Region: "r1"}, {Name: "b", Region: "r2"}},
		Services:          []*schema.Service{{Name: "llm", Kind: schema.ServiceKind_SERVICE_KIND_ENGINE}},
	}
	for i := range vms {
		c.Vms = append(c.Vms, &schema.VM{
			Name:             fmt.Sprintf("vm%03d", i),
			AvailabilityZone: string(rune('a' + i%2)),
			Workloads:        []*schema.Workload{{Service: "llm", Address: fmt.Sprintf("127.0.0.1:%d", 9000+i)}},
		})
	}
	return c
}

func testMembers(n int) []*schema.Member {
	var members []*schema.Member
	for i := range n {
		members = append(members, &schema.Member{
			Node:             fmt.Sprintf("n%d", i),
			AvailabilityZone: string(rune('a' + i%2)),
			State:            schema.MemberState_MEMBER_STATE_ACTIVE,
		})
	}
	return members
}

func TestGroupOwnersAreInTheGroupsZone(t *testing.T) {
	is := is.New(t)
	s := topology.Build(testConfig(60), testMembers(6), topology.Options{})
	total := 0
	for _, g := range s.Groups() {
		owner, ok := s.Member(g.Owner)
		is.True(ok)
		is.Equal(owner.GetAvailabilityZone(), g.AvailabilityZone)
		total += len(g.Targets)
	}
	is.Equal(total, 60)
}

func TestRemovingANodeMovesOnlyItsGroups(t *testing.T) {
	is := is.New(t)
	members := testMembers(6)
	before := topology.Build(testConfig(200), members, topology.Options{})
	after := topology.Build(testConfig(200), members[1:], topology.Options{})
	for i, g := range before.Groups() {
		if g.Owner != "n0" {
			is.Equal(after.Groups()[i].Owner, g.Owner)
		}
		is.True(after.Groups()[i].Owner != "n0")
	}
}

func TestGroupsOfAZoneWithoutActiveNodesHaveAnOwner(t *testing.T) {
	is := is.New(t)
	members := testMembers(6)
	for _, m := range members {
		if m.GetAvailabilityZone() == "b" {
			m.State = schema.MemberState_MEMBER_STATE_DRAINING
		}
	}
	s := topology.Build(testConfig(20), members, topology.Options{})
	for _, g := range s.Groups() {
		is.True(g.Owner != "")
	}
}
