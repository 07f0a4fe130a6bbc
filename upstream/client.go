package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// pruneInterval is how often idle connections are checked.
const pruneInterval = time.Second

// Client sends requests and keeps idle connections for reuse. Its methods are safe
// for concurrent use.
type Client struct {
	dial    DialFunc
	onDial  func()
	mu      sync.Mutex
	pools   map[Address]*pool
	closing bool
}

// pool holds the idle connections to one target.
type pool struct {
	address Address
	idle    []*conn
	// reducedMaxIdle bounds the idle time of connections until reducedUntil: the
	// target recently closed or reset one that had been idle for twice as long.
	reducedMaxIdle time.Duration
	reducedUntil   time.Time
}

// usable reports whether an idle connection may carry another request.
func (p *pool) usable(cn *conn) bool {
	now := time.Now()
	idleTime := now.Sub(cn.idleSince)
	if now.Before(p.reducedUntil) && idleTime >= p.reducedMaxIdle {
		return false
	}
	return idleTime < cn.maxIdle && cn.noPendingInput()
}

// DialFunc opens a TCP connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client without connections. onDial is called before each
// dial.
func NewClient(dial DialFunc, onDial func()) *Client {
	return &Client{dial: dial, onDial: onDial, pools: make(map[Address]*pool)}
}

// Run closes idle connections that are too old, that their target has closed, or
// on which unsolicited bytes arrived, until ctx ends. It then closes all of them.
func (c *Client) Run(ctx context.Context) {
	tick := time.NewTicker(pruneInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			c.prune()
		case <-ctx.Done():
			c.close()
			return
		}
	}
}

// Send sends the request to a target and returns the response after its headers
// have arrived; the caller must close the body. The error is a *SendError. When ctx
// ends, the connection is closed, even while the body is being read.
func (c *Client) Send(ctx context.Context, to Address, r *Request) (*http.Response, error) {
	cn, err := c.acquire(ctx, to, r.NewConn)
	if err != nil {
		return nil, &SendError{Address: to, PeerClosed: IsPeerClosed(err), Err: err}
	}
	stopCancel := context.AfterFunc(ctx, func() { cn.Conn.Close() })
	written := make(chan error, 1)
	var acks *ackWatch
	if len(r.Body) <= maxInlineBodyBytes {
		written <- cn.write(r)
	} else {
		acks = watchAcks(cn.raw)
		go func() {
			written <- cn.write(r)
			acks.requestWritten()
		}()
	}
	resp, mismatched, err := cn.read(r, &http.Request{Method: r.Method})
	if err != nil {
		stopCancel()
		// The connection is closed, so that its limit matters no more.
		_ = acks.stop()
		cn.Conn.Close()
		if cause := context.Cause(ctx); cause != nil {
			return nil, &SendError{Address: to, Sent: true, Err: cause}
		}
		if cn.responses > 0 && IsPeerClosed(err) {
			c.reduceMaxIdle(cn)
		}
		return nil, &SendError{Address: to, Sent: true, PeerClosed: IsPeerClosed(err), Err: err}
	}
	cn.responses++
	cn.maxIdle = keepAliveTimeout(resp.Header)
	resp.Body = &responseBody{
		ReadCloser: resp.Body, ctx: ctx, client: c, conn: cn, stopCancel: stopCancel, written: written, acks: acks,
		reusable: !mismatched && isReusable(r, resp), length: bodyLength(r, resp), closeDelimited: isCloseDelimited(resp),
	}
	return resp, nil
}

// isReusable reports whether the connection may carry another request after a response.
// It may not after one to HEAD: a late copy of that states the length of a body that does
// not follow.
func isReusable(r *Request, resp *http.Response) bool {
	return !resp.Close && resp.ContentLength >= -1 && !isCloseDelimited(resp) && r.Method != http.MethodHead
}

// bodyLength returns the length of the body that a response states, or -1 if it states
// none. The response to a HEAD request states that of a body that does not follow.
func bodyLength(r *Request, resp *http.Response) int64 {
	if r.Method == http.MethodHead {
		return -1
	}
	return resp.ContentLength
}

// isCloseDelimited reports whether the end of the connection ends the response.
func isCloseDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// Refuses reports whether a target refuses a new connection, so that no process of it
// listens.
func (c *Client) Refuses(ctx context.Context, to Address) bool {
	c.onDial()
	probe, err := c.dial(ctx, "tcp4", to.Host)
	if err == nil {
		probe.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// Connect opens a connection to a target and keeps it for the next request.
func (c *Client) Connect(ctx context.Context, to Address) error {
	c.onDial()
	cn, err := connect(ctx, c.dial, c.pool(to))
	if err != nil {
		return err
	}
	c.putIdle(cn)
	return nil
}

// CloseIdle closes all idle connections, because they may be dead.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	var idle []*conn
	for _, p := range c.pools {
		idle = append(idle, p.idle...)
		p.idle = nil
	}
	c.mu.Unlock()
	closeAll(idle)
}

// Forget closes the idle connections to a target that has been removed.
func (c *Client) Forget(to Address) {
	c.mu.Lock()
	p := c.pools[to]
	delete(c.pools, to)
	c.mu.Unlock()
	if p != nil {
		closeAll(p.idle)
	}
}

// acquire returns an idle connection to the target, or dials one.
func (c *Client) acquire(ctx context.Context, to Address, newConn bool) (*conn, error) {
	for !newConn {
		cn, usable := c.popIdle(to)
		if cn == nil {
			break
		}
		if usable {
			return cn, nil
		}
		cn.Conn.Close()
	}
	c.onDial()
	return connect(ctx, c.dial, c.pool(to))
}

// popIdle returns the most recently used connection, because the target is least
// likely to have closed it, and whether it is usable. It returns nil if there is
// none.
func (c *Client) popIdle(to Address) (cn *conn, usable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[to]
	if p == nil || len(p.idle) == 0 {
		return nil, false
	}
	last := len(p.idle) - 1
	cn = p.idle[last]
	p.idle = p.idle[:last]
	cn.idleTime = time.Since(cn.idleSince)
	return cn, p.usable(cn)
}

func (c *Client) pool(to Address) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[to]
	if p == nil {
		p = &pool{address: to}
		c.pools[to] = p
	}
	return p
}

