package front

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

// headerOverhead is the length of ": " and CRLF in a header line.
const headerOverhead = 4

// headerBytes returns the total size of the request target and the headers.
func headerBytes(r *http.Request) int {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerOverhead
		}
	}
	return size
}

func headerTooLarge(limit int) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_HEADER_TOO_LARGE,
		fmt.Sprintf("path and headers exceed %d bytes", limit),
		"send fewer or shorter headers").WithOutcomeNotRun()
}

func bodyTooLarge(limit int64) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_BODY_TOO_LARGE,
		fmt.Sprintf("the body exceeds %d bytes", limit),
		"send a shorter body, or have http.max_body_bytes raised").WithOutcomeNotRun()
}

// readBody reads the whole body, subject to the maximum size and the read
// timeout.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength > f.bounds.maxBodyBytes {
		return nil, bodyTooLarge(f.bounds.maxBodyBytes)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	controller := http.NewResponseController(w)
	// A writer without deadline support, such as a test recorder, has no read
	// timeout.
	_ = controller.SetReadDeadline(time.Now().Add(f.bounds.readTimeout))
	body, err := readSized(http.MaxBytesReader(w, r.Body, f.bounds.maxBodyBytes), r.ContentLength)
	if err != nil {
		return nil, f.bodyError(err)
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// readSized reads the body into a buffer of exactly length bytes. A negative
// length means that it is unknown, and the body is read to its end.
func readSized(body io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(body)
	}
	buffer := make([]byte, length)
	_, err := io.ReadFull(body, buffer)
	return buffer, err
}

// bodyError converts an error from reading the body to a problem for the caller.
func (f *Front) bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return bodyTooLarge(f.bounds.maxBodyBytes)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fault.New(schema.ErrorKind_ERROR_KIND_TIMEOUT,
			fmt.Sprintf("the body did not arrive within %s", f.bounds.readTimeout),
			"send the body at once").WithOutcomeNotRun()
	}
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_BAD_REQUEST, err,
		"the body cannot be read", "send as many bytes as Content-Length states").WithOutcomeNotRun()
}

// deadlineWriter extends the write deadline as the response is written, so that
// a write fails if the caller leaves the response unread for the timeout.
type deadlineWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
	renewedAt  time.Time
}

// renewalsPerTimeout is the maximum number of renewals of the write deadline
// within one timeout.
const renewalsPerTimeout = 4

func newDeadlineWriter(w http.ResponseWriter, timeout time.Duration) *deadlineWriter {
	return &deadlineWriter{
		ResponseWriter: w,
		controller:     http.NewResponseController(w),
		timeout:        timeout,
	}
}

// Write implements http.ResponseWriter.
func (d *deadlineWriter) Write(p []byte) (int, error) {
	d.extendDeadline()
	return d.ResponseWriter.Write(p)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (d *deadlineWriter) Unwrap() http.ResponseWriter {
	return d.ResponseWriter
}

func (d *deadlineWriter) extendDeadline() {
	now := time.Now()
	if now.Sub(d.renewedAt) < d.timeout/renewalsPerTimeout {
		return
	}
	d.renewedAt = now
	// A writer without deadline support, such as a test recorder, has no write
	// timeout.
	_ = d.controller.SetWriteDeadline(now.Add(d.timeout))
}
