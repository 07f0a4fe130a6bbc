package engine

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setTCPUserTimeout makes the kernel close a connection whose peer has not
// acknowledged sent bytes within tcpUserTimeout.
func setTCPUserTimeout(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	err := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
