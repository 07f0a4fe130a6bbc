package mesh

import (
	"time"

	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

// handover is how long a source's feed is believed after its last update before
// another one may replace it. Two feeds of one zone exist while its nodes
// disagree on who speaks for it; counting both would count everything twice.
const handover = 2 * beatInterval

// feed is what one stream has told of one source.
type feed struct {
	*heard
	// begun is set once the stream has told everything.
	begun bool
}

// inbound is the stream of one other node.
type inbound struct {
	from   peer.Identity
	decode *decoder
	feeds  map[string]*feed
}

func newInbound(from peer.Identity) *inbound {
	return &inbound{from: from, decode: newDecoder(), feeds: make(map[string]*feed)}
}

func (in *inbound) feed(source string) *feed {
	f := in.feeds[source]
	if f == nil {
		f = &feed{heard: newHeard()}
		in.feeds[source] = f
	}
	return f
}

// received takes in an update of another node.
func (m *Manager) received(in *inbound, u *schema.MeshUpdate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.introduce(in.from, u)
	if l := m.links[in.from.Node]; l != nil && u.GetAddress() != "" {
		l.kick()
	}
	if in.from.AvailabilityZone == m.options.Self.Zone {
		s := m.member(m.nodes, in.from.Node)
		s.leaving, s.able = u.GetLeaving(), u.GetAble()
		m.take(s, in.feed(in.from.Node), now, in.decode.use(u.GetOwn()))
		m.elect()
	}
	for _, z := range u.GetZones() {
		if z.GetZone() == m.options.Self.Zone {
			continue
		}
		s := m.member(m.zones, z.GetZone())
		s.ensurePassed()
		if in.from.AvailabilityZone != m.options.Self.Zone {
			s.direct, s.by = now, in.from.Node
		}
		m.take(s, in.feed(z.GetZone()), now, in.decode.use(z.GetUse()))
	}
}

// introduce takes up a node that the store has not told of yet.
func (m *Manager) introduce(from peer.Identity, u *schema.MeshUpdate) {
	if _, ok := m.known[from.Node]; ok || u.GetAddress() == "" {
		return
	}
	n := datastore.Node{Name: from.Node, Address: u.GetAddress(), Zone: from.AvailabilityZone, Cores: u.GetCores()}
	m.known[n.Name], m.introduced[n.Name] = n, n
}

// take merges an update of a feed, and believes it unless another feed of the
// source is alive.
func (m *Manager) take(s *source, f *feed, now time.Time, c changes) {
	booked := f.take(c)
	if !f.begun {
		// The counters began before the stream: what a silent source booked was
		// reserved for it, so that only later bookings count.
		f.begun, booked = true, nil
	}
	if s.feed != nil && s.feed != f && now.Sub(s.last) < handover {
		return
	}
	if s.feed != f {
		m.believe(s, f)
		c = changes{targets: f.targets, queues: f.queues, teams: c.teams}
	}
	s.last = now
	m.bookAll(s, booked, c.teams)
	for id, use := range c.targets {
		m.tell(func(l Listener) { l.Load(s.name, id, use) })
		if s.passed != nil {
			s.passed.setTarget(id, use)
		} else {
			m.sumTarget(id)
		}
	}
	for q, waiting := range c.queues {
		m.tell(func(l Listener) { l.Waiting(s.name, q, waiting) })
		if s.passed != nil {
			s.passed.setQueue(q, waiting)
		} else {
			m.sumQueue(q)
		}
	}
	if !c.empty() {
		m.changed.raise()
	}
}

// believe makes a feed the one of its source.
func (m *Manager) believe(s *source, f *feed) {
	if s.feed == nil {
		m.options.Logger.Info().Str("event", "peer_heard").Str("source", s.name).Msg("")
	} else {
		m.tell(func(l Listener) { l.Lost(s.name) })
	}
	s.feed = f
}

func (m *Manager) bookAll(s *source, booked map[string]uint64, teams map[string]TeamUse) {
	for team, amount := range booked {
		level := teams[team].Level
		m.tell(func(l Listener) { l.Booked(team, float64(amount), level) })
		if s.passed != nil {
			s.passed.addTeam(team, amount, level)
		} else {
			m.zone.addTeam(team, amount, level)
		}
	}
}
