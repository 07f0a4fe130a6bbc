package gateway

import (
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/telemetry"
)

// logPlaced records the choice of a target with its inputs.
func (x *exchange) logPlaced(grant *balance.Grant) {
	x.placed = time.Now()
	x.gateway.Metrics.RequestPlaced(x.service, x.tier(), x.placed.Sub(x.arrived))
	x.gateway.Logger.Info().Str("event", "request_placed").Str("request", x.call.ID).Str("route", x.route.Name).
		Str("target", grant.Target.ID).Str("zone", grant.Target.Zone).Int("attempt", len(x.tried)).
		Dur("waited", x.placed.Sub(x.arrived)).Dur("expected", grant.Seen.Expected).Dur("step", grant.Seen.Step).
		Int("running", grant.Seen.Load.Requests).Float64("backlog_tokens", grant.Seen.Load.PromptTokens).
		Int("prompt_tokens", x.call.PromptTokens).Int("hint", x.call.LengthHint).Str("team", x.teamName()).Msg("")
}

// teamName returns the caller's team, empty on anonymous routes.
func (x *exchange) teamName() string {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}

// log records the end of the request.
func (x *exchange) log(cause string, status int) {
	x.measure(cause, status)
	entry := x.gateway.Logger.Info().Str("event", "request_ended").Str("request", x.call.ID).Str("cause", cause).
		Int("status", status).Int("sends", x.sends).Int("ran", x.ran).Dur("after", time.Since(x.arrived)).
		Int("prompt_tokens", x.call.PromptTokens).Int("hint", x.call.LengthHint).Dur("limit", x.call.Limit)
	if x.route != nil {
		entry.Str("route", x.route.Name).Str("kind", x.route.Kind.String()).Int("tier", x.tier())
	}
	if !x.first.IsZero() {
		entry.Dur("first", x.first.Sub(x.arrived)).Dur("longest_pause", x.longest).Int("events", x.events)
	}
	entry.Str("team", x.teamName()).Msg("")
}

func (x *exchange) measure(cause string, status int) {
	e := telemetry.Ended{Service: x.service, Cause: cause, Tier: x.tier(), Status: status}
	if x.route != nil {
		e.Kind = x.route.Kind.String()
	}
	switch {
	case !x.first.IsZero():
		e.First = x.first.Sub(x.arrived)
	case x.ran > 0:
		e.First = time.Since(x.arrived)
	}
	x.gateway.Metrics.RequestEnded(e)
}
