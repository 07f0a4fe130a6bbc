package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/primrosemoor/primrosemoor/fairshare"
)

const (
	// sharesInterval is how often the work of the teams is published while requests wait. It
	// is a small part of the seconds for which granted work counts.
	sharesInterval = 250 * time.Millisecond
	// sharesHold is the time for which granted work is published after the queue has become
	// empty, which it often is for moments only. After two half-lives a quarter of the work
	// counts.
	sharesHold = 4 * time.Second
	// maxPublishedShares bounds the teams of a service whose work is published: those with
	// most of it. Hundreds of teams would cost more than their small shares are worth.
	maxPublishedShares = 32
	// minShareChange is the relative change of the work from which it is published again, so
	// that a steady load costs no messages.
	minShareChange = 0.1
)

// sharing divides the capacity of a pool among teams. The methods of a nil sharing do
// nothing.
type sharing struct {
	account *fairshare.Account
	// published holds what was published at publishedAt.
	published   map[fairshare.Key]fairshare.Use
	publishedAt time.Time
	// waitedAt is when requests last waited.
	waitedAt time.Time
}

func newSharing() *sharing {
	return &sharing{account: fairshare.NewAccount(), published: make(map[fairshare.Key]fairshare.Use)}
}

func (s *sharing) removeSource(source string) {
	if s != nil {
		s.account.RemoveSource(source)
	}
}

// publishes reports whether other nodes have been told of work.
func (s *sharing) publishes() bool { return s != nil && len(s.published) > 0 }

func shareKey(w *Work) fairshare.Key { return fairshare.Key{Team: w.Team, Tier: w.Tier} }

// work returns the seconds for which a request occupies a slot of typical speed; 1 for plain
// services, whose requests are alike. It is at most the request's time limit, as the length
// that a caller states has no bound.
func (p *pool) work(w *Work) float64 {
	if p.engine == nil {
		return 1
	}
	work := p.engine.slotSeconds(w)
	if limit := w.End.Sub(w.Arrived).Seconds(); limit > 0 {
		work = min(work, limit)
	}
	return work
}

// grantedWork is the work that counts as granted to the team of a request, zero if none does.
type grantedWork struct {
	work float64
	at   time.Time
}

// recordGrant records that a request was granted a target.
func (p *pool) recordGrant(w *Work, now time.Time) grantedWork {
	if p.sharing == nil {
		return grantedWork{}
	}
	g := grantedWork{p.work(w), now}
	p.sharing.account.Grant(shareKey(w), g.work, now)
	return g
}

// returnGrant takes back the work of a request that its target has not run.
func (p *pool) returnGrant(w *Work, g grantedWork, now time.Time) {
	if p.sharing != nil && g.work > 0 {
		p.sharing.account.Return(shareKey(w), g.work, g.at, now)
	}
}

// waitingWork returns the work that waits, by team and tier.
func (p *pool) waitingWork() map[fairshare.Key]float64 {
	work := make(map[fairshare.Key]float64)
	for _, w := range p.waiting {
		work[shareKey(w.work)] += p.work(w.work)
	}
	return work
}

// markOverShare marks the waiting requests of teams that were granted more than their fair
// share. A single request competes with none.
func (p *pool) markOverShare(now time.Time) {
	if p.sharing == nil || len(p.waiting) < 2 {
		return
	}
	shares := p.sharing.account.Shares(p.waitingWork(), now)
	for _, w := range p.waiting {
		w.overShare = shares.Over(shareKey(w.work))
	}
}

// publishShares publishes the work of the teams while requests wait and for sharesHold
// afterwards, and then that there is none.
func (m *Manager) publishShares(p *pool, now time.Time) {
	s := p.sharing
	if s == nil || m.options.PublishShare == nil {
		return
	}
	idle := len(p.waiting) == 0
	if !idle {
		s.waitedAt = now
	}
	if idle && len(s.published) == 0 || now.Sub(s.publishedAt) < sharesInterval {
		return
	}
	uses := make(map[fairshare.Key]fairshare.Use)
	if now.Sub(s.waitedAt) < sharesHold {
		uses = s.uses(p.waitingWork(), now)
	}
	for k := range s.published {
		if _, ok := uses[k]; !ok {
			m.options.PublishShare(p.name, k, fairshare.Use{})
		}
	}
	for k, u := range uses {
		if before, ok := s.published[k]; ok && similar(before.Granted, u.Granted) && similar(before.Waiting, u.Waiting) {
			uses[k] = before
			continue
		}
		m.options.PublishShare(p.name, k, u)
	}
	s.published, s.publishedAt = uses, now
}

// similar reports whether an amount has changed too little to be published.
func similar(before, now float64) bool {
	return math.Abs(now-before) <= minShareChange*before
}

// uses returns the work of the teams with most of it.
func (s *sharing) uses(waiting map[fairshare.Key]float64, now time.Time) map[fairshare.Key]fairshare.Use {
	uses := make(map[fairshare.Key]fairshare.Use)
	for k, granted := range s.account.Own(now) {
		uses[k] = fairshare.Use{Granted: granted}
	}
	for k, work := range waiting {
		uses[k] = fairshare.Use{Granted: uses[k].Granted, Waiting: work}
	}
	if len(uses) <= maxPublishedShares {
		return uses
	}
	keys := slices.SortedFunc(maps.Keys(uses), func(a, b fairshare.Key) int {
		return cmp.Compare(uses[b].Granted+uses[b].Waiting, uses[a].Granted+uses[a].Waiting)
	})
	for _, k := range keys[maxPublishedShares:] {
		delete(uses, k)
	}
	return uses
}

// SetRemoteShare sets the work of a team in a tier at a source, which is a node or a zone.
func (m *Manager) SetRemoteShare(source, service string, k fairshare.Key, u fairshare.Use) {
	m.submit(shareReported{source, service, k, u})
}

// shareReported is a report of the work of a team from another node or zone.
type shareReported struct {
	source, service string
	key             fairshare.Key
	use             fairshare.Use
}

// apply keeps the share of a service that this node does not know yet as well: a steady one
// is not reported again.
func (e shareReported) apply(m *Manager, _ time.Time) {
	p := m.pools[e.service]
	if p == nil && m.options.FairShares && e.use != (fairshare.Use{}) {
		p = m.pool(e.service)
	}
	if p != nil && p.sharing != nil {
		p.sharing.account.SetRemote(e.source, e.key, e.use)
	}
}
