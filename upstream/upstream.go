// Package upstream sends requests to targets over HTTP/1.1. It never sends a
// request twice, knows of each failure whether any byte had left, and never
// uses a connection again on which anything unexpected was seen.
package upstream

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	dialTimeout = time.Second
	// unackedTimeout ends a connection whose sent bytes stay unconfirmed, as
	// when the path to the target is cut.
	unackedTimeout = 4 * time.Second
	// Probes of a connection on which an answer is awaited notice a target that
	// is gone without a word.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 3
	// defaultIdle is how long a connection is kept whose target states no
	// timeout; it is below the usual idle timeout of servers.
	defaultIdle = 4 * time.Second
	// idleShare of the timeout that a target states is used, because the
	// target's clock started earlier.
	idleShare = 0.7
	// shortRestTime is how long the connections to a target that reset a kept one
	// rest for less. A target that forgets connections does so for many requests
	// to come; a new connection costs about a millisecond.
	shortRestTime = time.Minute
	// inlineBytes may be written without a peer that reads: they fit into the
	// socket's buffer.
	inlineBytes = 2 << 10
	// maxStray bounds the answers to earlier requests that are skipped.
	maxStray    = 4
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// strayBytes bounds the body of a skipped answer.
	strayBytes = 1 << 20
)

// Address names a target's instance and where it listens.
type Address struct {
	ID   string
	Host string
}

// Request is one request as it goes to a target.
type Request struct {
	Method string
	// URI is the request target, passed on unchanged.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Belongs reports whether an answer is the one to this request. An answer
	// that does not belong is skipped; nil accepts every answer.
	Belongs func(http.Header) bool
	// Fresh asks for a connection that has not been used before.
	Fresh bool
}

// SendError is a request that got no answer.
type SendError struct {
	Address Address
	// Sent reports whether any byte of the request may have reached the target.
	Sent bool
	// Reset reports whether the target, or something on the way, ended the
	// connection, as opposed to silence, garbage or the caller's own end.
	Reset bool
	Err   error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Sent {
		return fmt.Sprintf("target %s at %s gave no answer to a request that was sent: %v", e.Address.ID, e.Address.Host, e.Err)
	}
	return fmt.Sprintf("target %s at %s cannot be reached, nothing was sent: %v", e.Address.ID, e.Address.Host, e.Err)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

var (
	errStray = errors.New("upstream: too many answers that belong to other requests")
	// ErrCut is returned by a body whose answer ended early.
	ErrCut = errors.New("upstream: answer was cut off")
)
