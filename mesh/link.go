package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/clock"
	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	// memberUpdateInterval is the minimum time between two updates of a member to the
	// owner of its zone, restUpdateInterval that of the owner to a member.
	memberUpdateInterval = 50 * time.Millisecond
	restUpdateInterval   = 150 * time.Millisecond
	// connectTimeout bounds the opening of a link: two round trips between regions
	// and one retransmission of a lost packet.
	connectTimeout = 700 * time.Millisecond
	// ackTimeout is the time without an acknowledgement after which a link is
	// closed.
	ackTimeout = 700 * time.Millisecond
	// redialInterval is the time between two attempts to connect to a node.
	redialInterval = 400 * time.Millisecond
)

// link reports this node's use, or its zone's, to one other node.
type link struct {
	manager *Manager
	peer    datastore.Node
	cancel  context.CancelFunc
	encoder *encoder

	// sentOwn and sentZone are the versions of this node's and its zone's sums that
	// were last sent.
	sentOwn  uint64
	sentZone uint64
	// toMember is whether the other node was a member of this zone at the last update.
	toMember bool
	// sentCrashes is the version of the evidence on crashes that was last sent.
	sentCrashes uint64
	// sentStreams is the version of the records of streams that were last sent.
	sentStreams uint64
	// sentRollouts is the version of the rollouts' phases that was last sent, at rolloutsAt.
	sentRollouts uint64
	rolloutsAt   time.Time
	// sentForwarded are the versions of the other zones' sums that were last sent;
	// nil until the first update on a stream.
	sentForwarded map[string]uint64
	// forwardedAt is when each other zone had reported to this node what was last sent.
	// Nothing is forwarded that is no newer, so that it does not keep another node's
	// reports of that zone from counting.
	forwardedAt map[string]time.Time
	sentLeaving bool
	sentReady   bool
	sentStarted bool
	// failed is set from a failure until the next acknowledgement.
	failed bool
	// connected is set while the stream is open. retryNow cancels an attempt to
	// open it, or the delay before one, so that a new attempt starts.
	connected bool
	retryNow  chan struct{}
}

// reconcileLinks starts and ends links, so that there is one to each other node of
// this zone and, if this node owns the zone, one to each other zone.
func (m *Manager) reconcileLinks(ctx context.Context, running *sync.WaitGroup) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := m.wantedLinks()
	for name, l := range m.links {
		if n, ok := wanted[name]; !ok || n.Address != l.peer.Address {
			l.cancel()
			delete(m.links, name)
		}
	}
	for name, n := range wanted {
		if m.links[name] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		l := &link{manager: m, peer: n, cancel: cancel, retryNow: make(chan struct{}, 1)}
		m.links[name] = l
		running.Go(func() { l.run(ctx) })
	}
}

// wantedLinks determines the hubs of this zone and returns the nodes to which this node
// has links. The lock must be held.
func (m *Manager) wantedLinks() map[string]datastore.Node {
	m.updateHubs()
	wanted := m.wantedInZone()
	if m.reportsForZone() {
		for zone := range m.zones {
			for _, n := range m.remotePeers(zone) {
				wanted[n.Name] = n
			}
		}
	}
	return wanted
}

// remotePeers returns the nodes of another zone to which this node has links: the one
// that reports for its zone directly or, if there is none, the first in order whose
// link has not failed, and those before it, so that they are used again when they are
// back. The lock must be held.
func (m *Manager) remotePeers(zone string) []datastore.Node {
	if s := m.zones[zone]; s != nil && time.Since(s.lastDirect) < silenceTimeout {
		if n, ok := m.peers[s.directPeer]; ok && (m.links[n.Name] == nil || !m.links[n.Name].failed) {
			return []datastore.Node{n}
		}
	}
	list := m.candidatesInZone(zone)
	for i, n := range list {
		if l := m.links[n.Name]; l == nil || !l.failed {
			return list[:i+1]
		}
	}
	return list
}

// run keeps the link open, reconnecting after failures, until ctx ends.
func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := l.runStream(ctx)
		if ctx.Err() != nil {
			return
		}
		l.manager.options.Pool.Disconnect(l.peer.Address)
		l.manager.options.Logger.Debug().Str("event", "link_failed").Str("peer", l.peer.Name).Err(err).Msg("")
		l.setFailed(true)
		select {
		case <-time.After(redialInterval):
		case <-l.retryNow:
		case <-ctx.Done():
		}
	}
}

