package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosemoor/primrosemoor/schema"
)

// shedCoordinator agrees with the sibling owners of one service on which ranks
// to shed, so that tiers are shed in strict order across all owners.
// docs/design/shedding.md defines the order. Rank 0 is the most important, and
// a floor is the least important rank that is still admitted.
type shedCoordinator struct {
	service    string
	lowestRank uint32
	// floor is the least important rank that this owner admits.
	floor uint32
	// sequence increases with each change of the floor and each shed.
	// tightenedSequence is its value when the floor last moved to a more
	// important rank.
	sequence, tightenedSequence uint64
	// queuedFloor is the least important rank whose queued requests may still be
	// dispatched.
	queuedFloor uint32
	// requestedFloor is the most important rank that has to be shed.
	requestedFloor uint32
	// tightenedAt is when the floor last moved to a more important rank.
	tightenedAt time.Time
	// lastShedRequest is when requestShed was last called.
	lastShedRequest time.Time
	// lastFloorChange is when the floor was last relaxed or requestShed was last
	// called. It delays the next relaxation.
	lastFloorChange time.Time
	// lastShed is when this owner last shed a request of each rank.
	lastShed [MaxRanks]time.Time
	// siblings are sorted by node name.
	siblings []*sibling
	// skipAck makes mayShed ignore missing acknowledgements. Only tests set it,
	// to prove that they detect the resulting violations.
	skipAck bool
}

// sibling is another owner of groups of the same service.
type sibling struct {
	node string
	// ownsGroup is set if the sibling owns a group of the service in the current
	// topology.
	ownsGroup bool
	// receivedSequence is the highest sequence received from the sibling, and
	// floor is the floor sent with it.
	receivedSequence uint64
	floor            uint32
	// ackedFloor is the floor of this owner that the sibling confirmed to have
	// applied, and confirmedSequence is the highest sequence that it confirmed.
	ackedFloor        uint32
	confirmedSequence uint64
	// leaseExpiry is when the sibling's lease to dispatch queued requests of each
	// rank ends for this owner.
	leaseExpiry [MaxRanks]time.Time
	// grantedExpiry is the time until which the sibling may hold a lease for each
	// rank from this owner.
	grantedExpiry [MaxRanks]time.Time
	lastSent      time.Time
	// lastShedAbove is when the sibling last reported that it shed a request more
	// important than each rank.
	lastShedAbove [MaxRanks]time.Time
	// lastReceived is when the last message from the sibling was received.
	lastReceived time.Time
	// firstFailure is the start of the period without an answer. failures counts
	// the unanswered updates in it.
	firstFailure time.Time
	failures     int
	// unreachable siblings do not answer, and their leases are not required.
	unreachable bool
	loads       []*schema.GroupLoad
	// loadsReceived is when loads was received.
	loadsReceived time.Time
}

func newShedCoordinator(now time.Time, service string) *shedCoordinator {
	return &shedCoordinator{
		service:        service,
		lowestRank:     MaxRanks - 1,
		floor:          MaxRanks - 1,
		requestedFloor: MaxRanks - 1,
		queuedFloor:    MaxRanks - 1,
		// The clock keeps the sequence above those of earlier runs of this node.
		sequence: uint64(now.UnixMilli()) << 16,
	}
}

// sibling returns the state of a sibling owner and creates it if needed.
func (c *shedCoordinator) sibling(node string) *sibling {
	i, ok := slices.BinarySearchFunc(c.siblings, node, func(s *sibling, node string) int {
		return cmp.Compare(s.node, node)
	})
	if !ok {
		s := &sibling{node: node, floor: MaxRanks - 1, ackedFloor: MaxRanks - 1}
		c.siblings = slices.Insert(c.siblings, i, s)
	}
	return c.siblings[i]
}

// updateSiblings sets the nodes that now own groups of the service. It keeps
// the state of a former sibling until no lease granted to it can be valid.
func (c *shedCoordinator) updateSiblings(now time.Time, nodes map[string]bool) {
	for node := range nodes {
		c.sibling(node)
	}
	for _, s := range c.siblings {
		s.ownsGroup = nodes[s.node]
	}
	c.siblings = slices.DeleteFunc(c.siblings, func(s *sibling) bool {
		return !s.ownsGroup && !s.mayHoldLeaseBelow(now, 0)
	})
}

// setLowestRank sets the rank of the least important tier.
func (c *shedCoordinator) setLowestRank(rank uint32) {
	if c.floor == c.lowestRank {
		c.floor = rank
	}
	if c.requestedFloor == c.lowestRank {
		c.requestedFloor = rank
	}
	c.lowestRank = rank
	c.floor = min(c.floor, rank)
	c.requestedFloor = min(c.requestedFloor, rank)
}

