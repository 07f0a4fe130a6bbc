package callers

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// lingerTime and lingerBytes bound what is read of a request after its answer, so that
	// its caller, who may still be writing, reads the answer: a reset would discard it. They
	// allow for a body of the default limit, 16 MiB, and for 4 MiB at 400 KiB/s.
	lingerTime  = 10 * time.Second
	lingerBytes = 16 << 20
	// stopLingerTime is how long a planned stop waits for such callers.
	stopLingerTime = time.Second
)

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// recordRequests sets the handler of the HTTP server to one that records at the connection
// whether the body of its request has come whole.
func (s *Server) recordRequests() {
	handler, connContext := s.server.Handler, s.server.ConnContext
	if handler == nil {
		handler = http.DefaultServeMux
	}
	s.server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, nc)
		}
		return context.WithValue(ctx, connKey{}, nc)
	}
	s.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			hasBody := r.Body != nil && r.Body != http.NoBody
			if c.beginRequest(r, hasBody) {
				s.shedHeads()
			}
			if hasBody {
				r = r.WithContext(r.Context())
				r.Body = &recordedBody{r.Body, c}
			}
		}
		handler.ServeHTTP(w, r)
	})
}

// beginRequest records that the head of a request was read, and reports whether the heads of
// all take too much now.
func (c *conn) beginRequest(r *http.Request, hasBody bool) (exceeded bool) {
	cost := requestHeadCost(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled, c.bodyOpen = true, hasBody
	c.arrived.begin(r, c.headBytes, c.headLines)
	c.charge(cost)
	return c.charged > 0 && c.heads.exceeded()
}

// recordedBody records the end of a body at its connection.
type recordedBody struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *recordedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.conn.mu.Lock()
		b.conn.bodyOpen = false
		b.conn.mu.Unlock()
	}
	return n, err
}

// CloseWrite ends what is sent to the caller. net/http calls it before it closes a connection
// whose caller may still be sending.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. If the caller has got an answer to a request that has not come
// whole, the connection is closed once the rest was read, within bounds.
func (c *conn) Close() error {
	c.mu.Lock()
	linger := !c.gone && !c.lingering && c.server != nil && c.active && c.written && (c.bodyOpen || !c.handled)
	if linger {
		c.lingering, c.lingeringSince = true, time.Now()
		c.charge(0)
	}
	c.mu.Unlock()
	if !linger {
		return c.Conn.Close()
	}
	go c.drain()
	return nil
}

// drain discards what the caller still sends, and closes the connection.
func (c *conn) drain() {
	defer c.server.forgetClosed(c)
	defer c.Conn.Close()
	if c.CloseWrite() != nil || c.SetDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	for left := lingerBytes; left > 0; {
		n, err := discardSocket(c.Conn)
		if err != nil {
			return
		}
		left -= n
	}
}

// lingered returns for how long the connection has lingered, and whether it does.
func (c *conn) lingered(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.lingeringSince), c.lingering
}
