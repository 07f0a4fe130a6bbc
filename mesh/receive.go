package mesh

import (
	"time"

	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

// feedTakeoverDelay is how long a source's active feed must be without updates
// before another feed may replace it. A zone has two feeds while its nodes disagree
// on their owner; applying both would count everything twice.
const feedTakeoverDelay = 2 * heartbeatInterval

// feed is what one stream has reported about one source.
type feed struct {
	*report
	// reporter is the process whose stream it is.
	reporter peer.Identity
	// lastUpdate is when the last report was merged, zero before the stream's first,
	// complete report.
	lastUpdate time.Time
	// seen is how many reports of the source had been applied at the last report, and held
	// what the source has booked, as this feed reports, since the last one that was.
	seen uint64
	held map[string]teamCounts
}

func (f *feed) hold(booked map[string]teamCounts) {
	if f.held == nil {
		f.held = make(map[string]teamCounts)
	}
	for team, amount := range booked {
		f.held[team] = f.held[team].plus(amount)
	}
}

// inbound is the state of the stream from one other node.
type inbound struct {
	from    peer.Identity
	decoder *decoder
	feeds   map[string]*feed
	// completeSent is when all objects of a kind were last sent to the node.
	completeSent map[datastore.Kind]time.Time
	// tooLarge is whether the last changes of a kind were too large to be sent.
	tooLarge map[datastore.Kind]bool
}

func newInbound(from peer.Identity) *inbound {
	return &inbound{
		from: from, decoder: newDecoder(), feeds: make(map[string]*feed),
		completeSent: make(map[datastore.Kind]time.Time), tooLarge: make(map[datastore.Kind]bool),
	}
}

func (in *inbound) feed(source string) *feed {
	f := in.feeds[source]
	if f == nil {
		f = &feed{report: newReport(), reporter: in.from}
		in.feeds[source] = f
	}
	return f
}

// handleUpdate applies an update from another node.
func (m *Manager) handleUpdate(in *inbound, u *schema.MeshUpdate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.addAnnounced(in.from, u)
	if l := m.links[in.from.Node]; l != nil && u.GetAddress() != "" {
		l.requestRetry()
	}
	if in.from.AvailabilityZone == m.options.Self.Zone {
		m.handleOwn(in, u, now)
	}
	for _, z := range u.GetZones() {
		if z.GetZone() == m.options.Self.Zone {
			m.handleRest(in, z, now)
		} else {
			m.handleZone(in, z, now)
		}
	}
}

// handleOwn applies what a node of this zone reports of itself. The lock must be held.
func (m *Manager) handleOwn(in *inbound, u *schema.MeshUpdate, now time.Time) {
	s := m.getOrAddSource(m.nodes, in.from.Node)
	changed := s.active == nil || s.leaving != u.GetLeaving() || s.ready != u.GetAble() || s.started != u.GetStarted()
	s.process, s.leaving, s.ready, s.started = in.from, u.GetLeaving(), u.GetAble(), u.GetStarted()
	own := in.decoder.use(u.GetOwn())
	if m.member {
		m.storeReport(s, in.feed(in.from.Node), now, own)
	} else {
		m.applyReport(s, in.feed(in.from.Node), now, own)
	}
	if changed {
		m.elect()
	}
	if in.from.Node == m.owner.Load().Name {
		m.recordInformedByOwner(in.from, now)
	}
}

// handleRest applies what a hub reports of the rest of this zone, which counts at a
// member only. The lock must be held.
func (m *Manager) handleRest(in *inbound, z *schema.MeshZone, now time.Time) {
	use := in.decoder.use(z.GetUse())
	f := in.feed(z.GetZone())
	if !m.member {
		f.merge(use)
		return
	}
	m.applyReport(m.rest, f, now, use)
	if m.rest.active == f {
		m.rest.silentNodes = int(z.GetSilent())
	}
}

// handleZone applies a report of another zone. The lock must be held.
func (m *Manager) handleZone(in *inbound, z *schema.MeshZone, now time.Time) {
	use := in.decoder.use(z.GetUse())
	s := m.getOrAddSource(m.zones, z.GetZone())
	s.ensureForwarded()
	s.silentNodes = int(z.GetSilent())
	f := in.feed(z.GetZone())
	m.applyReport(s, f, now, use)
	if s.active == f && in.from.AvailabilityZone != m.options.Self.Zone {
		s.lastDirect, s.directPeer = now, in.from.Node
	}
}

// addAnnounced adds a node that announces itself and that the store has not listed
// yet. The lock must be held.
func (m *Manager) addAnnounced(from peer.Identity, u *schema.MeshUpdate) {
	if _, ok := m.peers[from.Node]; ok || u.GetAddress() == "" {
		return
	}
	n := datastore.Node{Name: from.Node, Address: u.GetAddress(), Zone: from.AvailabilityZone, Cores: u.GetCores()}
	m.peers[n.Name], m.announced[n.Name] = n, n
}

// applyReport merges a report into its feed, and applies it unless another feed of
// the source is still active. The lock must be held.
func (m *Manager) applyReport(s *source, f *feed, now time.Time, c changes) {
	booked, applies := s.newBookings(f, now, c)
	if !applies {
		return
	}
	var over time.Duration
	if s.last != nil && s.active == nil {
		over = now.Sub(s.lastUpdate)
	}
	if s.active != f {
		if s.forwarded != nil {
			s.before = s.forwarded.totals()
		}
		m.activateFeed(s, f)
		c = changes{targets: f.targets, queues: f.queues, shares: f.shares, teams: c.teams}
	}
	s.lastUpdate = now
	s.applied++
	f.seen = s.applied
	m.recordBookings(s, booked, c.teams, over)
	m.notifyReport(s, c)
	for id, use := range c.targets {
		switch {
		case s.forwarded != nil:
			s.forwarded.setTarget(id, use)
		case s != m.rest:
			m.sumTarget(id)
		}
	}
	for q, waiting := range c.queues {
		switch {
		case s.forwarded != nil:
			s.forwarded.setQueue(q, waiting)
		case s != m.rest:
			m.sumQueue(q)
		}
	}
	for k, share := range c.shares {
		switch {
		case s.forwarded != nil:
			s.forwarded.setShare(k, share)
		case s != m.rest:
			m.sumShare(k)
		}
	}
	if !c.empty() {
		m.changed.broadcast()
	}
}

// newBookings merges a report into its feed. It returns what the source has booked
// that has not been counted yet, and whether the report applies: not while another
// process's feed of the source is active. What a process booked while it was silent
// counts when it is heard again.
//
// Two feeds of a source report the same bookings. What a feed reports after the last
// report of the active one is held, and counts when the feed replaces it.
func (s *source) newBookings(f *feed, now time.Time, c changes) (booked map[string]teamCounts, applies bool) {
	reported := f.merge(c)
	first, outdated := f.lastUpdate.IsZero(), f.seen != s.applied
	f.lastUpdate, f.seen = now, s.applied
	switch {
	case s.last == f:
		return reported, true
	case s.last != nil && s.last.reporter == f.reporter:
		// The same process reports on a new stream, with the same counters.
		booked = s.last.bookedSince(f.teams)
		f.raise(s.last.teams)
		return booked, true
	case first || outdated:
		// The counters are older than the stream, or include what another feed has
		// reported.
		f.held = nil
	default:
		f.hold(reported)
	}
	if s.active != nil && now.Sub(s.lastUpdate) < feedTakeoverDelay {
		return nil, false
	}
	booked, f.held = f.held, nil
	for team, counts := range booked {
		booked[team] = counts.boundReturned()
	}
	return booked, true
}

// notifyReport notifies the listener of loads, queue lengths and shares of a source. The
// lock must be held.
func (m *Manager) notifyReport(s *source, c changes) {
	for id, use := range c.targets {
		m.notify(func(l Listener) { l.TargetLoad(s.name, id, use) })
	}
	for q, waiting := range c.queues {
		m.notify(func(l Listener) { l.QueueLength(s.name, q, waiting) })
	}
	for k, share := range c.shares {
		m.notify(func(l Listener) { l.ShareReported(s.name, k, share) })
	}
}

// activateFeed makes a feed the active one of its source.
func (m *Manager) activateFeed(s *source, f *feed) {
	if s.active == nil {
		m.options.Logger.Info().Str("event", "peer_heard").Str("source", s.name).Msg("")
	} else {
		m.notify(func(l Listener) { l.SourceSilent(s.name) })
	}
	s.active, s.last = f, f
}

// recordBookings notifies the listener of a source's new bookings and adds them to
// the sums that this node sends on. over is the time for which the source was silent.
func (m *Manager) recordBookings(s *source, booked map[string]teamCounts, teams map[string]TeamUse, over time.Duration) {
	for team, amount := range booked {
		level := teams[team].Level
		m.notifyTeam(team, amount, level, over)
		switch {
		case s.forwarded != nil:
			s.forwarded.addTeam(team, amount, level)
		case s != m.rest:
			m.zoneSums.addTeam(team, amount, level)
			if s.contributed == nil {
				s.contributed = make(map[string]teamCounts)
			}
			s.contributed[team] = s.contributed[team].plus(amount)
		}
	}
}
