package callers

import (
	"bytes"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// freeHeadCost of any head is not counted: a head of 1 KiB with 15 fields costs less, so
	// that an ordinary request never waits for, nor gives way to, the heads of others.
	freeHeadCost = 8 << 10
	// headByteCost is what net/http holds for each byte of a head: a line is copied while it
	// grows, and once more when it is complete.
	headByteCost = 3
	// headLineCost is what it holds for each field beside its bytes: the name, the slice of
	// its values and their place in a map that doubles when it grows.
	headLineCost = 256
)

// headBudget bounds the memory that the heads of all requests take, from their first byte until
// their requests have ended. It answers callers who send long heads, or heads of very many
// fields, and stop before their end.
type headBudget struct {
	limit int64
	used  atomic.Int64
}

// exceeded reports whether the heads take more than they may; a limit of 0 is none.
func (b *headBudget) exceeded() bool {
	return b != nil && b.limit > 0 && b.used.Load() > b.limit
}

// headCost returns what net/http holds for a head of so many bytes and lines.
func headCost(size, lines int) int64 {
	return int64(size)*headByteCost + int64(lines)*headLineCost
}

// requestHeadCost returns what the head of a request costs that was read whole: its lines are
// no longer held beside their copies.
func requestHeadCost(r *http.Request) int64 {
	size, fields := len(r.RequestURI)+len(r.Host), 1
	for name, values := range r.Header {
		size += len(name) * len(values)
		fields += len(values)
		for _, v := range values {
			size += len(v)
		}
	}
	return int64(size) + int64(fields)*headLineCost
}

// recordHead counts bytes of a head that is not known to be whole. It is not known where a head
// ends whose beginning came behind another request. The lock must be held.
func (c *conn) recordHead(p []byte) {
	if c.headBytes == 0 || c.arrived.headEnded || c.arrived.some || !c.arrived.empty {
		p = p[:c.arrived.readHead(p)]
	}
	c.headBytes += len(p)
	c.headLines += bytes.Count(p, []byte{'\n'})
	c.charge(headCost(c.headBytes, c.headLines))
}

// charge sets what the head of the connection costs. The lock must be held.
func (c *conn) charge(cost int64) {
	counted := max(0, cost-freeHeadCost)
	if c.heads == nil || c.gone || counted == c.charged {
		return
	}
	c.heads.used.Add(counted - c.charged)
	c.charged = counted
}

// hasCharge reports whether the head of the connection takes of the budget of all heads.
func (c *conn) hasCharge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.charged > 0
}

// leave ends the charge for good. The lock must be held.
func (c *conn) leave() {
	c.charge(0)
	c.gone = true
}

// unfinished reports whether a request has begun on the connection whose head or body is not
// whole. The lock must be held.
func (c *conn) unfinished() bool { return c.partial || c.carried || c.active && c.bodyOpen }

// shedHeads closes connections with requests that have not come whole until the heads take
// no more than they may: those first whose heads take most and have taken it for longest.
func (s *Server) shedHeads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.heads.exceeded() {
		c := s.costliest(time.Now())
		if c == nil {
			return
		}
		s.closeIf(c, func() Reason {
			if !c.unfinished() {
				return ""
			}
			return ReasonHeads
		})
	}
}

// costliest returns the connection with an unfinished request for which the product of the
// cost of its head and its age is the largest, or nil if there is none. The lock must be held.
func (s *Server) costliest(now time.Time) (costliest *conn) {
	most := 0.0
	for c := range s.conns {
		if weight := c.headWeight(now); weight > most {
			costliest, most = c, weight
		}
	}
	return costliest
}

// headWeight returns the product of the cost of the head and its age, or 0 if the request is
// not unfinished or its head is free.
func (c *conn) headWeight(now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unfinished() || c.gone {
		return 0
	}
	// A head that has just begun has an age, too, so that it is shed if there is no other.
	return float64(c.charged) * float64(max(now.Sub(c.since), 0)+time.Millisecond)
}

// HeadBytesUsed returns what the heads of requests take of their budget.
func (s *Server) HeadBytesUsed() int64 { return s.heads.used.Load() }
