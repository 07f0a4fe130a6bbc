package quota

import (
	"math"
	"time"

	"github.com/primrosemoor/primrosemoor/catalog"
)

// Return refunds a charge for a request that no target has run. charged is when Take
// succeeded, or shortly after. Under overload most requests of a team may be refused
// unsent and sent again by their callers; if both sends stayed charged, a team within its
// limit would be refused. Each charge may be refunded once.
//
// The windows lose the amount where it was booked, and the level becomes what it would be
// without the charge: nothing is refunded beyond the burst at any instant since then. A
// charge that is older than the window is not refunded.
func (a *Allowance) Return(team *catalog.Team, amount float64, charged time.Time) {
	level := a.refund(team, amount, charged, time.Now())
	a.publisher.BookReturn(team.Name, amount, time.Since(charged), a.publishableLevel(level))
}

func (a *Allowance) refund(team *catalog.Team, amount float64, charged, now time.Time) (level float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.integrateShare(now)
	b := a.bucket(team.Name)
	rate := a.refill(b, team, now)
	removed := b.removeUsed(now, charged, amount, true)
	b.restore(now, charged, removed)
	if !a.usageUnknown(now) && scarceWindowShare*(a.windowLimit(team)-b.used.sum) >= scarceTime.Seconds()*rate {
		// Near the limit, all nodes would use what they get back at once.
		b.ownLevel += removed
	}
	return b.level
}

// RecordRemoteReturn adds an amount that was refunded on another node. delay is the mean
// time between the charges and their refunds; level is as for RecordRemote.
func (a *Allowance) RecordRemoteReturn(team string, amount float64, delay time.Duration, level *int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.integrateShare(now)
	b := a.bucket(team)
	if b.team != nil {
		a.refill(b, b.team, now)
	}
	// The bookings arrived with about the same delay as their refunds do.
	charged := now.Add(-delay)
	b.restore(now, charged, b.removeUsed(now, charged, amount, false))
	a.adoptLevel(b, level, now)
}

// restore raises the level by a refund, as far as the level has stayed below the burst by
// that much since the charge.
func (b *bucket) restore(now, charged time.Time, amount float64) {
	b.refunds.add(now, amount*now.Sub(charged).Seconds())
	amount = min(amount, b.headroom.since(now, charged))
	if b.team != nil {
		amount = min(amount, b.capacity-b.level)
	}
	amount = max(0, amount)
	b.level += amount
	b.headroom.lower(now, charged, amount)
}

// expectedRefunds returns how much of what is charged will be refunded, if as much is
// refunded as in the last window: the rate of refunds times their mean delay. What waits
// in queues to be refused lowers the level meanwhile. Without it a small team of many
// nodes had 10 % of its requests refused with 429 at 0.95 of its limit, because its level
// counted as low.
func (b *bucket) expectedRefunds(now time.Time) float64 {
	b.refunds.advance(now)
	return b.refunds.sum / b.refunds.width.Seconds()
}

// laterSlots is how many slots after that of a charge a refund of another node is
// looked for if neither that slot nor an older one has it: bookings and refunds travel
// for different times, which differ by up to two slots in a large zone.
const laterSlots = 2

// removeUsed removes a refunded amount from the windows and returns how much of it they
// held. Nothing is removed from a slot that it does not hold: a refund of another node is
// not taken from the bookings of this one. Older slots come first, because an amount that
// is removed too late would be missing from the sum once its booking has left the window.
func (b *bucket) removeUsed(now, charged time.Time, amount float64, own bool) (removed float64) {
	b.used.advance(now)
	b.ownUsed.advance(now)
	take := func(slot int64) {
		i := slot % windowSlots
		held := b.ownUsed.slots[i]
		if !own {
			held = b.used.slots[i] - held
		}
		part := max(0, min(amount-removed, held))
		b.used.slots[i] -= part
		b.used.sum -= part
		if own {
			b.ownUsed.slots[i] -= part
			b.ownUsed.sum -= part
		}
		removed += part
	}
	at := min(b.used.slot(charged), b.used.lastSlot)
	for slot := at; slot > max(b.used.lastSlot-windowSlots, -1) && removed < amount; slot-- {
		take(slot)
	}
	if own || at < 0 {
		return removed
	}
	// A slot that has left the window shares its place with one of now.
	first := max(at+1, b.used.lastSlot-windowSlots+1)
	for slot := first; slot <= min(at+laterSlots, b.used.lastSlot) && removed < amount; slot++ {
		take(slot)
	}
	return removed
}

// headroomSlots is the number of slots of a headroom. What a level lost to its cap in
// the slot of a charge is refunded all the same, so that slots are short: 16 ms of 8 s.
const headroomSlots = 512

// headroom records by how much a level was below its cap over a span of time: the
// minimum of each slot.
type headroom struct {
	width    time.Duration
	start    time.Time
	slots    [headroomSlots]float64
	lastSlot int64
}

func newHeadroom(width time.Duration, start time.Time) *headroom {
	h := &headroom{width: width, start: start}
	for i := range h.slots {
		h.slots[i] = math.Inf(1)
	}
	return h
}

func (h *headroom) slot(at time.Time) int64 {
	return int64(math.Floor(float64(at.Sub(h.start)) / float64(h.width/headroomSlots)))
}

func (h *headroom) advance(now time.Time) {
	slot := h.slot(now)
	for range min(slot-h.lastSlot, headroomSlots) {
		h.lastSlot++
		h.slots[h.lastSlot%headroomSlots] = math.Inf(1)
	}
	h.lastSlot = max(slot, h.lastSlot)
}

// record records that the level is below its cap by an amount.
func (h *headroom) record(now time.Time, amount float64) {
	h.advance(now)
	i := h.lastSlot % headroomSlots
	h.slots[i] = min(h.slots[i], amount)
}

// since returns the least amount by which the level was below its cap after the slot of
// an instant, or 0 if that is too long ago.
func (h *headroom) since(now, at time.Time) float64 {
	h.advance(now)
	first := h.slot(at) + 1
	if first <= 0 || first <= h.lastSlot-headroomSlots {
		return 0
	}
	least := math.Inf(1)
	for slot := first; slot <= h.lastSlot; slot++ {
		least = min(least, h.slots[slot%headroomSlots])
	}
	return least
}

// lower lowers what is recorded after the slot of an instant, which since has accepted.
func (h *headroom) lower(now, at time.Time, amount float64) {
	h.advance(now)
	for slot := max(h.slot(at)+1, h.lastSlot-headroomSlots+1, 0); slot <= h.lastSlot; slot++ {
		h.slots[slot%headroomSlots] -= amount
	}
}
