package upstream_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/primrosemoor/primrosemoor/upstream"
)

const (
	// unreadTime is how long a sound target leaves a body unread here.
	unreadTime = 9 * time.Second
	// longBody exceeds the buffers of both sockets.
	longBody = 32 << 20
	// pathFoundTime is within what a failed path is found: the time of bytes without an
	// acknowledgement, and some for a busy machine.
	pathFoundTime = 7 * time.Second
)

func longRequest(id string) *upstream.Request {
	r := request(id)
	r.Body = []byte(strings.Repeat("x", longBody))
	return r
}

func TestTargetThatReadsALongBodyLateIsNotCut(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	target := startTarget(t, func(conn *targetConn) {
		time.Sleep(unreadTime)
		if r, body, err := conn.request(); err == nil && len(body) == longBody {
			conn.write(response(r.Header.Get("Id"), "late"))
		}
	})
	resp, err := newClient(t).Send(t.Context(), target.address, longRequest("1"))
	is.NoErr(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "late")
}

func TestTargetThatAnswersBeforeItReadsALongBodyIsNotCut(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	rest := make(chan int, 1)
	target := startTarget(t, func(conn *targetConn) {
		r, err := http.ReadRequest(conn.reader)
		if err != nil {
			return
		}
		conn.write("HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nTransfer-Encoding: chunked\r\n\r\n")
		for began := time.Now(); time.Since(began) < unreadTime; time.Sleep(100 * time.Millisecond) {
			conn.write("2\r\nab\r\n")
		}
		body, _ := io.ReadAll(r.Body)
		rest <- len(body)
		conn.write("0\r\n\r\n")
	})
	resp, err := newClient(t).Send(t.Context(), target.address, longRequest("1"))
	is.NoErr(err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, bufio.NewReader(resp.Body))
	is.NoErr(err)
	is.Equal(<-rest, longBody)
}

// dropAll makes the kernel drop all that arrives on a connection, as a failed path does.
func dropAll(c net.Conn) error {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	filter := unix.SockFprog{Len: 1, Filter: &unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}}
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &filter)
	})
	return errors.Join(err, sockErr)
}

func TestPathThatFailsBesideALongBodyIsFound(t *testing.T) {
	for name, after := range map[string]time.Duration{"at once": 0, "while the target reads nothing": 2 * time.Second, "long after it stopped reading": 9 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			failed := make(chan time.Time, 1)
			target := startTarget(t, func(conn *targetConn) {
				time.Sleep(after)
				if err := dropAll(conn.Conn); err != nil {
					t.Error(err)
				}
				failed <- time.Now()
				<-t.Context().Done()
			})
			_, err := newClient(t).Send(t.Context(), target.address, longRequest("1"))
			is.True(err != nil)
			is.True(time.Since(<-failed) < pathFoundTime)
		})
	}
}
