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

// Pool holds one session to each peer address and opens a stream on it for
// each call.
type Pool struct {
	identity    Identity
	meter       Meter
	tls         *tls.Config
	dialer      net.Dialer
	callTimeout time.Duration
	counter     trafficCounter

	mu     sync.Mutex
	links  map[string]*link
	closed bool
}

// PoolOptions configures a Pool.
type PoolOptions struct {
	Identity Identity
	Meter    Meter
	// TLS may be nil.
	TLS *tls.Config
	// SourceAddress is the local IP to dial from; empty lets the system choose.
	SourceAddress string
	DialTimeout   time.Duration
	// CallTimeout bounds a call whose context has no deadline.
	CallTimeout time.Duration
}

// link is the session to one address; its lock makes callers share a dial.
type link struct {
	mu      sync.Mutex
	session *yamux.Session
}

// NewPool returns a pool without connections.
func NewPool(options PoolOptions) *Pool {
	p := &Pool{
		identity:    options.Identity,
		meter:       options.Meter,
		tls:         options.TLS,
		callTimeout: options.CallTimeout,
		links:       make(map[string]*link),
	}
	p.dialer.Timeout = options.DialTimeout
	if ip := net.ParseIP(options.SourceAddress); ip != nil {
		p.dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return p
}

// Call sends one request to the peer at address and reads the reply into
// resp. It returns the peer's typed error, or one of kind unreachable when the
// link fails; after that the effect of the call is not known.
func (p *Pool) Call(ctx context.Context, address string, method schema.Method, req, resp proto.Message) error {
	stream, err := p.open(ctx, address)
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
	err = exchange(stream, method, req, resp)
	p.meter.CountCall(method, stream.sent, stream.read)
	if err == nil {
		return nil
	}
	if _, typed := err.(*fault.Error); typed {
		return err
	}
	return unreachable(err, address)
}

func exchange(stream *Stream, method schema.Method, req, resp proto.Message) error {
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

// OpenStream opens a stream of a method that stays open until it is closed. It
// returns a *fault.Error of kind unreachable if the peer cannot be reached.
func (p *Pool) OpenStream(ctx context.Context, address string, method schema.Method) (*Stream, error) {
	stream, err := p.open(ctx, address)
	if err != nil {
		return nil, unreachable(err, address)
	}
	if err := stream.Send(&schema.CallHeader{Method: method}); err != nil {
		stream.Close()
		return nil, unreachable(err, address)
	}
	return stream, nil
}

// Forget ends the session to a peer, so that the next call dials anew.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	l := p.links[address]
	delete(p.links, address)
	p.mu.Unlock()
	if l != nil {
		l.close()
	}
}

// Traffic returns the bytes that this node's outgoing links carried.
func (p *Pool) Traffic() Traffic {
	return p.counter.traffic()
}

// Close ends all sessions; later calls fail with ErrClosed.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	links := p.links
	p.links = nil
	p.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

func (p *Pool) open(ctx context.Context, address string) (*Stream, error) {
	l, err := p.link(address)
	if err != nil {
		return nil, err
	}
	session, err := l.connect(ctx, p, address)
	if err != nil {
		return nil, err
	}
	conn, err := session.Open()
	if err != nil {
		l.drop(session)
		return nil, err
	}
	return newStream(conn), nil
}

func (p *Pool) link(address string) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	l, ok := p.links[address]
	if !ok {
		l = &link{}
		p.links[address] = l
	}
	return l, nil
}

func (l *link) connect(ctx context.Context, p *Pool, address string) (*yamux.Session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil && !l.session.IsClosed() {
		return l.session, nil
	}
	session, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	l.session = session
	return session, nil
}

func (l *link) drop(session *yamux.Session) {
	session.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session == session {
		l.session = nil
	}
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil {
		l.session.Close()
	}
}

func (p *Pool) dial(ctx context.Context, address string) (*yamux.Session, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn = &countedConn{Conn: conn, counter: &p.counter}
	if p.tls != nil {
		conn = tls.Client(conn, tlsFor(p.tls, address))
	}
	if err := p.sayHello(conn); err != nil {
		conn.Close()
		return nil, err
	}
	session, err := yamux.Client(conn, muxConfig())
	if err != nil {
		conn.Close()
		return nil, err
	}
	return session, nil
}

// tlsFor names the server by its IP, which the peer's certificate must list.
func tlsFor(config *tls.Config, address string) *tls.Config {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return config
	}
	c := config.Clone()
	c.ServerName = host
	return c
}

func (p *Pool) sayHello(conn net.Conn) error {
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
