// Package upstream sends requests to targets over HTTP/1.1. It never sends a
// request twice, reports with each failure whether any byte was sent, and never
// reuses a connection on which anything unexpected arrived.
package upstream

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	dialTimeout = time.Second
	// unackedTimeout closes a connection on which bytes wait and none is acknowledged, for
	// instance because the network path to the target has failed.
	unackedTimeout = 4 * time.Second
	// Keep-alive probes on a connection that awaits a response detect a target
	// that has disappeared without closing it.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// defaultMaxIdle is how long a connection is kept idle if its target states no
	// timeout; it is below the usual idle timeout of servers.
	defaultMaxIdle = 4 * time.Second
	// keepAliveShare is the fraction of a target's stated keep-alive timeout that
	// is used, because the target's timer started earlier.
	keepAliveShare = 0.7
	// reducedMaxIdlePeriod is how long the maximum idle time stays reduced for a
	// target that closed or reset a reused connection. A target that drops idle
	// connections keeps doing so for many requests; a new connection costs about
	// a millisecond.
	reducedMaxIdlePeriod = time.Minute
	// maxInlineBodyBytes is the largest body that is written before the response is
	// read. It fits into the socket's send buffer, so that the write cannot block
	// on a target that does not read.
	maxInlineBodyBytes = 2 << 10
	// maxMismatched bounds the responses that are read in search of the matching one.
	maxMismatched    = 4
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	// maxCopiedBytes of a body are copied behind the head, so that a short request is one
	// packet or few.
	maxCopiedBytes = 64 << 10
	// maxMismatchedBytes bounds the body of a skipped response.
	maxMismatchedBytes = 1 << 20
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
	// minStatus and maxStatus bound the status codes that HTTP defines.
	minStatus = 100
	maxStatus = 599
)

// Address identifies an instance of a target and its host and port.
type Address struct {
	ID   string
	Host string
}

// Request is a request to a target.
type Request struct {
	Method string
	// URI is the request target, forwarded unchanged.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether the headers are those of the response to this
	// request. A response that does not match is skipped; nil accepts every one.
	Matches func(http.Header) bool
	// NewConn demands a new connection.
	NewConn bool
	// ID is the id of the request, Arrived when the caller's request arrived, and Started
	// when the target started, in Unix milliseconds. Another node that sends the request
	// needs them.
	ID      string
	Arrived time.Time
	Started int64
}

// SendError reports a request that got no response.
type SendError struct {
	Address Address
	// Sent reports whether any byte of the request may have reached the target.
	Sent bool
	// PeerClosed reports whether the target or an intermediary closed or reset the
	// connection, as opposed to a timeout, a malformed response or a cancelled
	// request.
	PeerClosed bool
	Err        error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Sent {
		return fmt.Sprintf("target %s at %s did not respond to a request that was sent: %v", e.Address.ID, e.Address.Host, e.Err)
	}
	return fmt.Sprintf("target %s at %s is unreachable, nothing was sent: %v", e.Address.ID, e.Address.Host, e.Err)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

var (
	errMismatched    = errors.New("upstream: too many responses that do not match the request")
	errInvalidStatus = errors.New("upstream: the status of the response is not defined by HTTP")
	errHeadTooLarge  = errors.New("upstream: the head of the response exceeds the size limit")
	// ErrTruncated is returned by a response body that ended early.
	ErrTruncated = errors.New("upstream: response was truncated")
)
