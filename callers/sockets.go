package callers

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// trackingListener accepts connections of a server.
type trackingListener struct {
	net.Listener
	server *Server
	// released is set when Accept is to return.
	released atomic.Bool
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil && l.released.Load() {
		return nil, net.ErrClosed
	}
	if err != nil {
		return nil, err
	}
	l.server.awaitRoom()
	return l.server.track(nc), nil
}

// Close implements net.Listener. The HTTP server closes its listener when Accept fails, which
// is too early after release.
func (l *trackingListener) Close() error {
	if l.released.Load() {
		return nil
	}
	return l.Listener.Close()
}

// release makes Accept return, also while it waits, and leaves connections that are not
// accepted yet.
func (l *trackingListener) release() {
	l.released.Store(true)
	l.setDeadline(time.Now())
}

func (l *trackingListener) setDeadline(t time.Time) {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = d.SetDeadline(t) // It fails only if the listener is closed.
	}
}

// acceptPending accepts the connections that wait, in one go: until none is left, nothing else
// is done with them.
func (l *trackingListener) acceptPending() (conns []net.Conn) {
	l.setDeadline(time.Time{})
	for l.hasPending() {
		nc, err := l.Listener.Accept()
		if err != nil {
			break
		}
		conns = append(conns, l.server.track(nc))
	}
	return conns
}

// hasPending reports whether a connection waits to be accepted.
func (l *trackingListener) hasPending() bool {
	pending := 0
	ok := control(l.Listener, func(fd int) {
		pending, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return ok && pending > 0
}

// acceptedConns is a listener that returns connections which were accepted before.
type acceptedConns struct {
	net.Listener
	conns []net.Conn
}

// Accept implements net.Listener.
func (l *acceptedConns) Accept() (net.Conn, error) {
	if len(l.conns) == 0 {
		return nil, net.ErrClosed
	}
	c := l.conns[0]
	l.conns = l.conns[1:]
	return c, nil
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
	if len(p) == 0 {
		return c.Read(p)
	}
	return attemptReads(c, p, func(fd int) (n int, err error) {
		around(func() int {
			n, err = readDescriptor(fd, p)
			return n
		})
		return n, err
	})
}

// attemptReads reads from a connection by a function that is called whenever it may be
// readable, or into p if the connection has no descriptor.
func attemptReads(c net.Conn, p []byte, attempt func(fd int) (int, error)) (int, error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return c.Read(p)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	n := 0
	var readErr error
	err = raw.Read(func(fd uintptr) (done bool) {
		n, readErr = attempt(int(fd))
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

// readDescriptor reads once, and again if a signal has interrupted it.
func readDescriptor(fd int, p []byte) (int, error) {
	for {
		n, err := unix.Read(fd, p)
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}

// discardBuffers are in use only while there is something to discard.
var discardBuffers = sync.Pool{New: func() any { return new([4 << 10]byte) }}

// discardSocket waits until bytes come on a connection, and discards some of them.
func discardSocket(c net.Conn) (int, error) {
	return attemptReads(c, make([]byte, 1), func(fd int) (int, error) {
		buffer := discardBuffers.Get().(*[4 << 10]byte)
		defer discardBuffers.Put(buffer)
		return readDescriptor(fd, buffer[:])
	})
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
