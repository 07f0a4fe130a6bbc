package dispatch

import (
	"net/http"

	"github.com/primrosemoor/primrosemoor/schema"
)

// responseWriter writes a response to the caller and captures a bounded copy of
// it for the ledger. After the caller has hung up it only captures the copy.
type responseWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	// status is the status sent, or 0 before the header is sent.
	status      int
	contentType string
	callerGone  bool

	capture      bool
	captureLimit int
	captured     []byte
	overflowed   bool
}

func newResponseWriter(writer http.ResponseWriter, capture bool, captureLimit int) *responseWriter {
	return &responseWriter{
		writer:       writer,
		controller:   http.NewResponseController(writer),
		capture:      capture,
		captureLimit: captureLimit,
	}
}

// start sends the header.
func (w *responseWriter) start(status int, header http.Header) {
	w.status = status
	w.contentType = header.Get("Content-Type")
	dst := w.writer.Header()
	for name, values := range header {
		dst[name] = values
	}
	if !w.callerGone {
		w.writer.WriteHeader(status)
	}
}

// write sends a chunk of the body.
func (w *responseWriter) write(chunk []byte) {
	w.captureBody(chunk)
	if w.callerGone {
		return
	}
	if _, err := w.writer.Write(chunk); err != nil {
		w.callerGone = true
	}
}

func (w *responseWriter) flush() {
	if w.callerGone {
		return
	}
	if err := w.controller.Flush(); err != nil {
		w.callerGone = true
	}
}

func (w *responseWriter) captureBody(chunk []byte) {
	if !w.capture || w.overflowed {
		return
	}
	if len(w.captured)+len(chunk) > w.captureLimit {
		w.overflowed = true
		w.captured = nil
		return
	}
	w.captured = append(w.captured, chunk...)
}

// storedOutcome returns the response for the ledger, or nil if none was captured
// or it was too large.
func (w *responseWriter) storedOutcome() *schema.StoredOutcome {
	if w.overflowed || !w.capture {
		return nil
	}
	return &schema.StoredOutcome{
		Status:      uint32(w.status),
		ContentType: w.contentType,
		Body:        w.captured,
	}
}
