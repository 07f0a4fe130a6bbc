package peer

import (
	"net"
	"sync/atomic"
)

// Traffic is the number of bytes sent and received on connections, including
// handshakes and multiplexing frames but not TCP headers.
type Traffic struct {
	Sent     uint64
	Received uint64
}

// Add returns the sum of t and other.
func (t Traffic) Add(other Traffic) Traffic {
	return Traffic{Sent: t.Sent + other.Sent, Received: t.Received + other.Received}
}

type trafficCounter struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

func (c *trafficCounter) traffic() Traffic {
	return Traffic{Sent: c.sent.Load(), Received: c.received.Load()}
}

// countingConn is a connection that counts the bytes read and written.
type countingConn struct {
	net.Conn
	counter *trafficCounter
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(uint64(n))
	return n, err
}
