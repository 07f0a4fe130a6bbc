package engine

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// disconnectingTarget answers the first request of each connection. It reads the
// second and closes the connection without a response.
type disconnectingTarget struct {
	listener net.Listener
	// received gets the id of each request.
	received chan string
}

func newDisconnectingTarget(t *testing.T) *disconnectingTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := &disconnectingTarget{listener: listener, received: make(chan string, 16)}
	go target.serve()
	t.Cleanup(func() { listener.Close() })
	return target
}

func (d *disconnectingTarget) serve() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.serveConn(conn)
	}
}

func (d *disconnectingTarget) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		d.received <- req.Header.Get(HeaderRequestID)
		if !first {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func callOnce(t *testing.T, c *Client, address, id, method string, body []byte) error {
	t.Helper()
	header := http.Header{"Idempotency-Key": {"k"}}
	resp, err := c.CallPlain(t.Context(), PlainCall{Address: address, RequestID: id, Method: method,
		Path: "/x", Header: header, Body: body})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err
}

func TestRequestIsNotRetriedOnAClosedKeepAliveConnection(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "DELETE", "POST", "PUT"} {
		for _, body := range []string{"", "content"} {
			t.Run(method+" "+body, func(t *testing.T) {
				is := is.New(t)
				target := newDisconnectingTarget(t)
				c := NewClient(Options{})
				defer c.Close()
				address := target.listener.Addr().String()
				is.NoErr(callOnce(t, c, address, "first", "POST", []byte("warm up")))
				is.Equal(<-target.received, "first")
				err := callOnce(t, c, address, "second", method, []byte(body))
				var sendErr *SendError
				is.True(errors.As(err, &sendErr))
				is.True(sendErr.Sent)
				is.Equal(<-target.received, "second")
				is.NoErr(callOnce(t, c, address, "third", "POST", []byte("x")))
				is.Equal(<-target.received, "third") // The second request was received only once.
			})
		}
	}
}

func TestRefusedConnectionReportsNothingSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	err = callOnce(t, NewClient(Options{}), address, "id", "POST", []byte("x"))
	var sendErr *SendError
	is.True(errors.As(err, &sendErr))
	is.True(!sendErr.Sent)
}

func TestRequestPastNotAfterIsNotSent(t *testing.T) {
	is := is.New(t)
	target := newDisconnectingTarget(t)
	c := NewClient(Options{})
	defer c.Close()
	call := ChatCall{Address: target.listener.Addr().String(), RequestID: "late", Body: []byte("{}"),
		NotAfter: time.Now().Add(-time.Nanosecond)}
	_, err := c.StartChat(t.Context(), call)
	var sendErr *SendError
	is.True(errors.As(err, &sendErr))
	is.True(!sendErr.Sent)
	is.True(errors.Is(err, ErrExpired))
	is.NoErr(callOnce(t, c, call.Address, "next", "GET", nil))
	is.Equal(<-target.received, "next")
}

func TestSealedConnectionRejectsWrites(t *testing.T) {
	is := is.New(t)
	left, right := net.Pipe()
	defer right.Close()
	conn := &trackedConn{Conn: left}
	written, _ := conn.seal()
	is.Equal(written, int64(0))
	_, err := conn.Write([]byte("late"))
	is.True(errors.Is(err, errSealed))
}

func TestConnectionsUseTheSourceAddress(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		c := NewClient(Options{SourceAddress: "127.0.0.9"})
		_, _ = c.StartChat(ctx, ChatCall{Address: listener.Addr().String(), RequestID: "id", Body: []byte("{}")})
	}()
	conn, err := listener.Accept()
	is.NoErr(err)
	defer conn.Close()
	is.Equal(conn.RemoteAddr().(*net.TCPAddr).IP.String(), "127.0.0.9")
}
