package quota

import "time"

// windowSlots divide a window: what is older than it counts for up to one slot
// more.
const windowSlots = 64

// window sums amounts over the time of a window.
type window struct {
	width time.Duration
	slots [windowSlots]float64
	// at is the slot of the last change, counted from the zero time.
	at  int64
	sum float64
}

// advance forgets what is older than the window.
func (w *window) advance(now time.Time) {
	slot := now.UnixNano() * windowSlots / int64(w.width)
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