// siblingFloor returns the least important rank that the floors of all
// reachable siblings admit.
func (c *shedCoordinator) siblingFloor() uint32 {
	floor := uint32(MaxRanks - 1)
	for _, s := range c.siblings {
		if s.ownsGroup && !s.unreachable {
			floor = min(floor, s.floor)
		}
	}
	return floor
}

// admits reports whether this owner's floor and those of its siblings admit a
// rank.
func (c *shedCoordinator) admits(rank uint32) bool {
	return rank <= min(c.floor, c.siblingFloor())
}

// mayDispatch reports whether a queued request of a rank may be dispatched: all
// floors admit it, and every sibling has leased the rank or is unreachable.
// Rank 0 needs no lease, because nothing is shed after it.
func (c *shedCoordinator) mayDispatch(now time.Time, rank uint32) bool {
	if rank == 0 {
		return true
	}
	if !c.admits(rank) {
		return false
	}
	for _, s := range c.siblings {
		if s.ownsGroup && !s.unreachable && !s.leaseExpiry[rank].After(now) {
			return false
		}
	}
	return true
}

// mayShed reports whether a request of a rank may be shed: no request of a less
// important rank is queued here, or at a sibling that could still dispatch it.
func (c *shedCoordinator) mayShed(now time.Time, rank uint32) bool {
	if rank >= c.lowestRank {
		return true
	}
	if c.floor > rank {
		return false
	}
	if c.skipAck {
		return true
	}
	for _, s := range c.siblings {
		if s.ackedFloor <= rank {
			continue
		}
		if s.ownsGroup && now.Before(c.tightenedAt.Add(LeaseDuration)) {
			return false
		}
		if s.mayHoldLeaseBelow(now, rank) {
			return false
		}
	}
	return true
}

// mayHoldLeaseBelow reports whether the sibling may hold a lease for a rank
// less important than rank.
func (s *sibling) mayHoldLeaseBelow(now time.Time, rank uint32) bool {
	for _, expiry := range s.grantedExpiry[rank+1:] {
		if expiry.After(now) {
			return true
		}
	}
	return false
}

// requestShed records that a rank has to be shed. tightenFloor applies it.
func (c *shedCoordinator) requestShed(now time.Time, rank uint32) {
	c.lastShedRequest = now
	c.lastFloorChange = now
	c.requestedFloor = min(c.requestedFloor, rank)
}

// recordShed records that a request of a rank was shed. Less important requests
// that are queued now must not be dispatched any more. It reports whether a
// less important rank exists.
func (c *shedCoordinator) recordShed(rank uint32) bool {
	if rank >= c.lowestRank {
		return false
	}
	c.queuedFloor = min(c.queuedFloor, rank)
	c.sequence++
	return true
}

// tightenFloor moves the floor to the requested rank if that is more important,
// and reports whether it moved.
func (c *shedCoordinator) tightenFloor(now time.Time) bool {
	if c.floor <= c.requestedFloor {
		return false
	}
	c.floor = c.requestedFloor
	c.tightenedAt = now
	c.sequence++
	c.tightenedSequence = c.sequence
	return true
}

// relaxFloor admits one more rank once no shed has been requested for
// floorHoldTime and all siblings have confirmed the current floor. It reports
// whether the floor moved.
func (c *shedCoordinator) relaxFloor(now time.Time) bool {
	if now.Sub(c.lastShedRequest) < floorHoldTime {
		return false
	}
	c.requestedFloor = c.lowestRank
	if c.floor >= c.lowestRank || now.Sub(c.lastFloorChange) < floorStepInterval || !c.allConfirmed() {
		return false
	}
	c.floor++
	c.queuedFloor = MaxRanks - 1
	c.lastFloorChange = now
	c.sequence++
	for _, s := range c.siblings {
		s.ackedFloor = max(s.ackedFloor, c.floor)
	}
	return true
}

// allConfirmed reports whether every sibling has confirmed the latest floor and
// sheds or is unreachable.
func (c *shedCoordinator) allConfirmed() bool {
	for _, s := range c.siblings {
		if s.ownsGroup && !s.unreachable && s.confirmedSequence < c.sequence {
			return false
		}
	}
	return true
}

// floorState holds the floors and sequence that an owner sends in its messages.
type floorState struct {
	floor, queuedFloor uint32
	sequence           uint64
}

// floorState returns this owner's state to send.
func (c *shedCoordinator) floorState() floorState {
	return floorState{c.leasedFloor(), c.queuedFloor, c.sequence}
}

