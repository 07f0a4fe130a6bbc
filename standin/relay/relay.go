// Package relay forwards TCP connections and simulates network partitions. It
// can cut the link between a source address and a listen address, in one
// direction or both. A cut blocks the bytes without closing connections, like a
// network that drops packets; once the link is healed, the bytes arrive.
package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Direction is the direction in which a cut blocks bytes, as seen from the
// listen address.
type Direction string

// Directions of a cut.
const (
	DirectionBoth Direction = "both"
	// DirectionIn blocks the bytes that the client sends.
	DirectionIn Direction = "in"
	// DirectionOut blocks the bytes that are sent to the client.
	DirectionOut Direction = "out"
)

// Link selects connections by listen address, source address and direction. An
// empty field matches any value.
type Link struct {
	Listen    string    `json:"listen"`
	Source    string    `json:"source"`
	Direction Direction `json:"direction"`
}

// Route is a listen address and the address of the target to which its
// connections are forwarded.
type Route struct {
	Listen  string
	Forward string
}

// ParseRoute parses a route of the form "listen=forward".
func ParseRoute(text string) (Route, error) {
	listen, forward, ok := strings.Cut(text, "=")
	if !ok || listen == "" || forward == "" {
		return Route{}, fmt.Errorf("route %q: want LISTEN=FORWARD", text)
	}
	return Route{Listen: listen, Forward: forward}, nil
}

const (
	dialTimeout     = 3 * time.Second
	redialInterval  = 20 * time.Millisecond
	copyBufferBytes = 32 << 10
)

// Relay forwards connections and applies cuts and delays to them.
type Relay struct {
	mu      sync.Mutex
	cuts    []Link
	changed chan struct{}
	// delays is the added latency by listen address.
	delays map[string]time.Duration
	// openConns are the clients' open connections with their listen addresses.
	openConns map[net.Conn]string
}

// New returns a relay without cuts.
func New() *Relay {
	return &Relay{changed: make(chan struct{}), delays: make(map[string]time.Duration), openConns: make(map[net.Conn]string)}
}

// Cut blocks the bytes on a link; an empty direction means both.
func (r *Relay) Cut(l Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.Direction == "" {
		l.Direction = DirectionBoth
	}
	r.cuts = append(r.cuts, l)
}

// Heal removes the cuts that the link selects, and wakes blocked connections.
func (r *Relay) Heal(l Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var remaining []Link
	for _, c := range r.cuts {
		if !l.matches(c) {
			remaining = append(remaining, c)
		}
	}
	r.cuts = remaining
	close(r.changed)
	r.changed = make(chan struct{})
}

// Delay adds latency to the bytes that pass a listen address, in both
// directions; zero removes it.
func (r *Relay) Delay(listen string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delays[listen] = d
}

// Reset resets the open connections of a listen address.
func (r *Relay) Reset(listen string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn, address := range r.openConns {
		if tcp, ok := conn.(*net.TCPConn); ok && address == listen {
			// With a linger time of zero, closing sends RST.
			_ = tcp.SetLinger(0)
			tcp.Close()
		}
	}
}

// trackConn registers an open connection until the returned function is called.
func (r *Relay) trackConn(conn net.Conn, listen string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openConns[conn] = listen
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.openConns, conn)
	}
}

func (r *Relay) delayFor(listen string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delays[listen]
}

// matches reports whether every field that is set in l equals that of the cut c.
// DirectionBoth in l matches every direction.
func (l Link) matches(c Link) bool {
	if l.Listen != "" && l.Listen != c.Listen {
		return false
	}
	if l.Source != "" && l.Source != c.Source {
		return false
	}
	return l.Direction == "" || l.Direction == DirectionBoth || l.Direction == c.Direction
}

// blocks reports whether the cut c blocks bytes in a direction.
func (c Link) blocks(listen, source string, direction Direction) bool {
	if c.Listen != "" && c.Listen != listen {
		return false
	}
	if c.Source != "" && c.Source != source {
		return false
	}
	return c.Direction == DirectionBoth || c.Direction == direction
}

