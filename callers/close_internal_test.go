package callers

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A connection that was closed at the moment at which bytes came on it was closed forever, with
// the lock of the server held: its reader waited for the lock of the connection, and the close
// for its reader. The node then served nobody.
func TestConnectionIsClosedWhileBytesAreRead(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	s := NewServer(&http.Server{}, l, Options{})
	caller, err := net.Dial("tcp4", l.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	nc, err := l.Accept()
	is.NoErr(err)
	c := s.track(nc).(*conn)
	read, closed := make(chan int, 1), make(chan struct{})
	go func() {
		n, _ := c.Read(make([]byte, 8)) // Its error is that of a closed connection.
		read <- n
	}()
	go func() {
		defer close(closed)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.closeIf(c, func() Reason {
			_, _ = fmt.Fprint(caller, "P")
			time.Sleep(50 * time.Millisecond) // The reader waits for the lock.
			return ReasonIdle
		})
	}()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the close has not ended")
	}
	is.Equal(<-read, 0) // What has come since the decision is not taken for a request.
}
