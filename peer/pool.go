package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

// ErrClosed is returned by calls on a closed Pool.
var ErrClosed = errors.New("peer: pool is closed")

// Pool keeps one session to each peer address and opens a stream on it for each
// call.
type Pool struct {
	identity    Identity
	meter       Meter
	tls         *tls.Config
	dialer      net.Dialer
	callTimeout time.Duration
	counter     trafficCounter

	mu          sync.Mutex
	connections map[string]*connection
	// retired holds the sessions that take no more streams and still have some.
	retired map[*yamux.Session]struct{}
	closed  bool
}

// retireInterval is how often a session that takes no more streams is checked for those
// that are left.
const retireInterval = 100 * time.Millisecond

// PoolOptions configures a Pool.
type PoolOptions struct {
	Identity Identity
	Meter    Meter
	// TLS is the client configuration; nil disables TLS.
	TLS *tls.Config
	// SourceAddress is the local IP to dial from; if empty, the system chooses.
	SourceAddress string
	DialTimeout   time.Duration
	// CallTimeout is the timeout of a call whose context has no deadline.
	CallTimeout time.Duration
}

// connection is the session to one address. Its mutex is held while dialing, so
// that concurrent callers share one connection attempt.
type connection struct {
	mu      sync.Mutex
	session *yamux.Session
	// givenUp is set once the pool no longer holds the connection, which then gets no session.
	givenUp bool
}

// errGivenUp says that a connection was given up after the pool returned it.
var errGivenUp = errors.New("peer: the connection was given up")

// NewPool returns a pool without connections.
func NewPool(options PoolOptions) *Pool {
	p := &Pool{
		identity:    options.Identity,
		meter:       options.Meter,
		tls:         options.TLS,
		callTimeout: options.CallTimeout,
		connections: make(map[string]*connection),
		retired:     make(map[*yamux.Session]struct{}),
	}
	p.dialer.Timeout = options.DialTimeout
	if ip := net.ParseIP(options.SourceAddress); ip != nil {
		p.dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return p
}

// Call sends one request to the peer at address and decodes the reply into
// resp. It returns the peer's typed error, or one of kind unreachable if the
// connection fails; in that case the call may have taken effect or not.
func (p *Pool) Call(ctx context.Context, address string, method schema.Method, req, resp proto.Message) error {
	stream, err := p.openStream(ctx, address)
	if err != nil {
		return unreachable(err, address)
	}
	defer stream.Close()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(p.callTimeout)
	}
	if err := stream.SetDeadline(deadline); err != nil {
		return unreachable(err, address)
	}
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	defer stop()
	err = roundTrip(stream, method, req, resp)
	p.meter.CountCall(method, stream.sentBytes, stream.receivedBytes)
	if err == nil {
		return nil
	}
	if _, typed := err.(*fault.Error); typed {
		return err
	}
	return unreachable(err, address)
}

func roundTrip(stream *Stream, method schema.Method, req, resp proto.Message) error {
	if err := stream.Send(&schema.CallHeader{Method: method}, req); err != nil {
		return err
	}
	status := &schema.CallStatus{}
	if err := stream.Receive(status); err != nil {
		return err
	}
	if status.GetError() != nil {
		return fault.FromProto(status.GetError())
	}
	return stream.Receive(resp)
}

// OpenStream opens a long-lived stream of a method; the caller closes it. It
// returns a *fault.Error of kind unreachable if the peer cannot be reached.
func (p *Pool) OpenStream(ctx context.Context, address string, method schema.Method) (*Stream, error) {
	stream, err := p.openStream(ctx, address)
	if err != nil {
		return nil, unreachable(err, address)
	}
	if err := stream.Send(&schema.CallHeader{Method: method}); err != nil {
		stream.Close()
		return nil, unreachable(err, address)
	}
	return stream, nil
}

// Disconnect gives up the session to a peer, so that the next call dials again. Streams that
// are open on it go on: one that has failed says nothing of the others. The session is closed
// once they have ended, or if the peer does not answer on it.
func (p *Pool) Disconnect(address string) {
	p.mu.Lock()
	c := p.connections[address]
	delete(p.connections, address)
	p.mu.Unlock()
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.givenUp = true
	if c.session != nil {
		p.retire(c.session)
	}
}

