package mesh

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/quota"
	"github.com/primrosemoor/primrosemoor/schema"
)

// overload is the load of some teams on targets that run only a part of it. Requests wait
// for queueTime in the queue of their node; those for which the targets have no capacity
// by then are refused, and their callers send them once more.
type overload struct {
	*virtualDeployment
	r     *rand.Rand
	teams []*catalog.Team
	// offered is what callers ask of each team's limit without their second sends, and
	// capacity what the targets run of that.
	offered, capacity float64
	credit            float64
	requested         []float64
	waiting           []queuedRequest
	// again are the requests that will be sent once more.
	again []queuedRequest
	// owed counts the requests of callers, limited those that got 429 at least once, ran
	// those that were run, by team.
	owed, limited, ran []int
}

// queuedRequest is a request that waits at a node until a time.
type queuedRequest struct {
	team        int
	amount      float64
	node        *virtualNode
	incarnation uint64
	charged     time.Time
	until       time.Time
	second      bool
	limited     bool
}

// queueTime is the wait of a refused request as measured on the heaviest day: 420 ms of
// an objective of 500 ms.
const queueTime = 420 * time.Millisecond

func newOverload(d *virtualDeployment, seed uint64, offered, capacity float64, teams ...*catalog.Team) *overload {
	n := len(teams)
	return &overload{
		virtualDeployment: d, r: rand.New(rand.NewPCG(seed, 1)), teams: teams, offered: offered, capacity: capacity,
		requested: make([]float64, n), owed: make([]int, n), limited: make([]int, n), ran: make([]int, n),
	}
}

// send charges a request at a random node that is up.
func (o *overload) send(q queuedRequest) {
	for q.node = nil; q.node == nil || !q.node.up; {
		q.node = o.nodes[o.r.IntN(len(o.nodes))]
	}
	now := time.Now()
	retryAfter, ok := q.node.allowance.Take(o.teams[q.team], q.amount)
	if !ok {
		if !q.limited {
			o.limited[q.team]++
		}
		q.limited = true
		o.sendAgain(q, retryAfter)
		return
	}
	q.incarnation, q.charged, q.until = q.node.incarnation, now, now.Add(queueTime)
	o.waiting = append(o.waiting, q)
}

func (o *overload) sendAgain(q queuedRequest, after time.Duration) {
	if !q.second {
		q.second, q.until = true, time.Now().Add(after)
		o.again = append(o.again, q)
	}
}

// dispatch runs waiting requests as far as the targets have capacity, at random, and
// refuses those that have waited for queueTime.
func (o *overload) dispatch() {
	o.r.Shuffle(len(o.waiting), func(i, j int) { o.waiting[i], o.waiting[j] = o.waiting[j], o.waiting[i] })
	o.waiting = slices.DeleteFunc(o.waiting, func(q queuedRequest) bool {
		switch {
		case !q.node.up || q.node.incarnation != q.incarnation:
			// The process was killed; the charge stays.
		case o.credit > 0:
			o.credit -= q.amount
			o.ran[q.team]++
			o.admitted = append(o.admitted, admission{q.charged, q.node, q.amount})
		case !time.Now().Before(q.until):
			q.node.allowance.Return(o.teams[q.team], q.amount, q.charged)
			o.sendAgain(q, queueTime/3)
		default:
			return false
		}
		return true
	})
}

func (o *overload) run(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); o.step() {
		demand := 0.0
		for i, team := range o.teams {
			step := o.offered * team.Rate * virtualStep.Seconds()
			demand += step
			for o.requested[i] += step; o.requested[i] > 0; {
				q := queuedRequest{team: i, amount: randomTokens(o.r)}
				o.requested[i] -= q.amount
				o.owed[i]++
				o.send(q)
			}
		}
		o.again = slices.DeleteFunc(o.again, func(q queuedRequest) bool {
			due := !time.Now().Before(q.until)
			if due {
				o.send(q)
			}
			return due
		})
		o.credit = min(o.credit+o.capacity*demand, demand)
		o.dispatch()
	}
}

