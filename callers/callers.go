// Package callers serves the connections of callers. It bounds how many there are and how
// long they wait. In a planned stop it closes only connections on which no request has come,
// and the listener last, so that each request that has reached this node is answered.
// http.Server.Shutdown drops requests that were not read whole before.
package callers

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// firstRequestTime is how long the first request on a new connection is waited for in a
	// planned stop.
	firstRequestTime = time.Second
	// nextRequestTime is how long the next request is waited for after an answer, which may not
	// have announced that the connection closes.
	nextRequestTime = 500 * time.Millisecond
	// stopInterval is how often Stop checks the connections, and sweepInterval how often
	// Serve looks for those that have waited for too long.
	stopInterval  = 20 * time.Millisecond
	sweepInterval = 250 * time.Millisecond
)

// Waits bounds how long connections wait; 0 means that there is no bound.
type Waits struct {
	// Idle is the time between two requests, or before the first one. Head is the time
	// from the first byte of a request to the end of its head.
	Idle, Head time.Duration
}

// Options configures a Server.
type Options struct {
	// MaxConns bounds the connections; 0 means that there is no bound.
	MaxConns int
	// HeadBytes bounds the memory that the heads of all requests take, beside what is free of
	// each; 0 means that there is no bound.
	HeadBytes int64
	// Waits returns the bounds in force; nil means that there are none.
	Waits func() Waits
	// Closed is called with each connection that the server closes before its caller does,
	// with the lock of the server held; nil means that nobody is told.
	Closed func(Closed)
}

// Reason is why the server closed a connection.
type Reason string

// The reasons: the bounds of connections, and a planned stop.
const (
	ReasonIdle  Reason = "idle"
	ReasonHead  Reason = "head"
	ReasonConns Reason = "connections"
	ReasonHeads Reason = "heads"
	ReasonStop  Reason = "stop"
	// ReasonCut is the end of the time for a planned stop.
	ReasonCut Reason = "cut"
)

// Closed describes a connection that the server has closed.
type Closed struct {
	Reason Reason
	Remote net.Addr
	// Unread is set if input had come that was not read, Begun if a part of a request was
	// read and Active if the request was read, but not answered whole.
	Unread, Begun, Active bool
	// Waited is how long the connection has been in that state.
	Waited time.Duration
}

// Server serves the connections of callers.
type Server struct {
	server   *http.Server
	listener *trackingListener
	options  Options
	// served is closed when Serve has returned.
	served chan struct{}

	mu    sync.Mutex
	conns map[*conn]struct{}
	// left is signalled when a connection has left conns or has waited for long, and by Stop.
	left *sync.Cond
	// full is set while a new connection waits, because there are MaxConns with a request.
	full, stopped bool
	// serving is set once Serve was called.
	serving bool
	idle    lastingBound
	heads   headBudget
}

// NewServer returns a server of the connections that a listener accepts. It sets the
// ConnState of the HTTP server, and wraps its ConnContext and its Handler.
func NewServer(server *http.Server, listener net.Listener, options Options) *Server {
	s := &Server{server: server, options: options, served: make(chan struct{}), conns: make(map[*conn]struct{})}
	s.heads.limit = options.HeadBytes
	s.left = sync.NewCond(&s.mu)
	s.listener = &trackingListener{Listener: listener, server: s}
	server.ConnState = s.recordState
	s.recordRequests()
	return s
}

// Serve serves connections until Stop, is called once, and returns an error that wraps net.ErrClosed then.
func (s *Server) Serve() error {
	s.mu.Lock()
	stopped := s.stopped
	s.serving = !stopped
	s.mu.Unlock()
	if stopped {
		return net.ErrClosed
	}
	defer close(s.served)
	go s.sweep(s.served)
	return s.server.Serve(s.listener)
}

// Full reports whether the server accepts no connection, because those that it has all have
// a request.
func (s *Server) Full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.full
}

// Len returns the number of connections.
func (s *Server) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Stop closes the connections on which no request has begun, and waits until the others are
// closed, which their handler has to bring about with the header Connection. It accepts
// connections until those that were there are closed, and all that wait then. When heads
// ends, a request that has come in part is waited for no longer. When ctx ends, Stop closes
// what is left and returns the cause.
func (s *Server) Stop(ctx, heads context.Context) error {
	began := time.Now()
	s.mu.Lock()
	s.stopped = true
	s.left.Broadcast()
	s.mu.Unlock()
	tick := time.NewTicker(stopInterval)
	defer tick.Stop()
	for accepting := true; ; {
		left, early := s.closeIdle(time.Now(), began, heads.Err() != nil)
		switch {
		case accepting && (early == 0 || heads.Err() != nil):
			accepting = false
			s.closeListener()
			continue
		case !accepting && left == 0:
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			s.cut()
			_ = s.server.Close()
			return context.Cause(ctx)
		}
	}
}

// closeListener accepts the connections that wait at the listener, closes it and serves them.
func (s *Server) closeListener() {
	s.listener.release()
	s.mu.Lock()
	serving := s.serving
	s.mu.Unlock()
	if serving {
		<-s.served
	}
	last := &acceptedConns{s.listener, s.listener.acceptPending()}
	// It is closed either way.
	_ = s.listener.Listener.Close()
	// It returns once it has begun to serve them, with the error of a closed listener.
	_ = s.server.Serve(last)
}

