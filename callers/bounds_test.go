package callers_test

import (
	"bufio"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/callers"
)

const request = head + "\r\nbody"

// isClosed reports whether the server closes the connection within a time.
func (c *caller) isClosed(t *testing.T, within time.Duration) bool {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(within)); err != nil {
		t.Fatal(err)
	}
	_, err := c.reader.ReadByte()
	timeout, ok := err.(interface{ Timeout() bool })
	return err != nil && !(ok && timeout.Timeout())
}

func (c *caller) ask(t *testing.T) {
	t.Helper()
	is := is.New(t)
	_, err := fmt.Fprint(c, request)
	is.NoErr(err)
	_, err = c.answer()
	is.NoErr(err)
}

func waits(idle, head time.Duration) func() callers.Waits {
	return func() callers.Waits { return callers.Waits{Idle: idle, Head: head} }
}

// An operator's limits of idle connections and of heads hold; no connection is closed before
// four fifths of its limit, for so long callers use it.
func TestConnectionsThatWaitTooLongAreClosed(t *testing.T) {
	const idle, head = 2 * time.Second, time.Second
	var closed [2]atomic.Int64
	_, to := startServerWith(t, 0, callers.Options{Waits: waits(idle, head), Closed: func(c callers.Closed) {
		if c.Reason == callers.ReasonIdle {
			closed[0].Add(1)
		} else {
			closed[1].Add(1)
		}
	}})
	t.Run("between requests", func(t *testing.T) {
		is := is.New(t)
		c := connect(t, to)
		for range 2 {
			c.ask(t)
			time.Sleep(idle * 4 / 5)
		}
		c.ask(t)
		is.True(c.isClosed(t, 2*idle))
	})
	t.Run("before the first request", func(t *testing.T) {
		is := is.New(t)
		is.True(connect(t, to).isClosed(t, 2*idle))
	})
	t.Run("within a head that drips", func(t *testing.T) {
		is := is.New(t)
		c := connect(t, to)
		go func() {
			for _, b := range []byte(request) {
				if _, err := c.Write([]byte{b}); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
		is.True(c.isClosed(t, 2*head))
	})
	is := is.New(t)
	is.Equal(closed[0].Load(), int64(2))
	is.Equal(closed[1].Load(), int64(1))
}

func TestRequestsThatTakeLongerThanTheLimitsAreAnswered(t *testing.T) {
	_, to := startServerWith(t, time.Second, callers.Options{Waits: waits(300*time.Millisecond, 300*time.Millisecond)})
	c := connect(t, to)
	for range 3 {
		c.ask(t)
	}
}

// Callers who go by a longer limit that was in force until now are served.
func TestShorterLimitHoldsOnceTheLongerOneIsOver(t *testing.T) {
	is := is.New(t)
	var limit atomic.Int64
	limit.Store(int64(2 * time.Second))
	_, to := startServerWith(t, 0, callers.Options{Waits: func() callers.Waits { return callers.Waits{Idle: time.Duration(limit.Load())} }})
	c := connect(t, to)
	c.ask(t)
	time.Sleep(300 * time.Millisecond)
	limit.Store(int64(500 * time.Millisecond))
	time.Sleep(1200 * time.Millisecond)
	c.ask(t)
	time.Sleep(time.Second)
	is.True(c.isClosed(t, time.Second))
}

// A server with as many connections as it may have closes the longest idle one for a new
// one, and accepts none only while all have requests.
func TestLongestIdleConnectionGivesWayToANewOne(t *testing.T) {
	is := is.New(t)
	s, to := startServerWith(t, 0, callers.Options{MaxConns: 3})
	var held []*caller
	for range 3 {
		c := connect(t, to)
		c.ask(t)
		held = append(held, c)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	held[0].ask(t)
	connect(t, to).ask(t)
	is.True(held[1].isClosed(t, time.Second))
	held[0].ask(t)
	held[2].ask(t)
	is.True(!s.Full())
}

func TestServerIsFullWhileAllConnectionsHaveRequests(t *testing.T) {
	is := is.New(t)
	s, to := startServerWith(t, 500*time.Millisecond, callers.Options{MaxConns: 2})
	for range 2 {
		_, err := fmt.Fprint(connect(t, to), request)
		is.NoErr(err)
	}
	time.Sleep(100 * time.Millisecond)
	is.True(!s.Full())
	waiting := connect(t, to)
	time.Sleep(100 * time.Millisecond)
	is.True(s.Full())
	waiting.ask(t) // It is accepted once another one is idle.
	is.True(!s.Full())
}

// Callers who send one request after the other lose none while others take all connections.
func TestConnectionInUseDoesNotGiveWay(t *testing.T) {
	_, to := startServerWith(t, 0, callers.Options{MaxConns: 3})
	held := connect(t, to)
	held.ask(t)
	for range 2 {
		connect(t, to).ask(t)
	}
	waiting := make(chan *caller)
	go func() {
		c, err := net.Dial("tcp4", to.String())
		if err != nil {
			close(waiting)
			return
		}
		waiting <- &caller{c, bufio.NewReader(c)}
	}()
	another := <-waiting
	defer another.Close()
	for range 20 {
		held.ask(t)
		time.Sleep(20 * time.Millisecond)
	}
	another.ask(t)
}
