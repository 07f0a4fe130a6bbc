package gateway

import (
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/telemetry"
)

// logPlaced logs the choice of a target with its inputs.
func (x *exchange) logPlaced(grant *balance.Grant) {
	x.placedAt = time.Now()
	x.gateway.Metrics.RequestDispatched(x.service, x.tier(), x.placedAt.Sub(x.arrived))
	x.gateway.Logger.Info().Str("event", "request_placed").Str("request", x.call.ID).Str("route", x.route.Name).
		Str("target", grant.Target.ID).Str("zone", grant.Target.Zone).Int("attempt", len(x.tried)).
		Dur("waited", x.placedAt.Sub(x.arrived)).Dur("expected", grant.Prediction.Expected).Dur("step", grant.Prediction.Step).
		Int("running", grant.Prediction.Load.Requests).Float64("backlog_tokens", grant.Prediction.Load.PromptTokens).
		Int("prompt_tokens", x.call.PromptTokens).Int("hint", x.call.LengthHint).Str("team", x.teamName()).Msg("")
}

// teamName returns the caller's team, or an empty string on anonymous routes.
func (x *exchange) teamName() string {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}

// logEnded records the end of the request in the metrics and the log.
func (x *exchange) logEnded(cause string, status int) {
	x.recordMetrics(cause, status)
	entry := x.gateway.Logger.Info().Str("event", "request_ended").Str("request", x.call.ID).Str("cause", cause).
		Int("status", status).Int("sends", x.sends).Int("ran", x.possibleRuns).Dur("after", time.Since(x.arrived)).
		Int("prompt_tokens", x.call.PromptTokens).Int("hint", x.call.LengthHint).Dur("limit", x.call.Timeout)
	if x.route != nil {
		entry.Str("route", x.route.Name).Str("kind", x.route.Kind.String()).Int("tier", x.tier())
	}
	if !x.firstEventAt.IsZero() {
		entry.Dur("first", x.firstEventAt.Sub(x.arrived)).Dur("longest_pause", x.longestPause).Int("events", x.eventCount)
	}
	entry.Str("team", x.teamName()).Msg("")
}

func (x *exchange) recordMetrics(cause string, status int) {
	e := telemetry.EndedRequest{Service: x.service, Cause: cause, Tier: x.tier(), Status: status}
	if x.route != nil {
		e.Kind = x.route.Kind.String()
	}
	switch {
	case !x.firstEventAt.IsZero():
		e.FirstResponse = x.firstEventAt.Sub(x.arrived)
	case x.possibleRuns > 0:
		e.FirstResponse = time.Since(x.arrived)
	}
	x.gateway.Metrics.RequestEnded(e)
}
