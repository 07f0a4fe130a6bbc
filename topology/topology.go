// Package topology derives ownership from the configuration and the known
// members. Targets are divided into groups within a service and availability
// zone, and rendezvous hashing assigns one owner to each group, ledger shard and
// service. Snapshots are immutable and computed without I/O, so that nodes with
// the same inputs agree without communicating.
package topology

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/primrosemoor/primrosemoor/schema"
)

// DefaultTargetsPerGroup is the mean number of targets in a group.
const DefaultTargetsPerGroup = 13

// Target is a workload of a VM that serves one service.
type Target struct {
	// Name is "vm/service".
	Name             string
	VM               string
	Service          string
	Kind             schema.ServiceKind
	Address          string
	AvailabilityZone string
	Region           string
	Generation       string
	Models           []string
	// MaxConcurrency is the maximum number of requests in flight on a plain
	// target.
	MaxConcurrency uint32
	Leaving        bool
}

// Group is a set of targets of one service in one availability zone, owned by
// one node.
type Group struct {
	// ID is "service/zone/index".
	ID               string
	Service          string
	AvailabilityZone string
	Region           string
	Targets          []Target
	// Owner is the name of the owning node; empty if no node is active.
	Owner string
}

// Snapshot is a consistent view of configuration, members and ownership.
type Snapshot struct {
	Config  *schema.Config
	Members []*schema.Member

	groups      []Group
	groupIndex  map[string]int
	members     map[string]*schema.Member
	services    map[string]*schema.Service
	teams       map[string]*schema.Team
	tierRanks   map[string]uint32
	ownerHash   *rendezvous.Rendezvous
	activeNodes []string
}

// Options configures Build.
type Options struct {
	// TargetsPerGroup is the mean group size; 0 means DefaultTargetsPerGroup.
	TargetsPerGroup int
	// LeavingVMs lists the VMs that the platform's list or the VM itself reported
	// as leaving.
	LeavingVMs []string
}

// Build derives a snapshot. Only active members become owners.
func Build(config *schema.Config, members []*schema.Member, options Options) *Snapshot {
	s := &Snapshot{
		Config:     config,
		Members:    members,
		groupIndex: make(map[string]int),
		members:    make(map[string]*schema.Member, len(members)),
		services:   make(map[string]*schema.Service),
		teams:      make(map[string]*schema.Team),
		tierRanks:  make(map[string]uint32),
	}
	for _, m := range members {
		s.members[m.GetNode()] = m
	}
	for _, service := range config.GetServices() {
		s.services[service.GetName()] = service
	}
	for _, team := range config.GetTeams() {
		s.teams[team.GetName()] = team
	}
	for _, tier := range config.GetTiers() {
		s.tierRanks[tier.GetName()] = tier.GetRank()
	}
	s.activeNodes = activeNodes(members, func(*schema.Member) bool { return true })
	s.ownerHash = newRendezvousHash(s.activeNodes)
	s.buildGroups(options)
	return s
}

func activeNodes(members []*schema.Member, match func(*schema.Member) bool) []string {
	var nodes []string
	for _, m := range members {
		if m.GetState() == schema.MemberState_MEMBER_STATE_ACTIVE && match(m) {
			nodes = append(nodes, m.GetNode())
		}
	}
	slices.Sort(nodes)
	return nodes
}

func newRendezvousHash(nodes []string) *rendezvous.Rendezvous {
	return rendezvous.New(nodes, xxhash.Sum64String)
}

func lookupOwner(hash *rendezvous.Rendezvous, nodes []string, key string) string {
	if len(nodes) == 0 {
		return ""
	}
	return hash.Lookup(key)
}

// poolKey identifies the targets of one service in one availability zone.
type poolKey struct {
	service string
	zone    string
}

func (s *Snapshot) buildGroups(options Options) {
	size := options.TargetsPerGroup
	if size <= 0 {
		size = DefaultTargetsPerGroup
	}
	regions := make(map[string]string)
	for _, z := range s.Config.GetAvailabilityZones() {
		regions[z.GetName()] = z.GetRegion()
	}
	pools := s.collectTargets(regions, options.LeavingVMs)
	keys := make([]poolKey, 0, len(pools))
	for key := range pools {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b poolKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.zone, b.zone))
	})
	for _, key := range keys {
		s.splitIntoGroups(key, pools[key], regions[key.zone], size)
	}
}