// retire closes a session once it has no streams, at the latest when the pool is closed.
func (p *Pool) retire(session *yamux.Session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || session.NumStreams() == 0 {
		session.Close()
		return
	}
	p.retired[session] = struct{}{}
	go func() {
		awaitStreams(session)
		session.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.retired, session)
	}()
}

// awaitStreams returns when a session has no streams, is closed, or its peer is silent for
// writeTimeout.
func awaitStreams(session *yamux.Session) {
	if _, err := session.Ping(); err != nil {
		return
	}
	tick := time.NewTicker(retireInterval)
	defer tick.Stop()
	for session.NumStreams() > 0 {
		select {
		case <-tick.C:
		case <-session.CloseChan():
			return
		}
	}
}

// DisconnectIdle closes the session to a peer unless a stream is open on it.
func (p *Pool) DisconnectIdle(address string) {
	p.mu.Lock()
	c := p.connections[address]
	p.mu.Unlock()
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != nil && c.session.NumStreams() == 0 {
		c.session.Close()
	}
}

// Traffic returns the bytes sent and received on outgoing connections.
func (p *Pool) Traffic() Traffic {
	return p.counter.traffic()
}

// Close closes all sessions; later calls fail with ErrClosed.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	connections := p.connections
	p.connections = nil
	for session := range p.retired {
		session.Close()
	}
	p.mu.Unlock()
	for _, c := range connections {
		c.close()
	}
}

func (p *Pool) openStream(ctx context.Context, address string) (*Stream, error) {
	c, session, err := p.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	conn, err := session.Open()
	if err != nil {
		c.closeSession(session)
		return nil, err
	}
	return newStream(conn), nil
}

// connect returns the connection to a peer with its session.
func (p *Pool) connect(ctx context.Context, address string) (*connection, *yamux.Session, error) {
	for {
		c, err := p.connection(address)
		if err != nil {
			return nil, nil, err
		}
		session, err := c.connect(ctx, p, address)
		if err != errGivenUp {
			return c, session, err
		}
	}
}

func (p *Pool) connection(address string) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	c, ok := p.connections[address]
	if !ok {
		c = &connection{}
		p.connections[address] = c
	}
	return c, nil
}

func (c *connection) connect(ctx context.Context, p *Pool, address string) (*yamux.Session, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.givenUp {
		return nil, errGivenUp
	}
	if c.session != nil && !c.session.IsClosed() {
		return c.session, nil
	}
	session, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.session = session
	return session, nil
}

func (c *connection) closeSession(session *yamux.Session) {
	session.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == session {
		c.session = nil
	}
}

func (c *connection) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.givenUp = true
	if c.session != nil {
		c.session.Close()
	}
}

func (p *Pool) dial(ctx context.Context, address string) (*yamux.Session, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn = &countingConn{Conn: conn, counter: &p.counter}
	if p.tls != nil {
		conn = tls.Client(conn, clientTLSConfig(p.tls, address))
	}
	if err := p.clientHandshake(conn); err != nil {
		conn.Close()
		return nil, err
	}
	session, err := yamux.Client(conn, yamuxConfig())
	if err != nil {
		conn.Close()
		return nil, err
	}
	return session, nil
}

// clientTLSConfig sets ServerName to the IP in address, which the peer's
// certificate must list.
func clientTLSConfig(config *tls.Config, address string) *tls.Config {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return config
	}
	c := config.Clone()
	c.ServerName = host
	return c
}

func (p *Pool) clientHandshake(conn net.Conn) error {
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	if err := writeMessage(conn, p.identity.hello()); err != nil {
		return err
	}
	reply := &schema.HelloReply{}
	if err := readMessage(conn, reply); err != nil {
		return err
	}
	if reply.GetError() != nil {
		return fault.FromProto(reply.GetError())
	}
	return conn.SetDeadline(time.Time{})
}
