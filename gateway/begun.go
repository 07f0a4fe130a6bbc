package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
)

var errUnusable = errors.New("gateway: the answer cannot stand in for that of a silent target")

// begunAttempt is an attempt whose target has begun to answer.
type begunAttempt struct {
	grant  *balance.Grant
	cancel context.CancelCauseFunc
	resp   *http.Response
	info   ResponseInfo
}

// drop ends an attempt whose answer is not used.
func (a *begunAttempt) drop(r balance.Result) {
	a.grant.Done(r)
	a.cancel(nil)
	a.close()
}

// close keeps the connection for reuse if the answer was read to its end.
func (a *begunAttempt) close() {
	// Nothing more is read, so that a failure to close changes nothing.
	_ = a.resp.Body.Close()
	a.cancel(nil)
}

// awaitAnswer waits until a usable answer has begun: with its first event, or with the
// whole of an answer that is no stream. A stream that has not brought an event within
// handoverLimit counts as begun. If events were passed on before, the answer has to
// continue them. A second copy of a slow request (hedged) has begun only with its first event:
// until then the first target may be faster. It returns why the answer is of no use
// otherwise, and what that says of the target.
func (x *exchange) awaitAnswer(a *begunAttempt, streaming, hedged bool, lastEventID string) (balance.Result, error) {
	switch {
	case isTampered(a.resp, a.info):
		return balance.Broken, errUnusable
	case !isSuccess(a.resp.StatusCode) || streaming && !x.isStream(a.resp):
		return resultOf(a.resp.StatusCode), fmt.Errorf("%w: status %d", errUnusable, a.resp.StatusCode)
	}
	held := &holding{all: x.gateway.held}
	read, limit := held.readWhole, (<-chan time.Time)(nil)
	if x.isStream(a.resp) {
		read = held.firstEventReader(streaming, lastEventID)
		if !hedged {
			limit = time.After(handoverLimit)
		}
	}
	body := prefetch(a.resp.Body, a.cancel, held, read)
	a.resp.Body = body
	select {
	case <-body.done:
		if body.err != nil && !isEnd(body.err) {
			return failureOf(body.err, balance.Broken), body.err
		}
	case <-limit:
	}
	return balance.Answered, nil
}

// prefetchedBody is a body whose first bytes are read ahead.
type prefetchedBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
	held   *holding
	// done is closed once the first bytes are read; data and err are what was read.
	done chan struct{}
	data []byte
	err  error
}

func prefetch(body io.ReadCloser, cancel context.CancelCauseFunc, held *holding, read func(io.Reader) ([]byte, error)) *prefetchedBody {
	b := &prefetchedBody{ReadCloser: body, cancel: cancel, held: held, done: make(chan struct{})}
	go func() {
		defer close(b.done)
		b.data, b.err = read(body)
	}()
	return b
}

// Read implements io.Reader.
func (b *prefetchedBody) Read(p []byte) (int, error) {
	<-b.done
	if len(b.data) > 0 {
		n := copy(p, b.data)
		b.data = b.data[n:]
		return n, nil
	}
	b.data = nil
	b.held.release()
	if b.err != nil {
		return 0, b.err
	}
	return b.ReadCloser.Read(p)
}

// Close implements io.Closer.
func (b *prefetchedBody) Close() error {
	select {
	case <-b.done:
	default:
		b.cancel(nil)
		<-b.done
	}
	b.held.release()
	return b.ReadCloser.Close()
}

// firstEventReader returns a function that reads a stream until its first event is
// complete, and until that which continues an earlier stream if there is one.
func (h *holding) firstEventReader(continues bool, lastEventID string) func(io.Reader) ([]byte, error) {
	lastID, _ := strconv.ParseUint(lastEventID, 10, 64)
	return func(r io.Reader) ([]byte, error) {
		var data []byte
		chunk := make([]byte, streamReadBytes)
		// The events in the first searched bytes are not those that are sought.
		for searched := 0; ; {
			n, err := r.Read(chunk)
			from := max(searched, len(data)-(len(blankLineCRLF)-1))
			data = append(data, chunk[:n]...)
			end := searched
			if l := lastEventEnd(data[from:]); l > 0 {
				end = from + l
			}
			begun, eventErr := hasBegun(data[searched:end], continues, lastID)
			searched = end
			switch {
			case eventErr != nil:
				return data, eventErr
			case begun:
				return data, err
			case err != nil:
				return data, errors.Join(errUnusable, err)
			case len(data) > maxEventBytes:
				return data, errEventTooLarge
			case !h.set(len(data) + len(chunk)):
				return data, errHeldTooLarge
			}
		}
	}
}

// hasBegun reports whether events contain the first one of an answer, which has to
// follow or repeat the last one if the answer continues an earlier stream.
func hasBegun(events []byte, continues bool, lastID uint64) (bool, error) {
	if !continues {
		return len(events) > 0, nil
	}
	for rest := events; len(rest) > 0; {
		var event []byte
		event, rest = nextEvent(rest)
		if id, ok := eventID(event); ok {
			if id > lastID+1 {
				return false, errEventGap
			}
			return true, nil
		}
	}
	return false, nil
}

// readWhole reads as much of an answer as is held back before it is relayed.
func (h *holding) readWhole(r io.Reader) ([]byte, error) { return h.readHeld(r, maxBufferedBytes) }
