package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	pool   *pool
	reader *bufio.Reader
	// used counts the answers read so far.
	used int
	// idleSince and idleFor say when the connection was put back and how long
	// it may be kept.
	idleSince time.Time
	idleFor   time.Duration
	// rested is how long the connection was idle before its present request.
	rested time.Duration
}

func dial(ctx context.Context, dialer *net.Dialer, p *pool) (*conn, error) {
	c, err := dialer.DialContext(ctx, "tcp4", p.address.Host)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, pool: p, reader: bufio.NewReaderSize(c, readBuffer), idleFor: defaultIdle}, nil
}

// newDialer returns a dialer whose connections notice a path that was cut.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			return errors.Join(err, failed)
		},
	}
}

// quiet reports whether nothing has arrived since the last answer. Bytes that
// belong to no request, and the target's own close, make it false.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	var b [1]byte
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// write sends the request in one piece.
func (c *conn) write(r *Request) error {
	var b bytes.Buffer
	b.Grow(writeBuffer + len(r.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	if err := r.Header.Write(&b); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	_, err := c.Conn.Write(b.Bytes())
	return err
}

// read returns the answer that belongs to the request. Answers to earlier
// requests that come first are skipped, and stray is true then.
func (c *conn) read(r *Request, asked *http.Request) (resp *http.Response, stray bool, err error) {
	for range maxStray {
		resp, err = http.ReadResponse(c.reader, asked)
		if err != nil {
			return nil, stray, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Belongs == nil || r.Belongs(resp.Header) {
			return resp, stray, nil
		}
		stray = true
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, strayBytes)); err != nil {
			return nil, stray, err
		}
	}
	return nil, stray, errStray
}

// keepFor reads the time that the target keeps an idle connection open.
func keepFor(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil && seconds >= 0 {
			return time.Duration(float64(seconds) * idleShare * float64(time.Second))
		}
	}
	return defaultIdle
}

// isReset reports whether the other side ended the connection.
func isReset(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
