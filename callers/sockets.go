package callers

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// trackingListener accepts connections of a server.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.server.awaitRoom()
	now := time.Now()
	c := &conn{Conn: nc, accepted: now, since: now}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.conns[c] = struct{}{}
	return c, nil
}

// hasPending reports whether a connection waits to be accepted.
func (l *trackingListener) hasPending() bool {
	pending := 0
	ok := control(l.Listener, func(fd int) {
		pending, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return ok && pending > 0
}

// hasInput reports whether bytes have come on a connection that were not read yet, as after
// the node stood still.
func hasInput(c net.Conn) bool {
	var b [1]byte
	n := 0
	ok := control(c, func(fd int) {
		n, _, _ = unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return ok && n > 0
}

// readSocket reads from a connection. Each attempt to read is made by a function that it passes
// to around, which returns the bytes read.
func readSocket(c net.Conn, p []byte, around func(read func() int)) (int, error) {
	socket, ok := c.(syscall.Conn)
	if !ok || len(p) == 0 {
		return c.Read(p)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	n := 0
	var readErr error
	err = raw.Read(func(fd uintptr) (done bool) {
		around(func() int {
			n, readErr = unix.Read(int(fd), p)
			for errors.Is(readErr, unix.EINTR) {
				n, readErr = unix.Read(int(fd), p)
			}
			return n
		})
		return !errors.Is(readErr, unix.EAGAIN)
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", readErr)}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// control calls look with the descriptor of a socket, and reports whether it could. Unlike a
// read or an accept, look does not wait for one that is under way.
func control(socket any, look func(fd int)) bool {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Control(func(fd uintptr) { look(int(fd)) }) == nil
}
