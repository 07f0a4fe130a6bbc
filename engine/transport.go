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
	// TCP keep-alive probes idle connections, so that a target that disappeared
	// without closing the connection is detected while its response is awaited.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 5 * time.Second
	keepAliveCount    = 3
	// tcpUserTimeout limits how long sent bytes may stay unacknowledged.
	tcpUserTimeout = 15 * time.Second
	// idleConnTimeout is shorter than the usual idle timeout of servers, so that the
	// client closes an idle connection first.
	idleConnTimeout        = 3 * time.Second
	maxIdleConnsPerHost    = 256
	maxResponseHeaderBytes = 64 << 10
)

// errSealed rejects a write on a connection that was sealed because its request
// failed.
var errSealed = errors.New("engine: connection is sealed after a failed request")

// ErrExpired is the cause of a SendError if NotAfter passed before the first byte
// was written.
var ErrExpired = errors.New("engine: time allowed for sending is over")

// SendError is the error of a request that got no response. Sent reports whether
// any byte of it may have reached the target.
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

// trackedConn counts the bytes of attempted writes. After seal it rejects every
// write, so that a report of "nothing was sent" stays true.
type trackedConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
	expired bool
	// notAfter is the latest time of the next write; it does not apply to later
	// writes.
	notAfter time.Time
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	if err := c.checkWrite(len(p)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// checkWrite counts a write of n bytes, or returns an error if the connection is
// sealed or notAfter has passed. It reads the monotonic clock immediately before
// the write, so that a process that was paused does not send on an expired permit.
func (c *trackedConn) checkWrite(n int) error {
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

// startRequest sets notAfter for a request and returns the number of bytes written
// before it.
func (c *trackedConn) startRequest(notAfter time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notAfter = notAfter
	return c.written
}

// seal rejects later writes. It returns the number of bytes in attempted writes so
// far, and whether a write was rejected because notAfter had passed.
func (c *trackedConn) seal() (written int64, expired bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written, c.expired
}

// sendTrace tracks the connections that the transport uses for one request. The
// transport may switch to a second connection only if nothing was written to the
// first.
type sendTrace struct {
	notAfter time.Time

	mu   sync.Mutex
	conn *trackedConn
	// writtenBefore is what conn had written before this request.
	writtenBefore int64
	sent          bool
	expired       bool
}

// gotConn seals the previous connection and tracks the new one. If bytes of the
// request were written already, it seals the new one too, so that the request is
// not sent twice.
func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sealLocked()
	if t.sent {
		conn.seal()
	}
	t.conn = conn
	t.writtenBefore = conn.startRequest(t.notAfter)
}

// fail seals the connection and returns the error to report for cause.
func (t *sendTrace) fail(address string, cause error) *SendError {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sealLocked()
	if t.expired && !t.sent {
		cause = ErrExpired
	}
	return &SendError{Address: address, Sent: t.sent, Err: cause}
}

// sealLocked seals the current connection and records whether bytes of the request
// were written to it.
func (t *sendTrace) sealLocked() {
	if t.conn == nil {
		return
	}
	written, expired := t.conn.seal()
	if written > t.writtenBefore {
		t.sent = true
	}
	t.expired = t.expired || expired
	t.conn = nil
}

// Options configures a Client.
type Options struct {
	// SourceAddress is the local IP address to dial from; if it is empty, the system
	// chooses.
	SourceAddress string
	// DialTimeout limits a connection attempt; 0 means one second.
	DialTimeout time.Duration
}

// Client sends requests to targets over HTTP/1.1. It never sends a request twice:
// the retries of net/http on reused connections are disabled. Its methods are safe
// for concurrent use.
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
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: setTCPUserTimeout,
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
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
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

// send sends the request at most once, its first byte not later than notAfter; a
// zero notAfter means no limit. The error is a *SendError.
func (c *Client) send(req *http.Request, notAfter time.Time) (*http.Response, error) {
	trace := &sendTrace{notAfter: notAfter}
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: trace.gotConn})
	disableRetries(req)
	resp, err := c.transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, trace.fail(req.URL.Host, err)
	}
	return resp, nil
}

// disableRetries removes what makes net/http treat a request as replayable: a body
// that can be rewound, an idempotent method without a body, or an Idempotency-Key
// under its canonical name. Header names are case-insensitive, so the lower-case
// name means the same to the target.
func disableRetries(req *http.Request) {
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
