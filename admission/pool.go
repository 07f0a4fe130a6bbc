package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosemoor/primrosemoor/schema"
)

// pool is this owner's part in shedding the tiers of one service in strict
// order with the sibling owners. docs/design/shedding.md defines the order.
type pool struct {
	service string
	lowest  uint32
	// floor is the lowest rank that this owner admits.
	floor uint32
	// sequence rises with each move of the floor and each shed; loweredAs is
	// the one with which the floor moved to a more important rank.
	sequence, loweredAs uint64
	// keep is the lowest rank whose waiting requests may still be dispatched.
	keep uint32
	// want is the most important rank that has to be shed.
	want uint32
	// lowered is when the floor last moved to a more important rank.
	lowered time.Time
	// pressure is when a rank was last shed or wanted to be.
	pressure time.Time
	stepped  time.Time
	// shedAt is when a request of a rank was last shed here.
	shedAt [MaxRanks]time.Time
	// siblings are in order of their nodes' names.
	siblings []*sibling
	// skipAck is set by tests to show that they notice a missing
	// acknowledgement.
	skipAck bool
}

// sibling is another owner of groups of the same service.
type sibling struct {
	node string
	// listed siblings own a group in the current topology.
	listed bool
	// seen is the highest sequence received, with the floor it carried.
	seen  uint64
	floor uint32
	// acked is the floor that the sibling confirmed to have applied, and
	// confirmed the latest sequence.
	acked     uint32
	confirmed uint64
	// lease is until when this owner may dispatch queued requests of a rank.
	lease [MaxRanks]time.Time
	// granted is until when the sibling may hold a lease from this owner.
	granted [MaxRanks]time.Time
	sent    time.Time
	// passed is when the sibling last shed a request more important than the
	// rank.
	passed [MaxRanks]time.Time
	// heard is when the last message was received.
	heard time.Time
	// failing is the start of the failures counted in fails.
	failing time.Time
	fails   int
	// split siblings do not answer, and their leases are not asked for.
	split bool
	loads []*schema.GroupLoad
	// loadsAt is when loads were received.
	loadsAt time.Time
}

func newPool(now time.Time, service string) *pool {
	return &pool{
		service:  service,
		lowest:   MaxRanks - 1,
		floor:    MaxRanks - 1,
		want:     MaxRanks - 1,
		keep:     MaxRanks - 1,
		sequence: uint64(now.UnixMilli()) << 16,
	}
}

func (p *pool) sibling(node string) *sibling {
	i, ok := slices.BinarySearchFunc(p.siblings, node, func(s *sibling, node string) int {
		return cmp.Compare(s.node, node)
	})
	if !ok {
		s := &sibling{node: node, floor: MaxRanks - 1, acked: MaxRanks - 1}
		p.siblings = slices.Insert(p.siblings, i, s)
	}
	return p.siblings[i]
}

// list sets which nodes own groups of the service now.
func (p *pool) list(now time.Time, nodes map[string]bool) {
	for node := range nodes {
		p.sibling(node)
	}
	for _, s := range p.siblings {
		s.listed = nodes[s.node]
	}
	p.siblings = slices.DeleteFunc(p.siblings, func(s *sibling) bool {
		return !s.listed && !s.holdsLease(now, 0)
	})
}

// setLowest sets the rank of the least important tier.
func (p *pool) setLowest(rank uint32) {
	if p.floor == p.lowest {
		p.floor = rank
	}
	if p.want == p.lowest {
		p.want = rank
	}
	p.lowest = rank
	p.floor = min(p.floor, rank)
	p.want = min(p.want, rank)
}

// imposed returns the lowest rank that all siblings' floors admit.
func (p *pool) imposed() uint32 {
	floor := uint32(MaxRanks - 1)
	for _, s := range p.siblings {
		if s.listed && !s.split {
			floor = min(floor, s.floor)
		}
	}
	return floor
}

// admits reports whether no floor holds the rank back.
func (p *pool) admits(rank uint32) bool {
	return rank <= min(p.floor, p.imposed())
}

// mayDispatch reports whether a queued request of a rank may be dispatched: no
// floor holds it back, and every sibling has leased the rank or is split. Rank
// 0 needs no lease, because nothing is shed after it.
func (p *pool) mayDispatch(now time.Time, rank uint32) bool {
	if rank == 0 {
		return true
	}
	if !p.admits(rank) {
		return false
	}
	for _, s := range p.siblings {
		if s.listed && !s.split && !s.lease[rank].After(now) {
			return false
		}
	}
	return true
}

// mayShed reports whether a request of a rank may be shed: nothing of a less
// important rank waits here or at a sibling that could still dispatch it.
func (p *pool) mayShed(now time.Time, rank uint32) bool {
	if rank >= p.lowest {
		return true
	}
	if p.floor > rank {
		return false
	}
	if p.skipAck {
		return true
	}
	for _, s := range p.siblings {
		if s.acked <= rank {
			continue
		}
		if s.listed && now.Before(p.lowered.Add(LeaseDuration)) {
			return false
		}
		if s.holdsLease(now, rank) {
			return false
		}
	}
	return true
}

// holdsLease reports whether the sibling may hold a lease for a rank less
// important than rank.
func (s *sibling) holdsLease(now time.Time, rank uint32) bool {
	for _, until := range s.granted[rank+1:] {
		if until.After(now) {
			return true
		}
	}
	return false
}

