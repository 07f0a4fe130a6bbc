package dispatch

import (
	"context"
	"sync"
	"time"
)

// disconnectWatcher cancels the work when the caller hangs up. If the stream is
// not open yet, it first waits up to streamIDWait, so that the stream's id
// becomes known and the stream can be cancelled at the engine.
type disconnectWatcher struct {
	callerCtx     context.Context
	cancel        context.CancelFunc
	stopAfterFunc func() bool

	mu         sync.Mutex
	streamOpen bool
	timer      *time.Timer
}

// watchDisconnect starts watching the caller. A detached run is never cancelled.
func (r *run) watchDisconnect(cancel context.CancelFunc) *disconnectWatcher {
	w := &disconnectWatcher{callerCtx: r.callerCtx, cancel: cancel}
	if r.detached() {
		w.stopAfterFunc = func() bool { return true }
		w.cancel = func() {}
		return w
	}
	w.stopAfterFunc = context.AfterFunc(r.callerCtx, w.onDisconnect)
	return w
}

func (w *disconnectWatcher) onDisconnect() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.streamOpen {
		w.cancel()
		return
	}
	w.timer = time.AfterFunc(streamIDWait, w.cancel)
}

// streamOpened records that the stream's id is known.
func (w *disconnectWatcher) streamOpened() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.streamOpen = true
	if w.callerCtx.Err() != nil {
		w.cancel()
	}
}

func (w *disconnectWatcher) stop() {
	w.stopAfterFunc()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
}
