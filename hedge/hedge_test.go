package hedge_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/primrosemoor/primrosemoor/hedge"
	"github.com/primrosemoor/primrosemoor/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "1", "100") }

func newManager(maxShare float64, allow func(string) bool) *hedge.Manager {
	return hedge.NewManager(hedge.Options{MaxShare: maxShare, AllowRetry: allow, Count: func(string, string) {}})
}

func always(string) bool { return true }

func TestLimitShrinksToNothingAsSlotsFill(t *testing.T) {
	is := is.New(t)
	at := func(copies float64) hedge.Verdict {
		return hedge.Decide(hedge.Usage{Requests: 200, Copies: copies}, 0.05)
	}
	is.Equal(hedge.Decide(hedge.Usage{Requests: 200}, 0).Reason, hedge.ReasonOff)
	is.Equal(at(10).Reason, hedge.ReasonShare)
	is.True(at(0).Send && at(9).Send)
	is.True(at(0).MaxInUse > at(9).MaxInUse)                              // The more copies, the more slots must be free.
	is.True(at(0).MaxInUse < 0.7 && at(9).MaxInUse > 0.59)                // Figures of docs/design/hedged-requests.md.
	is.Equal(hedge.Decide(hedge.Usage{}, 0.05).Reason, hedge.ReasonShare) // A node without requests has no share.
}

// Nodes that each used more than the share of their own requests would exceed it together.
func TestCopiesStayWithinTheShareOfTheRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.01, 0.5).Draw(t, "share")
		m := newManager(share, always)
		now := time.Unix(0, 0)
		requests, copies := 0.0, 0.0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond)
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				m.RecordRequest("s", now)
				requests++
			}
			for range rapid.IntRange(0, 5).Draw(t, "copies") {
				if _, ok := m.Take("s", now); ok {
					copies++
				}
			}
			if copies > share*requests {
				t.Fatalf("%v copies of %v requests at a share of %v", copies, requests, share)
			}
		}
	})
}

func TestCopyNeedsRoomInTheRetryBudget(t *testing.T) {
	is := is.New(t)
	m := newManager(0.5, func(string) bool { return false })
	now := time.Unix(0, 0)
	for range 100 {
		m.RecordRequest("s", now)
	}
	reason, ok := m.Take("s", now)
	is.True(!ok)
	is.Equal(reason, hedge.ReasonRetries)
}

// While all requests are slow because slots are short, the owner of a zone would be asked
// for a copy of each.
func TestNoTargetIsAskedForSoonAfterARefusal(t *testing.T) {
	is := is.New(t)
	m := newManager(0.5, always)
	now := time.Unix(0, 0)
	for range 100 {
		m.RecordRequest("s", now)
	}
	m.RecordRefusal("s", now)
	is.Equal(m.Decide("s", now.Add(400*time.Millisecond)).Reason, hedge.ReasonRefused)
	is.True(m.Decide("other", now).Reason != hedge.ReasonRefused)
	is.True(m.Decide("s", now.Add(600*time.Millisecond)).Send)
}

func TestDelayIsThatOfTheSlowestResponsesOfTheRoute(t *testing.T) {
	is := is.New(t)
	m := newManager(0.05, always)
	now := time.Unix(0, 0)
	for i := range 1000 {
		now = now.Add(100 * time.Millisecond)
		m.RecordTime("s", "quick", time.Duration(20+i%20)*time.Millisecond, now)
		m.RecordTime("s", "slow", time.Duration(200+10*(i%20))*time.Millisecond, now)
		if i == 30 {
			_, ok := m.Delay("s", "quick")
			is.True(!ok) // Too few responses to tell which are slow.
		}
	}
	quick, ok := m.Delay("s", "quick")
	is.True(ok && quick >= 37*time.Millisecond && quick <= 44*time.Millisecond)
	slow, ok := m.Delay("s", "slow")
	is.True(ok && slow >= 370*time.Millisecond && slow <= 440*time.Millisecond)
	_, ok = m.Delay("other", "quick")
	is.True(!ok)
	for range 1000 { // The service is slower from now on.
		m.RecordTime("s", "quick", 100*time.Millisecond, now)
	}
	quick, _ = m.Delay("s", "quick")
	is.True(quick >= 100*time.Millisecond)
}

// Without the times of first sends that a copy has overtaken, the delay sinks with each copy
// that wins, and soon half of the requests are candidates.
func TestDelayDoesNotSinkWithTheCopiesThatWin(t *testing.T) {
	is := is.New(t)
	m := newManager(0.05, always)
	now := time.Unix(0, 0)
	rng := rand.New(rand.NewPCG(1, 1))
	candidates := 0
	for i := range 20000 {
		now = now.Add(10 * time.Millisecond)
		d := time.Duration(30+70*rng.Float64()) * time.Millisecond
		if delay, ok := m.Delay("s", "r"); ok && d > delay {
			d = delay + time.Millisecond // The copy is faster.
			if i >= 10000 {
				candidates++
			}
		}
		m.RecordTime("s", "r", d, now)
	}
	is.True(candidates < 1000) // A tenth at the most; the quantile leaves a twentieth.
}

// BenchmarkRequest is what a request costs that is sent, waits for its delay and responds.
func BenchmarkRequest(b *testing.B) {
	m := newManager(0.05, always)
	now := time.Unix(0, 0)
	for i := range b.N {
		now = now.Add(10 * time.Millisecond)
		m.RecordRequest("s", now)
		m.Delay("s", "r")
		m.RecordTime("s", "r", time.Duration(20+i%50)*time.Millisecond, now)
	}
}
