package gateway

import (
	"io"
	"sync"
)

const (
	// freeHeldBytes may be held back of any answer: two reads, so that an answer of small
	// events is never refused because others hold back much.
	freeHeldBytes = 2 * streamReadBytes
	// defaultHeldBytes bounds what all requests hold back together if Options do not.
	defaultHeldBytes = 32 << 20
)

// heldBytes bounds the bytes of answers that all requests together hold back: unfinished
// events, and the beginnings of answers that are not known to be complete. A request may
// hold back no more than is left after it, so that some is left for later ones, however
// many hold back as much as they may.
type heldBytes struct {
	limit int
	mu    sync.Mutex
	used  int
}

// holding is what one answer holds back. The methods of a nil holding allow everything.
type holding struct {
	all *heldBytes
	// counted is what counts against the limit.
	counted int
}

// set changes what is held back to n bytes, unless that is too much. It reports whether it
// may be held back.
func (h *holding) set(n int) bool {
	if h == nil {
		return true
	}
	counted := max(0, n-freeHeldBytes)
	h.all.mu.Lock()
	defer h.all.mu.Unlock()
	used := h.all.used - h.counted + counted
	if counted > h.counted && counted > h.all.limit-used {
		return false
	}
	h.all.used, h.counted = used, counted
	return true
}

// release ends the holding.
func (h *holding) release() { h.set(0) }

// readHeld reads an answer until its end, which it returns as io.EOF, or until maxBytes or
// as much as may be held back.
func (h *holding) readHeld(r io.Reader, maxBytes int) ([]byte, error) {
	var data []byte
	chunk := make([]byte, streamReadBytes)
	for len(data) < maxBytes && h.set(len(data)+len(chunk)) {
		n, err := r.Read(chunk[:min(len(chunk), maxBytes-len(data))])
		data = append(data, chunk[:n]...)
		if err != nil {
			return data, err
		}
	}
	return data, nil
}
