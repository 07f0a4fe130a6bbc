// Package callers serves the connections of callers. In a planned stop it closes only
// connections on which no request has begun, so that each request of which a byte was read is
// answered. http.Server.Shutdown drops a request whose head was not read whole before.
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
	// stopInterval is how often Stop checks the connections.
	stopInterval = 20 * time.Millisecond
)

// Server serves the connections of callers.
type Server struct {
	server   *http.Server
	listener net.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewServer returns a server of the connections that a listener accepts. It sets the
// ConnState of the HTTP server.
func NewServer(server *http.Server, listener net.Listener) *Server {
	s := &Server{server: server, conns: make(map[*conn]struct{})}
	s.listener = &trackingListener{Listener: listener, server: s}
	server.ConnState = s.recordState
	return s
}

// Serve serves connections until Stop, and returns an error that wraps net.ErrClosed then.
func (s *Server) Serve() error { return s.server.Serve(s.listener) }

// Stop accepts no more connections, closes those on which no request has begun, and waits
// until the others are closed, which their handler has to bring about with the header
// Connection. When heads ends, a request that has come in part is waited for no longer. When
// ctx ends, Stop closes what is left and returns the cause.
func (s *Server) Stop(ctx, heads context.Context) error {
	// The listener is closed either way.
	_ = s.listener.Close()
	tick := time.NewTicker(stopInterval)
	defer tick.Stop()
	for s.closeIdle(time.Now(), heads.Err() != nil) > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			_ = s.server.Close()
			return context.Cause(ctx)
		}
	}
	return nil
}

// closeIdle closes the connections on which no request has begun, or all on which none has
// come whole, and returns how many are left.
func (s *Server) closeIdle(now time.Time, begun bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.idle(now, begun) {
			c.Conn.Close()
			delete(s.conns, c)
		}
	}
	return len(s.conns)
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
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}
}

// trackingListener accepts connections of a server.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, accepted: time.Now()}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.conns[c] = struct{}{}
	return c, nil
}

// conn is a connection of a caller.
type conn struct {
	net.Conn
	accepted time.Time

	mu sync.Mutex
	// active is set from when the head of a request was read until its answer is written,
	// used once there was one.
	active, used bool
	// begun is set when bytes were read since the last write, which are of the next request.
	begun bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.setBegun(true)
	}
	return n, err
}

// Write implements net.Conn. A caller sends its next request only after the whole answer.
func (c *conn) Write(p []byte) (int, error) {
	c.setBegun(false)
	return c.Conn.Write(p)
}

func (c *conn) setBegun(begun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = begun
}

func (c *conn) setActive(active bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.used = active, true
}

// idle reports whether no request has begun on the connection or, if begun is set, none has
// come whole.
func (c *conn) idle(now time.Time, begun bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.active:
		return false
	case begun:
		return true
	case !c.used && now.Sub(c.accepted) < firstRequestTime:
		return false
	}
	return !c.begun
}
