package mesh

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/logging"
	"github.com/primrosemoor/primrosemoor/quota"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	// virtualStep is the time between two steps of a virtual deployment.
	virtualStep = 5 * time.Millisecond
	// withinZoneDelay and betweenZonesDelay are the times that a message takes.
	withinZoneDelay   = virtualStep
	betweenZonesDelay = 20 * time.Millisecond
	// listDelay is the time from a node's start until it knows the list of nodes, and
	// readyDelay until it has all that the owner of a zone needs.
	listDelay  = 300 * time.Millisecond
	readyDelay = 600 * time.Millisecond
)

// virtualDeployment holds nodes that exchange the updates of their links in virtual
// time, with delays and without a network.
type virtualDeployment struct {
	slack quota.Slack
	nodes []*virtualNode
	// neverReady keeps nodes from becoming ready.
	neverReady bool
	list       map[string]datastore.Node
	// inTransit are the updates on their way, in the order in which they were sent.
	inTransit []transit
	admitted  []admission
}

// virtualNode is a node, with the state of its present process if it is up.
type virtualNode struct {
	node        datastore.Node
	deployment  *virtualDeployment
	incarnation uint64
	up          bool
	started     time.Time
	manager     *Manager
	allowance   *quota.Allowance
	links       map[string]*virtualLink
	checked     time.Time
	// heard is what the node was told, in its whole life, that others booked.
	heard map[string]float64
	// returned is what it was told that they refunded.
	returned map[string]float64
}

// virtualLink is a link, and the receiver's state of its stream while it is open.
type virtualLink struct {
	*link
	to                *virtualNode
	toIncarnation     uint64
	in                *inbound
	sent, connectedAt time.Time
	acked             time.Time
	delivered         bool
}

type transit struct {
	due time.Time
	on  *virtualLink
	in  *inbound
	u   *schema.MeshUpdate
}

type admission struct {
	at     time.Time
	node   *virtualNode
	amount float64
}

// newVirtualDeployment returns a deployment of running nodes, in zones a, b, ... of
// the given sizes.
func newVirtualDeployment(slack quota.Slack, zones ...int) *virtualDeployment {
	d := &virtualDeployment{slack: slack, list: make(map[string]datastore.Node)}
	for z, count := range zones {
		for i := range count {
			zone := string(rune('a' + z))
			n := datastore.Node{Name: zone + string(rune('0'+i/10)) + string(rune('0'+i%10)), Zone: zone}
			d.list[n.Name] = n
			d.nodes = append(d.nodes, &virtualNode{node: n, deployment: d, heard: make(map[string]float64), returned: make(map[string]float64)})
		}
	}
	for _, n := range d.nodes {
		n.start()
	}
	return d
}

func (d *virtualDeployment) byName(name string) *virtualNode {
	i := slices.IndexFunc(d.nodes, func(n *virtualNode) bool { return n.node.Name == name })
	return d.nodes[i]
}

func (n *virtualNode) start() {
	n.up, n.started, n.checked = true, time.Now(), time.Time{}
	n.incarnation++
	n.links = make(map[string]*virtualLink)
	n.manager = New(Options{Self: n.node, Logger: logging.Discard()})
	n.allowance = quota.NewAllowance(n.deployment.slack, n.manager)
}

// kill ends the node's process. What it has sent is still delivered.
func (n *virtualNode) kill() { n.up = false }

func (n *virtualNode) TargetLoad(string, string, TargetUse)  {}
func (n *virtualNode) SourceSilent(string)                   {}
func (n *virtualNode) ShareReported(string, ShareKey, Share) {}
func (n *virtualNode) QueueLength(string, Queue, int)        {}
func (n *virtualNode) SilentShare(share float64, nodes int)  { n.allowance.SetNodes(nodes, share) }
func (n *virtualNode) Booked(team string, amount float64, level *int64, over time.Duration) {
	n.heard[team] += amount
	n.allowance.RecordRemote(team, amount, level, over)
}

func (n *virtualNode) Returned(team string, amount float64, delay time.Duration, level *int64) {
	n.returned[team] += amount
	n.allowance.RecordRemoteReturn(team, amount, delay, level)
}

// take asks a node to admit a request, and records it if it does.
func (n *virtualNode) take(team *catalog.Team, amount float64) bool {
	if !n.up {
		return false
	}
	if _, ok := n.allowance.Take(team, amount); !ok {
		return false
	}
	n.deployment.admitted = append(n.deployment.admitted, admission{time.Now(), n, amount})
	return true
}

