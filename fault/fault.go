// Package fault defines the typed error that every package returns when a
// caller, an operator or another node has to act on it. Each error has a kind,
// a message, a remedy and the known outcome of the request.
package fault

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/schema"
)

// Error is a typed error. Message describes the problem and Remedy how to resolve
// it. The zero Outcome means that the error does not concern a request.
type Error struct {
	Kind       schema.ErrorKind
	Message    string
	Remedy     string
	Outcome    schema.Outcome
	RetryAfter time.Duration
	cause      error
}

// New returns an error with the given kind, message and remedy.
func New(kind schema.ErrorKind, message, remedy string) *Error {
	return &Error{Kind: kind, Message: message, Remedy: remedy}
}

// Wrap returns an error with the given kind, message and remedy, caused by err.
func Wrap(kind schema.ErrorKind, err error, message, remedy string) *Error {
	return &Error{Kind: kind, Message: message, Remedy: remedy, cause: err}
}

// WithOutcomeNotRun sets the outcome to not run: the request is known not to
// have been dispatched.
func (e *Error) WithOutcomeNotRun() *Error {
	e.Outcome = schema.Outcome_OUTCOME_NOT_RUN
	return e
}

// WithOutcomeUnknown sets the outcome to unknown: the request may have run.
func (e *Error) WithOutcomeUnknown() *Error {
	e.Outcome = schema.Outcome_OUTCOME_UNKNOWN
	return e
}

// WithRetryAfter sets the delay after which a retry may succeed.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error implements error. The text contains the kind, the message, the cause and
// the remedy.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s", KindName(e.Kind), e.Message)
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	if e.Remedy != "" {
		text += " (" + e.Remedy + ")"
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// Is reports whether target is an Error of the same kind, so that errors.Is
// works with an Error that has only a kind.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Kind == e.Kind && t.Message == ""
}

// KindOf returns the kind of err, ERROR_KIND_INTERNAL if err is not a typed
// error, or ERROR_KIND_UNSPECIFIED if err is nil.
func KindOf(err error) schema.ErrorKind {
	if err == nil {
		return schema.ErrorKind_ERROR_KIND_UNSPECIFIED
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return schema.ErrorKind_ERROR_KIND_INTERNAL
}

// KindName returns the kind's name in lower case with hyphens, such as
// "not-owner".
func KindName(kind schema.ErrorKind) string {
	name := strings.TrimPrefix(kind.String(), "ERROR_KIND_")
	return strings.ReplaceAll(strings.ToLower(name), "_", "-")
}

// OutcomeName returns "not_run", "unknown" or the empty string.
func OutcomeName(outcome schema.Outcome) string {
	switch outcome {
	case schema.Outcome_OUTCOME_NOT_RUN:
		return "not_run"
	case schema.Outcome_OUTCOME_UNKNOWN:
		return "unknown"
	default:
		return ""
	}
}

// From returns err as a typed error; an untyped error becomes an internal
// one. It returns nil for nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(schema.ErrorKind_ERROR_KIND_INTERNAL, err, "internal error", "see the node's log")
}

// ToProto converts err to its protobuf message. It returns nil for nil.
func ToProto(err error) *schema.Error {
	e := From(err)
	if e == nil {
		return nil
	}
	message := e.Message
	if e.cause != nil {
		message += ": " + e.cause.Error()
	}
	p := &schema.Error{Kind: e.Kind, Message: message, Remedy: e.Remedy, Outcome: e.Outcome}
	if e.RetryAfter > 0 {
		p.RetryAfter = durationpb.New(e.RetryAfter)
	}
	return p
}

// FromProto converts a protobuf message to a typed error. It returns nil for nil.
func FromProto(p *schema.Error) error {
	if p == nil {
		return nil
	}
	e := New(p.GetKind(), p.GetMessage(), p.GetRemedy())
	e.Outcome = p.GetOutcome()
	e.RetryAfter = p.GetRetryAfter().AsDuration()
	return e
}