// putIdle keeps a connection for the next request.
func (c *Client) putIdle(cn *conn) {
	cn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[cn.pool.address]
	if c.closing || p == nil {
		cn.Conn.Close()
		return
	}
	p.idle = append(p.idle, cn)
}

// reduceMaxIdle is called when a target has closed or reset a reused connection.
// For reducedMaxIdlePeriod, it limits the idle time of all connections to the
// target to half the time that this one was idle.
func (c *Client) reduceMaxIdle(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cn.pool.reducedMaxIdle = cn.idleTime / 2
	cn.pool.reducedUntil = time.Now().Add(reducedMaxIdlePeriod)
}

func (c *Client) prune() {
	c.mu.Lock()
	var unusable []*conn
	for _, p := range c.pools {
		kept := p.idle[:0]
		for _, cn := range p.idle {
			if p.usable(cn) {
				kept = append(kept, cn)
			} else {
				unusable = append(unusable, cn)
			}
		}
		p.idle = kept
	}
	c.mu.Unlock()
	closeAll(unusable)
}

func (c *Client) close() {
	c.mu.Lock()
	c.closing = true
	pools := c.pools
	c.pools = make(map[Address]*pool)
	c.mu.Unlock()
	for _, p := range pools {
		closeAll(p.idle)
	}
}

func closeAll(conns []*conn) {
	for _, cn := range conns {
		cn.Conn.Close()
	}
}

// responseBody is the body of a response. Its Close keeps the connection for reuse
// if the response was read to its end and the request was written completely.
type responseBody struct {
	io.ReadCloser
	// ctx is the context of the request; its cause explains a read that it ended.
	ctx        context.Context
	client     *Client
	conn       *conn
	stopCancel func() bool
	written    chan error
	acks       *ackWatch
	reusable   bool
	length     int64
	// closeDelimited is set if the end of the connection ends the response.
	closeDelimited bool
	bytesRead      int64
	reachedEOF     bool
	failed         bool
}

// Read implements io.Reader. It returns an error that wraps ErrTruncated if the
// response ended early.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytesRead += int64(n)
	switch {
	case err == io.EOF && b.length >= 0 && b.bytesRead < b.length:
		b.failed = true
		return n, &truncatedError{io.ErrUnexpectedEOF}
	case err == io.EOF && b.closeDelimited && b.resetDuringWrite():
		b.failed = true
		return n, &truncatedError{syscall.ECONNRESET}
	case err == io.EOF:
		b.reachedEOF = true
	case err != nil:
		b.failed = true
		if cause := context.Cause(b.ctx); cause != nil {
			err = cause
		}
		err = &truncatedError{err}
	}
	return n, err
}

// truncatedError is a failed read of a body.
type truncatedError struct{ cause error }

// Error implements error.
func (e *truncatedError) Error() string { return ErrTruncated.Error() + ": " + e.cause.Error() }

// Is makes errors.Is(err, ErrTruncated) true.
func (e *truncatedError) Is(target error) bool { return target == ErrTruncated }

// Unwrap returns the cause.
func (e *truncatedError) Unwrap() error { return e.cause }

// Close implements io.Closer.
func (b *responseBody) Close() error {
	active := b.stopCancel()
	limited := b.acks.stop() == nil
	if active && limited && b.reusable && b.reachedEOF && !b.failed && b.requestWritten() && b.conn.reader.Buffered() == 0 {
		b.client.putIdle(b.conn)
		return nil
	}
	return b.conn.Conn.Close()
}

// resetDuringWrite reports whether the connection was reset while the request was being
// written. The kernel reports a reset once, so that the write may get the error and the
// read the end of the connection. A write that is still blocked has met no reset; it ends
// at its deadline.
func (b *responseBody) resetDuringWrite() bool {
	if b.conn.Conn.SetWriteDeadline(time.Now()) != nil {
		return true
	}
	err := <-b.written
	b.written <- err
	return errors.Is(err, syscall.ECONNRESET)
}

// requestWritten reports whether the whole request was written.
func (b *responseBody) requestWritten() bool {
	select {
	case err := <-b.written:
		return err == nil
	default:
		return false
	}
}
