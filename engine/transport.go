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
	// A connection whose peer is silent is probed, so that a target that is gone
	// without a word is noticed while an answer is awaited.
	probeIdle     = 5 * time.Second
	probeInterval = 5 * time.Second
	probeCount    = 3
	// sendTimeout bounds how long sent bytes may stay unconfirmed.
	sendTimeout = 15 * time.Second
	// idleConnTimeout is below the usual idle timeout of servers, so that this
	// side closes an idle connection first.
	idleConnTimeout     = 3 * time.Second
	maxIdleConnsPerHost = 256
	maxResponseHeader   = 64 << 10
)

// errSealed ends a write that would follow the report of a failed request.
var errSealed = errors.New("engine: connection is sealed after a failed request")

// ErrExpired is the cause of a SendError when the time allowed for sending
// was over before the first byte was written.
var ErrExpired = errors.New("engine: time allowed for sending is over")

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
	expired bool
	// notAfter bounds the time of the next write only.
	notAfter time.Time
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	if err := c.admit(len(p)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// admit counts a write of n bytes, unless it must not happen any more. The
// clock is read last before the bytes leave, and it is monotonic, so that a
// process that was paused does not act on an expired permit.
func (c *trackedConn) admit(n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errSealed
	}
	if !c.notAfter.IsZero() && time.Now().After(c.notAfter) {
		c.sealed = true
		c.expired = true
		return ErrExpired
	}
	c.notAfter = time.Time{}
	c.written += int64(n)
	return nil
}

// begin prepares for a request and returns the bytes written before it.
func (c *trackedConn) begin(notAfter time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notAfter = notAfter
	return c.written
}

// seal refuses later writes. It returns the bytes attempted so far, and
// whether a write was refused because its time was over.
func (c *trackedConn) seal() (written int64, expired bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written, c.expired
}

// sendTrace follows one request through the transport. The transport may take
// a second connection only while nothing was written to the first.
type sendTrace struct {
	notAfter time.Time

	mu      sync.Mutex
	conn    *trackedConn
	base    int64
	sent    bool
	expired bool
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
	t.base = conn.begin(t.notAfter)
}

// fail seals the connection and returns the error to report for cause.
func (t *sendTrace) fail(address string, cause error) *SendError {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeLocked()
	if t.expired && !t.sent {
		cause = ErrExpired
	}
	return &SendError{Address: address, Sent: t.sent, Err: cause}
}

func (t *sendTrace) closeLocked() {
	if t.conn == nil {
		return
	}
	written, expired := t.conn.seal()
	if written > t.base {
		t.sent = true
	}
	t.expired = t.expired || expired
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
	dialer := &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeIdle,
			Interval: probeInterval,
			Count:    probeCount,
		},
		Control: limitSendTime,
	}
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

// send performs one request at most once; a zero notAfter sets no bound on the
// time of its first byte. The error is a *SendError.
func (c *Client) send(req *http.Request, notAfter time.Time) (*http.Response, error) {
	trace := &sendTrace{notAfter: notAfter}
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: trace.gotConn})
	forbidReplay(req)
	resp, err := c.transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, trace.fail(req.URL.Host, err)
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
