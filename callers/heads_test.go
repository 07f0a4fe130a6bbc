package callers_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/callers"
)

// startEchoing starts a server that answers with the body of each request, also if callers
// break off.
func startEchoing(t *testing.T, options callers.Options) (*callers.Server, net.Addr) {
	t.Helper()
	return startHandler(t, options, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_, _ = w.Write(body) // The caller may have left.
	})
}

func startHandler(t *testing.T, options callers.Options, handle http.HandlerFunc) (*callers.Server, net.Addr) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handle}
	s := callers.NewServer(server, l, options)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = s.Serve() // The test ends it.
	}()
	t.Cleanup(func() {
		server.Close()
		<-served
	})
	return s, l.Addr()
}

// beginHead sends so much of a head, which does not end.
func beginHead(t *testing.T, to net.Addr, bytes int) *caller {
	t.Helper()
	c := connect(t, to)
	if _, err := fmt.Fprint(c, head, "Long: ", strings.Repeat("x", bytes)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond) // The bytes arrive.
	return c
}

func waitUntil(t *testing.T, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not within 5 s")
		}
	}
}

// Heads that stop before their end took memory without a bound. The one that takes most and has
// taken it for longest gives way, and small ones never do.
func TestHeadsThatTakeMostForLongestGiveWay(t *testing.T) {
	is := is.New(t)
	s, to := startEchoing(t, callers.Options{HeadBytes: 400 << 10})
	small := beginHead(t, to, 0)
	older, newer := beginHead(t, to, 20<<10), beginHead(t, to, 20<<10)
	large := beginHead(t, to, 60<<10)
	last := beginHead(t, to, 60<<10)
	is.True(large.isClosed(t, time.Second))
	for _, c := range []*caller{small, newer, last} {
		is.True(!c.isClosed(t, 50*time.Millisecond))
	}
	connect(t, to).ask(t)
	is.NoErr(small.SetDeadline(time.Now().Add(5 * time.Second)))
	fmt.Fprint(small, "\r\n\r\nbody")
	got, err := small.answer()
	is.NoErr(err)
	is.Equal(got, "body")
	for _, c := range []*caller{older, newer, last} {
		c.Close()
	}
	waitUntil(t, func() bool { return s.HeadBytesUsed() == 0 })
}

// Fields cost more than their bytes, also those of a head that is whole, until its request ends.
func TestHeadsOfManyFieldsGiveWay(t *testing.T) {
	is := is.New(t)
	s, to := startEchoing(t, callers.Options{HeadBytes: 500 << 10})
	fields := strings.Repeat("a:\r\n", 1500)
	var conns []*caller
	for range 4 {
		c := connect(t, to)
		fmt.Fprint(c, head, fields, "\r\nbod")
		time.Sleep(100 * time.Millisecond)
		conns = append(conns, c)
	}
	is.True(s.HeadBytesUsed() > 0)
	is.True(s.HeadBytesUsed() <= 500<<10)
	is.True(conns[0].isClosed(t, time.Second))
	whole := conns[len(conns)-1]
	fmt.Fprint(whole, "y")
	got, err := whole.answer()
	is.NoErr(err)
	is.Equal(got, "body")
	whole.Close()
	for _, c := range conns {
		c.Close()
	}
	waitUntil(t, func() bool { return s.HeadBytesUsed() == 0 })
}

// Callers that took all connections and did not end their requests kept all others out.
func TestUnfinishedRequestsGiveWayToNewConnections(t *testing.T) {
	for name, sent := range map[string]string{"head": head, "body": head + "\r\nbod"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, to := startEchoing(t, callers.Options{MaxConns: 2})
			var held []*caller
			for range 2 {
				c := connect(t, to)
				fmt.Fprint(c, sent)
				time.Sleep(50 * time.Millisecond)
				held = append(held, c)
			}
			connect(t, to).ask(t)
			is.True(held[0].isClosed(t, time.Second))
			is.True(!held[1].isClosed(t, 50*time.Millisecond))
		})
	}
}

// refuse is a handler that refuses requests and does not read their bodies.
func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// A caller that was refused while it still sent its body lost the refusal to a reset.
func TestRefusedCallerMaySendItsBodyToItsEnd(t *testing.T) {
	is := is.New(t)
	s, to := startHandler(t, callers.Options{}, refuse)
	c := connect(t, to)
	const pieces, piece = 12, 512 << 10
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", pieces*piece)
	for range pieces {
		_, err := c.Write(make([]byte, piece))
		is.NoErr(err)
		time.Sleep(100 * time.Millisecond)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	c.Close()
	waitUntil(t, func() bool { return s.Len() == 0 })
}

// A refused caller that sends without end, or stays, is not waited for without end.
func TestRefusedCallerIsReadForABoundedTime(t *testing.T) {
	is := is.New(t)
	s, to := startHandler(t, callers.Options{}, refuse)
	endless, stays := connect(t, to), connect(t, to)
	for _, c := range []*caller{endless, stays} {
		fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000\r\n\r\nx")
	}
	sent, err := io.Copy(endless.Conn, io.LimitReader(zeros{}, 200<<20))
	is.True(err != nil)
	t.Logf("%d MiB sent", sent>>20)
	is.True(!stays.isClosedForWrites())
	is.NoErr(<-stop(s, 5*time.Second, 5*time.Second)) // It does not wait for the other one for long.
}

// zeros is a reader without end.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// isClosedForWrites reports whether the server resets what the caller sends.
func (c *caller) isClosedForWrites() bool {
	for range 2 {
		if _, err := c.Write([]byte("x")); err != nil {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