// requestRetry makes a link that is not open reconnect at once, because an update
// from the other node has just shown that it is up. The manager's lock must be
// held.
func (l *link) requestRetry() {
	if l.connected {
		return
	}
	select {
	case l.retryNow <- struct{}{}:
	default:
	}
}

func (l *link) setConnected(connected bool) {
	l.manager.mu.Lock()
	l.connected = connected
	l.manager.mu.Unlock()
}

func (l *link) setFailed(failed bool) {
	l.manager.mu.Lock()
	l.failed = failed
	l.manager.mu.Unlock()
}

// runStream opens the stream and sends updates until it fails.
func (l *link) runStream(ctx context.Context) error {
	stream, err := l.open(ctx)
	if err != nil {
		return err
	}
	defer stream.Close()
	l.setConnected(true)
	defer l.setConnected(false)
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	defer stop()
	l.begin()
	receiveErr := make(chan error, 1)
	acked := make(chan struct{}, 1)
	go func() { receiveErr <- l.receive(stream, acked) }()
	return l.send(ctx, stream, receiveErr, acked)
}

// begin makes the next update the first one of a stream, with the full state.
func (l *link) begin() {
	l.encoder = newEncoder()
	l.sentOwn, l.sentZone, l.sentCrashes, l.sentStreams, l.sentForwarded, l.toMember = 0, 0, 0, 0, nil, false
	l.rolloutsAt = time.Time{}
}

// open opens the stream. It fails after connectTimeout or when a retry is
// requested.
func (l *link) open(ctx context.Context) (*peer.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	go func() {
		select {
		case <-l.retryNow:
			cancel()
		case <-ctx.Done():
		}
	}()
	return l.manager.options.Pool.OpenStream(ctx, l.peer.Address, schema.Method_METHOD_MESH)
}

