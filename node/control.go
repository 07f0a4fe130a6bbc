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
	// refreshInterval is the polling interval for inputs that send no
	// notification.
	refreshInterval = 500 * time.Millisecond
	// watchersPerZone is the number of nodes in an availability zone that
	// watch the configuration head; the others receive it from peers.
	watchersPerZone = 2
)

// topologyApplier is notified of each new topology snapshot.
type topologyApplier interface {
	ApplyTopology(*topology.Snapshot)
}

// memberSource supplies the cluster membership.
type memberSource interface {
	Members() []*schema.Member
	Subscribe(func([]*schema.Member))
	SetRevision(uint64)
	NewestRevisionSource() membership.RevisionSource
	LeavingVMs() []string
}

// configSource supplies the accepted configuration.
type configSource interface {
	Current() *schema.Config
	Subscribe(func(*schema.Config))
	ReportPeerRevision(address string, revision uint64)
	SetWatchStore(bool)
}

// controller derives topology snapshots from membership and configuration. A
// single goroutine builds them and passes them to the appliers.
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

// notify triggers a refresh. It never blocks.
func (c *controller) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run refreshes the topology on each change and every refreshInterval until
// ctx is done.
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

// refresh reads the inputs and publishes a new snapshot if any of them changed.
func (c *controller) refresh() {
	members := c.members.Members()
	c.reportNewerRevision()
	c.configs.SetWatchStore(c.isWatcher(members))
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

// sameMember reports whether two members are equal for the topology. It ignores
// the configuration revision, which does not affect ownership.
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

// reportNewerRevision reports a peer with a newer revision to the configuration
// manager, which can then fetch it.
func (c *controller) reportNewerRevision() {
	if newest := c.members.NewestRevisionSource(); newest.Revision > c.revision {
		c.configs.ReportPeerRevision(newest.Address, newest.Revision)
	}
}

// isWatcher reports whether this node is one of the first watchersPerZone active
// nodes of its availability zone, by name.
func (c *controller) isWatcher(members []*schema.Member) bool {
	var zone []string
	for _, m := range members {
		if m.GetAvailabilityZone() == c.zone && m.GetState() == schema.MemberState_MEMBER_STATE_ACTIVE {
			zone = append(zone, m.GetNode())
		}
	}
	slices.Sort(zone)
	i := slices.Index(zone, c.self)
	return i < watchersPerZone // An unlisted node (-1) watches, too.
}
