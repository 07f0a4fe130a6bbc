package front

import (
	"net/http"
	"time"

	"github.com/primrosemoor/primrosemoor/dispatch"
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/problem"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/telemetry"
	"github.com/primrosemoor/primrosemoor/topology"
)

// exchange is one caller's HTTP request and its response.
type exchange struct {
	front       *Front
	writer      http.ResponseWriter
	httpRequest *http.Request
	snapshot    *topology.Snapshot
	index       *index
	team        *schema.Team
	tier        tier
	request     dispatch.Request
	admitted    bool
}

func (f *Front) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	e := &exchange{front: f, writer: w, httpRequest: r, snapshot: f.options.Snapshot()}
	e.index = f.indexFor(e.snapshot)
	e.request.Arrived = time.Now()
	return e
}

func (e *exchange) authenticate() error {
	team, err := e.index.authenticate(e.httpRequest)
	if err != nil {
		return err
	}
	e.team = team
	e.request.Team = team.GetName()
	return nil
}

// fillRouting sets the request's service, tier, deadline and id.
func (e *exchange) fillRouting(service *schema.Service, route *schema.Route) error {
	e.request.Service = service.GetName()
	e.request.Kind = service.GetKind()
	var err error
	e.tier, err = tierFor(e.snapshot, e.httpRequest, e.team, service, route)
	if err != nil {
		return err
	}
	e.request.Tier = e.tier.rank
	e.request.Deadline, err = e.front.deadline(e.httpRequest)
	if err != nil {
		return err
	}
	e.request.StatedDeadline = e.httpRequest.Header.Get(HeaderDeadline) != ""
	return e.front.assignID(e.httpRequest, e.team.GetName(), &e.request)
}

// serve dispatches the request, or answers with prepareErr if its preparation
// failed.
func (e *exchange) serve(prepareErr error) {
	if prepareErr != nil {
		e.fail(dispatch.Result{Total: time.Since(e.request.Arrived)}, e.adjustOutcome(prepareErr))
		return
	}
	e.request.Admit = e.admit
	var result dispatch.Result
	var err error
	defer func() { e.chargeOutput(result.OutputTokens) }()
	result, err = e.front.options.Dispatcher.Serve(e.httpRequest.Context(), e.writer, &e.request)
	e.finish(result, err)
}

// admit checks the request against the team's limits.
func (e *exchange) admit() error {
	err := e.front.options.Limits.Allow(e.request.Team, e.request.PromptTokens)
	e.admitted = err == nil
	return err
}

// chargeOutput charges the team for the generated tokens if the request was
// admitted.
func (e *exchange) chargeOutput(generated uint32) {
	if e.admitted {
		e.front.options.Limits.ChargeOutput(e.request.Team, generated)
	}
}

// adjustOutcome sets the outcome of a request that was rejected before the ledger
// was consulted. A timeout or an unknown service need not affect every attempt
// with the same idempotency key, so an earlier attempt may have run and the
// outcome is unknown.
func (e *exchange) adjustOutcome(err error) error {
	if e.httpRequest.Header.Get(dispatch.HeaderIdempotencyKey) == "" {
		return err
	}
	switch fault.KindOf(err) {
	case schema.ErrorKind_ERROR_KIND_TIMEOUT, schema.ErrorKind_ERROR_KIND_NOT_FOUND:
		refusal := *fault.From(err)
		return refusal.WithOutcomeUnknown()
	default:
		return err
	}
}

// finish sends the error if no response was sent yet, and records the request.
func (e *exchange) finish(result dispatch.Result, err error) {
	if err != nil && result.Status == 0 {
		e.fail(result, err)
		return
	}
	e.record(result, err)
	if result.Truncated && !e.request.Stream && e.request.Kind == schema.ServiceKind_SERVICE_KIND_PLAIN {
		// Aborts the connection, so that the caller notices the truncated response.
		panic(http.ErrAbortHandler)
	}
}

// fail sends the error as a problem body, unless the caller has disconnected, and
// records the request.
func (e *exchange) fail(result dispatch.Result, err error) {
	if e.request.ID != "" {
		e.writer.Header().Set(dispatch.HeaderIdempotencyKey, e.request.ID)
	}
	if !result.CallerDisconnected {
		problem.Write(e.writer, err, e.request.ID)
		result.Status = problem.Status(fault.KindOf(err))
	}
	e.record(result, err)
}

// record updates the request metrics and writes the request's log line.
func (e *exchange) record(result dispatch.Result, err error) {
	name := resultName(result, err)
	t := e.front.options.Telemetry
	t.RecordRequest(telemetry.Request{
		Tier:         e.tier.name,
		Service:      e.request.Service,
		Result:       name,
		Delivered:    result.Delivered,
		Dispatched:   result.Dispatched,
		PromptTokens: result.PromptTokens,
		CachedTokens: result.CachedTokens,
		OutputTokens: result.OutputTokens,
		FirstToken:   result.FirstToken,
		Gaps:         result.Gaps,
	})
	if fault.KindOf(err) == schema.ErrorKind_ERROR_KIND_OVERLOADED {
		t.CountShed(e.tier.name)
	}
	e.log(name, result, err)
}

// resultName returns the result as it appears in the log and the metrics.
func resultName(result dispatch.Result, err error) string {
	switch {
	case result.CallerDisconnected:
		return "caller-gone"
	case err != nil:
		return fault.KindName(fault.KindOf(err))
	case result.Source == dispatch.SourceRun:
		return "completed"
	default:
		return string(result.Source)
	}
}

// log writes the request's only log line. It contains no API keys, paths or
// bodies.
func (e *exchange) log(name string, result dispatch.Result, err error) {
	line := e.front.options.Logger.Info()
	line.Str("event", "request").
		Str("request_id", e.request.ID).
		Bool("caller_key", e.request.HasCallerID).
		Str("team", e.request.Team).
		Str("tier", e.tier.name).
		Str("service", e.request.Service).
		Str("model", e.request.Model).
		Str("method", e.httpRequest.Method).
		Bool("stream", e.request.Stream).
		Str("result", name).
		Int("status", result.Status).
		Str("source", string(result.Source)).
		Str("target", result.Target).
		Str("group", result.Group).
		Str("stream_id", result.StreamID).
		Bool("dispatched", result.Dispatched).
		Int("permits", result.Permits).
		Int("resumes", result.Resumes).
		Uint32("prompt_tokens", result.PromptTokens).
		Uint32("cached_tokens", result.CachedTokens).
		Uint32("output_tokens", result.OutputTokens).
		Float64("permit_wait_ms", milliseconds(result.PermitWait)).
		Float64("first_token_ms", milliseconds(result.FirstToken)).
		Float64("total_ms", milliseconds(result.Total))
	if err != nil {
		e := fault.From(err)
		line.Str("outcome", fault.OutcomeName(e.Outcome)).Str("error", e.Message)
	}
	line.Msg("")
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1e3
}