// press notes that a rank has to be shed.
func (p *pool) press(now time.Time, rank uint32) {
	p.pressure = now
	p.stepped = now
	p.want = min(p.want, rank)
}

// shed notes that a request of a rank was shed: nothing less important that
// waits now may be dispatched. It reports whether there is such a rank.
func (p *pool) shed(rank uint32) bool {
	if rank >= p.lowest {
		return false
	}
	p.keep = min(p.keep, rank)
	p.sequence++
	return true
}

// advance moves the floor to what is wanted and reports whether it moved.
func (p *pool) advance(now time.Time) bool {
	if p.floor <= p.want {
		return false
	}
	p.floor = p.want
	p.lowered = now
	p.sequence++
	p.loweredAs = p.sequence
	return true
}

// relax admits one more rank once the pressure is gone and all siblings know
// of the present floor. It reports whether the floor moved.
func (p *pool) relax(now time.Time) bool {
	if now.Sub(p.pressure) < floorHold {
		return false
	}
	p.want = p.lowest
	if p.floor >= p.lowest || now.Sub(p.stepped) < floorStep || !p.known() {
		return false
	}
	p.floor++
	p.keep = MaxRanks - 1
	p.stepped = now
	p.sequence++
	for _, s := range p.siblings {
		s.acked = max(s.acked, p.floor)
	}
	return true
}

// known reports whether every sibling has confirmed the floor and what was shed
// under it, or is split.
func (p *pool) known() bool {
	for _, s := range p.siblings {
		if s.listed && !s.split && s.confirmed < p.sequence {
			return false
		}
	}
	return true
}

// state is one owner's floor as its messages carry it.
type state struct {
	floor, keep uint32
	sequence    uint64
}

func (p *pool) state() state {
	return state{p.granting(), p.keep, p.sequence}
}

// hear takes a sibling's floor. Older messages are ignored. keep is the lowest
// rank of which waiting requests may still be dispatched.
func (s *sibling) hear(now time.Time, heard state) (current bool, keep uint32) {
	s.fails, s.split = 0, false
	s.heard = now
	if heard.sequence < s.seen {
		return false, MaxRanks - 1
	}
	keep = MaxRanks - 1
	if heard.sequence > s.seen {
		keep = min(heard.keep, MaxRanks-1)
	}
	s.seen = heard.sequence
	s.floor = min(heard.floor, MaxRanks-1)
	for rank := s.floor + 1; rank < MaxRanks; rank++ {
		s.lease[rank] = time.Time{}
	}
	for rank := keep + 1; rank < MaxRanks; rank++ {
		s.passed[rank] = now
	}
	return true, keep
}

// lastShedAbove returns the latest time at which a request more important than
// rank was shed here or by a sibling.
func (p *pool) lastShedAbove(rank uint32) time.Time {
	var last time.Time
	for _, at := range p.shedAt[:rank] {
		last = later(last, at)
	}
	for _, s := range p.siblings {
		last = later(last, s.passed[rank])
	}
	return last
}

// receive applies a sibling's update and returns the acknowledgement, which
// leases the ranks down to this owner's floor, and the lowest rank of which
// waiting requests may still be dispatched.
func (p *pool) receive(now time.Time, node string, u *schema.FloorUpdate) (ack *schema.FloorAck, keep uint32) {
	s := p.sibling(node)
	current, keep := s.hear(now, state{u.GetFloor(), u.GetKeep(), u.GetSequence()})
	if current {
		s.loads, s.loadsAt = u.GetLoads(), now
	}
	for rank := uint32(0); rank <= p.granting(); rank++ {
		s.granted[rank] = now.Add(LeaseDuration)
	}
	own := p.state()
	return &schema.FloorAck{Floor: own.floor, Keep: own.keep, Sequence: own.sequence, Confirmed: s.seen}, keep
}

// granting returns the lowest rank that this owner leases to its siblings.
func (p *pool) granting() uint32 {
	if p.floor >= p.lowest {
		return MaxRanks - 1
	}
	return p.floor
}

// acknowledged takes the answer to an update sent at sent, and returns the
// lowest rank of which waiting requests may still be dispatched.
func (p *pool) acknowledged(now, sent time.Time, node string, a *schema.FloorAck) (keep uint32) {
	s := p.sibling(node)
	current, keep := s.hear(now, state{a.GetFloor(), a.GetKeep(), a.GetSequence()})
	if a.GetConfirmed() > p.sequence {
		// The sibling remembers an earlier run of this node.
		p.sequence = a.GetConfirmed() + 1
		p.loweredAs = p.sequence
		return keep
	}
	s.confirmed = max(s.confirmed, a.GetConfirmed())
	if s.confirmed >= p.loweredAs {
		s.acked = min(s.acked, p.granting())
	}
	if !current {
		return keep
	}
	s.loads, s.loadsAt = a.GetLoads(), now
	for rank := uint32(0); rank <= s.floor; rank++ {
		s.lease[rank] = later(s.lease[rank], sent.Add(LeaseDuration))
	}
	return keep
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// unanswered notes that an update sent at sent had no answer. A timeout that
// is noticed late says that this node was paused, not that the sibling failed.
func (p *pool) unanswered(now, sent time.Time, node string) {
	s := p.sibling(node)
	if now.Sub(sent) > 2*floorTimeout {
		s.fails = 0
		return
	}
	if s.fails == 0 {
		s.failing = later(sent, s.heard)
	}
	s.fails++
	if s.fails >= minSplitFailures && now.Sub(s.failing) >= SplitAfter {
		s.split = true
	}
}
