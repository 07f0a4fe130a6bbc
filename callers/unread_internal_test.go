package callers

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
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
	var done atomic.Bool
	for range spinning {
		go func() {
			for !done.Load() {
			}
		}()
	}
	return func() {
		done.Store(true)
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

// slowListener accepts a connection only after a pause, as a node does that is short of
// processor time.
type slowListener struct {
	*net.TCPListener
	pause time.Duration
}

// Accept implements net.Listener.
func (l slowListener) Accept() (net.Conn, error) {
	time.Sleep(l.pause)
	return l.TCPListener.Accept()
}

func TestStopAnswersRequestsOnConnectionsThatWereNotAccepted(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	s := startAnswering(t, slowListener{listener.(*net.TCPListener), 20 * time.Millisecond}, Options{})
	conns := connectMany(t, listener.Addr(), 20)
	for _, c := range conns {
		_, err := fmt.Fprint(c, unreadRequest)
		is.NoErr(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	is.NoErr(s.Stop(ctx, ctx))
	is.Equal(countUnanswered(t, conns), 0)
	_, err = net.Dial("tcp4", listener.Addr().String())
	is.True(err != nil) // The listener is closed in the end.
}

// Callers who connect without end do not keep a stop from ending.
func TestStopEndsWhileCallersGoOnConnecting(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	s := startAnswering(t, listener, Options{})
	stopped := make(chan struct{})
	go func() {
		for {
			select {
			case <-stopped:
				return
			default:
			}
			if c, err := net.Dial("tcp4", listener.Addr().String()); err == nil {
				_, _ = fmt.Fprint(c, unreadRequest) // The server may have closed it.
				time.AfterFunc(time.Second, func() { c.Close() })
			}
			time.Sleep(time.Millisecond)
		}
	}()
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	is.NoErr(s.Stop(ctx, ctx))
	close(stopped)
	is.True(time.Since(began) < 3*time.Second)
}

func TestConnectionWithAnUnreadRequestDoesNotGiveWay(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	s := NewServer(&http.Server{}, l, Options{MaxConns: 2})
	inUse, caller := newConnPair(t)
	idle, _ := newConnPair(t)
	now := time.Now()
	inUse.since, idle.since = now.Add(-3*yieldIdleTime), now.Add(-2*yieldIdleTime)
	inUse.used, idle.used = true, true
	s.conns[inUse], s.conns[idle] = struct{}{}, struct{}{}
	_, err = fmt.Fprint(caller, unreadRequest)
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	s.awaitRoom()
	_, kept := s.conns[inUse]
	is.True(kept)
	is.Equal(s.Len(), 1)
}
