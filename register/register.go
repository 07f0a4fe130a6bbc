// Package register holds the configuration of a cluster: the asset register
// of VMs and the rules. The package reads the configuration from files,
// validates it as a whole, stores it in the object API so that edits of
// different items merge and edits of the same item conflict, and distributes
// every accepted revision to every node.
package register

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/schema"
)

// ItemKind is a kind of configuration item.
type ItemKind int

// The kinds of items, in the order in which they are reported.
const (
	KindAvailabilityZone ItemKind = iota
	KindTier
	KindService
	KindTeam
	KindVM
)

// String returns the kind as shown to operators.
func (k ItemKind) String() string {
	switch k {
	case KindAvailabilityZone:
		return "availability zone"
	case KindTier:
		return "tier"
	case KindService:
		return "service"
	case KindTeam:
		return "team"
	default:
		return "VM"
	}
}

// Item is one named piece of the configuration: an *schema.AvailabilityZone,
// *schema.Tier, *schema.Service, *schema.Team or *schema.VM.
type Item interface {
	proto.Message
	GetName() string
}

// Change is one item before and after an edit; nil means that it is absent.
type Change struct {
	Kind          ItemKind
	Name          string
	Before, After Item
}

// String describes the change, such as "VM herd-03 changed".
func (c Change) String() string {
	verb := "changed"
	if c.Before == nil {
		verb = "added"
	} else if c.After == nil {
		verb = "removed"
	}
	return fmt.Sprintf("%s %s %s", c.Kind, c.Name, verb)
}

// itemKey identifies an item.
type itemKey struct {
	kind ItemKind
	name string
}

// itemSet holds the items of a configuration by kind and name.
type itemSet map[itemKey]Item

func itemsOf(c *schema.Config) itemSet {
	set := make(itemSet)
	addItems(set, KindAvailabilityZone, c.GetAvailabilityZones())
	addItems(set, KindTier, c.GetTiers())
	addItems(set, KindService, c.GetServices())
	addItems(set, KindTeam, c.GetTeams())
	addItems(set, KindVM, c.GetVms())
	return set
}

func addItems[T Item](set itemSet, kind ItemKind, items []T) {
	for _, item := range items {
		set[itemKey{kind, item.GetName()}] = item
	}
}

// config returns the set as a configuration with every list in name order,
// tiers by rank.
func (set itemSet) config() *schema.Config {
	c := &schema.Config{}
	for _, item := range set {
		switch v := item.(type) {
		case *schema.AvailabilityZone:
			c.AvailabilityZones = append(c.AvailabilityZones, v)
		case *schema.Tier:
			c.Tiers = append(c.Tiers, v)
		case *schema.Service:
			c.Services = append(c.Services, v)
		case *schema.Team:
			c.Teams = append(c.Teams, v)
		case *schema.VM:
			c.Vms = append(c.Vms, v)
		}
	}
	Sort(c)
	return c
}

// Sort puts every list of the configuration in name order, tiers by rank.
func Sort(c *schema.Config) {
	sortByName(c.AvailabilityZones)
	slices.SortFunc(c.Tiers, func(a, b *schema.Tier) int { return cmp.Compare(a.GetRank(), b.GetRank()) })
	sortByName(c.Services)
	sortByName(c.Teams)
	sortByName(c.Vms)
}

func sortByName[T Item](items []T) {
	slices.SortFunc(items, func(a, b T) int { return cmp.Compare(a.GetName(), b.GetName()) })
}

// Diff returns the changes that turn base into want, ordered by kind and name.
// Names must be unique within each configuration.
func Diff(base, want *schema.Config) []Change {
	before, after := itemsOf(base), itemsOf(want)
	var changes []Change
	for key, item := range before {
		if !equal(item, after[key]) {
			changes = append(changes, Change{key.kind, key.name, item, after[key]})
		}
	}
	for key, item := range after {
		if before[key] == nil {
			changes = append(changes, Change{key.kind, key.name, nil, item})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return changes
}

func equal(a, b Item) bool {
	if a == nil || b == nil {
		return a == nil && b == nil
	}
	return proto.Equal(a, b)
}
