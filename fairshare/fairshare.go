// Package fairshare divides the capacity of a service among teams while it is short.
//
// It answers a load in which one team sends many times its usual, within its limit: order of
// arrival or of value then serves teams in proportion to what they send. Within a tier, each
// team may have as much work done as the others that ask for as much (max-min fairness). What
// some do not ask for is left to the rest.
package fairshare

import (
	"math"
	"slices"
	"time"
)

const (
	// halfLife is the time in which the work that a team was granted counts half. A burst
	// of some seconds counts in full, and a team that has stopped sending is even again
	// after a few more.
	halfLife = 2 * time.Second
	// forgetBelow is the work in slot seconds below which nothing is kept of a team.
	forgetBelow = 0.001
)

// Key identifies the requests that share capacity as one: those of a team in a tier. The
// team is empty for requests without one.
type Key struct {
	Team string
	Tier int
}

// Use is the work of one key, in seconds of slots at an engine of typical speed: what was
// granted lately, and what waits.
type Use struct {
	Granted, Waiting float64
}

// Account keeps the work that the teams of one service were granted lately. It is used by
// one goroutine.
type Account struct {
	own map[Key]decaying
	// remote holds what other zones or nodes have reported, by source.
	remote map[string]map[Key]Use
}

// decaying is an amount that halves in every halfLife.
type decaying struct {
	amount float64
	at     time.Time
}

func (d decaying) value(now time.Time) float64 {
	return d.amount * math.Exp2(-max(0, now.Sub(d.at).Seconds())/halfLife.Seconds())
}

// NewAccount returns an account in which no work was granted.
func NewAccount() *Account {
	return &Account{own: make(map[Key]decaying), remote: make(map[string]map[Key]Use)}
}

// Grant records work that was granted here.
func (a *Account) Grant(k Key, work float64, now time.Time) {
	a.own[k] = decaying{a.own[k].value(now) + work, now}
}

// Return takes back work that was granted here at an instant and has not been done.
func (a *Account) Return(k Key, work float64, granted, now time.Time) {
	a.own[k] = decaying{max(0, a.own[k].value(now)-decaying{work, granted}.value(now)), now}
}

// Own returns the work granted here lately by key, and forgets what has decayed.
func (a *Account) Own(now time.Time) map[Key]float64 {
	granted := make(map[Key]float64, len(a.own))
	for k, d := range a.own {
		if v := d.value(now); v >= forgetBelow {
			granted[k] = v
		} else {
			delete(a.own, k)
		}
	}
	return granted
}

// SetRemote sets the use of a key at a source, which is another zone or node and reports each
// change.
func (a *Account) SetRemote(source string, k Key, u Use) {
	uses := a.remote[source]
	if uses == nil {
		uses = make(map[Key]Use)
		a.remote[source] = uses
	}
	if u.Granted < forgetBelow && u.Waiting < forgetBelow {
		delete(uses, k)
		return
	}
	uses[k] = u
}

// RemoveSource forgets what a source has reported, because it is no longer heard.
func (a *Account) RemoveSource(source string) { delete(a.remote, source) }

// Shares returns the division of the capacity at an instant. waiting is the work that waits
// here.
func (a *Account) Shares(waiting map[Key]float64, now time.Time) Shares {
	uses := make(map[Key]Use)
	for k, d := range a.own {
		uses[k] = Use{Granted: d.value(now)}
	}
	for k, work := range waiting {
		u := uses[k]
		u.Waiting += work
		uses[k] = u
	}
	for _, reported := range a.remote {
		for k, r := range reported {
			u := uses[k]
			u.Granted += r.Granted
			u.Waiting += r.Waiting
			uses[k] = u
		}
	}
	return divide(uses)
}

// Shares is a division of the capacity of a service: the work that each team of a tier may
// have been granted lately.
type Shares struct {
	uses map[Key]Use
	fair map[int]float64
}

// Over reports whether a key was granted more than its fair share.
func (s Shares) Over(k Key) bool {
	fair, ok := s.fair[k.Tier]
	return ok && s.uses[k].Granted > fair
}

// Fair returns the fair share of a tier in seconds of slots.
func (s Shares) Fair(tier int) float64 { return s.fair[tier] }

// divide divides what the keys of each tier were granted together max-min fairly among them,
// by what they asked for: what they were granted and what waits.
func divide(uses map[Key]Use) Shares {
	s := Shares{uses: uses, fair: make(map[int]float64)}
	demands, capacity := make(map[int][]float64), make(map[int]float64)
	for k, u := range uses {
		demands[k.Tier] = append(demands[k.Tier], u.Granted+u.Waiting)
		capacity[k.Tier] += u.Granted
	}
	for tier, list := range demands {
		s.fair[tier] = level(list, capacity[tier])
	}
	return s
}

// level returns the amount that, as the most that each demand gets, uses up the capacity.
func level(demands []float64, capacity float64) float64 {
	slices.Sort(demands)
	for i, demand := range demands {
		if even := capacity / float64(len(demands)-i); demand > even {
			return even
		}
		capacity -= demand
	}
	return math.Inf(1)
}
