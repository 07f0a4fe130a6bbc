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
	raw    syscall.RawConn
	pool   *pool
	reader *bufio.Reader
	// head bounds the bytes that are read while a head is expected.
	head *headLimiter
	// responses counts the responses read so far.
	responses int
	// idleSince is when the connection became idle, maxIdle how long it may stay
	// idle.
	idleSince time.Time
	maxIdle   time.Duration
	// idleTime is how long the connection was idle before its current request.
	idleTime time.Duration
}

func connect(ctx context.Context, dial DialFunc, p *pool) (*conn, error) {
	c, err := dial(ctx, "tcp4", p.address.Host)
	if err != nil {
		return nil, err
	}
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return nil, errors.Join(err, c.Close())
	}
	head := &headLimiter{source: c}
	return &conn{Conn: c, raw: raw, pool: p, reader: bufio.NewReaderSize(head, readBufferBytes), head: head, maxIdle: defaultMaxIdle}, nil
}

// headLimiter reads from a connection. While a limit is set, it returns errHeadTooLarge
// once that many bytes were read.
type headLimiter struct {
	source    io.Reader
	limited   bool
	remaining int
}

func (h *headLimiter) setLimit(n int) { h.limited, h.remaining = true, n }
func (h *headLimiter) unsetLimit()    { h.limited = false }

// Read implements io.Reader.
func (h *headLimiter) Read(p []byte) (int, error) {
	if !h.limited {
		return h.source.Read(p)
	}
	if h.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := h.source.Read(p[:min(len(p), h.remaining)])
	h.remaining -= n
	return n, err
}

// NewDial returns a function that opens connections which detect a network path that has
// failed.
func NewDial() DialFunc {
	return (&net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUnackedLimit(raw, unackedTimeout)
		},
	}).DialContext
}

// noPendingInput reports whether nothing has arrived since the last response. It is
// false after unsolicited bytes and after the target has closed the connection.
func (c *conn) noPendingInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	var b [1]byte
	empty := false
	err := c.raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}

// write sends the request, a short one in a single write. A long body is not copied.
func (c *conn) write(r *Request) error {
	var b bytes.Buffer
	b.Grow(writeBufferBytes + min(len(r.Body), maxCopiedBytes))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	if err := r.Header.Write(&b); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	copied := min(len(r.Body), maxCopiedBytes)
	b.Write(r.Body[:copied])
	if _, err := c.Conn.Write(b.Bytes()); err != nil || copied == len(r.Body) {
		return err
	}
	_, err := c.Conn.Write(r.Body[copied:])
	return err
}

// read returns the response that matches the request. It skips informational (1xx)
// responses, and responses to earlier requests; mismatched reports the latter.
func (c *conn) read(r *Request, httpReq *http.Request) (resp *http.Response, mismatched bool, err error) {
	for range maxMismatched {
		c.head.setLimit(maxHeadBytes)
		resp, err = http.ReadResponse(c.reader, httpReq)
		c.head.unsetLimit()
		if err != nil {
			return nil, mismatched, err
		}
		if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
			return nil, mismatched, fmt.Errorf("%w: %03d", errInvalidStatus, resp.StatusCode)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches == nil || r.Matches(resp.Header) {
			return resp, mismatched, nil
		}
		mismatched = true
		if r.Method == http.MethodHead {
			// Whether a body follows depends on the request that the response belongs to.
			return nil, mismatched, errMismatched
		}
		switch _, err := io.CopyN(io.Discard, resp.Body, maxMismatchedBytes); {
		case err == nil:
			return nil, mismatched, errMismatched
		case !errors.Is(err, io.EOF):
			return nil, mismatched, err
		}
	}
	return nil, mismatched, errMismatched
}

// keepAliveTimeout returns how long the connection may stay idle: keepAliveShare of
// the timeout in the Keep-Alive header, or defaultMaxIdle without one.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil && seconds >= 0 {
			return time.Duration(float64(seconds) * keepAliveShare * float64(time.Second))
		}
	}
	return defaultMaxIdle
}

// IsPeerClosed reports whether an error means that the peer closed or reset the
// connection.
func IsPeerClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
