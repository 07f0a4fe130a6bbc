//go:build !linux

package engine

import "syscall"

// setTCPUserTimeout does nothing: outside Linux the system's default applies.
func setTCPUserTimeout(_, _ string, _ syscall.RawConn) error {
	return nil
}
