package gateway

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// freeBodyBytes of any body may always be read, so that small requests do not wait for
	// large ones.
	freeBodyBytes = 16 << 10
	// defaultBodyBytes bounds the bodies of all requests together if Options do not.
	defaultBodyBytes = 64 << 20
	// A body waits for at most maxBodyWait, and for bodyWaitShare of the time that its
	// request has, until there is room for it.
	maxBodyWait   = time.Second
	bodyWaitShare = 8
	// minBodyRetry and maxBodyRetry bound the pause that the caller of a refused body is
	// asked for.
	minBodyRetry = 500 * time.Millisecond
	maxBodyRetry = 5 * time.Second
	// holdWeight is the weight of one body in the mean time for which bodies are held.
	holdWeight = 0.1
)

// errBodiesFull is returned if there was no room for a body in time.
var errBodiesFull = errors.New("gateway: the bodies of other requests take all room")

// bodyBudget bounds the bytes of the bodies that all requests together hold. A body may take
// no more than is left after it, so that there is room for smaller ones, however many large
// or slow ones there are. Bodies wait for room in the order of their sizes, then of their
// tiers, then of their arrival.
type bodyBudget struct {
	limit int64

	mu   sync.Mutex
	used int64
	// free is what bodies hold of what is free for each. It takes from the room of others, so
	// that very many small bodies and a few large ones together hold no more than either may.
	free    int64
	waiters []*bodyWaiter
	serial  uint64
	// meanHold is how long bodies are held, on average.
	meanHold time.Duration
	// reading are the bodies that have not come whole.
	reading map[*bodyHolding]struct{}
}

type bodyWaiter struct {
	bytes  int64
	tier   int
	serial uint64
	room   chan struct{}
}

// fits reports whether so many bytes may be taken. The lock must be held.
func (b *bodyBudget) fits(bytes int64) bool { return bytes <= b.limit-b.used-b.free-bytes }

// take takes bytes of the budget, and waits for at most a time until there is room for them.
func (b *bodyBudget) take(ctx context.Context, bytes int64, tier int, wait time.Duration) error {
	b.mu.Lock()
	if len(b.waiters) == 0 && b.fits(bytes) || bytes <= 0 {
		b.used += max(bytes, 0)
		b.mu.Unlock()
		return nil
	}
	b.serial++
	w := &bodyWaiter{bytes, tier, b.serial, make(chan struct{})}
	i, _ := slices.BinarySearchFunc(b.waiters, w, compareWaiters)
	b.waiters = slices.Insert(b.waiters, i, w)
	b.admit()
	b.mu.Unlock()
	b.awaitRoom(ctx, w, wait)
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiters, w); i >= 0 {
		b.waiters = slices.Delete(b.waiters, i, i+1)
		b.admit()
		return errBodiesFull
	}
	return nil
}

// awaitRoom waits until there is room for a waiter, for at most a time, and gives up stalled
// bodies meanwhile.
func (b *bodyBudget) awaitRoom(ctx context.Context, w *bodyWaiter, wait time.Duration) {
	timer, tick := time.NewTimer(wait), time.NewTicker(bodyShedInterval)
	defer timer.Stop()
	defer tick.Stop()
	for {
		b.mu.Lock()
		b.shedStalled(time.Now())
		b.mu.Unlock()
		select {
		case <-w.room:
			return
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func compareWaiters(a, b *bodyWaiter) int {
	return cmp.Or(cmp.Compare(a.bytes, b.bytes), cmp.Compare(a.tier, b.tier), cmp.Compare(a.serial, b.serial))
}

// admit lets the first waiters on for which there is room. The lock must be held.
func (b *bodyBudget) admit() {
	for len(b.waiters) > 0 && b.fits(b.waiters[0].bytes) {
		b.used += b.waiters[0].bytes
		close(b.waiters[0].room)
		b.waiters = slices.Delete(b.waiters, 0, 1)
	}
}

// holdFree sets what a body holds that is free.
func (b *bodyBudget) holdFree(h *bodyHolding, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += bytes - h.free
	h.free = bytes
	b.admit()
}

// release gives bytes back that were held for a time.
func (b *bodyBudget) release(bytes int64, held time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
	b.meanHold += time.Duration(holdWeight * float64(held-b.meanHold))
	b.admit()
}

// retryAfter returns after which time there may be room for so many bytes: the whole budget
// is free again after the time for which bodies are held.
func (b *bodyBudget) retryAfter(bytes int64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	freed := time.Duration(float64(b.meanHold) * min(1, 2*float64(bytes)/float64(b.limit)))
	return min(max(freed, minBodyRetry), maxBodyRetry)
}

// bodyWait returns how long a body waits for room at most, if its request has so much time.
// It differs by body, so that the refusal of one makes room for the others.
func bodyWait(remaining time.Duration) time.Duration {
	longest := max(0, min(maxBodyWait, remaining/bodyWaitShare))
	return longest/2 + rand.N(longest/2+1)
}

// bodyHolding is what the body of one request takes of the budget.
type bodyHolding struct {
	all  *bodyBudget
	tier int
	// wait is how long the body may still wait for room.
	wait time.Duration
	// taken is what counts against the budget, free what does not.
	taken, free int64
	since       time.Time
	// began is when the body began to be read, pace how fast it comes. shed is set if it was
	// given up for others; cancel ends its reads then.
	began  time.Time
	pace   bodyPace
	shed   bool
	cancel func()
}

// grow takes what a buffer of so many bytes needs beyond what it has.
func (h *bodyHolding) grow(ctx context.Context, bytes int64) error {
	h.all.holdFree(h, min(bytes, freeBodyBytes))
	more := max(0, bytes-freeBodyBytes) - h.taken
	if more <= 0 {
		return nil
	}
	began := time.Now()
	if err := h.all.take(ctx, more, h.tier, h.wait); err != nil {
		return err
	}
	h.wait -= time.Since(began)
	if h.taken == 0 {
		h.since = time.Now()
	}
	h.all.mu.Lock()
	defer h.all.mu.Unlock()
	h.taken += more
	// The time in which the body waited for room says nothing of its pace.
	h.pace = newBodyPace(time.Now())
	return nil
}

// release ends the holding.
func (h *bodyHolding) release() {
	if h.free > 0 {
		h.all.holdFree(h, 0)
	}
	if h.taken > 0 {
		h.all.release(h.taken, time.Since(h.since))
		h.taken = 0
	}
}

// read reads a body of a length, or of an unknown one if that is negative. A body of a known
// length is read into one buffer of that length.
func (h *bodyHolding) read(ctx context.Context, r io.Reader, length int64) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	size := length
	if length < 0 {
		size = freeBodyBytes
	}
	if err := h.grow(ctx, size); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		h.all.recordPace(h, n)
		switch {
		case err == io.EOF && length >= 0 && int64(len(body)) < length:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		case int64(len(body)) == length:
			return body, nil
		}
		if len(body) == cap(body) {
			if err := h.grow(ctx, 2*int64(cap(body))); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, 2*cap(body)), body...)
		}
	}
}

// BodyBytesUsed returns how many bytes the bodies of requests take of their budget.
func (g *Gateway) BodyBytesUsed() int64 {
	g.bodies.mu.Lock()
	defer g.bodies.mu.Unlock()
	return g.bodies.used
}
