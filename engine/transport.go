package engine

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

const (
	defaultDialTimeout = time.Second
	keepAlivePeriod    = 15 * time.Second
	// idleConnTimeout is below the usual idle timeout of servers, so that this
	// side closes an idle connection first.
	idleConnTimeout     = 3 * time.Second
	maxIdleConnsPerHost = 256
	maxResponseHeader   = 64 << 10
)

// errSealed ends a write that would follow the report of a failed request.
var errSealed = errors.New("engine: connection is sealed after a failed request")

// SendError is a request that got no response. Sent tells whether any byte of
// it may have reached the target.
type SendError struct {
	Address string
	Sent    bool
	Err     error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Sent {
		return fmt.Sprintf("target %s broke off after the request was sent: %v", e.Address, e.Err)
	}
	return fmt.Sprintf("target %s cannot be reached, nothing was sent: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// trackedConn counts the bytes of attempted writes. After seal no further
// byte leaves, so that a report of "nothing was sent" stays true.
type trackedConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *trackedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal refuses later writes and returns the bytes attempted so far.
func (c *trackedConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// sendTrace follows one request through the transport. The transport may take
// a second connection only while nothing was written to the first.
type sendTrace struct {
	mu   sync.Mutex
	conn *trackedConn
	base int64
	sent bool
}

func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeLocked()
	if t.sent {
		conn.seal()
	}
	t.conn = conn
	t.base = conn.count()
}

// fail seals the connection and reports whether any byte may have been sent.
func (t *sendTrace) fail() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeLocked()
	return t.sent
}

func (t *sendTrace) closeLocked() {
	if t.conn == nil {
		return
	}
	if t.conn.seal() > t.base {
		t.sent = true
	}
	t.conn = nil
}

// Options configures a Client.
type Options struct {
	// SourceAddress is the local IP to dial from; empty lets the system choose.
	SourceAddress string
	// DialTimeout bounds a connection attempt; 0 means one second.
	DialTimeout time.Duration
}

// Client calls targets over HTTP/1.1. It never sends a request twice: the
// retries of net/http on reused connections are switched off. Its methods may
// be called by any goroutine.
type Client struct {
	transport *http.Transport
}

// NewClient returns a Client without connections.
func NewClient(options Options) *Client {
	timeout := options.DialTimeout
	if timeout <= 0 {
		timeout = defaultDialTimeout
	}
	dialer := &net.Dialer{Timeout: timeout, KeepAlive: keepAlivePeriod}
	if ip := net.ParseIP(options.SourceAddress); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
	return &Client{transport: &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeader,
		Protocols:              http1Only(),
	}}
}

func http1Only() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	return p
}

// Close closes idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// send performs one request at most once. Its error is a *SendError.
func (c *Client) send(req *http.Request) (*http.Response, error) {
	trace := &sendTrace{}
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: trace.gotConn})
	forbidReplay(req)
	resp, err := c.transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, &SendError{Address: req.URL.Host, Sent: trace.fail(), Err: err}
	}
	return resp, nil
}

// forbidReplay takes away what makes net/http treat a request as replayable:
// a body that can be rewound, a method without body, or an Idempotency-Key
// under its canonical name. Header names on the wire ignore case.
func forbidReplay(req *http.Request) {
	req.GetBody = nil
	if keys, ok := req.Header[idempotencyKey]; ok {
		delete(req.Header, idempotencyKey)
		req.Header[idempotencyKeyOnWire] = keys
	}
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		if req.Body == nil || req.Body == http.NoBody {
			req.Body = emptyBody{}
		}
	}
}

const (
	idempotencyKey       = "Idempotency-Key"
	idempotencyKeyOnWire = "idempotency-key"
)
