package links

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/logging"
	"github.com/primrosemoor/primrosemoor/upstream"
)

var errRefused = errors.New("connection refused")

// network is what a node reaches.
type network struct {
	mu      sync.Mutex
	targets []*catalog.Target
	// down targets refuse connections. All of them do, or none answers, during a cut.
	down            map[string]bool
	refused, silent bool
	dials           int
	// lost and regained count what the monitor has told.
	lost, regained int
}

func newNetwork(targets int) *network {
	n := &network{down: make(map[string]bool)}
	for i := range targets {
		n.targets = append(n.targets, &catalog.Target{ID: fmt.Sprint("i-", i)})
	}
	return n
}

func (n *network) connect(ctx context.Context, to upstream.Address) error {
	n.mu.Lock()
	n.dials++
	refused, silent := n.refused || n.down[to.ID], n.silent
	n.mu.Unlock()
	switch {
	case silent:
		<-ctx.Done()
		return ctx.Err()
	case refused:
		return errRefused
	}
	time.Sleep(20 * time.Millisecond)
	return nil
}

func (n *network) dialCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

func (n *network) set(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

// monitored runs a test in virtual time with a monitor of the network.
func (n *network) monitored(t *testing.T, test func(*testing.T, *Monitor)) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMonitor(Options{
			Targets: func() []*catalog.Target { return n.targets }, Connect: n.connect, Logger: logging.Discard(),
			OnLost: func() { n.set(func() { n.lost++ }) }, OnRegained: func() { n.set(func() { n.regained++ }) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { m.Run(ctx) })
		test(t, m)
		cancel()
		running.Wait()
	})
}

func TestLinksAreLostOnlyIfNoTargetCanBeReached(t *testing.T) {
	for _, c := range []struct {
		name    string
		targets int
		cut     func(*network)
		linked  bool
	}{
		{"all work", 15, func(*network) {}, true},
		{"a third is down", 15, func(n *network) {
			for i := range 5 {
				n.down[fmt.Sprint("i-", i)] = true
			}
		}, true},
		{"all refuse", 15, func(n *network) { n.refused = true }, false},
		{"all are silent", 15, func(n *network) { n.silent = true }, false},
		{"both of two refuse", 2, func(n *network) { n.refused = true }, false},
		{"the only one refuses, which may be its own fault", 1, func(n *network) { n.refused = true }, true},
		{"there is none", 0, func(*network) {}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNetwork(c.targets)
			c.cut(n)
			n.monitored(t, func(t *testing.T, m *Monitor) {
				is := is.New(t)
				m.Suspect()
				time.Sleep(suspectInterval + 2*connectTimeout)
				synctest.Wait()
				is.Equal(m.Linked(), c.linked)
				is.Equal(m.Verify(t.Context()), c.linked)
				maxDials := 1 + sampleSize + 3 // Lost links are tried at one target at a time.
				if c.linked {
					maxDials = 2 * (1 + sampleSize)
				}
				is.True(n.dialCount() <= maxDials)
			})
		})
	}
}

func TestLinksAreRegainedByThemselves(t *testing.T) {
	n := newNetwork(15)
	n.monitored(t, func(t *testing.T, m *Monitor) {
		is := is.New(t)
		n.set(func() { n.refused = true })
		is.True(!m.Verify(t.Context()))
		time.Sleep(10 * time.Second)
		synctest.Wait()
		is.True(!m.Linked())
		is.True(n.dialCount() <= 1+sampleSize+20) // Two checks a second.
		n.set(func() { n.refused = false })
		time.Sleep(probeInterval + 50*time.Millisecond)
		synctest.Wait()
		is.True(m.Linked())
		is.Equal(n.lost, 1)
		is.Equal(n.regained, 1)
	})
}

func TestSuspicionsThatComeTogetherCostOneCheck(t *testing.T) {
	n := newNetwork(15)
	n.monitored(t, func(t *testing.T, m *Monitor) {
		is := is.New(t)
		for range 50 {
			m.Suspect()
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		is.True(n.dialCount() <= 3)
	})
}

// A check that began before a connection broke may have found links that are gone now.
func TestVerifyAsksForACheckThatBeginsLater(t *testing.T) {
	n := newNetwork(15)
	n.monitored(t, func(t *testing.T, m *Monitor) {
		is := is.New(t)
		m.Suspect()
		time.Sleep(10 * time.Millisecond) // The check has begun and will find links.
		n.set(func() { n.refused = true })
		is.True(!m.Verify(t.Context()))
	})
}

func TestVerifyThatIsNotAnsweredInTimeIsFalse(t *testing.T) {
	n := newNetwork(15)
	n.set(func() { n.silent = true })
	n.monitored(t, func(t *testing.T, m *Monitor) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		is.True(!m.Verify(ctx))
	})
	is.New(t).True(!NewMonitor(Options{}).verifyEnded(t))
}

// verifyEnded asks a monitor that has ended.
func (m *Monitor) verifyEnded(t *testing.T) bool {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	m.Run(ctx)
	return m.Verify(t.Context())
}
