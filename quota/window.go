package quota

import "time"

// windowSlots is the number of slots of a window. An amount is counted for up to
// one slot longer than the window.
const windowSlots = 64

// window is a sliding sum of amounts over a span of time, in slots.
type window struct {
	width time.Duration
	// start is the start of the first slot. Slots are numbered by the monotonic
	// clock, so that a step of the wall clock discards nothing.
	start time.Time
	slots [windowSlots]float64
	// lastSlot is the number of the slot of the last change.
	lastSlot int64
	sum      float64
}

func newWindow(width time.Duration, start time.Time) window {
	return window{width: width, start: start}
}

// slot returns the number of the slot of an instant, negative before the first one.
func (w *window) slot(at time.Time) int64 {
	since := at.Sub(w.start)
	if since < 0 {
		return -1
	}
	return int64(since / (w.width / windowSlots))
}

// advance discards the slots that are older than the window.
func (w *window) advance(now time.Time) {
	slot := w.slot(now)
	for range min(slot-w.lastSlot, windowSlots) {
		w.lastSlot++
		w.sum -= w.slots[w.lastSlot%windowSlots]
		w.slots[w.lastSlot%windowSlots] = 0
	}
	w.lastSlot = max(slot, w.lastSlot)
}

func (w *window) add(now time.Time, amount float64) {
	w.advance(now)
	w.slots[w.lastSlot%windowSlots] += amount
	w.sum += amount
}

// addOver adds an amount that was booked evenly over the given time before now.
func (w *window) addOver(now time.Time, over time.Duration, amount float64) {
	w.advance(now)
	slots := min(int64(over/(w.width/windowSlots))+1, w.lastSlot+1)
	share := amount / float64(slots)
	for i := range min(slots, windowSlots) {
		w.slots[(w.lastSlot-i)%windowSlots] += share
		w.sum += share
	}
}
