package node

import (
	"context"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/membership"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

const (
	// refreshInterval is how often inputs without notification are read.
	refreshInterval = 500 * time.Millisecond
	// watchersPerZone is the number of nodes in an availability zone that
	// watch the configuration's head; the others learn from peers.
	watchersPerZone = 2
)

// topologyApplier takes each new snapshot.
type topologyApplier interface {
	ApplyTopology(*topology.Snapshot)
}

// memberSource is the membership that the controller follows.
type memberSource interface {
	Members() []*schema.Member
	Subscribe(func([]*schema.Member))
	SetRevision(uint64)
	NewestRevision() membership.Holder
	LeavingVMs() []string
}

// configSource is the configuration that the controller follows.
type configSource interface {
	Current() *schema.Config
	Subscribe(func(*schema.Config))
	NoteRevision(address string, revision uint64)
	SetWatcher(bool)
}

// controller owns the inputs of the topology. Its goroutine alone derives
// snapshots and hands them to the parts of the node that act on them.
type controller struct {
	self     string
	zone     string
	options  topology.Options
	members  memberSource
	configs  configSource
	current  *topology.Current
	appliers []topologyApplier
	logger   *log.Logger
	wake     chan struct{}

	revision uint64
	owned    []string
}

// notify makes the controller read its inputs again; it never blocks.
func (c *controller) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run derives snapshots until ctx ends.
func (c *controller) run(ctx context.Context) {
	c.members.Subscribe(func([]*schema.Member) { c.notify() })
	c.configs.Subscribe(func(*schema.Config) { c.notify() })
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		c.refresh()
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-ticker.C:
		}
	}
}

// refresh reads the inputs and publishes a snapshot if one of them changed.
func (c *controller) refresh() {
	members := c.members.Members()
	c.noteRevision()
	c.configs.SetWatcher(c.isWatcher(members))
	config := c.configs.Current()
	if config == nil {
		return
	}
	leaving := c.members.LeavingVMs()
	if c.unchanged(config, members, leaving) {
		return
	}
	options := c.options
	options.LeavingVMs = leaving
	snapshot := topology.Build(config, members, options)
	c.options.LeavingVMs = leaving
	c.publish(snapshot)
}

func (c *controller) unchanged(config *schema.Config, members []*schema.Member, leaving []string) bool {
	last := c.current.Load()
	return last.Config == config &&
		slices.EqualFunc(last.Members, members, sameMember) &&
		slices.Equal(c.options.LeavingVMs, leaving)
}

// sameMember ignores the revision in force, which moves nothing.
func sameMember(a, b *schema.Member) bool {
	return a.GetNode() == b.GetNode() &&
		a.GetIncarnation() == b.GetIncarnation() &&
		a.GetState() == b.GetState() &&
		a.GetPeerAddress() == b.GetPeerAddress()
}

func (c *controller) publish(snapshot *topology.Snapshot) {
	c.current.Store(snapshot)
	for _, a := range c.appliers {
		a.ApplyTopology(snapshot)
	}
	if snapshot.Revision() != c.revision {
		c.revision = snapshot.Revision()
		c.members.SetRevision(c.revision)
		c.logger.Info().Str("event", "config_in_force").Uint64("revision", c.revision).Msg("")
	}
	c.logOwned(snapshot)
}

func (c *controller) logOwned(snapshot *topology.Snapshot) {
	var owned []string
	for _, g := range snapshot.GroupsOwnedBy(c.self) {
		owned = append(owned, g.ID)
	}
	if slices.Equal(owned, c.owned) {
		return
	}
	c.owned = owned
	c.logger.Info().Str("event", "groups_owned").Strs("groups", owned).
		Int("members", len(snapshot.Members)).Uint64("revision", snapshot.Revision()).Msg("")
}

// noteRevision tells the configuration manager which peer holds a higher
// revision.
func (c *controller) noteRevision() {
	if newest := c.members.NewestRevision(); newest.Revision > c.revision {
		c.configs.NoteRevision(newest.Address, newest.Revision)
	}
}

func (c *controller) isWatcher(members []*schema.Member) bool {
	var zone []string
	for _, m := range members {
		if m.GetAvailabilityZone() == c.zone && m.GetState() == schema.MemberState_MEMBER_STATE_ACTIVE {
			zone = append(zone, m.GetNode())
		}
	}
	slices.Sort(zone)
	i := slices.Index(zone, c.self)
	return i < watchersPerZone // A node not yet listed watches, too.
}
