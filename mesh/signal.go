package mesh

import "sync"

// signal wakes all goroutines that wait for a change.
type signal struct {
	mu *sync.Mutex
	ch *chan struct{}
}

func newSignal() signal {
	ch := make(chan struct{})
	return signal{mu: new(sync.Mutex), ch: &ch}
}

// broadcast wakes all waiters.
func (s signal) broadcast() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(*s.ch)
	*s.ch = make(chan struct{})
}

// wait returns a channel that is closed at the next broadcast.
func (s signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *s.ch
}
