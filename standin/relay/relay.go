// Package relay forwards TCP connections and can cut the link between a
// source address and a listen address, in one direction or both. A cut holds
// the bytes back without closing anything, as a network that drops packets
// does; after the link heals they arrive.
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

// Direction is the way of the bytes that a cut holds back, seen from the
// listen address.
type Direction string

// Directions of a cut.
const (
	DirectionBoth Direction = "both"
	// DirectionIn holds back what the dialing side sends.
	DirectionIn Direction = "in"
	// DirectionOut holds back what it would receive.
	DirectionOut Direction = "out"
)

// Link selects connections. An empty field selects all.
type Link struct {
	Listen    string    `json:"listen"`
	Source    string    `json:"source"`
	Direction Direction `json:"direction"`
}

// Route is a listen address and the address that it forwards to.
type Route struct {
	Listen  string
	Forward string
}

// ParseRoute reads "listen=forward".
func ParseRoute(text string) (Route, error) {
	listen, forward, ok := strings.Cut(text, "=")
	if !ok || listen == "" || forward == "" {
		return Route{}, fmt.Errorf("route %q: want LISTEN=FORWARD", text)
	}
	return Route{Listen: listen, Forward: forward}, nil
}

const (
	dialTimeout   = 3 * time.Second
	probeInterval = 20 * time.Millisecond
	bufferBytes   = 32 << 10
)

// Relay forwards connections of its routes.
type Relay struct {
	mu      sync.Mutex
	cuts    []Link
	changed chan struct{}
	// delays are added to what passes, by listen address.
	delays map[string]time.Duration
	// open are the dialing sides' connections, with their listen addresses.
	open map[net.Conn]string
}

// New returns a relay without cuts.
func New() *Relay {
	return &Relay{changed: make(chan struct{}), delays: make(map[string]time.Duration), open: make(map[net.Conn]string)}
}

// Cut holds back the bytes on a link.
func (r *Relay) Cut(l Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.Direction == "" {
		l.Direction = DirectionBoth
	}
	r.cuts = append(r.cuts, l)
}

// Heal removes the cuts that the link selects.
func (r *Relay) Heal(l Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var kept []Link
	for _, c := range r.cuts {
		if !l.selects(c) {
			kept = append(kept, c)
		}
	}
	r.cuts = kept
	close(r.changed)
	r.changed = make(chan struct{})
}

// Delay holds back what passes a listen address for a time; zero ends it.
func (r *Relay) Delay(listen string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delays[listen] = d
}

// Reset resets the connections that are open to a listen address.
func (r *Relay) Reset(listen string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn, address := range r.open {
		if tcp, ok := conn.(*net.TCPConn); ok && address == listen {
			// Without lingering, the close is a reset.
			_ = tcp.SetLinger(0)
			tcp.Close()
		}
	}
}

// track remembers an open connection until the returned function is called.
func (r *Relay) track(conn net.Conn, listen string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[conn] = listen
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.open, conn)
	}
}

func (r *Relay) delay(listen string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delays[listen]
}

// selects reports whether every field that l names equals that of c.
func (l Link) selects(c Link) bool {
	if l.Listen != "" && l.Listen != c.Listen {
		return false
	}
	if l.Source != "" && l.Source != c.Source {
		return false
	}
	return l.Direction == "" || l.Direction == DirectionBoth || l.Direction == c.Direction
}

// holds reports whether the cut c holds back bytes in a direction.
func (c Link) holds(listen, source string, direction Direction) bool {
	if c.Listen != "" && c.Listen != listen {
		return false
	}
	if c.Source != "" && c.Source != source {
		return false
	}
	return c.Direction == DirectionBoth || c.Direction == direction
}

// pass waits until no cut holds back bytes in the direction.
func (r *Relay) pass(ctx context.Context, listen, source string, direction Direction) error {
	for {
		held, changed := r.held(listen, source, direction)
		if !held {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *Relay) held(listen, source string, direction Direction) (bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.cuts {
		if c.holds(listen, source, direction) {
			return true, r.changed
		}
	}
	return false, r.changed
}

// Serve accepts connections on a listener and forwards them until the context
// ends. While the target refuses connections, the relay refuses them too.
func (r *Relay) Serve(ctx context.Context, listener net.Listener, route Route) error {
	for {
		if err := r.accept(ctx, listener, route); err != nil {
			return fmt.Errorf("accept on %s: %w", route.Listen, err)
		}
		if waitForTarget(ctx, route.Forward) != nil {
			return nil
		}
		var err error
		listener, err = net.Listen("tcp", route.Listen)
		if err != nil {
			return fmt.Errorf("listen again: %w", err)
		}
	}
}

// accept forwards connections until the context ends or the target refuses
// one, and closes the listener.
func (r *Relay) accept(ctx context.Context, listener net.Listener, route Route) error {
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

// waitForTarget returns once the target accepts connections.
func waitForTarget(ctx context.Context, address string) error {
	for {
		select {
		case <-time.After(probeInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
		conn, err := net.DialTimeout("tcp", address, dialTimeout)
		if err == nil {
			return conn.Close()
		}
	}
}

// forward joins one connection with a new one to the route's target, dialed
// from the same source address. It calls refused if the target refuses.
func (r *Relay) forward(ctx context.Context, conn net.Conn, route Route, refused func()) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer conn.Close()
	defer r.track(conn, route.Listen)()
	source := conn.RemoteAddr().(*net.TCPAddr).IP
	if r.pass(ctx, route.Listen, source.String(), DirectionIn) != nil {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: source}}
	target, err := dialer.DialContext(ctx, "tcp", route.Forward)
	if errors.Is(err, syscall.ECONNREFUSED) {
		refused()
	}
	if err != nil {
		return
	}
	defer target.Close()
	var wg sync.WaitGroup
	wg.Go(func() { r.copy(ctx, target, conn, route.Listen, source.String(), DirectionIn) })
	wg.Go(func() { r.copy(ctx, conn, target, route.Listen, source.String(), DirectionOut) })
	wg.Wait()
}

// copy moves bytes from one connection to the other while the link passes
// them; it carries on the end of input as a half-close.
func (r *Relay) copy(ctx context.Context, to, from net.Conn, listen, source string, direction Direction) {
	buffer := make([]byte, bufferBytes)
	for {
		n, readErr := from.Read(buffer)
		time.Sleep(r.delay(listen))
		if r.pass(ctx, listen, source, direction) != nil {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				from.Close()
				return
			}
		}
		if readErr != nil {
			finish(to, readErr)
			return
		}
	}
}

// finish passes on how the input ended: its end half-closes the output, an
// error closes it.
func finish(to net.Conn, readErr error) {
	tcp, ok := to.(*net.TCPConn)
	if ok && errors.Is(readErr, io.EOF) {
		tcp.CloseWrite()
		return
	}
	to.Close()
}
