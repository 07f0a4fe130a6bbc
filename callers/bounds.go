package callers

import "time"

// lastingBound is a bound that may change. Callers that go by an older, longer one are
// served for as long as that.
type lastingBound struct {
	current, older time.Duration
	changedAt      time.Time
}

// set sets the bound in force, and returns the one that holds.
func (b *lastingBound) set(d time.Duration, now time.Time) time.Duration {
	if d != b.current {
		b.older, b.current, b.changedAt = max(b.current, b.older), d, now
	}
	if now.Sub(b.changedAt) >= b.older {
		b.older = 0
	}
	return max(b.current, b.older)
}

// sweep closes connections that have waited for too long, until done is closed.
func (s *Server) sweep(done <-chan struct{}) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			s.closeWaiting(now)
			s.left.Signal()
		case <-done:
			return
		}
	}
}

// closeWaiting closes connections that have waited for too long.
func (s *Server) closeWaiting(now time.Time) {
	if s.options.Waits == nil {
		return
	}
	waits := s.options.Waits()
	s.mu.Lock()
	defer s.mu.Unlock()
	waits.Idle = s.idle.set(waits.Idle, now)
	for c := range s.conns {
		s.closeIf(c, func() Reason { return c.exceeded(waits, now) })
	}
}

// exceeded returns the bound that the connection exceeds, or an empty one. The lock must be
// held.
func (c *conn) exceeded(waits Waits, now time.Time) Reason {
	waited := now.Sub(c.since)
	switch {
	case c.active:
	case c.partial && waits.Head > 0 && waited > waits.Head && !hasInput(c.Conn):
		return ReasonHead
	case !c.partial && waits.Idle > 0 && waited > waits.Idle && !hasInput(c.Conn):
		return ReasonIdle
	}
	return ""
}

// yieldIdleTime is how long a connection must have been idle to give way to a new one: a caller
// who sends one request after the other may have sent the next one already.
const yieldIdleTime = time.Second

// yieldUnfinishedTime is how long ago the head or the body of a request must have begun for its
// connection to give way to a new one, and passedTime how long it is not looked at again if it
// had input that was not read.
const (
	yieldUnfinishedTime = time.Second
	passedTime          = 250 * time.Millisecond
)

// awaitRoom waits until there is room for a new connection. If there is none, it closes one
// that has been answered and whose caller still sends, or else the one that has been idle for
// the longest time, and for yieldIdleTime at least, or else the one whose request has been
// unfinished for the longest time: callers who take all connections and end no request do not
// keep others out.
func (s *Server) awaitRoom() {
	if s.options.MaxConns <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) >= s.options.MaxConns && !s.stopped {
		if c := s.longestIdle(time.Now()); c != nil {
			s.closeIf(c, func() Reason { return c.yield(time.Now()) })
			continue
		}
		if c := s.longestUnfinished(time.Now()); c != nil {
			s.closeIf(c, func() Reason { return c.yieldUnfinished(time.Now()) })
			continue
		}
		s.full = true
		s.left.Wait()
	}
	s.full = false
}

// yield returns the reason to close the connection for a new one. It returns none if a request
// has come, which is then not looked for again for yieldIdleTime. The lock must be held.
func (c *conn) yield(now time.Time) Reason {
	if c.lingering {
		return ReasonConns
	}
	if hasInput(c.Conn) {
		c.since = now
	}
	if !c.idle(now, false) || now.Sub(c.since) < yieldIdleTime {
		return ""
	}
	return ReasonConns
}

// longestIdle returns the connection without a request that has waited for the longest time,
// or nil if none has for yieldIdleTime. The lock must be held.
func (s *Server) longestIdle(now time.Time) *conn {
	var longest *conn
	var since time.Time
	for c := range s.conns {
		at, idle := c.idleSince(now)
		if idle && now.Sub(at) >= yieldIdleTime && (longest == nil || at.Before(since)) {
			longest, since = c, at
		}
	}
	return longest
}

// idleSince returns since when the connection has waited for its next request, and whether it
// does. A connection that lingers is the first to give way.
func (c *conn) idleSince(now time.Time) (since time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lingering {
		return time.Time{}, true
	}
	return c.since, c.idle(now, false)
}

// longestUnfinished returns the connection whose request has been unfinished for the longest
// time, or nil if none has for yieldUnfinishedTime. The lock must be held.
func (s *Server) longestUnfinished(now time.Time) *conn {
	var longest *conn
	var since time.Time
	for c := range s.conns {
		at, unfinished := c.unfinishedSince(now)
		if unfinished && now.Sub(at) >= yieldUnfinishedTime && (longest == nil || at.Before(since)) {
			longest, since = c, at
		}
	}
	return longest
}

// unfinishedSince returns since when the request on the connection has been unfinished, and
// whether it is and has no input that was not read a moment ago.
func (c *conn) unfinishedSince(now time.Time) (since time.Time, unfinished bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.unfinished() && now.Sub(c.passedAt) >= passedTime
}

// yieldUnfinished returns the reason to close the connection for a new one, or none if its
// request has come whole by now or has input that was not read. The lock must be held.
func (c *conn) yieldUnfinished(now time.Time) Reason {
	if hasInput(c.Conn) {
		c.passedAt = now
		return ""
	}
	if !c.unfinished() {
		return ""
	}
	return ReasonConns
}
