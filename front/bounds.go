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

// headerOverhead is the length of ": " and the line end.
const headerOverhead = 4

// headerBytes returns the size of the request line's path and the headers.
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
		"send fewer or shorter headers").NotRun()
}

func bodyTooLarge(limit int64) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_BODY_TOO_LARGE,
		fmt.Sprintf("the body exceeds %d bytes", limit),
		"send a shorter body, or have http.max_body_bytes raised").NotRun()
}

// readBody reads the whole body within the bounds of size and time.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength > f.bounds.maxBody {
		return nil, bodyTooLarge(f.bounds.maxBody)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	// Without deadlines, as in tests on a recorder, the read is unbounded.
	_ = control.SetReadDeadline(time.Now().Add(f.bounds.read))
	body, err := readSized(http.MaxBytesReader(w, r.Body, f.bounds.maxBody), r.ContentLength)
	if err != nil {
		return nil, f.bodyError(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// readSized reads the body into a buffer of its stated length, if it has one.
func readSized(body io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(body)
	}
	buffer := make([]byte, length)
	_, err := io.ReadFull(body, buffer)
	return buffer, err
}

func (f *Front) bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return bodyTooLarge(f.bounds.maxBody)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fault.New(schema.ErrorKind_ERROR_KIND_TIMEOUT,
			fmt.Sprintf("the body did not arrive within %s", f.bounds.read),
			"send the body at once").NotRun()
	}
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_BAD_REQUEST, err,
		"the body cannot be read", "send as many bytes as Content-Length states").NotRun()
}

// timedWriter bounds how long a caller may leave an answer unread.
type timedWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	renewed time.Time
}

// renewals is how often a write deadline is renewed within its length.
const renewals = 4

func newTimedWriter(w http.ResponseWriter, timeout time.Duration) *timedWriter {
	return &timedWriter{
		ResponseWriter: w,
		control:        http.NewResponseController(w),
		timeout:        timeout,
	}
}

// Write implements http.ResponseWriter.
func (t *timedWriter) Write(p []byte) (int, error) {
	t.renew()
	return t.ResponseWriter.Write(p)
}

// Unwrap returns the writer below, for http.ResponseController.
func (t *timedWriter) Unwrap() http.ResponseWriter {
	return t.ResponseWriter
}

func (t *timedWriter) renew() {
	now := time.Now()
	if now.Sub(t.renewed) < t.timeout/renewals {
		return
	}
	t.renewed = now
	// A writer without deadlines, as in tests, is not bounded.
	_ = t.control.SetWriteDeadline(now.Add(t.timeout))
}