func (s *Snapshot) collectTargets(regions map[string]string, leavingVMs []string) map[poolKey][]Target {
	pools := make(map[poolKey][]Target)
	for _, vm := range s.Config.GetVms() {
		leaving := vm.GetState() == schema.VMState_VM_STATE_LEAVING || slices.Contains(leavingVMs, vm.GetName())
		for _, w := range vm.GetWorkloads() {
			service := s.services[w.GetService()]
			key := poolKey{w.GetService(), vm.GetAvailabilityZone()}
			pools[key] = append(pools[key], Target{
				Name:             vm.GetName() + "/" + w.GetService(),
				VM:               vm.GetName(),
				Service:          w.GetService(),
				Kind:             service.GetKind(),
				Address:          w.GetAddress(),
				AvailabilityZone: vm.GetAvailabilityZone(),
				Region:           regions[vm.GetAvailabilityZone()],
				Generation:       vm.GetGeneration(),
				Models:           w.GetModels(),
				MaxConcurrency:   service.GetMaxConcurrency(),
				Leaving:          leaving,
			})
		}
	}
	return pools
}

// splitIntoGroups distributes a pool's targets over len(targets)/size groups,
// rounded up. It uses rendezvous hashing, so that adding a target moves few
// others. The owner of a group is an active node in its zone; if there is
// none, one in its region; if there is none either, any active node.
func (s *Snapshot) splitIntoGroups(key poolKey, targets []Target, region string, size int) {
	count := (len(targets) + size - 1) / size
	groups := make([]Group, count)
	names := make([]string, count)
	for i := range groups {
		names[i] = fmt.Sprintf("%s/%s/%d", key.service, key.zone, i)
		groups[i] = Group{ID: names[i], Service: key.service, AvailabilityZone: key.zone, Region: region}
	}
	hash := newRendezvousHash(names)
	for _, t := range targets {
		i := slices.Index(names, hash.Lookup(t.Name))
		groups[i].Targets = append(groups[i].Targets, t)
	}
	candidates := activeNodes(s.Members, func(m *schema.Member) bool { return m.GetAvailabilityZone() == key.zone })
	if len(candidates) == 0 {
		candidates = activeNodes(s.Members, func(m *schema.Member) bool { return m.GetRegion() == region })
	}
	if len(candidates) == 0 {
		candidates = s.activeNodes
	}
	ownerHash := newRendezvousHash(candidates)
	for _, g := range groups {
		g.Owner = lookupOwner(ownerHash, candidates, g.ID)
		s.groupIndex[g.ID] = len(s.groups)
		s.groups = append(s.groups, g)
	}
}

// Revision returns the configuration's revision.
func (s *Snapshot) Revision() uint64 {
	return s.Config.GetRevision()
}

// Groups returns all groups, ordered by service and zone.
func (s *Snapshot) Groups() []Group {
	return s.groups
}

// Group returns a group by its ID.
func (s *Snapshot) Group(id string) (Group, bool) {
	i, ok := s.groupIndex[id]
	if !ok {
		return Group{}, false
	}
	return s.groups[i], true
}

// ServiceGroups returns the groups of a service.
func (s *Snapshot) ServiceGroups(service string) []Group {
	var groups []Group
	for _, g := range s.groups {
		if g.Service == service {
			groups = append(groups, g)
		}
	}
	return groups
}

// GroupsOwnedBy returns the groups whose owner is node.
func (s *Snapshot) GroupsOwnedBy(node string) []Group {
	var groups []Group
	for _, g := range s.groups {
		if g.Owner == node {
			groups = append(groups, g)
		}
	}
	return groups
}

// ShardOwner returns the node that owns a ledger shard, or "" if no node is
// active.
func (s *Snapshot) ShardOwner(shard uint32) string {
	return lookupOwner(s.ownerHash, s.activeNodes, "shard/"+strconv.FormatUint(uint64(shard), 10))
}

// ServiceOwner returns the node that controls a service's placement, or "" if no
// node is active.
func (s *Snapshot) ServiceOwner(service string) string {
	return lookupOwner(s.ownerHash, s.activeNodes, "service/"+service)
}

// Member returns a member by node name.
func (s *Snapshot) Member(node string) (*schema.Member, bool) {
	m, ok := s.members[node]
	return m, ok
}

// Service returns a service by name.
func (s *Snapshot) Service(name string) (*schema.Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Team returns a team by name.
func (s *Snapshot) Team(name string) (*schema.Team, bool) {
	team, ok := s.teams[name]
	return team, ok
}

// TierRank returns a tier's rank; 0 is the highest priority.
func (s *Snapshot) TierRank(name string) (uint32, bool) {
	rank, ok := s.tierRanks[name]
	return rank, ok
}

// LowestTierRank returns the rank of the tier with the lowest priority.
func (s *Snapshot) LowestTierRank() uint32 {
	var lowest uint32
	for _, rank := range s.tierRanks {
		lowest = max(lowest, rank)
	}
	return lowest
}
