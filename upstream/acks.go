package upstream

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ackCheckInterval is how often the acknowledgements of a request that is not taken whole
// are checked. It leaves time to raise the limit of the kernel, which probes a window that
// stays closed about every unackedTimeout/2.
const ackCheckInterval = 500 * time.Millisecond

// ackWatch keeps a connection open whose target acknowledges without taking any bytes. The
// kernel counts that as unacknowledged, although it shows that the path works.
type ackWatch struct {
	raw syscall.RawConn

	mu    sync.Mutex
	timer *time.Timer
	// written is set once the whole request is in the kernel, stopped when the watch ends.
	written, stopped bool
	// limit is the time after which the kernel closes the connection.
	limit time.Duration
	// acked is the number of bytes that were acknowledged, and ackedAt when it last rose.
	acked   uint64
	ackedAt time.Time
}

// watchAcks watches a connection until stop is called or the target's kernel has taken the
// whole request.
func watchAcks(raw syscall.RawConn) *ackWatch {
	w := &ackWatch{raw: raw, limit: unackedTimeout, ackedAt: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(ackCheckInterval, w.check)
	return w
}

// requestWritten tells the watch that no further bytes of the request follow.
func (w *ackWatch) requestWritten() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.written = true
}

// stop ends the watch; there may be none. After an error the connection cannot be used
// again.
func (w *ackWatch) stop() error {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.setLimit(unackedTimeout)
}

func (w *ackWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	// The connection is closed if this fails, so that nothing is left to watch.
	if pending, err := w.update(time.Now()); err != nil || !pending {
		return
	}
	w.timer.Reset(ackCheckInterval)
}

// update allows unackedTimeout from the last acknowledgement on. It reports whether bytes
// may still wait to be taken.
func (w *ackWatch) update(now time.Time) (pending bool, err error) {
	info, err := tcpInfo(w.raw)
	if err != nil {
		return false, err
	}
	if info.Bytes_acked != w.acked {
		w.acked, w.ackedAt = info.Bytes_acked, now
	}
	lastAck := now.Add(-time.Duration(info.Last_ack_recv) * time.Millisecond)
	err = w.setLimit(unackedTimeout + max(0, lastAck.Sub(w.ackedAt)))
	return !w.written || info.Unacked > 0 || info.Notsent_bytes > 0, err
}

func (w *ackWatch) setLimit(limit time.Duration) error {
	if limit == w.limit {
		return nil
	}
	w.limit = limit
	return setUnackedLimit(w.raw, limit)
}

// setUnackedLimit has the kernel close a connection whose peer takes no bytes for a time.
func setUnackedLimit(raw syscall.RawConn, limit time.Duration) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	return errors.Join(err, sockErr)
}

func tcpInfo(raw syscall.RawConn) (info *unix.TCPInfo, err error) {
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		info, sockErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, errors.Join(err, sockErr)
}
