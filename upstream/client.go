package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// pruneInterval is how often idle connections are looked at.
const pruneInterval = time.Second

// Client sends requests and keeps connections for reuse. Its methods may be
// called by any goroutine.
type Client struct {
	dialer  *net.Dialer
	onDial  func()
	mu      sync.Mutex
	pools   map[Address]*pool
	closing bool
}

// pool holds the idle connections to one target.
type pool struct {
	address Address
	idle    []*conn
	// shortRest bounds the rest of a connection until shortUntil: the target
	// lately reset one that had rested for twice as long.
	shortRest  time.Duration
	shortUntil time.Time
}

// usable reports whether a connection that has rested may carry a request.
func (p *pool) usable(cn *conn) bool {
	now := time.Now()
	rest := now.Sub(cn.idleSince)
	if now.Before(p.shortUntil) && rest >= p.shortRest {
		return false
	}
	return rest < cn.idleFor && cn.quiet()
}

// NewClient returns a client without connections. onDial is called for each
// new connection.
func NewClient(onDial func()) *Client {
	return &Client{dialer: newDialer(), onDial: onDial, pools: make(map[Address]*pool)}
}

// Run closes idle connections that are too old, or that their target has
// closed or spoiled, until ctx ends.
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

// Send sends the request to a target and returns the answer's head; the
// answer's body must be closed. The error is a *SendError. When ctx ends, the
// connection is closed, also while the body is read.
func (c *Client) Send(ctx context.Context, to Address, r *Request) (*http.Response, error) {
	cn, err := c.take(ctx, to, r.Fresh)
	if err != nil {
		return nil, &SendError{Address: to, Reset: isReset(err), Err: err}
	}
	stop := context.AfterFunc(ctx, func() { cn.Conn.Close() })
	written := make(chan error, 1)
	if len(r.Body) <= inlineBytes {
		written <- cn.write(r)
	} else {
		go func() { written <- cn.write(r) }()
	}
	resp, stray, err := cn.read(r, &http.Request{Method: r.Method})
	if err != nil {
		stop()
		cn.Conn.Close()
		if cause := context.Cause(ctx); cause != nil {
			return nil, &SendError{Address: to, Sent: true, Err: cause}
		}
		if cn.used > 0 && isReset(err) {
			c.shortenRest(cn)
		}
		return nil, &SendError{Address: to, Sent: true, Reset: isReset(err), Err: err}
	}
	cn.used++
	cn.idleFor = keepFor(resp.Header)
	resp.Body = &body{
		ReadCloser: resp.Body, client: c, conn: cn, stop: stop, written: written,
		reusable: !resp.Close && !stray && resp.ContentLength >= -1 && !endsWithConn(resp),
		length:   resp.ContentLength,
	}
	return resp, nil
}

// endsWithConn reports whether the answer's end is the connection's end.
func endsWithConn(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// Forget closes the idle connections to a target that is gone.
func (c *Client) Forget(to Address) {
	c.mu.Lock()
	p := c.pools[to]
	delete(c.pools, to)
	c.mu.Unlock()
	if p != nil {
		closeAll(p.idle)
	}
}

func (c *Client) take(ctx context.Context, to Address, fresh bool) (*conn, error) {
	for !fresh {
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
	return dial(ctx, c.dialer, c.pool(to))
}

// popIdle returns the connection that was used last, because the target is
// least likely to have closed it, and whether it may be used; nil if there is
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
	cn.rested = time.Since(cn.idleSince)
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

// giveBack keeps a connection for the next request.
func (c *Client) giveBack(cn *conn) {
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

// shortenRest makes the connections to a target that reset a kept one rest for
// less, for some time.
func (c *Client) shortenRest(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cn.pool.shortRest = cn.rested / 2
	cn.pool.shortUntil = time.Now().Add(shortRestTime)
}

func (c *Client) prune() {
	c.mu.Lock()
	var dead []*conn
	for _, p := range c.pools {
		kept := p.idle[:0]
		for _, cn := range p.idle {
			if p.usable(cn) {
				kept = append(kept, cn)
			} else {
				dead = append(dead, cn)
			}
		}
		p.idle = kept
	}
	c.mu.Unlock()
	closeAll(dead)
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

// body is an answer's body. Its Close gives the connection back if the answer
// was read to its end and the request was written whole.
type body struct {
	io.ReadCloser
	client   *Client
	conn     *conn
	stop     func() bool
	written  chan error
	reusable bool
	length   int64
	read     int64
	ended    bool
	failed   bool
}

// Read implements io.Reader. It returns an error that wraps ErrCut if the
// answer ended early.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	switch {
	case err == io.EOF && b.length >= 0 && b.read < b.length:
		b.failed = true
		return n, ErrCut
	case err == io.EOF:
		b.ended = true
	case err != nil:
		b.failed = true
		err = &cutError{err}
	}
	return n, err
}

// cutError is a failed read of a body.
type cutError struct{ cause error }

// Error implements error.
func (e *cutError) Error() string { return ErrCut.Error() + ": " + e.cause.Error() }

// Is makes errors.Is(err, ErrCut) true.
func (e *cutError) Is(target error) bool { return target == ErrCut }

// Unwrap returns the cause.
func (e *cutError) Unwrap() error { return e.cause }

// Close implements io.Closer.
func (b *body) Close() error {
	alive := b.stop()
	if alive && b.reusable && b.ended && !b.failed && b.wroteAll() && b.conn.reader.Buffered() == 0 {
		b.client.giveBack(b.conn)
		return nil
	}
	return b.conn.Conn.Close()
}

func (b *body) wroteAll() bool {
	select {
	case err := <-b.written:
		return err == nil
	default:
		return false
	}
}