// waitUntilOpen waits until no cut blocks bytes in the direction, or until the
// context ends.
func (r *Relay) waitUntilOpen(ctx context.Context, listen, source string, direction Direction) error {
	for {
		blocked, changed := r.isBlocked(listen, source, direction)
		if !blocked {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// isBlocked reports whether a cut blocks bytes in the direction. The channel is
// closed when a link is healed.
func (r *Relay) isBlocked(listen, source string, direction Direction) (bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.cuts {
		if c.blocks(listen, source, direction) {
			return true, r.changed
		}
	}
	return false, r.changed
}

// Serve accepts connections on a listener and forwards them until the context
// ends. While the target refuses connections, the listener is closed, so that
// clients' connections are refused too.
func (r *Relay) Serve(ctx context.Context, listener net.Listener, route Route) error {
	for {
		if err := r.acceptConns(ctx, listener, route); err != nil {
			return fmt.Errorf("accept on %s: %w", route.Listen, err)
		}
		if waitForTarget(ctx, route.Forward) != nil {
			return nil
		}
		var err error
		listener, err = net.Listen("tcp", route.Listen)
		if err != nil {
			return fmt.Errorf("reopen the listener: %w", err)
		}
	}
}

// acceptConns forwards connections until the listener is closed: when the context
// ends or when the target refuses a connection.
func (r *Relay) acceptConns(ctx context.Context, listener net.Listener, route Route) error {
	closeListener := func() { listener.Close() }
	stop := context.AfterFunc(ctx, closeListener)
	defer stop()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go r.forward(ctx, conn, route, closeListener)
	}
}

// waitForTarget waits until the target accepts connections or the context ends.
func waitForTarget(ctx context.Context, address string) error {
	for {
		select {
		case <-time.After(redialInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
		conn, err := net.DialTimeout("tcp", address, dialTimeout)
		if err == nil {
			return conn.Close()
		}
	}
}

// forward copies bytes between a client's connection and a new connection to the
// route's target, dialed from the same source address. It calls onRefused if the
// target refuses the connection.
func (r *Relay) forward(ctx context.Context, conn net.Conn, route Route, onRefused func()) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer conn.Close()
	defer r.trackConn(conn, route.Listen)()
	source := conn.RemoteAddr().(*net.TCPAddr).IP
	if r.waitUntilOpen(ctx, route.Listen, source.String(), DirectionIn) != nil {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: source}}
	target, err := dialer.DialContext(ctx, "tcp", route.Forward)
	if errors.Is(err, syscall.ECONNREFUSED) {
		onRefused()
	}
	if err != nil {
		return
	}
	defer target.Close()
	var wg sync.WaitGroup
	wg.Go(func() { r.copyBytes(ctx, target, conn, route.Listen, source.String(), DirectionIn) })
	wg.Go(func() { r.copyBytes(ctx, conn, target, route.Listen, source.String(), DirectionOut) })
	wg.Wait()
}

// copyBytes copies bytes from one connection to the other, as long as the link
// is not cut. It propagates the end of input as a half-close.
func (r *Relay) copyBytes(ctx context.Context, dst, src net.Conn, listen, source string, direction Direction) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, readErr := src.Read(buffer)
		time.Sleep(r.delayFor(listen))
		if r.waitUntilOpen(ctx, listen, source, direction) != nil {
			return
		}
		if n > 0 {
			if _, err := dst.Write(buffer[:n]); err != nil {
				src.Close()
				return
			}
		}
		if readErr != nil {
			propagateClose(dst, readErr)
			return
		}
	}
}

// propagateClose half-closes the output after the end of input, and closes it
// after a read error.
func propagateClose(dst net.Conn, readErr error) {
	tcp, ok := dst.(*net.TCPConn)
	if ok && errors.Is(readErr, io.EOF) {
		tcp.CloseWrite()
		return
	}
	dst.Close()
}
