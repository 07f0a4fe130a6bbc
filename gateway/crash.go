package gateway

import (
	"context"
	"encoding/binary"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/clock"
	"github.com/primrosemoor/primrosemoor/culprit"
	"github.com/primrosemoor/primrosemoor/links"
	"github.com/primrosemoor/primrosemoor/upstream"
)

// Culprits knows which requests crash their targets.
type Culprits interface {
	// Judge returns the verdict on a request with some features.
	Judge(features []culprit.Feature) culprit.Verdict
	// Watch calls cancel if the request is quarantined before stop is called.
	Watch(features []culprit.Feature, cancel func()) (stop func())
	// RecordCrash records a target that crashed with a request.
	RecordCrash(c culprit.Crash)
	// RecordBreak records a target that may have crashed with a request.
	RecordBreak(c culprit.Crash)
	// RecordSurvival records that a target has survived a request.
	RecordSurvival(features []culprit.Feature)
}

// Prober reports whether a target refuses connections.
type Prober interface {
	Refuses(ctx context.Context, to upstream.Address) bool
}

// Links knows whether this node can reach targets at all.
type Links interface {
	// Verify reports whether this node reaches any target now.
	Verify(ctx context.Context) bool
}

const (
	// survivedEvents is the number of events from which a target has survived the
	// request.
	survivedEvents = 2
	// probeTimeout bounds the connection that shows whether a target crashed.
	probeTimeout = 300 * time.Millisecond
)

var errQuarantinedInFlight = errors.New("gateway: requests like this one crash their targets")

// features returns what the request shares with others: the parts of its prompt
// without the last, which is its own, and a hash of the whole request.
func (x *exchange) features() []culprit.Feature {
	if x.featuresCache == nil {
		parts := x.call.Parts
		for i := 0; i < len(parts)-1; i++ {
			x.featuresCache = append(x.featuresCache, culprit.Feature(parts[i]))
		}
		x.featuresCache = append(x.featuresCache, x.fingerprint())
	}
	return x.featuresCache
}

// fingerprint identifies requests of the same team with the same method, path and
// body.
func (x *exchange) fingerprint() culprit.Feature {
	h := xxhash.New()
	for _, field := range []string{x.request.Method, x.request.Host, x.request.RequestURI, x.teamName()} {
		_, _ = h.WriteString(field)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(x.body)
	return culprit.Feature(h.Sum64())
}

// blocked returns the verdict on the request, and whether it must not be sent. A
// request that may have crashed a target is not sent to another one while there is any
// suspicion.
func (x *exchange) blocked() (culprit.Verdict, bool) {
	v := x.gateway.Culprits.Judge(x.features())
	return v, v.State == culprit.Quarantined || v.State == culprit.Suspect && x.possibleRuns > 0
}

// quarantined returns the response to a request that must not be sent, or nil.
func (x *exchange) quarantined() *errorResponse {
	v, blocked := x.blocked()
	if !blocked {
		return nil
	}
	x.gateway.Logger.Warn().Str("event", "request_quarantined").Str("request", x.call.ID).Str("verdict", v.State.String()).
		Str("shared", strconv.FormatUint(uint64(v.Feature), 16)).Int("crashes", v.Crashes).Int("ran", x.possibleRuns).
		Dur("retry_after", v.RetryAfter).Msg("")
	if x.possibleRuns > 0 {
		return errUnknownEffect("quarantined")
	}
	return errQuarantined(v.RetryAfter)
}

// endQuarantined ends a request that is quarantined before it was sent to a further
// target.
func (x *exchange) endQuarantined(errResp *errorResponse) bool {
	if x.headersSent {
		x.abort("stream_not_resumed", http.StatusOK, errQuarantinedInFlight)
	}
	return x.endWithError(errResp)
}

// watchQuarantine cancels an attempt if its request is quarantined before its target
// has survived it.
func (x *exchange) watchQuarantine(cancel context.CancelCauseFunc) {
	x.attemptEvents = 0
	x.stopWatch = x.gateway.Culprits.Watch(x.features(), func() {
		x.quarantinedInFlight.Store(true)
		cancel(errQuarantinedInFlight)
	})
}

// brokenResult returns what an attempt that got no complete response says of its
// target.
func (x *exchange) brokenResult(err error) balance.Result {
	switch {
	case x.quarantinedInFlight.Load():
		return balance.Abandoned
	case errors.Is(err, errHedged):
		return balance.Overtaken
	case errors.Is(err, errStalled):
		return failureOf(err, balance.Stalled)
	}
	return failureOf(err, balance.Broken)
}

// failureOf returns what a failure says of its target: nothing, if this node had no link
// to any, or could hold back no more of the answer because of others.
func failureOf(err error, r balance.Result) balance.Result {
	if errors.Is(err, links.ErrNoLink) || errors.Is(err, errHeldTooLarge) {
		return balance.Unreported
	}
	return r
}

// recordBroken records the crash of a target if it refuses connections, while others can be
// reached, after it closed that of a request which it had begun to answer at the most, with
// some events. The end of a target that leaves has another cause.
func (x *exchange) recordBroken(ctx context.Context, target *catalog.Target, events int, err error) {
	at := clock.Now()
	if events >= survivedEvents || !upstream.IsPeerClosed(err) || x.gateway.Signals.Leaves(target) {
		return
	}
	c := culprit.Crash{Target: instanceHash(target), Features: x.features(), At: at}
	if errors.Is(err, links.ErrTargetCrashed) || x.targetCrashed(ctx, target) {
		x.gateway.Culprits.RecordCrash(c)
		return
	}
	x.gateway.Culprits.RecordBreak(c)
}

// targetCrashed reports whether a target refuses connections while others can be reached.
func (x *exchange) targetCrashed(ctx context.Context, target *catalog.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	address := upstream.Address{ID: target.ID, Host: target.Address}
	return x.gateway.Prober.Refuses(ctx, address) && x.gateway.Links.Verify(ctx)
}

// recordSurvival records that the target of the request has survived it.
func (x *exchange) recordSurvival() {
	x.stopWatch()
	x.gateway.Culprits.RecordSurvival(x.features())
}

// instanceHash identifies an instance of a target on all nodes.
func instanceHash(t *catalog.Target) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(t.ID), uint64(t.Started)))
}