// send sends an update whenever something has changed, at most once per interval,
// and a heartbeat at least once per heartbeatInterval.
func (l *link) send(ctx context.Context, stream *peer.Stream, receiveErr <-chan error, acked <-chan struct{}) error {
	ackTimer := time.NewTimer(ackTimeout)
	defer ackTimer.Stop()
	var sent time.Time
	for {
		interval := l.interval()
		changed := l.manager.changed.wait()
		due := time.Since(sent) >= heartbeatInterval-interval
		if u, hasChanges := l.update(due); hasChanges || due {
			if err := stream.Send(u); err != nil {
				return err
			}
			sent = time.Now()
		}
		pause := time.After(interval)
		heartbeat := time.After(time.Until(sent.Add(heartbeatInterval)))
		for waiting := true; waiting; {
			select {
			case <-changed:
				changed, waiting = nil, pause != nil
			case <-pause:
				pause, waiting = nil, changed != nil
			case <-heartbeat:
				waiting = false
			case <-acked:
				ackTimer.Reset(ackTimeout)
				l.recordAck()
			case <-ackTimer.C:
				return errNoAck
			case err := <-receiveErr:
				return err
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

// interval returns the minimum time between two updates on the link.
func (l *link) interval() time.Duration {
	if !l.sameZone() {
		return interZoneInterval
	}
	l.manager.mu.Lock()
	member, toMember := l.manager.member, l.manager.isMember(l.peer.Name)
	l.manager.mu.Unlock()
	switch {
	case member && l.manager.Owner().Name == l.peer.Name:
		return memberUpdateInterval
	case member:
		return heartbeatInterval
	case toMember && l.manager.Owner().Name == l.manager.options.Self.Name:
		return restUpdateInterval
	case toMember:
		return heartbeatInterval
	}
	return zoneUpdateInterval + time.Duration(max(0, l.manager.zoneNodes()-baseLinks))*extraLinkInterval
}

func (l *link) sameZone() bool { return l.peer.Zone == l.manager.options.Self.Zone }

// forwardedZone is what this node forwards of another zone.
type forwardedZone struct {
	sums        *sums
	silentNodes uint32
	reportedAt  time.Time
	before      totals
}

// update returns the changes since the last update, and reports whether there are
// any; it is sent if there are, or if it is due. A member is not told the loads of
// targets, which the owner of its zone chooses for it. All hubs tell it the sums of the
// zone, so that those of the next owner count without a gap, and what they booked
// themselves, so that it can become a hub.
func (l *link) update(due bool) (u *schema.MeshUpdate, hasChanges bool) {
	m := l.manager
	u = &schema.MeshUpdate{SentAt: int64(clock.Now())}
	if l.sentForwarded == nil {
		l.sentForwarded, l.forwardedAt = make(map[string]uint64), make(map[string]time.Time)
		u.Address, u.Cores = m.options.Self.Address, m.options.Self.Cores
	}
	l.requestObjects(u)
	m.mu.Lock()
	u.Leaving, u.Able, u.Started = m.leaving, m.ready, m.hasStarted()
	toMember, silent := l.sameZone() && m.isMember(l.peer.Name), uint32(m.silentInZone())
	forwarded := make(map[string]forwardedZone)
	for name, s := range m.zones {
		if l.sameZone() && s.active != nil && s.lastDirect.After(l.forwardedAt[name]) {
			forwarded[name] = forwardedZone{s.forwarded, uint32(s.silentNodes), s.lastDirect, s.before}
		}
	}
	m.mu.Unlock()
	if l.toMember != toMember {
		l.toMember, l.sentOwn, l.sentZone = toMember, 0, 0
	}
	if l.sameZone() {
		c := m.nodeSums.since(l.sentOwn)
		if toMember {
			c.targets, c.queues, c.shares = nil, nil, nil
		}
		u.Own, l.sentOwn = l.encoder.use("", c), c.version
		hasChanges = hasChanges || !c.empty()
	}
	if !l.sameZone() || toMember {
		c := l.zoneChanges(toMember)
		l.sentZone = c.version
		hasChanges = hasChanges || !c.empty()
		u.Zones = append(u.Zones, &schema.MeshZone{Zone: m.options.Self.Zone, Use: l.encoder.use(m.options.Self.Zone, c), Silent: silent})
	}
	for name, z := range forwarded {
		c := z.sums.since(l.sentForwarded[name])
		if before := z.before; l.forwardedAt[name].Before(before.at) && before.isRecent() {
			c = c.asOf(before)
		}
		if toMember {
			c.targets, c.shares = nil, nil
		}
		l.sentForwarded[name] = c.version
		hasChanges = hasChanges || !c.empty()
		u.Zones = append(u.Zones, &schema.MeshZone{Zone: name, Use: l.encoder.use(name, c), Silent: z.silentNodes})
	}
	hasChanges = l.addCrashes(u) || hasChanges
	hasChanges = l.addStreams(u, toMember) || hasChanges
	hasChanges = l.addRollouts(u, toMember) || hasChanges
	hasChanges = hasChanges || u.GetLeaving() != l.sentLeaving || u.GetAble() != l.sentReady || u.GetStarted() != l.sentStarted
	l.sentLeaving, l.sentReady, l.sentStarted = u.GetLeaving(), u.GetAble(), u.GetStarted()
	if hasChanges || due {
		for name, z := range forwarded {
			l.forwardedAt[name] = z.reportedAt
		}
	}
	return u, hasChanges
}

// zoneChanges returns the changes of this zone's sums since the last update, for a member
// without what it has contributed. The first ones of a stream to another zone state what
// that zone has been told before.
func (l *link) zoneChanges(toMember bool) changes {
	if toMember {
		c := l.manager.restSince(l.sentZone, l.peer.Name)
		c.targets = nil
		return c
	}
	c := l.manager.zoneSums.since(l.sentZone)
	if l.sentZone != 0 {
		return c
	}
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	if t, ok := l.manager.informedTotals(l.peer.Zone); ok {
		return c.asOf(t)
	}
	return c
}

// recordAck records that the other node has received what this node sends.
func (l *link) recordAck() {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	l.failed = false
	if !l.sameZone() && l.sentZone != 0 {
		l.manager.recordInformed(l.peer.Zone)
	}
}

// receive reads acknowledgements and applies the configuration proofs in them.
func (l *link) receive(stream *peer.Stream, acked chan<- struct{}) error {
	ack := &schema.MeshAck{}
	for {
		if err := stream.Receive(ack); err != nil {
			return err
		}
		select {
		case acked <- struct{}{}:
		default:
		}
		// The acknowledgement was sent after the update, and what it proves had the
		// stated age then. Counting the age from when the update was sent never makes a
		// proof younger than it is.
		sent := clock.Instant(ack.GetEcho())
		l.applyObjects(ack, sent)
		if ack.GetVersion() != 0 {
			age := time.Duration(ack.GetProofAgeMicros()) * time.Microsecond
			l.manager.options.ProofRelay.ApplyProof(datastore.ConfigState{Version: ack.GetVersion(), Era: ack.GetEra()}, sent.Add(-age), l.peer.Address)
		}
	}
}