// closeIdle closes the connections on which no request has begun, or all on which none has
// come whole. It closes none with input that was not read. It returns how many are left, and
// how many of them were accepted before a time.
func (s *Server) closeIdle(now, before time.Time, begun bool) (left, early int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		s.closeIf(c, func() Reason {
			if !c.idle(now, begun) || !c.lingering && hasInput(c.Conn) {
				return ""
			}
			return ReasonStop
		})
	}
	for c := range s.conns {
		if c.accepted.Before(before) {
			early++
		}
	}
	return len(s.conns), early
}

// cut closes all connections.
func (s *Server) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		s.closeIf(c, func() Reason { return ReasonCut })
	}
}

// closeIf closes a connection if there is a reason, which is asked for with the lock of the
// connection held. The lock of the server must be held.
func (s *Server) closeIf(c *conn, why func() Reason) {
	if !s.leaveIf(c, why) {
		return
	}
	// It waits for a reader, which may wait for the lock of the connection.
	c.Conn.Close()
	s.forget(c)
}

// leaveIf ends what is read from a connection if there is a reason.
func (s *Server) leaveIf(c *conn, why func() Reason) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	reason := why()
	if reason == "" {
		return false
	}
	if s.options.Closed != nil {
		s.options.Closed(c.describe(reason, time.Now()))
	}
	c.leave()
	return true
}

// forgetClosed removes a connection that is closed.
func (s *Server) forgetClosed(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leave()
	s.forget(c)
}

// forget removes a connection. The lock must be held.
func (s *Server) forget(c *conn) {
	delete(s.conns, c)
	s.left.Signal()
}

// track records an accepted connection.
func (s *Server) track(nc net.Conn) net.Conn {
	now := time.Now()
	c := &conn{Conn: nc, server: s, heads: &s.heads, accepted: now, since: now, arrived: newArrival()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c
}

// recordState records the state of a connection.
func (s *Server) recordState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive, http.StateIdle:
		c.setActive(state == http.StateActive)
		s.left.Signal()
		if s.heads.exceeded() && c.hasCharge() {
			s.shedHeads()
		}
	case http.StateClosed, http.StateHijacked:
		if _, lingers := c.lingered(time.Now()); !lingers {
			s.forgetClosed(c)
		}
	}
}

// conn is a connection of a caller.
type conn struct {
	net.Conn
	server   *Server
	heads    *headBudget
	accepted time.Time

	mu sync.Mutex
	// active is set from when the head of a request was read until its answer is written,
	// used once there was one.
	active, used bool
	// begun is set when bytes were read since the last write, which are of the next request.
	begun bool
	// partial is set when bytes of the next request were read, and its head is not whole.
	partial bool
	// since is when the connection began to wait for the next request, or for the rest of
	// its head.
	since time.Time
	// headBytes and headLines are what has come of a head that is not whole; charged is what
	// the head takes of the budget of all heads.
	headBytes, headLines int
	charged              int64
	// arrived counts what has come since the request began; carried is set if that may contain
	// the beginning of the next one.
	arrived arrival
	carried bool
	// handled is set once the handler has the request, bodyOpen while its body has not come
	// whole, and written once a part of its answer was written.
	handled, bodyOpen, written bool
	// lingering is set while what comes after an answer is discarded.
	lingering      bool
	lingeringSince time.Time
	// passedAt is when the connection last had input that was not read when it was to give way.
	passedAt time.Time
	// gone is set once the server has forgotten the connection.
	gone bool
}

// Read implements net.Conn. What it takes from the socket is known to be read as soon as it is
// no longer there, so that nobody who holds the lock misses it. Nothing is taken once it was
// decided to close the connection.
func (c *conn) Read(p []byte) (int, error) {
	exceeded := false
	n, err := readSocket(c.Conn, p, func(read func() int) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.gone {
			return
		}
		if n := read(); n > 0 {
			c.recordRead(p[:n])
			exceeded = c.partial && c.charged > 0 && c.heads.exceeded()
		}
	})
	if exceeded {
		c.server.shedHeads()
	}
	return n, err
}

// recordRead records that bytes were read. The lock must be held.
func (c *conn) recordRead(p []byte) {
	c.begun = true
	if c.active {
		c.arrived.readRest(p)
		return
	}
	if !c.partial {
		c.partial, c.since = true, time.Now()
	}
	c.recordHead(p)
}

// Write implements net.Conn. A caller sends its next request only after the whole answer.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.begun, c.written = false, true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *conn) setActive(active bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.used, c.partial, c.since = active, true, false, time.Now()
	c.handled, c.bodyOpen, c.carried = false, false, false
	if active {
		return
	}
	c.written = false
	c.headBytes, c.headLines = c.arrived.behind()
	c.carried = c.headBytes > 0
	c.charge(headCost(c.headBytes, c.headLines))
	c.arrived = newArrival()
}

// idle reports whether no request has begun on the connection or, if begun is set, none has
// come whole. The lock must be held.
func (c *conn) idle(now time.Time, begun bool) bool {
	switch {
	case c.lingering:
		return begun || now.Sub(c.lingeringSince) >= stopLingerTime
	case c.active:
		return false
	case begun:
		return true
	case !c.used:
		return !c.begun && now.Sub(c.accepted) >= firstRequestTime
	}
	return !c.begun && now.Sub(c.since) >= nextRequestTime
}

// describe describes a connection that is about to be closed. The lock must be held.
func (c *conn) describe(reason Reason, now time.Time) Closed {
	return Closed{
		Reason: reason, Remote: c.RemoteAddr(), Unread: hasInput(c.Conn), Begun: c.begun && !c.active, Active: c.active, Waited: now.Sub(c.since),
	}
}
