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
	// TypePrefix is the prefix of a problem's type; the name of the error kind
	// follows it.
	TypePrefix = "urn:primrosemoor:error:"
)

// Details is the JSON body of a problem response.
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

// New returns the problem details of an error. They omit the cause of an
// internal error, so that callers do not see it.
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

// Body returns the problem encoded as JSON.
func (d Details) Body() []byte {
	body, err := json.Marshal(d)
	if err != nil {
		// Unreachable: Details contains only strings and a number, which always
		// encode.
		panic(err)
	}
	return body
}

// Write sends err to the client as a problem response.
func Write(w http.ResponseWriter, err error, requestID string) {
	details := New(err, requestID)
	header := w.Header()
	header.Set("Content-Type", ContentType)
	header.Set("Cache-Control", "no-store")
	header.Set("X-Content-Type-Options", "nosniff")
	if retryAfter := fault.From(err).RetryAfter; retryAfter > 0 {
		header.Set("Retry-After", retryAfterSeconds(retryAfter))
	}
	if details.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(details.Status)
	// A write error means that the client has disconnected; there is nobody left
	// to report it to.
	_, _ = w.Write(details.Body())
}

// retryAfterSeconds rounds up to whole seconds, so that a client does not retry
// too early.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