// Teams that ask for what their limit allows, of which targets can run half, are refused
// for want of capacity only. Guards against charges for requests that were refused: sent
// twice, they passed the limit, and callers got 429 for a team within it.
func TestTeamsWithinTheirLimitsGetNo429UnderOverload(t *testing.T) {
	teams := []*catalog.Team{
		{Name: "large", Rate: 300_000, Burst: 300_000, ByTokens: true},
		{Name: "middle", Rate: 120_000, Burst: 120_000, ByTokens: true},
		{Name: "small", Rate: 40_000, Burst: 40_000, ByTokens: true},
	}
	for _, zones := range [][]int{{2, 2, 2}, {9, 4}, {9, 8, 8}} {
		t.Run(fmt.Sprint(zones), func(t *testing.T) {
			is := is.New(t)
			owed, limited, ran := make([]int, len(teams)), make([]int, len(teams)), make([]int, len(teams))
			for seed := range uint64(6) {
				synctest.Test(t, func(t *testing.T) {
					d := newVirtualDeployment(quota.Slack{Window: 8 * time.Second, Overshoot: 0.1, Fixed: 140_000}, zones...)
					o := newOverload(d, seed, 0.95, 0.5, teams...)
					o.run(12 * time.Second)
					clear(o.owed)
					clear(o.limited)
					clear(o.ran)
					o.run(20 * time.Second)
					for i := range teams {
						owed[i] += o.owed[i]
						limited[i] += o.limited[i]
						ran[i] += o.ran[i]
					}
				})
			}
			for i, team := range teams {
				limitedShare, ranShare := float64(limited[i])/float64(owed[i]), float64(ran[i])/float64(owed[i])
				t.Logf("%s: %d owed, %.1f %% got 429, %.1f %% ran", team.Name, owed[i], 100*limitedShare, 100*ranShare)
				is.True(limitedShare < 0.02)
				is.True(ranShare > 0.4) // Half of the work can run.
			}
		})
	}
}

// However many nodes are killed while a team that asks for six times its limit is refused
// a part of it, what is run stays within the limit and its slack in every window. Guards
// against refunds that are counted twice when owners change, and against charges of
// killed processes that are refunded.
func TestTeamStaysWithinItsLimitWithRefundsWhileNodesAreKilled(t *testing.T) {
	slack := quota.Slack{Window: 8 * time.Second, Overshoot: 0.1, Fixed: 140_000}
	team := &catalog.Team{Name: "t", Rate: 80_000, Burst: 80_000, ByTokens: true}
	allowed := (team.Rate*slack.Window.Seconds()+team.Burst)*(1+slack.Overshoot) + slack.Fixed
	owners := []string{"a00", "b00"}
	all := []string{"a00", "a01", "b00", "b01", "c00", "c01"}
	for _, k := range []struct {
		zones    []int
		killed   []string
		capacity float64
	}{{[]int{2, 2, 2}, owners, 0.5}, {[]int{2, 2, 2}, owners, 0.15}, {[]int{2, 2, 2}, all, 0.2}, {[]int{12, 2}, owners, 0.2}} {
		for _, down := range []time.Duration{500 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprint(k.zones, " killed ", k.killed, " down ", down, " capacity ", k.capacity), func(t *testing.T) {
				for seed := range uint64(2) {
					synctest.Test(t, func(t *testing.T) {
						d := newVirtualDeployment(slack, k.zones...)
						o := newOverload(d, seed, 6, k.capacity, team)
						o.offered = 0
						o.run(10 * time.Second)
						o.offered = 6
						o.run(4*time.Second + time.Duration(seed)*1700*time.Millisecond)
						for _, name := range k.killed {
							d.byName(name).kill()
						}
						if len(k.killed) < len(d.nodes) {
							o.run(down)
						} else {
							time.Sleep(down)
						}
						for _, name := range k.killed {
							d.byName(name).start()
						}
						o.run(10 * time.Second)
						slices.SortFunc(d.admitted, func(a, b admission) int { return a.at.Compare(b.at) })
						if got, end := d.maxInWindow(); got > allowed {
							t.Errorf("seed %d: %.0f in the window that ends at %v, allowed %.0f", seed, got, end.Sub(d.admitted[0].at), allowed)
						}
					})
				}
			})
		}
	}
}

