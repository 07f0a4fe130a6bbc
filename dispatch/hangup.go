package dispatch

import (
	"context"
	"sync"
	"time"
)

// hangupWatch cancels the work when the caller hangs up. Before the stream is
// open it waits a little, so that the stream's id is learned and the stream
// can be cancelled at the engine.
type hangupWatch struct {
	caller context.Context
	cancel context.CancelFunc
	unhook func() bool

	mu     sync.Mutex
	isOpen bool
	timer  *time.Timer
}

// watchCaller begins to watch; a detached run is never cancelled.
func (r *run) watchCaller(cancel context.CancelFunc) *hangupWatch {
	w := &hangupWatch{caller: r.caller, cancel: cancel}
	if r.detached() {
		w.unhook = func() bool { return true }
		w.cancel = func() {}
		return w
	}
	w.unhook = context.AfterFunc(r.caller, w.hangup)
	return w
}

func (w *hangupWatch) hangup() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isOpen {
		w.cancel()
		return
	}
	w.timer = time.AfterFunc(headerWait, w.cancel)
}

// opened notes that the stream's id is known.
func (w *hangupWatch) opened() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isOpen = true
	if w.caller.Err() != nil {
		w.cancel()
	}
}

func (w *hangupWatch) stop() {
	w.unhook()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
}
