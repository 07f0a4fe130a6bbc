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
	// connectTimeout bounds the opening of a link: two ways between regions and
	// one lost packet's repetition.
	connectTimeout = 700 * time.Millisecond
	// ackTimeout ends a link whose updates are not answered.
	ackTimeout = 700 * time.Millisecond
	// redialInterval is the time between two attempts to reach a node.
	redialInterval = 400 * time.Millisecond
)

// link tells one other node of this node's use, or of its zone's.
type link struct {
	manager *Manager
	to      datastore.Node
	cancel  context.CancelFunc
	encode  *encoder

	// sentOwn and sentZone are the versions that the other node knows.
	sentOwn  uint64
	sentZone uint64
	// sentPassed are the versions of the other zones' sums.
	sentPassed  map[string]uint64
	sentLeaving bool
	sentAble    bool
	// failed is set from a failure to the next answer.
	failed bool
	// connected is set while the stream is open; kicked ends an attempt to open
	// it, or the pause before one.
	connected bool
	kicked    chan struct{}
}

// keepLinks starts and ends links, so that there is one to each node of this
// zone, and from the zone's owner one to each other zone.
func (m *Manager) keepLinks(ctx context.Context, running *sync.WaitGroup) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := make(map[string]datastore.Node)
	for _, n := range m.known {
		if n.Zone == m.options.Self.Zone {
			wanted[n.Name] = n
		}
	}
	if m.owns() {
		for zone := range m.zones {
			if n, ok := m.partner(zone); ok {
				wanted[n.Name] = n
			}
		}
	}
	for name, l := range m.links {
		if n, ok := wanted[name]; !ok || n.Address != l.to.Address {
			l.cancel()
			delete(m.links, name)
		}
	}
	for name, n := range wanted {
		if m.links[name] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		l := &link{manager: m, to: n, cancel: cancel, kicked: make(chan struct{}, 1)}
		m.links[name] = l
		running.Go(func() { l.run(ctx) })
	}
}

// partner returns the node of another zone that is told of this zone: the one
// that speaks for its zone, or else the one that is linked already, or else the
// first that has not failed lately.
func (m *Manager) partner(zone string) (datastore.Node, bool) {
	list := m.foreign(zone)
	if s := m.zones[zone]; s != nil && time.Since(s.direct) < silentAfter {
		if n, ok := m.known[s.by]; ok && (m.links[n.Name] == nil || !m.links[n.Name].failed) {
			return n, true
		}
	}
	for _, n := range list {
		if l := m.links[n.Name]; l != nil && !l.failed {
			return n, true
		}
	}
	failed := -1
	for i, n := range list {
		if l := m.links[n.Name]; l != nil && l.failed {
			failed = i
		}
	}
	if len(list) == 0 {
		return datastore.Node{}, false
	}
	return list[(failed+1)%len(list)], true
}

// run keeps the link open until ctx ends.
func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := l.talk(ctx)
		if ctx.Err() != nil {
			return
		}
		l.manager.options.Pool.Forget(l.to.Address)
		l.manager.options.Logger.Debug().Str("event", "link_failed").Str("peer", l.to.Name).Err(err).Msg("")
		l.setFailed(true)
		select {
		case <-time.After(redialInterval):
		case <-l.kicked:
		case <-ctx.Done():
		}
	}
}

