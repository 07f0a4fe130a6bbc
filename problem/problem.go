// Package problem renders typed errors as application/problem+json (RFC 9457).
package problem

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	// ContentType is the media type of a problem body.
	ContentType = "application/problem+json"
	// TypePrefix precedes the kind's name in a problem's type.
	TypePrefix = "urn:primrosemoor:error:"
)

// Details is the body of a problem.
type Details struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Kind   string `json:"kind"`
	Remedy string `json:"remedy,omitempty"`
	// Outcome is "not_run" or "unknown"; empty if the error concerns no request.
	Outcome   string `json:"outcome,omitempty"`
	RequestID string `json:"request_id,omitempty"`
}

var statuses = map[schema.ErrorKind]int{
	schema.ErrorKind_ERROR_KIND_BAD_REQUEST:       http.StatusBadRequest,
	schema.ErrorKind_ERROR_KIND_UNAUTHENTICATED:   http.StatusUnauthorized,
	schema.ErrorKind_ERROR_KIND_NOT_FOUND:         http.StatusNotFound,
	schema.ErrorKind_ERROR_KIND_BODY_TOO_LARGE:    http.StatusRequestEntityTooLarge,
	schema.ErrorKind_ERROR_KIND_HEADER_TOO_LARGE:  http.StatusRequestHeaderFieldsTooLarge,
	schema.ErrorKind_ERROR_KIND_TIMEOUT:           http.StatusRequestTimeout,
	schema.ErrorKind_ERROR_KIND_OVERLOADED:        http.StatusServiceUnavailable,
	schema.ErrorKind_ERROR_KIND_DEADLINE:          http.StatusGatewayTimeout,
	schema.ErrorKind_ERROR_KIND_LIMIT_EXCEEDED:    http.StatusTooManyRequests,
	schema.ErrorKind_ERROR_KIND_NO_TARGET:         http.StatusServiceUnavailable,
	schema.ErrorKind_ERROR_KIND_NOT_OWNER:         http.StatusServiceUnavailable,
	schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE: http.StatusServiceUnavailable,
	schema.ErrorKind_ERROR_KIND_CONFLICT:          http.StatusConflict,
	schema.ErrorKind_ERROR_KIND_IN_PROGRESS:       http.StatusConflict,
	schema.ErrorKind_ERROR_KIND_ALREADY_FINISHED:  http.StatusConflict,
	schema.ErrorKind_ERROR_KIND_KEY_REUSED:        http.StatusUnprocessableEntity,
	schema.ErrorKind_ERROR_KIND_KEY_EXPIRED:       http.StatusConflict,
	schema.ErrorKind_ERROR_KIND_QUARANTINED:       http.StatusUnprocessableEntity,
	schema.ErrorKind_ERROR_KIND_TARGET_FAILED:     http.StatusBadGateway,
	schema.ErrorKind_ERROR_KIND_DRAINING:          http.StatusServiceUnavailable,
	schema.ErrorKind_ERROR_KIND_UNREACHABLE:       http.StatusServiceUnavailable,
	schema.ErrorKind_ERROR_KIND_THROTTLED:         http.StatusServiceUnavailable,
	schema.ErrorKind_ERROR_KIND_UNKNOWN_EFFECT:    http.StatusConflict,
	schema.ErrorKind_ERROR_KIND_ISOLATED:          http.StatusServiceUnavailable,
}

// Status returns the HTTP status of an error kind.
func Status(kind schema.ErrorKind) int {
	if status, ok := statuses[kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// New returns the problem of an error. The cause of an internal error is not
// shown to callers.
func New(err error, requestID string) Details {
	e := fault.From(err)
	status := Status(e.Kind)
	detail := e.Message
	if cause := errors.Unwrap(e); cause != nil && e.Kind != schema.ErrorKind_ERROR_KIND_INTERNAL {
		detail += ": " + cause.Error()
	}
	return Details{
		Type:      TypePrefix + fault.KindName(e.Kind),
		Title:     http.StatusText(status),
		Status:    status,
		Detail:    detail,
		Kind:      fault.KindName(e.Kind),
		Remedy:    e.Remedy,
		Outcome:   fault.OutcomeName(e.Outcome),
		RequestID: requestID,
	}
}

// Body returns the JSON text of the problem.
func (d Details) Body() []byte {
	body, err := json.Marshal(d)
	if err != nil {
		// Details holds strings and a number only, which always encode.
		panic(err)
	}
	return body
}

// Write answers a request with the problem of err.
func Write(w http.ResponseWriter, err error, requestID string) {
	details := New(err, requestID)
	header := w.Header()
	header.Set("Content-Type", ContentType)
	header.Set("Cache-Control", "no-store")
	header.Set("X-Content-Type-Options", "nosniff")
	if after := fault.From(err).RetryAfter; after > 0 {
		header.Set("Retry-After", retrySeconds(after))
	}
	if details.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(details.Status)
	// A caller that is gone cannot be told.
	_, _ = w.Write(details.Body())
}

// retrySeconds rounds up, so that a caller does not come too early.
func retrySeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