// Each node is told once what each other one refunds, in small and in large zones.
func TestRefundsReachAllNodesOnce(t *testing.T) {
	for _, zones := range [][]int{{2, 2}, {3, 12}} {
		synctest.Test(t, func(t *testing.T) {
			d := newVirtualDeployment(quota.Slack{Window: 8 * time.Second}, zones...)
			run := func(length time.Duration) {
				for end := time.Now().Add(length); time.Now().Before(end); d.step() {
				}
			}
			run(4 * time.Second)
			for range 20 {
				for _, n := range d.nodes {
					n.manager.Book("t", 10, nil)
					n.manager.BookReturn("t", 4, 100*time.Millisecond, nil)
				}
				run(20 * time.Millisecond)
			}
			run(time.Second)
			for _, n := range d.nodes {
				if got, want := n.returned["t"], float64(80*(len(d.nodes)-1)); got != want {
					t.Errorf("%v: %s counts %.0f, the others refunded %.0f", zones, n.node.Name, got, want)
				}
				if got, want := n.heard["t"], float64(200*(len(d.nodes)-1)); got != want {
					t.Errorf("%v: %s counts %.0f, the others booked %.0f", zones, n.node.Name, got, want)
				}
			}
		})
	}
}

// refunds records what a listener is told of refunds.
type refunds struct {
	bookings
	returned float64
	delay    time.Duration
}

func (l *refunds) Returned(_ string, amount float64, delay time.Duration, _ *int64) {
	l.returned += amount
	l.delay = delay
}

// returnedUse is a report of what team t has booked and refunded, 300 ms after.
func returnedUse(booked, returned uint64) *schema.MeshUse {
	u := bookedUse(booked)
	u.Teams[0].Returned, u.Teams[0].ReturnedDelay = returned, 300*returned
	return u
}

// The first report of a stream is the baseline of the refunds, a reconnect loses none and
// counts none twice, and a build that knows no refunds reports bookings only.
func TestRefundsSurviveAReconnect(t *testing.T) {
	is := is.New(t)
	l := &refunds{}
	m := newNode("a1", "a2")
	report := func(in *inbound, use *schema.MeshUse) float64 {
		m.handleUpdate(in, &schema.MeshUpdate{Own: use})
		deliver(m, l)
		return l.returned
	}
	in := newInbound(identity("a2", 1))
	is.Equal(report(in, returnedUse(100, 50)), 0.0)
	is.Equal(report(in, returnedUse(130, 70)), 20.0)
	is.Equal(l.delay, 300*time.Millisecond)
	in = newInbound(identity("a2", 1))
	is.Equal(report(in, returnedUse(180, 90)), 40.0)
	is.Equal(report(in, returnedUse(180, 90)), 40.0)
	is.Equal(l.sum, 80.0)
	is.Equal(report(in, bookedUse(200)), 40.0)
	is.Equal(l.sum, 100.0)
}

// What a node refunded while it was silent used nothing of what was left to it.
func TestRefundsOfASilentNodeAreOffsetAgainstItsBookings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &refunds{}
		m := newNode("a1", "a2")
		in := newInbound(identity("a2", 1))
		m.handleUpdate(in, &schema.MeshUpdate{Own: returnedUse(100, 0)})
		time.Sleep(silenceTimeout + 100*time.Millisecond)
		m.checkSilence(time.Now())
		m.handleUpdate(in, &schema.MeshUpdate{Own: returnedUse(180, 50)})
		deliver(m, l)
		is.Equal(l.sum, 30.0)
		is.Equal(l.returned, 0.0)
		is.Equal(m.zoneSums.since(0).teams["t"].Returned, uint64(50))
	})
}

// Where a zone's new owner takes over, what it reports may repeat the last reports of the
// old one. Guards against refunds that count twice without the bookings.
func TestNoMoreIsRefundedThanBookedAtATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &refunds{}
		m := newNode("b1", "b2", "a1", "a2")
		report := func(in *inbound, use *schema.MeshUse) {
			m.handleUpdate(in, &schema.MeshUpdate{Zones: []*schema.MeshZone{{Zone: "a", Use: use}}})
			deliver(m, l)
		}
		old, next := newInbound(identity("a1", 1)), newInbound(identity("a2", 1))
		report(old, returnedUse(1000, 500))
		report(old, returnedUse(1010, 530))
		is.Equal(l.returned, 30.0) // Refunds of what was booked before.
		report(next, returnedUse(400, 200))
		report(next, returnedUse(410, 230))
		time.Sleep(feedTakeoverDelay + 10*time.Millisecond)
		report(next, returnedUse(415, 240))
		is.Equal(l.sum, 10.0+15)
		is.Equal(l.returned, 30.0+15)
		report(next, returnedUse(415, 250))
		is.Equal(l.returned, 30.0+15+10)
	})
}
