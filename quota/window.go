package quota

import "time"

// windowSlots divide a window: what is older than it counts for up to one slot
// more.
const windowSlots = 64

// window sums amounts over the time of a window.
type window struct {
	width time.Duration
	// start is when the first slot began. Slots are counted by the monotonic
	// clock: a step of the time of day forgets nothing.
	start time.Time
	slots [windowSlots]float64
	// at is the slot of the last change.
	at  int64
	sum float64
}

func newWindow(width time.Duration, start time.Time) window {
	return window{width: width, start: start}
}

// advance forgets what is older than the window.
func (w *window) advance(now time.Time) {
	slot := int64(now.Sub(w.start) / (w.width / windowSlots))
	for range min(slot-w.at, windowSlots) {
		w.at++
		w.sum -= w.slots[w.at%windowSlots]
		w.slots[w.at%windowSlots] = 0
	}
	w.at = max(slot, w.at)
}

func (w *window) add(now time.Time, amount float64) {
	w.advance(now)
	w.slots[w.at%windowSlots] += amount
	w.sum += amount
}
