package relay_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/standin/relay"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func TestCutBlocksResponsesToOneSource(t *testing.T) {
	is := is.New(t)
	echo := listen(t)
	go func() {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return
			}
			go io.Copy(conn, conn)
		}
	}()
	listener := listen(t)
	address := listener.Addr().String()
	r := relay.New()
	go r.Serve(t.Context(), listener, relay.Route{Listen: address, Forward: echo.Addr().String()})
	dial := func(source string) net.Conn {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
		conn, err := d.Dial("tcp", address)
		is.NoErr(err)
		return conn
	}
	cut, uncut := dial("127.0.3.1"), dial("127.0.3.2")
	r.Cut(relay.Link{Source: "127.0.3.1", Direction: relay.DirectionOut})
	for _, conn := range []net.Conn{cut, uncut} {
		_, err := conn.Write([]byte("hello\n"))
		is.NoErr(err)
	}
	line, err := bufio.NewReader(uncut).ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "hello\n")
	is.NoErr(cut.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
	_, err = cut.Read(make([]byte, 1))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	r.Heal(relay.Link{})
	is.NoErr(cut.SetReadDeadline(time.Now().Add(10 * time.Second)))
	line, err = bufio.NewReader(cut).ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "hello\n")
}
