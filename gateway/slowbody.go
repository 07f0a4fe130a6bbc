package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// bodyPaceWindow is the time over which the pace of a body is judged: longer than a lost
	// packet and its repetition take.
	bodyPaceWindow = 2 * time.Second
	// minBodyPace is the pace in bytes a second below which a body counts as stalled. At it, a
	// body of 256 KiB takes longer than the time limits of routes, 15 s.
	minBodyPace = 16 << 10
	// bodyShedInterval is how often a body that waits for room looks for a stalled one.
	bodyShedInterval = 100 * time.Millisecond
	// restOfBodyTime is how long the rest of a small body is waited for before a refusal, so
	// that its connection can be used again: an eighth of the shortest objective, 250 ms, is
	// more. restOfBodyBytes is how long such a body may be.
	restOfBodyTime  = 20 * time.Millisecond
	restOfBodyBytes = 16 << 10
	// lateBodyTime is how long after the time limit of its request a body may still come. Its
	// caller gets a refusal either way, but one that may still wait gets it with the last byte.
	lateBodyTime = 30 * time.Second
	// refusedBodyTime bounds how long net/http reads the rest of a body after a refusal.
	refusedBodyTime = time.Second
)

// errBodyStalled is returned if a body was given up to make room for others.
var errBodyStalled = errors.New("gateway: the body has stalled and gives way to others")

// bodyPace is the pace at which a body comes.
type bodyPace struct {
	windowStart, lastByte time.Time
	bytes                 int
	// slow is set if the last whole window was below minBodyPace.
	slow bool
}

// record records bytes that have come.
func (p *bodyPace) record(bytes int, now time.Time) {
	p.bytes, p.lastByte = p.bytes+bytes, now
	if elapsed := now.Sub(p.windowStart); elapsed >= bodyPaceWindow {
		p.slow = p.below(elapsed)
		p.windowStart, p.bytes = now, 0
	}
}

func (p *bodyPace) below(elapsed time.Duration) bool {
	return float64(p.bytes) < minBodyPace*elapsed.Seconds()
}

// newBodyPace returns the pace of a body that is read from now on.
func newBodyPace(now time.Time) bodyPace { return bodyPace{windowStart: now, lastByte: now} }

// stalled reports whether the body comes too slowly, or no longer.
func (p *bodyPace) stalled(now time.Time) bool {
	elapsed := now.Sub(p.windowStart)
	return p.slow || now.Sub(p.lastByte) >= bodyPaceWindow || elapsed >= bodyPaceWindow && p.below(elapsed)
}

// begin records that a body is being read, which cancel ends.
func (b *bodyBudget) begin(h *bodyHolding) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.began = time.Now()
	h.pace = newBodyPace(h.began)
	if b.reading == nil {
		b.reading = make(map[*bodyHolding]struct{})
	}
	b.reading[h] = struct{}{}
}

// end records that a body is no longer being read, and reports whether it was given up.
func (b *bodyBudget) end(h *bodyHolding) (shed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reading, h)
	return h.shed
}

// recordPace records that bytes of a body have come.
func (b *bodyBudget) recordPace(h *bodyHolding, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.pace.record(bytes, time.Now())
}

// shedStalled gives up stalled bodies until there is room for the first waiter: those first
// that hold most and have held it for longest. It answers callers who send bodies almost
// whole and stop: what they hold would be lost to all others. The lock must be held.
func (b *bodyBudget) shedStalled(now time.Time) {
	if len(b.waiters) == 0 {
		return
	}
	freed := int64(0)
	for h := range b.reading {
		if h.shed {
			freed += h.taken
		}
	}
	for !b.fits(b.waiters[0].bytes - freed/2) {
		h := b.heaviestStalled(now)
		if h == nil {
			return
		}
		h.shed = true
		freed += h.taken
		h.cancel()
	}
}

// heaviestStalled returns the stalled body for which the product of what it holds and its age
// is the largest, or nil if there is none. The lock must be held.
func (b *bodyBudget) heaviestStalled(now time.Time) (heaviest *bodyHolding) {
	most := 0.0
	for h := range b.reading {
		weight := float64(h.taken) * float64(now.Sub(h.began))
		if weight > most && !h.shed && h.cancel != nil && h.pace.stalled(now) {
			heaviest, most = h, weight
		}
	}
	return heaviest
}

// limitBodyTime makes reads of the body fail from a time on. It reports false if the body has
// no connection, as in a test recorder.
func (x *exchange) limitBodyTime(end time.Time) bool {
	return http.NewResponseController(x.writer).SetReadDeadline(end) == nil
}

// readBodyInTime reads a body until some time after the time limit of its request, or until it
// is given up for others.
func (x *exchange) readBodyInTime(source io.Reader) ([]byte, error) {
	h := &x.bodyHeld
	if x.limitBodyTime(time.Now().Add(max(0, time.Until(x.deadline)) + lateBodyTime)) {
		h.cancel = func() { x.limitBodyTime(time.Now()) }
	}
	h.all.begin(h)
	body, err := h.read(x.request.Context(), source, x.request.ContentLength)
	if h.all.end(h) {
		return nil, errBodyStalled
	}
	if err == nil {
		x.limitBodyTime(time.Time{})
	}
	return body, err
}

// isLate reports whether a body was not read in time.
func isLate(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// refuseBody prepares the refusal of a request whose body has not been read. net/http would
// hold the refusal back until it has read up to 256 KiB more, for as long as that takes. A
// small body is waited for a moment; otherwise the refusal is sent at once and ends the
// connection, whose rest is read for a bounded time.
func (x *exchange) refuseBody() {
	if x.bodyRead || x.request.ContentLength == 0 {
		return
	}
	small := x.request.ContentLength > 0 && x.request.ContentLength <= restOfBodyBytes
	if !x.bodyEnded && small && x.request.Header.Get("Expect") == "" && x.limitBodyTime(time.Now().Add(restOfBodyTime)) {
		if _, err := io.Copy(io.Discard, x.request.Body); err == nil {
			return
		}
	}
	x.writer.Header().Set("Connection", "close")
	x.limitBodyTime(time.Now().Add(refusedBodyTime))
}
