package callers

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// What has come while the node stood still is read before a limit counts.
func TestConnectionWithInputThatWaitsToBeReadExceedsNoLimit(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	caller, err := net.Dial("tcp4", l.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	accepted, err := l.Accept()
	is.NoErr(err)
	defer accepted.Close()
	now := time.Now()
	c := &conn{Conn: accepted, since: now.Add(-time.Minute)}
	limits := Waits{Idle: time.Second, Head: time.Second}
	is.Equal(c.exceeded(limits, now), BoundIdle)
	_, err = caller.Write([]byte("P"))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	is.Equal(c.exceeded(limits, now), Bound(""))
	c.partial = true
	is.Equal(c.exceeded(limits, now), Bound(""))
}