// step advances all nodes by virtualStep.
func (d *virtualDeployment) step() {
	now := time.Now()
	d.deliver(now)
	for _, n := range d.nodes {
		if n.up {
			n.step(now)
		}
	}
	time.Sleep(virtualStep)
}

func (d *virtualDeployment) deliver(now time.Time) {
	kept := d.inTransit[:0]
	for _, t := range d.inTransit {
		switch to := t.on.to; {
		case now.Before(t.due):
			kept = append(kept, t)
		case to.up && to.incarnation == t.on.toIncarnation:
			to.manager.handleUpdate(t.in, t.u)
			t.on.delivered = t.on.in == t.in
			deliver(to.manager, to)
		}
	}
	d.inTransit = kept
}

func (n *virtualNode) step(now time.Time) {
	if age := now.Sub(n.started); age >= listDelay && !n.manager.listed {
		n.manager.SetNodes(n.deployment.list)
	} else if age >= readyDelay && !n.manager.ready && !n.deployment.neverReady {
		n.manager.SetReady(true)
	}
	if now.Sub(n.checked) >= silenceCheckInterval {
		n.checked = now
		n.manager.checkSilence(now)
		n.reconcile(now)
	}
	deliver(n.manager, n)
	for _, name := range sortedKeys(n.links) {
		n.links[name].step(now, n)
	}
}

// reconcile opens and closes links as reconcileLinks does.
func (n *virtualNode) reconcile(now time.Time) {
	m := n.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := m.wantedLinks()
	for name := range n.links {
		if _, ok := wanted[name]; !ok {
			delete(n.links, name)
			delete(m.links, name)
		}
	}
	for name, peer := range wanted {
		if n.links[name] == nil {
			l := &virtualLink{link: &link{manager: m, peer: peer}, to: n.deployment.byName(name)}
			n.links[name], m.links[name] = l, l.link
			l.connectedAt = now.Add(3 * l.delay(n))
		}
	}
}

func (l *virtualLink) delay(from *virtualNode) time.Duration {
	if from.node.Zone == l.to.node.Zone {
		return withinZoneDelay
	}
	return betweenZonesDelay
}

// step sends an update if one is due. A link to a process that has ended fails, and is
// tried again after redialInterval.
func (l *virtualLink) step(now time.Time, from *virtualNode) {
	if l.in != nil && (!l.to.up || l.to.incarnation != l.toIncarnation) {
		l.in, l.connectedAt = nil, now.Add(redialInterval)
		l.setFailed(true)
	}
	if now.Before(l.connectedAt) {
		return
	}
	if l.in == nil {
		if !l.to.up {
			l.connectedAt = now.Add(redialInterval)
			l.setFailed(true)
			return
		}
		l.in, l.toIncarnation = newInbound(identity(from.node.Name, from.incarnation)), l.to.incarnation
		l.begin()
		l.acked = now
	}
	if l.delivered && now.Sub(l.acked) >= ackInterval {
		l.acked, l.delivered = now, false
		l.recordAck()
	}
	if interval := l.interval(); now.Sub(l.sent) >= interval {
		due := now.Sub(l.sent) >= heartbeatInterval-interval
		if u, changed := l.update(due); changed || due {
			l.sent = now
			from.deployment.inTransit = append(from.deployment.inTransit, transit{now.Add(l.delay(from)), l, l.in, u})
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// maxInWindow returns the largest amount that all nodes together admitted in any
// window, and the end of that window.
func (d *virtualDeployment) maxInWindow() (largest float64, end time.Time) {
	sum, first := 0.0, 0
	for _, b := range d.admitted {
		sum += b.amount
		for b.at.Sub(d.admitted[first].at) > d.slack.Window {
			sum -= d.admitted[first].amount
			first++
		}
		if sum > largest {
			largest, end = sum, b.at
		}
	}
	return largest, end
}

// randomTokens returns a random size of a request in tokens. Most are small, some very
// large.
func randomTokens(r *rand.Rand) float64 {
	return min(200+r.ExpFloat64()*3000*r.ExpFloat64(), 58_000)
}

// load lets a team ask for some times its rate, at random nodes that are up, for a time.
func (d *virtualDeployment) load(r *rand.Rand, team *catalog.Team, pressure float64, length time.Duration) {
	requested := 0.0
	for end := time.Now().Add(length); time.Now().Before(end); d.step() {
		for requested += pressure * team.Rate * virtualStep.Seconds(); requested > 0; {
			amount := randomTokens(r)
			requested -= amount
			for n := d.nodes[r.IntN(len(d.nodes))]; ; n = d.nodes[r.IntN(len(d.nodes))] {
				if n.up {
					n.take(team, amount)
					break
				}
			}
		}
	}
}