// applyFloorState applies the state received from the sibling. It ignores
// states older than the latest one. queuedFloor is the least important rank
// whose queued requests may still be dispatched.
func (s *sibling) applyFloorState(now time.Time, received floorState) (current bool, queuedFloor uint32) {
	s.failures, s.unreachable = 0, false
	s.lastReceived = now
	if received.sequence < s.receivedSequence {
		return false, MaxRanks - 1
	}
	queuedFloor = MaxRanks - 1
	if received.sequence > s.receivedSequence {
		queuedFloor = min(received.queuedFloor, MaxRanks-1)
	}
	s.receivedSequence = received.sequence
	s.floor = min(received.floor, MaxRanks-1)
	for rank := s.floor + 1; rank < MaxRanks; rank++ {
		s.leaseExpiry[rank] = time.Time{}
	}
	for rank := queuedFloor + 1; rank < MaxRanks; rank++ {
		s.lastShedAbove[rank] = now
	}
	return true, queuedFloor
}

// lastShedAbove returns the latest time at which a request more important than
// rank was shed by this owner or a sibling.
func (c *shedCoordinator) lastShedAbove(rank uint32) time.Time {
	var last time.Time
	for _, at := range c.lastShed[:rank] {
		last = later(last, at)
	}
	for _, s := range c.siblings {
		last = later(last, s.lastShedAbove[rank])
	}
	return last
}

// handleUpdate applies a sibling's update. It returns the acknowledgement,
// which leases the ranks down to this owner's floor, and the least important
// rank whose queued requests may still be dispatched.
func (c *shedCoordinator) handleUpdate(now time.Time, node string, u *schema.FloorUpdate) (ack *schema.FloorAck, queuedFloor uint32) {
	s := c.sibling(node)
	current, queuedFloor := s.applyFloorState(now, floorState{u.GetFloor(), u.GetKeep(), u.GetSequence()})
	if current {
		s.loads, s.loadsReceived = u.GetLoads(), now
	}
	for rank := uint32(0); rank <= c.leasedFloor(); rank++ {
		s.grantedExpiry[rank] = now.Add(LeaseDuration)
	}
	own := c.floorState()
	return &schema.FloorAck{Floor: own.floor, Keep: own.queuedFloor, Sequence: own.sequence, Confirmed: s.receivedSequence}, queuedFloor
}

// leasedFloor returns the least important rank that this owner leases to its
// siblings.
func (c *shedCoordinator) leasedFloor() uint32 {
	if c.floor >= c.lowestRank {
		return MaxRanks - 1
	}
	return c.floor
}

// handleAck applies the answer to an update that was sent at sent. It returns
// the least important rank whose queued requests may still be dispatched.
// Leases count from sent, so that they end here before they end at the sibling.
func (c *shedCoordinator) handleAck(now, sent time.Time, node string, ack *schema.FloorAck) (queuedFloor uint32) {
	s := c.sibling(node)
	current, queuedFloor := s.applyFloorState(now, floorState{ack.GetFloor(), ack.GetKeep(), ack.GetSequence()})
	if ack.GetConfirmed() > c.sequence {
		// The sibling has confirmed a sequence of an earlier run of this node.
		c.sequence = ack.GetConfirmed() + 1
		c.tightenedSequence = c.sequence
		return queuedFloor
	}
	s.confirmedSequence = max(s.confirmedSequence, ack.GetConfirmed())
	if s.confirmedSequence >= c.tightenedSequence {
		s.ackedFloor = min(s.ackedFloor, c.leasedFloor())
	}
	if !current {
		return queuedFloor
	}
	s.loads, s.loadsReceived = ack.GetLoads(), now
	for rank := uint32(0); rank <= s.floor; rank++ {
		s.leaseExpiry[rank] = later(s.leaseExpiry[rank], sent.Add(LeaseDuration))
	}
	return queuedFloor
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordUnanswered records that an update sent at sent was not answered. A
// timeout that is processed late means that this node was paused, not that the
// sibling failed, so it resets the count.
func (c *shedCoordinator) recordUnanswered(now, sent time.Time, node string) {
	s := c.sibling(node)
	if now.Sub(sent) > 2*floorUpdateTimeout {
		s.failures = 0
		return
	}
	if s.failures == 0 {
		s.firstFailure = later(sent, s.lastReceived)
	}
	s.failures++
	if s.failures >= minUnansweredUpdates && now.Sub(s.firstFailure) >= SiblingTimeout {
		s.unreachable = true
	}
}
