package upstream_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/primrosemoor/primrosemoor/upstream"
)

func TestTargetThatReadsALongBodyLateIsNotCut(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	target := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(5 * time.Second) // Longer than the connection to a lost target lasts.
		if _, err := w.Write([]byte("answer")); err != nil {
			t.Error(err)
		}
	})}
	go target.Serve(l)
	t.Cleanup(func() { target.Close() })
	c := upstream.NewClient(upstream.NewDial(), func() {})
	r := &upstream.Request{Method: "POST", URI: "/x", Host: "h", Header: http.Header{}, Body: bytes.Repeat([]byte("x"), 1<<20), NewConn: true}
	resp, err := c.Send(t.Context(), upstream.Address{ID: "i-1", Host: l.Addr().String()}, r)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.NoErr(resp.Body.Close())
}

func TestConnectionDetectsALostTargetAgainAfterALongBody(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, echo)
	var dialed []net.Conn
	c := upstream.NewClient(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := upstream.NewDial()(ctx, network, address)
		dialed = append(dialed, conn)
		return conn, err
	}, func() {})
	t.Cleanup(c.CloseIdle)
	limited := func() bool {
		raw, err := dialed[0].(syscall.Conn).SyscallConn()
		is.NoErr(err)
		var timeout int
		is.NoErr(raw.Control(func(fd uintptr) { timeout, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }))
		is.NoErr(err)
		return timeout > 0
	}
	for i, size := range []int{1, 1 << 20, 1} {
		r := request(fmt.Sprint("id-", i))
		r.Body = bytes.Repeat([]byte("x"), size)
		resp, err := c.Send(t.Context(), target.address, r)
		is.NoErr(err)
		is.Equal(limited(), size == 1)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
	}
	is.Equal(len(dialed), 1)
}
