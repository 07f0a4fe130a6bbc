package dispatch

import (
	"errors"
	"io"
	"syscall"

	"github.com/primrosemoor/primrosemoor/schema"
)

// failureResult tells how a permit ended whose target broke off. A target
// whose process ends closes or resets its connections; a link that is cut
// shows as a timeout, and is no sign against the request.
func failureResult(err error) schema.PermitResult {
	if isClosed(err) {
		return schema.PermitResult_PERMIT_RESULT_TARGET_DIED
	}
	return schema.PermitResult_PERMIT_RESULT_TARGET_FAILED
}

func isClosed(err error) bool {
	for _, closed := range []error{
		io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, syscall.ECONNREFUSED,
	} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}
