package callers

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
)

const unreadRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// startAnswering starts a server that answers each request and closes its connection.
func startAnswering(t *testing.T, listener net.Listener, options Options) *Server {
	t.Helper()
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })
	s := NewServer(&http.Server{Handler: handler}, listener, options)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = s.Serve() // The test ends it.
	}()
	t.Cleanup(func() {
		s.server.Close()
		<-served
	})
	return s
}

// connectMany opens connections.
func connectMany(t *testing.T, to net.Addr, n int) (conns []net.Conn) {
	t.Helper()
	is := is.New(t)
	for range n {
		c, err := net.Dial("tcp4", to.String())
		is.NoErr(err)
		t.Cleanup(func() { c.Close() })
		conns = append(conns, c)
	}
	return conns
}

// countUnanswered returns how many callers get no answer.
func countUnanswered(t *testing.T, conns []net.Conn) (unanswered int) {
	t.Helper()
	is := is.New(t)
	for _, c := range conns {
		is.NoErr(c.SetReadDeadline(time.Now().Add(2 * time.Second)))
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			unanswered++
		}
	}
	return unanswered
}

// starve leaves the goroutines of the test little of the processor until it is stopped.
func starve() (stop func()) {
	const spinning = 60
	before := runtime.GOMAXPROCS(1)
	done := make(chan struct{})
	for range spinning {
		go func() {
			for {
				select {
				case <-done:
					return
				default:
				}
			}
		}()
	}
	return func() {
		close(done)
		runtime.GOMAXPROCS(before)
	}
}

func TestStopAnswersRequestsThatLieUnread(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	s := startAnswering(t, listener, Options{})
	conns := connectMany(t, listener.Addr(), 40)
	for s.Len() < len(conns) {
		time.Sleep(time.Millisecond)
	}
	s.mu.Lock()
	for c := range s.conns {
		c.setActive(false) // As after an answer.
	}
	s.mu.Unlock()
	stopStarving := starve()
	for _, c := range conns {
		_, err := fmt.Fprint(c, unreadRequest)
		is.NoErr(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	is.NoErr(s.Stop(ctx, ctx))
	stopStarving()
	is.Equal(countUnanswered(t, conns), 0)
}
