package dispatch

import (
	"errors"
	"io"
	"syscall"

	"github.com/primrosemoor/primrosemoor/schema"
)

// targetFailureResult returns the permit result for a target whose connection
// broke. When a target's process ends, its connections are closed or reset. A
// network partition shows as a timeout and is no evidence against the request.
func targetFailureResult(err error) schema.PermitResult {
	if isConnectionClosed(err) {
		return schema.PermitResult_PERMIT_RESULT_TARGET_DIED
	}
	return schema.PermitResult_PERMIT_RESULT_TARGET_FAILED
}

func isConnectionClosed(err error) bool {
	for _, closed := range []error{
		io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ECONNREFUSED,
	} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}
