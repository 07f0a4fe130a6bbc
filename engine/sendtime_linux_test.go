package engine

import (
	"net"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

func TestConnectionsDetectUnreachableTargets(t *testing.T) {
	is := is.New(t)
	target := newDisconnectingTarget(t)
	c := NewClient(Options{})
	defer c.Close()
	conn, err := c.transport.DialContext(t.Context(), "tcp", target.listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	raw, err := conn.(*trackedConn).Conn.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Control(func(fd uintptr) {
		for option, want := range map[int]int{
			unix.TCP_USER_TIMEOUT: 15000,
			unix.TCP_KEEPIDLE:     5,
			unix.TCP_KEEPINTVL:    5,
			unix.TCP_KEEPCNT:      3,
		} {
			got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
			is.NoErr(err)
			is.Equal(got, want)
		}
	}))
}
