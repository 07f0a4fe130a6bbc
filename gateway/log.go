package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/telemetry"
	"github.com/primrosemoor/primrosemoor/upstream"
)

// logPlaced logs the choice of the target of an attempt with its inputs.
func (x *exchange) logPlaced(grant *balance.Grant, attempt int) {
	waited := time.Since(x.arrived)
	x.gateway.Metrics.RequestDispatched(x.service, x.tier(), waited)
	entry := x.gateway.Logger.Info().Str("event", "request_placed").Str("request", x.call.ID).Str("route", x.route.Name).
		Str("target", grant.Target.ID).Str("zone", grant.Target.Zone).Int("attempt", attempt)
	if x.route.Kind == catalog.Streaming {
		entry.Str("version", grant.Target.Version)
	}
	if x.call.Resumes != "" {
		entry.Str("resumes", x.call.Resumes).Str("after_event", x.call.LastEventID)
	}
	if p := grant.Prediction; p.Pace > 0 && p.Pace != 1 || p.Extra > 0 {
		entry.Float64("pace", p.Pace).Int("extra", p.Extra)
	}
	entry.Dur("waited", waited).Dur("expected", grant.Prediction.Expected).Dur("step", grant.Prediction.Step).
		Int("running", grant.Prediction.Load.Requests).Float64("backlog_tokens", grant.Prediction.Load.PromptTokens).
		Int("prompt_tokens", x.call.PromptTokens).Int("hint", x.call.LengthHint).Str("team", x.teamName()).Msg("")
}

// logSendFailed logs an attempt that got no response.
func (x *exchange) logSendFailed(grant *balance.Grant, sendErr *upstream.SendError, err error) {
	x.gateway.Logger.Warn().Str("event", "send_failed").Str("request", x.call.ID).Str("target", grant.Target.ID).
		Bool("sent", sendErr == nil || sendErr.Sent).Bool("peer_closed", sendErr != nil && sendErr.PeerClosed).
		Str("parts", x.promptParts()).Err(err).Msg("")
}

// logSilent logs that another target is looked for, because that of the attempt is
// silent.
func (x *exchange) logSilent(target string, silence time.Duration) {
	x.gateway.Logger.Info().Str("event", "target_silent").Str("request", x.call.ID).Str("target", target).
		Dur("silence", silence).Msg("")
}

// logTakenOver logs that another target answers in place of a silent one.
func (x *exchange) logTakenOver(target string, by *balance.Grant) {
	x.gateway.Logger.Info().Str("event", "request_taken_over").Str("request", x.call.ID).Str("target", target).
		Str("by", by.Target.ID).Uint64("last_event", x.position.lastID).Msg("")
}

// logMoved logs that a request goes to another service, because its route has left the
// first one.
func (x *exchange) logMoved(from string) {
	x.gateway.Logger.Info().Str("event", "request_moved").Str("request", x.call.ID).Str("route", x.route.Name).
		Str("from", from).Str("service", x.service).Msg("")
}

// logNoStandby logs why no other target is asked, unless the silent one goes on or the
// request has ended.
func (x *exchange) logNoStandby(ctx context.Context, err error) {
	if ctx.Err() == nil {
		x.gateway.Logger.Info().Str("event", "no_standby").Str("request", x.call.ID).Err(err).Msg("")
	}
}

// logBrokenStream logs a stream that ended early, with the number of bytes of an
// unfinished event.
func (x *exchange) logBrokenStream(grant *balance.Grant, unfinishedBytes int, err error) {
	x.gateway.Logger.Warn().Str("event", "stream_broken").Str("request", x.call.ID).Str("target", grant.Target.ID).
		Uint64("last_event", x.position.lastID).Int("events", x.eventCount).Int("unfinished_bytes", unfinishedBytes).
		Str("parts", x.promptParts()).Err(err).Msg("")
}

// promptParts returns the ids of the parts of the prompt, in hexadecimal and
// separated by commas.
func (x *exchange) promptParts() string {
	var b []byte
	for i, part := range x.call.Parts {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendUint(b, part, 16)
	}
	return string(b)
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
	x.recordEnd(x.gateway.Logger.Info(), cause, status, nil)
}

// logAborted records the end of a request whose caller gets no whole answer. Its line is a
// warning, for which there is room beside the lines of whole answers.
func (x *exchange) logAborted(cause string, status int, err error) {
	x.recordEnd(x.gateway.Logger.Warn(), cause, status, err)
}

// recordEnd records the end of the request in the metrics and an entry of the log, with the
// error that led to it, if any.
func (x *exchange) recordEnd(entry *log.Entry, cause string, status int, err error) {
	returned := x.returnCharge()
	x.recordMetrics(cause, status, returned)
	entry.Str("event", "request_ended").Str("request", x.call.ID).Str("cause", cause).
		Int("status", status).Int("sends", x.sends).Int("ran", x.possibleRuns).Dur("after", time.Since(x.arrived)).
		Int("prompt_tokens", x.call.PromptTokens).Int("hint", x.call.LengthHint).Dur("limit", x.call.Timeout)
	if x.route != nil {
		entry.Str("route", x.route.Name).Str("kind", x.route.Kind.String()).Int("tier", x.tier())
	}
	if !x.firstEventAt.IsZero() {
		entry.Dur("first", x.firstEventAt.Sub(x.arrived)).Dur("longest_pause", x.longestPause).Int("events", x.eventCount)
	}
	if returned > 0 {
		entry.Float64("returned", returned)
	}
	x.logTargetInfo(entry)
	if err != nil {
		entry.Err(err)
	}
	entry.Str("parts", x.promptParts()).Str("team", x.teamName()).Msg("")
}

// logTargetInfo adds what the last target stated and asked for.
func (x *exchange) logTargetInfo(entry *log.Entry) {
	if x.targetInfo.HasLimit {
		entry.Float64("target_limit", x.targetInfo.Limit)
	}
	if x.targetInfo.Leaving {
		entry.Bool("target_leaving", true)
	}
	if x.targetInfo.Pause > 0 {
		entry.Dur("target_pause", x.targetInfo.Pause)
	}
}

func (x *exchange) recordMetrics(cause string, status int, returned float64) {
	e := telemetry.EndedRequest{Service: x.service, Cause: cause, Tier: x.tier(), Status: status, Returned: returned}
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