// kick makes a link that is not open try again at once: the other node has just
// shown that it is there. The manager's lock must be held.
func (l *link) kick() {
	if l.connected {
		return
	}
	select {
	case l.kicked <- struct{}{}:
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

// talk opens the stream and sends updates until it fails.
func (l *link) talk(ctx context.Context) error {
	stream, err := l.open(ctx)
	if err != nil {
		return err
	}
	defer stream.Close()
	l.setConnected(true)
	defer l.setConnected(false)
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	defer stop()
	l.encode = newEncoder()
	l.sentOwn, l.sentZone, l.sentPassed = 0, 0, nil
	acks := make(chan error, 1)
	answered := make(chan struct{}, 1)
	go func() { acks <- l.receive(stream, answered) }()
	return l.send(ctx, stream, acks, answered)
}

// open opens the stream, unless it takes too long or the link is kicked.
func (l *link) open(ctx context.Context) (*peer.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	go func() {
		select {
		case <-l.kicked:
			cancel()
		case <-ctx.Done():
		}
	}()
	return l.manager.options.Pool.OpenStream(ctx, l.to.Address, schema.Method_METHOD_MESH)
}

// send sends an update whenever something has changed, and at each beat.
func (l *link) send(ctx context.Context, stream *peer.Stream, acks <-chan error, answered <-chan struct{}) error {
	overdue := time.NewTimer(ackTimeout)
	defer overdue.Stop()
	var sent time.Time
	for {
		interval := l.interval()
		changed := l.manager.changed.wait()
		u, news := l.update()
		if due := time.Since(sent) >= beatInterval-interval; news || due {
			if err := stream.Send(u); err != nil {
				return err
			}
			sent = time.Now()
		}
		pause := time.After(interval)
		beat := time.After(time.Until(sent.Add(beatInterval)))
		for waiting := true; waiting; {
			select {
			case <-changed:
				changed, waiting = nil, pause != nil
			case <-pause:
				pause, waiting = nil, changed != nil
			case <-beat:
				waiting = false
			case <-answered:
				overdue.Reset(ackTimeout)
				l.setFailed(false)
			case <-overdue.C:
				return errSilent
			case err := <-acks:
				return err
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

// interval returns the shortest time between two updates.
func (l *link) interval() time.Duration {
	if !l.inZone() {
		return regionInterval
	}
	return zoneInterval + time.Duration(max(0, l.manager.neighbours()-fewLinks))*linkInterval
}

func (l *link) inZone() bool { return l.to.Zone == l.manager.options.Self.Zone }

// update collects what the other node does not know yet, and reports whether
// there is anything.
func (l *link) update() (u *schema.MeshUpdate, news bool) {
	m := l.manager
	u = &schema.MeshUpdate{SentAt: int64(clock.Now())}
	if l.sentPassed == nil {
		l.sentPassed = make(map[string]uint64)
		u.Address, u.Cores = m.options.Self.Address, m.options.Self.Cores
	}
	m.mu.Lock()
	u.Leaving, u.Able = m.leaving, m.able
	passed := make(map[string]*source)
	for name, s := range m.zones {
		if l.inZone() && s.feed != nil && time.Since(s.direct) < silentAfter {
			passed[name] = s
		}
	}
	m.mu.Unlock()
	if l.inZone() {
		c := m.own.since(l.sentOwn)
		u.Own, l.sentOwn = l.encode.use(c), c.version
		news = news || !c.empty()
	} else {
		c := m.zone.since(l.sentZone)
		l.sentZone = c.version
		news = news || !c.empty()
		u.Zones = append(u.Zones, &schema.MeshZone{Zone: m.options.Self.Zone, Use: l.encode.use(c)})
	}
	for name, s := range passed {
		c := s.passed.since(l.sentPassed[name])
		l.sentPassed[name] = c.version
		news = news || !c.empty()
		u.Zones = append(u.Zones, &schema.MeshZone{Zone: name, Use: l.encode.use(c)})
	}
	news = news || u.GetLeaving() != l.sentLeaving || u.GetAble() != l.sentAble
	l.sentLeaving, l.sentAble = u.GetLeaving(), u.GetAble()
	return u, news
}

// receive reads the answers and takes over the proofs that they carry.
func (l *link) receive(stream *peer.Stream, answered chan<- struct{}) error {
	ack := &schema.MeshAck{}
	for {
		if err := stream.Receive(ack); err != nil {
			return err
		}
		select {
		case answered <- struct{}{}:
		default:
		}
		if ack.GetVersion() == 0 {
			continue
		}
		// The answer was sent after the update was: by then the proof had the
		// stated age.
		age := time.Duration(ack.GetProofAgeMicros()) * time.Microsecond
		proven := clock.Instant(ack.GetEcho()).Add(-age)
		l.manager.options.Prover.Relayed(ack.GetVersion(), proven, l.to.Address)
	}
}
