package peer_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

// serveEcho returns each message of a stream.
func serveEcho(_ context.Context, _ peer.Identity, s *peer.Stream) error {
	for {
		m := &schema.ForwardBody{}
		if err := s.Receive(m); err != nil {
			return err
		}
		if err := s.Send(m); err != nil {
			return err
		}
	}
}

func echo(s *peer.Stream) error {
	if err := s.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return err
	}
	if err := s.Send(&schema.ForwardBody{Data: []byte("x")}); err != nil {
		return err
	}
	return s.Receive(&schema.ForwardBody{})
}

func TestDisconnectCutsNoStreamThatIsOpen(t *testing.T) {
	is := is.New(t)
	connections := &atomic.Int32{}
	address := startServerOn(t, "c", func(l net.Listener) net.Listener { return &countingListener{l, connections} },
		func(s *peer.Server) { s.HandleStream(schema.Method_METHOD_FORWARD, serveEcho) })
	p := newPool(t, "c")
	open := func() *peer.Stream {
		s, err := p.OpenStream(t.Context(), address, schema.Method_METHOD_FORWARD)
		is.NoErr(err)
		t.Cleanup(func() { s.Close() })
		return s
	}
	first := open()
	is.NoErr(echo(first))
	p.Disconnect(address)
	is.NoErr(echo(first))
	second := open()
	is.NoErr(echo(second))
	is.Equal(connections.Load(), int32(2))
	p.Close()
	is.True(echo(first) != nil)
	is.True(echo(second) != nil)
}

func TestDisconnectedSessionIsClosedOnceItsStreamsHaveEnded(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	address := startServerOn(t, "c", func(l net.Listener) net.Listener { return &closeListener{l, ended} },
		func(s *peer.Server) { s.HandleStream(schema.Method_METHOD_FORWARD, serveEcho) })
	p := newPool(t, "c")
	stream, err := p.OpenStream(t.Context(), address, schema.Method_METHOD_FORWARD)
	is.NoErr(err)
	is.NoErr(echo(stream))
	p.Disconnect(address)
	is.NoErr(stream.Close())
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection stays open")
	}
}

// countingListener counts the connections that it accepts.
type countingListener struct {
	net.Listener
	accepted *atomic.Int32
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return c, err
}

// closeListener accepts one connection and closes ended when that is closed.
type closeListener struct {
	net.Listener
	ended chan struct{}
}

func (l *closeListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &closingConn{Conn: c, ended: l.ended}, nil
}

type closingConn struct {
	net.Conn
	once  sync.Once
	ended chan struct{}
}

func (c *closingConn) Close() error {
	c.once.Do(func() { close(c.ended) })
	return c.Conn.Close()
}
