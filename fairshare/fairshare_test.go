package fairshare_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/primrosemoor/primrosemoor/fairshare"
	"github.com/primrosemoor/primrosemoor/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "7", "300") }

var start = time.Unix(1_700_000_000, 0)

// queue plays teams that ask for work of a service: each step it takes one request in order
// of value, of teams that are not over their share first.
type queue struct {
	account *fairshare.Account
	waiting map[fairshare.Key][]float64
	served  map[fairshare.Key]int
}

func newQueue() *queue {
	return &queue{account: fairshare.NewAccount(), waiting: make(map[fairshare.Key][]float64), served: make(map[fairshare.Key]int)}
}

func (q *queue) add(k fairshare.Key, work float64) { q.waiting[k] = append(q.waiting[k], work) }

// grant grants one request: the team with most requests waiting goes first, as one would
// that sends most in order of arrival.
func (q *queue) grant(now time.Time) {
	shares := q.account.Shares(q.work(), now)
	var best fairshare.Key
	found := false
	for k, list := range q.waiting {
		if len(list) == 0 {
			continue
		}
		better := !found || shares.Over(best) && !shares.Over(k) ||
			shares.Over(best) == shares.Over(k) && len(list) > len(q.waiting[best])
		if better {
			best, found = k, true
		}
	}
	if !found {
		return
	}
	q.account.Grant(best, q.waiting[best][0], now)
	q.waiting[best] = q.waiting[best][1:]
	q.served[best]++
}

func (q *queue) work() map[fairshare.Key]float64 {
	work := make(map[fairshare.Key]float64)
	for k, list := range q.waiting {
		for _, w := range list {
			work[k] += w
		}
	}
	return work
}

func key(i int) fairshare.Key { return fairshare.Key{Team: fmt.Sprintf("t%d", i)} }

// One team asks for 15 times as much as each of nine others, and the service has room for half
// of it all. Without shares the nine were served as rarely as the one.
func TestTeamThatSendsManyTimesItsUsualDoesNotLowerTheShareOfOthers(t *testing.T) {
	is := is.New(t)
	q := newQueue()
	asked := make(map[fairshare.Key]int)
	for step := range 1000 { // 10 s in steps of 10 ms
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		for range 3 {
			q.add(key(0), 0.1)
			asked[key(0)]++
		}
		if step%5 == 0 {
			for team := 1; team < 10; team++ {
				q.add(key(team), 0.1)
				asked[key(team)]++
			}
		}
		for range 2 {
			q.grant(now)
		}
		if step%100 == 99 {
			for k := range q.waiting {
				q.waiting[k] = nil // these callers have given up
			}
		}
	}
	for team := 1; team < 10; team++ {
		is.True(float64(q.served[key(team)]) >= 0.8*float64(asked[key(team)])) // served nearly always
	}
	is.True(q.served[key(0)] > 0) // gets what the others leave
}

func TestTeamsAreNotOverTheirShareWhileNothingWaits(t *testing.T) {
	is := is.New(t)
	a := fairshare.NewAccount()
	a.Grant(key(0), 100, start)
	a.Grant(key(1), 1, start)
	is.True(!a.Shares(nil, start).Over(key(0)))
}

func TestWorkGrantedElsewhereCounts(t *testing.T) {
	is := is.New(t)
	a := fairshare.NewAccount()
	a.Grant(key(0), 1, start)
	a.Grant(key(1), 1, start)
	waiting := map[fairshare.Key]float64{key(0): 5, key(1): 5}
	is.True(!a.Shares(waiting, start).Over(key(0)))
	a.SetRemote("z", key(0), fairshare.Use{Granted: 4})
	is.True(a.Shares(waiting, start).Over(key(0)))
	is.True(!a.Shares(waiting, start).Over(key(1)))
	a.RemoveSource("z")
	is.True(!a.Shares(waiting, start).Over(key(0)))
}

func TestTiersAreDividedApart(t *testing.T) {
	is := is.New(t)
	a := fairshare.NewAccount()
	high, low := fairshare.Key{Team: "t", Tier: 0}, fairshare.Key{Team: "t", Tier: 1}
	a.Grant(high, 10, start)
	a.Grant(low, 1, start)
	is.True(!a.Shares(map[fairshare.Key]float64{high: 5, low: 5}, start).Over(high))
}

// Shares use up the capacity, and no team that is over its share got as much as it asked for
// while another that asked for more got less.
func TestSharesAreMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := fairshare.NewAccount()
		waiting := make(map[fairshare.Key]float64)
		granted, total := make(map[fairshare.Key]float64), 0.0
		for i := range rapid.IntRange(1, 12).Draw(t, "teams") {
			granted[key(i)] = rapid.Float64Range(0.01, 50).Draw(t, "granted")
			waiting[key(i)] = rapid.Float64Range(0, 50).Draw(t, "waiting")
			a.Grant(key(i), granted[key(i)], start)
			total += granted[key(i)]
		}
		s := a.Shares(waiting, start)
		fair := s.Fair(0)
		if math.IsInf(fair, 1) {
			return // Nothing waits, or next to nothing.
		}
		sum := 0.0
		for k := range granted {
			sum += min(granted[k]+waiting[k], fair)
		}
		if math.Abs(sum-total) > 1e-6*total {
			t.Fatalf("shares of %v add up to %v instead of %v", fair, sum, total)
		}
		for k := range granted {
			if s.Over(k) && granted[k] <= fair {
				t.Fatalf("%v is over its share with %v of %v", k, granted[k], fair)
			}
		}
	})
}

// Work that is taken back later must leave nothing, and take nothing of other grants.
func TestReturnedWorkLeavesWhatElseWasGranted(t *testing.T) {
	is := is.New(t)
	k, start := fairshare.Key{Team: "a"}, time.Unix(1000, 0)
	later := start.Add(3 * time.Second)
	with, without := fairshare.NewAccount(), fairshare.NewAccount()
	with.Grant(k, 5, start)
	for _, a := range []*fairshare.Account{with, without} {
		a.Grant(k, 2, start.Add(time.Second))
	}
	with.Return(k, 5, start, later)
	is.True(math.Abs(with.Own(later)[k]-without.Own(later)[k]) < 1e-9)
	with.Return(k, 100, later, later)
	is.Equal(len(with.Own(later)), 0) // never below zero
}
