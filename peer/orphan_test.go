package peer_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

// openListener counts the connections that are open.
type openListener struct {
	net.Listener
	open *atomic.Int32
}

func (l *openListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &openConn{Conn: c, open: l.open}, nil
}

type openConn struct {
	net.Conn
	once sync.Once
	open *atomic.Int32
}

func (c *openConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// A call that had got a connection dialed for it after it was given up, and nothing closed the
// session.
func TestClosedPoolHasNoConnectionsAfterDisconnectsBesideCalls(t *testing.T) {
	is := is.New(t)
	open := &atomic.Int32{}
	address := startServerOn(t, "c", func(l net.Listener) net.Listener { return &openListener{l, open} },
		func(s *peer.Server) { s.HandleStream(schema.Method_METHOD_FORWARD, serveEcho) })
	p := newPool(t, "c")
	end := time.Now().Add(2 * time.Second)
	var running sync.WaitGroup
	for range 16 {
		running.Go(func() {
			for time.Now().Before(end) {
				s, err := p.OpenStream(t.Context(), address, schema.Method_METHOD_FORWARD)
				if err != nil {
					continue
				}
				_ = echo(s)
				s.Close()
			}
		})
	}
	for range 2 {
		running.Go(func() {
			for time.Now().Before(end) {
				p.Disconnect(address)
			}
		})
	}
	running.Wait()
	p.Close()
	for deadline := time.Now().Add(3 * time.Second); open.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(open.Load(), int32(0))
}
