package engine

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// limitSendTime makes the kernel break a connection whose peer has not
// confirmed sent bytes within sendTimeout.
func limitSendTime(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	err := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(sendTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
