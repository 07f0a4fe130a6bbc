package callers

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newConnPair returns a connection as the server has it, and its caller's end.
func newConnPair(t *testing.T) (*conn, net.Conn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	caller, err := net.Dial("tcp4", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { caller.Close() })
	accepted, err := l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { accepted.Close() })
	return &conn{Conn: accepted}, caller
}

// What has come while the node stood still is read before a limit counts.
func TestConnectionWithInputThatWaitsToBeReadExceedsNoLimit(t *testing.T) {
	is := is.New(t)
	c, caller := newConnPair(t)
	now := time.Now()
	c.since = now.Add(-time.Minute)
	limits := Waits{Idle: time.Second, Head: time.Second}
	is.Equal(c.exceeded(limits, now), ReasonIdle)
	_, err := caller.Write([]byte("P"))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	is.Equal(c.exceeded(limits, now), Reason(""))
	c.partial = true
	is.Equal(c.exceeded(limits, now), Reason(""))
}

// What may cost a caller its answer is told of each connection that is closed.
func TestClosedConnectionIsDescribed(t *testing.T) {
	is := is.New(t)
	c, caller := newConnPair(t)
	closed := c.describe(ReasonStop, time.Now())
	is.Equal(closed.Reason, ReasonStop)
	is.True(!closed.Unread && !closed.Begun && !closed.Active)
	_, err := caller.Write([]byte("PO"))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	is.True(c.describe(ReasonStop, time.Now()).Unread)
	_, err = c.Read(make([]byte, 8))
	is.NoErr(err)
	closed = c.describe(ReasonStop, time.Now())
	is.True(!closed.Unread && closed.Begun)
	c.setActive(true)
	closed = c.describe(ReasonCut, time.Now())
	is.True(closed.Active && !closed.Begun)
}
