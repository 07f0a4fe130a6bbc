package objects

import (
	"time"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

func errConflict(key string) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_CONFLICT,
		"object "+key+" was changed by another writer",
		"read the object again and repeat the change")
}

func errNotFound(key string) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_NOT_FOUND,
		"object "+key+" does not exist", "create it, or check the key")
}

func errUnavailable(cause error) error {
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE, cause,
		"the object API cannot be reached", "check platform.url and the platform's health, then retry")
}

func errThrottled(retryAfter time.Duration) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_THROTTLED,
		"the object API's rate limit is reached",
		"retry later, or raise platform.calls_per_second and platform.bytes_per_second").WithRetryAfter(retryAfter)
}

func errTooLarge(key string) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_BODY_TOO_LARGE,
		"the value of "+key+" exceeds the object API's limit", "split the value over several objects")
}

func errUnknownEffect(cause error, key string) error {
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_UNKNOWN_EFFECT, cause,
		"the answer to a write of "+key+" was lost", "read the object back to see whether the write took effect")
}

// IsNotFound reports whether err means that an object does not exist.
func IsNotFound(err error) bool {
	return fault.KindOf(err) == schema.ErrorKind_ERROR_KIND_NOT_FOUND
}

// IsConflict reports whether err means that the version did not match.
func IsConflict(err error) bool {
	return fault.KindOf(err) == schema.ErrorKind_ERROR_KIND_CONFLICT
}

// IsUnknownEffect reports whether err means that a write may or may not have taken
// effect.
func IsUnknownEffect(err error) bool {
	return fault.KindOf(err) == schema.ErrorKind_ERROR_KIND_UNKNOWN_EFFECT
}

// IsTransient reports whether a retry of the same call may succeed.
func IsTransient(err error) bool {
	switch fault.KindOf(err) {
	case schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE, schema.ErrorKind_ERROR_KIND_THROTTLED:
		return true
	default:
		return false
	}
}
